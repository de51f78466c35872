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

	detector timing.PauseDetector

	mu sync.Mutex
	// refreshedCount is the number of pauses after which a new link has come, or the wait for it is over.
	refreshedCount int
}

// start begins to detect pauses. From now on note must be called every pauseCheckInterval.
func (p *pauseGuard) start() {
	p.detector.Clock, p.detector.Limit = p.Clock, maxPauseTime
	p.detector.Start()
}

// note records that the process runs now, and detects a pause before.
func (p *pauseGuard) note() {
	if p.detector.Note() {
		p.Relink()
	}
}

// pauseCount returns the number of pauses until now. A permission that was given before the
// last one may have run out.
func (p *pauseGuard) pauseCount() int {
	p.note()
	count, _ := p.detector.Last()
	return count
}

// refreshed reports whether no news is missing, or the wait for it is over.
func (p *pauseGuard) refreshed() bool {
	count, ended := p.detector.Last()
	linked := p.IsLinked()
	p.mu.Lock()
	defer p.mu.Unlock()
	if linked || ended >= refreshTimeout {
		p.refreshedCount = count
	}
	return p.refreshedCount == count
}

// lacksNewsSince reports whether this process was paused after a time and has had no news of control since.
func (p *pauseGuard) lacksNewsSince(at time.Time) bool {
	count, ended := p.detector.Last()
	return count > 0 && ended < time.Since(at) && !p.IsLinked()
}

// await waits after a pause until a new link has brought what was missed, until
// refreshTimeout, or until ctx ends.
func (p *pauseGuard) await(ctx context.Context) {
	p.note()
	for !p.refreshed() && timing.Sleep(ctx, refreshPollInterval) {
		p.note()
	}
}
