package gate

import (
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/place"
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
	place.Backoff
	busy int
}

func (h *health) setup() { h.byID = make(map[string]*condition) }

func (h *health) of(id string) *condition {
	c := h.byID[id]
	if c == nil {
		c = &condition{}
		h.byID[id] = c
	}
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
	c := h.of(id)
	c.busy += n
	if c.busy == 0 && c.IsClear(time.Now()) {
		delete(h.byID, id) // Targets come and go; what is unknown is clear, too.
	}
}

// failed leaves a target out for a while.
func (h *health) failed(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).Fail(time.Now(), firstOut, maxOut)
}

func (h *health) worked(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).Worked()
}

// state returns how much a target has in progress and whether it is left out.
func (h *health) state(id string) (busy int, out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.byID[id]
	if c == nil {
		return 0, false
	}
	return c.busy, c.IsOut(time.Now())
}
