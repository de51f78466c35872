package timing

import (
	"sync"
	"time"
)

// PauseDetector detects that the process or its host was paused, from the time between calls of Note.
type PauseDetector struct {
	// Clock returns the time since some instant, including that in which the host was suspended.
	Clock func() time.Duration
	// Limit is the longest time between two calls of Note that is no pause.
	Limit time.Duration

	mu      sync.Mutex
	started bool
	// seen is the time of the last call of Note, and wokeAt that of the end of the last pause.
	seen, wokeAt time.Duration
	count        int
}

// Start begins to detect pauses. From now on Note must be called several times in each Limit.
func (p *PauseDetector) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen, p.started = p.Clock(), true
}

// Note records that the process runs now. It reports whether a pause has just ended. Before Start there are no
// pauses.
func (p *PauseDetector) Note() (paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.started {
		return false
	}
	now := p.Clock()
	paused = now-p.seen > p.Limit
	p.seen = now
	if paused {
		p.wokeAt = now
		p.count++
	}
	return paused
}

// Last returns the number of pauses until the last call of Note, and how long before that call the last of them
// ended, if there is one.
func (p *PauseDetector) Last() (count int, ended time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, p.seen - p.wokeAt
}
