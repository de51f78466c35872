package gate

import (
	"sync"
	"time"
)

const (
	// firstOut is how long a target that failed is left out here; it doubles with
	// each failure in a row, up to maxOut.
	firstOut = 300 * time.Millisecond
	maxOut   = 5 * time.Second
)

// health remembers which targets failed requests of this instance, and how much
// each has in progress.
type health struct {
	mu   sync.Mutex
	byID map[string]*condition
}

type condition struct {
	failures int
	out      time.Time
	busy     int
	used     time.Time
}

func (h *health) setup() { h.byID = make(map[string]*condition) }

func (h *health) of(id string) *condition {
	c := h.byID[id]
	if c == nil {
		c = &condition{}
		h.byID[id] = c
	}
	c.used = time.Now()
	return c
}

// busy counts a request in progress at a target until the returned function is
// called.
func (h *health) busy(id string) (done func()) {
	h.add(id, 1)
	return func() { h.add(id, -1) }
}

func (h *health) add(id string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).busy += n
}

// failed leaves a target out for a while. Requests that fail while it is out fail
// of the same cause, and count as one.
func (h *health) failed(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(id)
	if time.Now().Before(c.out) {
		return
	}
	c.out = time.Now().Add(min(maxOut, firstOut<<min(c.failures, 6)))
	c.failures++
}

func (h *health) worked(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).failures = 0
}

// state returns how much a target has in progress and whether it is left out.
func (h *health) state(id string) (busy int, out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.byID[id]
	if c == nil {
		return 0, false
	}
	return c.busy, time.Now().Before(c.out)
}
