// Package trail joins the log lines of one request over processes.
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

// maxLineBytes bounds one line in bytes; longer ones are counted as torn.
const maxLineBytes = 1 << 20

// Line is one structured line of a log.
type Line struct {
	Time time.Time
	// Source is the file that it came from, and what stood before it there.
	Source string
	// Instance is the process that wrote it; "" in lines that don't say.
	Instance string
	Level    string
	Message  string
	// Fields are the others, by name.
	Fields map[string]any
}

// Log holds the lines of some files.
type Log struct {
	Lines []Line
	// Malformed counts what is no line, by source.
	Malformed map[string]int
}

// Read adds the lines of one file. What stands before the first brace of a line
// is kept as its source, so that logs with a prefix can be read.
func (l *Log) Read(source string, r io.Reader) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		b, long, err := in.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read %s", source)
		}
		line, ok := parseLine(source, b)
		if ok && !long {
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
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, false
	}
	line := Line{Source: source}
	if before := strings.TrimSpace(string(b[:at])); before != "" {
		line.Source = before
	}
	if err := json.Unmarshal(b[at:], &line.Fields); err != nil {
		return Line{}, false
	}
	text := func(name string) string {
		s, _ := line.Fields[name].(string)
		delete(line.Fields, name)
		return s
	}
	when, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Instance, line.Level, line.Message = when, text("instance"), text("level"), text("message")
	return line, line.Message != ""
}

// RequestLines returns the lines that touch a request, in order of time: those that
// name it, those of its asks for engines, and those of its memory.
func (l *Log) RequestLines(id string) []Line {
	names := map[string]bool{id: true}
	for _, x := range l.Lines {
		if x.Fields["id"] != id {
			continue
		}
		for _, field := range []string{"ask", "ticket"} {
			if s, ok := x.Fields[field].(string); ok && s != "" {
				names[s] = true
			}
		}
	}
	var out []Line
	for _, x := range l.Lines {
		for _, field := range []string{"id", "ask", "ticket"} {
			if s, ok := x.Fields[field].(string); ok && names[s] {
				out = append(out, x)
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// String writes a line for people: the fields in order of their names.
func (x Line) String() string {
	var b strings.Builder
	who := x.Instance
	if who == "" {
		who = x.Source
	}
	fmt.Fprintf(&b, "%s %-20s %s", x.Time.UTC().Format("15:04:05.000"), who, x.Message)
	for _, k := range slices.Sorted(maps.Keys(x.Fields)) {
		if v := x.Fields[k]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%v", k, v)
		}
	}
	return b.String()
}
