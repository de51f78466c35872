package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Finding is a promise that was seen broken.
type Finding struct {
	At      time.Duration
	Promise string
	Detail  string
}

// Book notes what callers sent and were told, and what targets ran, and compares them.
type Book struct {
	began time.Time

	mu    sync.Mutex
	calls map[string]*ask
	finds []Finding
	// counts are the ends of requests by what the callers saw.
	counts map[string]int
}

// ask is one attempt of a caller.
type ask struct {
	kind         site.Kind
	path, body   string
	organisation string
	refused      bool
	runs         []run
}

// run is one run of a call at a target.
type run struct {
	target, seal string
	// answer is the whole body; for streams the number of events.
	answer string
	events int64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{began: time.Now(), calls: make(map[string]*ask), counts: make(map[string]int)}
}

// Find notes a broken promise.
func (b *Book) Find(promise, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.find(promise, format, args...)
}

func (b *Book) find(promise, format string, args ...any) {
	b.finds = append(b.finds, Finding{time.Since(b.began), promise, fmt.Sprintf(format, args...)})
}

// Findings returns the broken promises.
func (b *Book) Findings() []Finding {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finds
}

// Sent notes a call before it is sent.
func (b *Book) Sent(id string, c *ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[id] = c
}

// Ran notes that a target begins to run a call, and checks that it may.
func (b *Book) Ran(id, path, body, organisation string, r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.calls[id]
	if c == nil {
		b.find("unasked", "%s ran %q, which nobody sent", r.target, id)
		return
	}
	if c.path != path || c.body != body || c.organisation != organisation {
		b.find("unasked", "%s ran %s with path %q, body %q and organisation %q; sent were %q, %q and %q",
			r.target, id, path, body, organisation, c.path, c.body, c.organisation)
	}
	if c.kind == site.NonIdempotent && len(c.runs) > 0 {
		b.find("once", "%s ran %s, which %s had run", r.target, id, c.runs[0].target)
	}
	if c.refused {
		b.find("refusal", "%s ran %s after it was refused", r.target, id)
	}
	c.runs = append(c.runs, r)
}

// Refused notes that a caller was told that its call did not run and will not.
func (b *Book) Refused(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.calls[id]
	c.refused = true
	if len(c.runs) > 0 {
		b.find("refusal", "%s was refused with %d, and %s had run it", id, status, c.runs[0].target)
	}
}

// RunOf returns the run of a call that bears a seal.
func (b *Book) RunOf(id, seal string) (run, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.calls[id].runs {
		if r.seal == seal {
			return r, true
		}
	}
	return run{}, false
}

// Count notes how a request ended.
func (b *Book) Count(how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[how]++
}

// Report writes what was seen.
func (b *Book) Report(w io.Writer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(w, "requests: %v\n", b.counts)
	for _, f := range b.finds {
		fmt.Fprintf(w, "BROKEN %s at %.3f s: %s\n", f.Promise, f.At.Seconds(), f.Detail)
	}
}
