package gate

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
)

// loadSmoothing is the weight of the latest of the delays of timers in their mean, which are measured
// every pauseCheckInterval: the mean follows within a second or two.
const loadSmoothing = 0.2

// timerDelay is the mean delay of the timers of this process: an instance that needs more processor
// time than it has runs them late.
type timerDelay struct {
	last time.Time
	// mean is the mean delay in nanoseconds.
	mean atomic.Int64
}

// note records that a timer ran now which runs at an interval.
func (d *timerDelay) note(now time.Time, interval time.Duration) {
	if !d.last.IsZero() {
		late := float64(max(0, now.Sub(d.last)-interval))
		d.mean.Store(int64(loadSmoothing*late + (1-loadSmoothing)*float64(d.mean.Load())))
	}
	d.last = now
}

// load returns how busy this instance is.
func (s *Server) load() *link.Load {
	delay := time.Duration(s.delay.mean.Load()).Milliseconds()
	return &link.Load{Requests: uint32(max(0, s.inFlight.Load())), DelayMs: uint16(min(delay, math.MaxUint16))}
}
