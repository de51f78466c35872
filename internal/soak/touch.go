package main

import (
	"sync"
	"time"
)

// contact is how long something must be undisturbed before bounds of time hold for it.
const contact = 4 * time.Second

// Touch knows what is disturbed, by name, and since when it is not.
type Touch struct {
	mu     sync.Mutex
	active map[string]int
	last   map[string]time.Time
}

// NewTouch returns a Touch that knows of no disturbance.
func NewTouch() *Touch { return &Touch{active: make(map[string]int), last: make(map[string]time.Time)} }

// Disturb notes a disturbance until the returned function is called.
func (t *Touch) Disturb(names ...string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		t.active[n]++
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, n := range names {
			t.active[n]--
			t.last[n] = time.Now()
		}
	}
}

// IsCalm says whether nothing disturbed any of the names from contact before a time on.
func (t *Touch) IsCalm(since time.Time, names ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		if t.active[n] > 0 || t.last[n].After(since.Add(-contact)) {
			return false
		}
	}
	return true
}
