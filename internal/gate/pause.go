package gate

import (
	"context"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// pauseCheckInterval is how often the instance notes that it runs.
	pauseCheckInterval = 250 * time.Millisecond
	// maxPauseTime is the longest time without such a note after which what this instance knows
	// is still current: for longer silence its peers end the link.
	maxPauseTime = link.ReceiveTimeout
	// refreshTimeout is how long requests wait after a pause for the news of control. After
	// that the instance serves with what it knows, like one that is cut off.
	refreshTimeout = 600 * time.Millisecond
	// refreshPollInterval is how often they check for it.
	refreshPollInterval = 10 * time.Millisecond
)

// pauseGuard detects that the process or its host was paused, and holds the use of tables,
// targets and grants back until a new link has brought what was missed.
type pauseGuard struct {
	// Clock returns the time since some instant, including that in which the host was
	// suspended.
	Clock func() time.Duration
	// Relink replaces the link to control, and IsLinked reports whether there is one.
	Relink   func()
	IsLinked func() bool

	mu      sync.Mutex
	started bool
	// seen is the time of the last note, and wokeAt that of the end of the last pause.
	seen   time.Duration
	wokeAt time.Duration
	// isStale is set from the end of a pause until a new link is there.
	isStale bool
	pauses  int
}

// start begins to detect pauses. From now on note must be called every pauseCheckInterval.
func (p *pauseGuard) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen, p.started = p.Clock(), true
}

// note records that the process runs now, and detects a pause before.
func (p *pauseGuard) note() {
	now := p.Clock()
	p.mu.Lock()
	wasPaused := p.started && now-p.seen > maxPauseTime
	p.seen = now
	if wasPaused {
		p.isStale, p.wokeAt = true, now
		p.pauses++
	}
	p.mu.Unlock()
	if wasPaused {
		p.Relink()
	}
}

// pauseCount returns the number of pauses until now. A permission that was given before the
// last one may have run out.
func (p *pauseGuard) pauseCount() int {
	p.note()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses
}

// refreshed reports whether no news is missing, or the wait for it is over.
func (p *pauseGuard) refreshed() bool {
	linked := p.IsLinked()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStale && (linked || p.Clock()-p.wokeAt >= refreshTimeout) {
		p.isStale = false
	}
	return !p.isStale
}

// await waits after a pause until a new link has brought what was missed, until
// refreshTimeout, or until ctx ends.
func (p *pauseGuard) await(ctx context.Context) {
	p.note()
	for !p.refreshed() && timing.Sleep(ctx, refreshPollInterval) {
		p.note()
	}
}
