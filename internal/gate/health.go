package gate

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
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
	// drawPhase draws the part of an interval after which a target that has just named a limit
	// gets its first request.
	drawPhase func() float64
	// coldShares returns the number of instances that share the rates of cold targets.
	coldShares func() int
}

type targetHealth struct {
	place.Backoff
	inFlight int
	// notice is what the target last asked of this instance.
	notice notice
}

// notice is what a process of a target asked of this instance in its responses. It binds
// until the process has been replaced.
type notice struct {
	// startedMs identifies the process.
	startedMs int64
	// leaving is set once the process has said that it is about to shut down.
	leaving bool
	// pausedUntil is when the process accepts requests from this instance again.
	pausedUntil time.Time
	// limit is how many requests a second the process accepts from all instances together, if
	// hasLimit is set; limitedAt is when that was last learnt, from the process or the leader.
	limit     float64
	hasLimit  bool
	limitedAt time.Time
	// limiter spaces out requests that no scheduler places.
	limiter place.Limiter
	// cold spaces them out while the target is cold.
	cold place.ColdLimiter
}

// newNotice returns the notice of a process that has asked for nothing.
func newNotice(startedMs int64) notice {
	return notice{startedMs: startedMs, cold: place.NewServiceColdLimiter()}
}

// isClosed reports whether the process wants no request from this instance now.
func (n *notice) isClosed(now time.Time) bool { return n.leaving || now.Before(n.pausedUntil) }

func (h *health) setup() { h.byID, h.drawPhase = make(map[string]*targetHealth), rand.Float64 }

func (h *health) target(id string) *targetHealth {
	t := h.byID[id]
	if t == nil {
		t = &targetHealth{notice: newNotice(0)}
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
	h.dropIdle(id, t)
}

// dropIdle forgets a target without state: targets come and go. The caller holds mu.
func (h *health) dropIdle(id string, t *targetHealth) {
	now := time.Now()
	if t.inFlight == 0 && t.IsHealthy(now) && !t.notice.isClosed(now) && !t.notice.hasLimit && !t.notice.cold.IsCold(now) {
		delete(h.byID, id)
	}
}

// recordNotice records that the process of a target is leaving, or wants no requests for
// the duration pause. It reports whether the target has not said so before.
func (h *health) recordNotice(t site.Target, leaving bool, pause time.Duration) bool {
	if !leaving && pause <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.noticeOf(t)
	now := time.Now()
	news := leaving && !n.leaving || pause > 0 && !now.Before(n.pausedUntil)
	n.leaving = n.leaving || leaving
	if until := now.Add(pause); until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	return news
}

// noticeOf returns the notice of a target's process. The caller holds mu.
func (h *health) noticeOf(t site.Target) *notice {
	n := &h.target(t.ID).notice
	if n.startedMs != t.StartedMs {
		*n = newNotice(t.StartedMs)
	}
	return n
}

// isClosed reports whether the process of a target wants no request from this instance now.
func (h *health) isClosed(t site.Target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.byID[t.ID]
	return x != nil && x.notice.startedMs == t.StartedMs && x.notice.isClosed(time.Now())
}

// isLeaving reports whether the process of a target has said that it is about to shut down.
func (h *health) isLeaving(t site.Target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.byID[t.ID]
	return x != nil && x.notice.startedMs == t.StartedMs && x.notice.leaving
}

// closedTargets returns the ready targets of a pool that want no request from this instance
// now, and how long it takes until the first of them accepts one again; 0 if all are leaving.
func (h *health) closedTargets(v *view, pool string) (closed []string, reopens time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for id, x := range h.byID {
		t, ok := v.readyTarget(id, pool)
		if !ok || x.notice.startedMs != t.StartedMs || !x.notice.isClosed(now) {
			continue
		}
		closed = append(closed, id)
		if left := x.notice.pausedUntil.Sub(now); !x.notice.leaving && (reopens == 0 || left < reopens) {
			reopens = left
		}
	}
	return closed, reopens
}

// leavingTargets returns the targets of a view that are ready there although their
// processes have told this instance that they are leaving.
func (h *health) leavingTargets(v *view) []site.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []site.Target
	for id, x := range h.byID {
		if !x.notice.leaving {
			continue
		}
		if t, ok := v.targets[id]; ok && t.State == site.Ready && t.StartedMs == x.notice.startedMs {
			out = append(out, t)
		}
	}
	return out
}

// dropNotices forgets what processes asked that a view no longer has.
func (h *health) dropNotices(v *view) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, x := range h.byID {
		if t, ok := v.targets[id]; !ok || t.StartedMs != x.notice.startedMs {
			x.notice = newNotice(0)
			h.dropIdle(id, x)
		}
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
