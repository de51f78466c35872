package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	began time.Time
	file  *os.File

	mu     sync.Mutex
	w      *bufio.Writer
	broken int
	first  string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.at(time.Now(), format, args...)
}

// at is line for something that happened at a time.
func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", t.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that the rule was broken.
func (r *record) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	if r.first == "" {
		r.first = text
	}
}

func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
