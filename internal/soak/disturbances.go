package main

import (
	"sync"
	"time"
)

// settleTime is how long something must be undisturbed before time bounds apply to it.
const settleTime = 4 * time.Second

// Disturbances tracks by name which parts of the site are currently disturbed by faults, and
// when the last disturbance of each part ended.
type Disturbances struct {
	mu     sync.Mutex
	active map[string]int
	ended  map[string]time.Time
}

// NewDisturbances returns a tracker without disturbances.
func NewDisturbances() *Disturbances {
	return &Disturbances{active: make(map[string]int), ended: make(map[string]time.Time)}
}

// Begin marks names as disturbed until the returned function is called.
func (d *Disturbances) Begin(names ...string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		d.active[n]++
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, n := range names {
			d.active[n]--
			d.ended[n] = time.Now()
		}
	}
}

// IsUndisturbed reports whether no disturbance of any of the names is active or ended
// later than settleTime before since.
func (d *Disturbances) IsUndisturbed(since time.Time, names ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		if d.active[n] > 0 || d.ended[n].After(since.Add(-settleTime)) {
			return false
		}
	}
	return true
}
