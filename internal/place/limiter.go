package place

import (
	"cmp"
	"math"
	"time"
)

const (
	// minLimit is the lowest limit, in requests a second, that is applied: a target that names
	// less must get a request now and then, as only an answer can lift the limit.
	minLimit = 0.1
	// shareFill is the fraction of a limit that instances use which share it without knowing of
	// each other's requests: their turns fall at random times, and may pile up.
	shareFill = 0.6
	// turnTime is how long such an instance may delay a request to which it is entitled. The
	// turns that all of them have saved must not exceed what the target accepts at once.
	turnTime = time.Second
)

// Limiter spaces out requests to a target that names how many a second it accepts from all
// instances together. The zero value doesn't limit.
type Limiter struct {
	// perSecond is the limit; 0 means none.
	perSecond float64
	// next is when the next request may be sent.
	next time.Time
	// keep is how long a turn that was not used stays valid; 0 means turnTime.
	keep time.Duration
}

// Set sets the limit, which the given number of instances share. The phase, from 0 to 1, spreads
// the first requests of these. A change of the limit shortens or extends the wait in proportion.
func (l *Limiter) Set(now time.Time, perSecond float64, shares int, phase float64) {
	former := l.perSecond
	l.perSecond = max(perSecond, minLimit)
	if former == 0 {
		l.next = now.Add(scale(l.interval(shares), phase))
	} else if left := l.next.Sub(now); left > 0 {
		l.next = now.Add(scale(left, former/l.perSecond))
	}
}

// Clear removes the limit.
func (l *Limiter) Clear() { *l = Limiter{} }

// IsSet reports whether there is a limit.
func (l *Limiter) IsSet() bool { return l.perSecond > 0 }

// interval returns the time between two requests.
func (l *Limiter) interval(shares int) time.Duration {
	rate := l.perSecond
	if shares > 1 {
		rate *= shareFill / float64(shares)
	}
	return time.Duration(float64(time.Second) / rate)
}

// Wait returns how long it takes until the next request may be sent; 0 if that is now.
func (l *Limiter) Wait(now time.Time, shares int) time.Duration {
	if !l.IsSet() {
		return 0
	}
	if shares > 1 {
		// A turn that was not used in time is lost.
		interval := l.interval(shares)
		if late := now.Sub(l.next) - min(cmp.Or(l.keep, turnTime), interval); late > 0 {
			l.next = l.next.Add(interval * time.Duration(math.Ceil(float64(late)/float64(interval))))
		}
	}
	return max(0, l.next.Sub(now))
}

// Take records that a request is sent now.
func (l *Limiter) Take(now time.Time, shares int) {
	if !l.IsSet() {
		return
	}
	if shares <= 1 && l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(l.interval(shares))
}
