// Package trail collects the log lines of one request from the logs of several processes.
package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds the length of a log line. Longer lines are counted as malformed.
const maxLineBytes = 1 << 20

// Line is one structured log line.
type Line struct {
	Time time.Time
	// Source is the prefix of the line before its JSON object, or the name of the file
	// if it has no prefix.
	Source string
	// Instance is the process that wrote the line, or "" if the line does not name it.
	Instance string
	Level    string
	Message  string
	// Fields are the remaining fields by name.
	Fields map[string]any
}

// Log holds the lines read from one or more files.
type Log struct {
	Lines []Line
	// Malformed counts, by source, the lines with a brace that could not be decoded.
	Malformed map[string]int
}

// Read adds the lines of one file. Text before the first brace of a line becomes the
// source of that line, so that logs with a prefix can be read. Lines without a brace are
// ignored.
func (l *Log) Read(source string, r io.Reader) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		b, truncated, err := in.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read log %s", source)
		}
		line, ok := parseLine(source, b)
		if ok && !truncated {
			l.Lines = append(l.Lines, line)
			continue
		}
		if bytes.ContainsRune(b, '{') {
			if l.Malformed == nil {
				l.Malformed = make(map[string]int)
			}
			l.Malformed[source]++
		}
	}
}

func parseLine(source string, b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{Source: source}
	if prefix := strings.TrimSpace(string(b[:start])); prefix != "" {
		line.Source = prefix
	}
	if err := json.Unmarshal(b[start:], &line.Fields); err != nil {
		return Line{}, false
	}
	takeString := func(name string) string {
		s, _ := line.Fields[name].(string)
		delete(line.Fields, name)
		return s
	}
	at, err := time.Parse(time.RFC3339Nano, takeString("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Instance, line.Level, line.Message = at, takeString("instance"), takeString("level"), takeString("message")
	return line, line.Message != ""
}

// RequestLines returns the lines about a request in order of time. These are the lines with
// its id, and the lines about its scheduler requests (field ask) and memory reservations
// (field ticket), which are found through the lines with its id.
func (l *Log) RequestLines(id string) []Line {
	related := map[string]bool{id: true}
	for _, line := range l.Lines {
		if line.Fields["id"] != id {
			continue
		}
		for _, field := range []string{"ask", "ticket"} {
			if s, ok := line.Fields[field].(string); ok && s != "" {
				related[s] = true
			}
		}
	}
	var out []Line
	for _, line := range l.Lines {
		for _, field := range []string{"id", "ask", "ticket"} {
			if s, ok := line.Fields[field].(string); ok && related[s] {
				out = append(out, line)
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// String formats the line for people: time, instance or source, message, and the non-empty
// fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	origin := l.Instance
	if origin == "" {
		origin = l.Source
	}
	fmt.Fprintf(&b, "%s %-20s %s", l.Time.UTC().Format("15:04:05.000"), origin, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.Fields[k]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%v", k, v)
		}
	}
	return b.String()
}
