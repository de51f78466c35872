package gate

import (
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/place"
)

const (
	// minEjection is how long a target is ejected after a failure; it doubles with each
	// consecutive failure, up to maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 5 * time.Second
)

// health tracks the failures and the in-flight requests of each target, as seen by this
// instance.
type health struct {
	mu   sync.Mutex
	byID map[string]*targetHealth
}

type targetHealth struct {
	place.Backoff
	inFlight int
}

func (h *health) setup() { h.byID = make(map[string]*targetHealth) }

func (h *health) target(id string) *targetHealth {
	t := h.byID[id]
	if t == nil {
		t = &targetHealth{}
		h.byID[id] = t
	}
	return t
}

// track counts an in-flight request to a target until done is called.
func (h *health) track(id string) (done func()) {
	h.addInFlight(id, 1)
	return func() { h.addInFlight(id, -1) }
}

func (h *health) addInFlight(id string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	t.inFlight += n
	if t.inFlight == 0 && t.IsHealthy(time.Now()) {
		delete(h.byID, id) // Targets come and go, and an entry without state is not needed.
	}
}

// recordFailure ejects a target for a while.
func (h *health) recordFailure(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target(id).Fail(time.Now(), minEjection, maxEjection)
}

func (h *health) recordSuccess(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target(id).Reset()
}

// state returns the in-flight requests of a target and whether it is ejected.
func (h *health) state(id string) (inFlight int, ejected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.byID[id]
	if t == nil {
		return 0, false
	}
	return t.inFlight, t.IsEjected(time.Now())
}
