package place

import (
	"cmp"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// coldMargin is how much longer than reported a target is taken for cold: the leader doesn't
	// pass on smaller changes of that time, and clocks run at slightly different speeds.
	coldMargin = 250 * time.Millisecond
	// standaloneColdFill is the fraction of the cold rate that the cores without a scheduler use
	// together. They act at the same time as a scheduler that others still reach and that uses
	// the whole rate. Of the 30 requests that a target with a rate of 17 tolerates in a second,
	// the scheduler uses up to 18; with 83 cores that take turns at random times, 0.15 leads to
	// 3.3 more on average, and to 12 more in 1 of 30,000 seconds.
	standaloneColdFill = 0.15
	// serviceColdFill is that fraction for plain services, which no scheduler places: 13 of 30
	// requests on average, and 30 in 1 of 50,000 seconds.
	serviceColdFill = 0.6
	// coldTurnTime is how long a turn that was not used stays valid. Instances that were idle
	// send the requests of that time at once, in addition to those of the next second.
	coldTurnTime = 300 * time.Millisecond
	// warmUpTime is how long an engine that has just become cold is not packed full: its caches
	// are empty and its first passes are slower than declared by an amount that nobody declares.
	// In this time it gets answers for 1/warmUpDivisor of its slots, and predictions begin with
	// warmUpSlowdown, which fades or is corrected by what is measured.
	warmUpTime     = 5 * time.Second
	warmUpDivisor  = 2
	warmUpSlowdown = 1.5
)

// ColdLimiter spaces out requests to a target while it is cold. The zero value doesn't limit.
type ColdLimiter struct {
	limiter Limiter
	until   time.Time
	rate    float64
	// fill is the fraction of the rate that instances use which share it; 0 means that all
	// requests pass through this limiter.
	fill float64
	// provisional is set until a report replaces the phase, which was not drawn.
	provisional bool
}

// NewServiceColdLimiter returns a limiter for requests to a plain service.
func NewServiceColdLimiter() ColdLimiter { return ColdLimiter{fill: serviceColdFill} }

// Set notes how much longer the target is cold, from 0, and how many requests a second it tolerates
// from all instances together; 0 means any number. The phase, from 0 to 1, spreads the first requests
// of the instances that share the rate.
func (l *ColdLimiter) Set(now time.Time, left time.Duration, rate float64, shares int, phase float64) {
	if l.provisional || !l.IsCold(now) {
		l.limiter, l.provisional = Limiter{}, false
	}
	l.until = now
	if left > 0 {
		l.until = now.Add(left + coldMargin)
	}
	l.SetRate(now, rate, shares, phase)
}

// SetRate replaces the rate.
func (l *ColdLimiter) SetRate(now time.Time, rate float64, shares int, phase float64) {
	l.rate = rate
	switch {
	case rate <= 0 || !l.IsCold(now):
		l.limiter = Limiter{}
	case l.fill > 0:
		l.limiter.keep = coldTurnTime
		l.limiter.Set(now, rate*l.fill/shareFill, max(2, shares), phase)
	default:
		l.limiter.Set(now, rate, 1, 1)
	}
}

// IsCold reports whether the target is cold.
func (l *ColdLimiter) IsCold(now time.Time) bool { return now.Before(l.until) }

// Limits reports whether the target is cold and has a limit.
func (l *ColdLimiter) Limits(now time.Time) bool { return l.rate > 0 && l.IsCold(now) }

// Left returns how much longer the target is cold.
func (l *ColdLimiter) Left(now time.Time) time.Duration { return max(0, l.until.Sub(now)) }

// Wait returns how long it takes until the next request may be sent by one of the instances that
// share the rate; 0 if that is now.
func (l *ColdLimiter) Wait(now time.Time, shares int) time.Duration {
	if !l.Limits(now) {
		return 0
	}
	return min(l.Left(now), l.limiter.Wait(now, l.shares(shares)))
}

// Take records that a request is sent now.
func (l *ColdLimiter) Take(now time.Time, shares int) {
	if l.Limits(now) {
		l.limiter.Take(now, l.shares(shares))
	}
}

// shares returns the number of instances that the limiter reckons with: a single one may not know of
// others that start.
func (l *ColdLimiter) shares(n int) int {
	if l.fill > 0 {
		return max(2, n)
	}
	return 1
}

// limitWait returns how long it takes until the limits of an engine allow the next request.
func (c *Core) limitWait(now time.Time, e *engine) time.Duration {
	return max(e.limiter.Wait(now, c.Shares), e.cold.Wait(now, c.coldShares()))
}

// takeTurn counts a request against the limits of an engine.
func (c *Core) takeTurn(now time.Time, e *engine) {
	e.limiter.Take(now, c.Shares)
	e.cold.Take(now, c.coldShares())
}

// coldShares returns the number of instances that share the cold rates of engines.
func (c *Core) coldShares() int { return cmp.Or(c.ColdShares, c.Shares) }

// setCold notes how much longer an engine is cold.
func (c *Core) setCold(now time.Time, r Cold) {
	if e := c.byID[r.Target]; e != nil && e.StartedMs == r.StartedMs {
		c.noteCold(now, e, r.For, r.Phase)
	}
}

// noteCold notes that an engine is cold for the time left, which may be 0.
func (c *Core) noteCold(now time.Time, e *engine, left time.Duration, phase float64) {
	if e.cold.fill = 0; c.Standalone {
		e.cold.fill = standaloneColdFill
	}
	wasCold := e.cold.Limits(now)
	e.cold.Set(now, left, c.coldRate, c.coldShares(), phase)
	switch isCold := e.cold.Limits(now); {
	case isCold && !wasCold:
		e.warmingUntil = now.Add(warmUpTime)
		if e.slowdown(now) < warmUpSlowdown {
			e.lastSlowdown, e.lastSlowdownAt = warmUpSlowdown, now
		}
	case !isCold:
		e.warmingUntil = time.Time{}
	}
}

// announceCold notes how much longer the new process of an engine is cold by its announcement. The
// owner of a standalone core follows with a report that carries a phase.
func (c *Core) announceCold(now time.Time, e *engine, t site.Target) {
	e.cold, e.warmingUntil = ColdLimiter{}, time.Time{}
	if left := t.ColdLeft(now); left > 0 {
		c.noteCold(now, e, left, 1)
		e.cold.provisional = c.Standalone
	}
}

// setColdRate replaces the number of requests a second that cold engines tolerate.
func (c *Core) setColdRate(now time.Time, rate float64) {
	if rate == c.coldRate {
		return
	}
	c.coldRate = rate
	for _, e := range c.engines {
		if e.cold.IsCold(now) {
			c.noteCold(now, e, max(1, e.cold.Left(now)-coldMargin), 1)
			e.cold.provisional = c.Standalone
		}
	}
}

// slotLimit returns how many answers the engine gets at once.
func (e *engine) slotLimit(now time.Time) int {
	if now.Before(e.warmingUntil) {
		return max(1, e.Slots/warmUpDivisor)
	}
	return e.Slots
}
