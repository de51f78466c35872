// Package lease computes when leases expire. Each side counts monotonic time on its own
// clock: the holder from before it sent its request, the grantor from after it replied.
// The holder's lease can't outlast the grantor's record of it as long as the clocks drift
// apart by less than a stated bound.
package lease

import "time"

const (
	// Term is the length of a configuration lease.
	Term = 4 * time.Second
	// driftDivisor bounds how far the two clocks drift apart, as a divisor of the elapsed
	// time: one part in 20.
	driftDivisor = 20
	// timerMargin covers the granularity of timers and the drift while a call is being
	// handled.
	timerMargin = 100 * time.Millisecond
)

// Holder is the holder's record of a lease. The zero value has expired.
type Holder struct {
	until time.Time
}

// Extend makes the lease last for term from requested, the time just before the holder
// sent its request. It never shortens the lease.
func (h *Holder) Extend(requested time.Time, term time.Duration) {
	if until := requested.Add(term); until.After(h.until) {
		h.until = until
	}
}

// Until returns when the lease expires.
func (h *Holder) Until() time.Time { return h.until }

// Live reports whether the lease is in force at the time now.
func (h *Holder) Live(now time.Time) bool { return now.Before(h.until) }

// Expiry returns when a grantor that replied at answered may treat the lease as expired.
// The holder counts term from an earlier time.
func Expiry(answered time.Time, term time.Duration) time.Time {
	return answered.Add(term + term/driftDivisor + timerMargin)
}

// Remaining returns the term to grant to a holder whose request arrived at arrived, so
// that its lease, which counts from an earlier time, expires by until.
func Remaining(until, arrived time.Time) time.Duration {
	return max(until.Sub(arrived), 0)
}
