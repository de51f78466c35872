// Package lease computes when leases expire. Holder and grantor each use their own
// monotonic clock: the holder counts from before it sends its request, the grantor from
// after it replies. The holder's lease expires no later than the grantor's record of it
// as long as the clocks drift apart by less than 1/driftDivisor of the elapsed time.
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

// Extend makes the lease last for term from requestedAt, the time just before the holder
// sent its request. It never shortens the lease.
func (h *Holder) Extend(requestedAt time.Time, term time.Duration) {
	if until := requestedAt.Add(term); until.After(h.until) {
		h.until = until
	}
}

// Until returns when the lease expires.
func (h *Holder) Until() time.Time { return h.until }

// Live reports whether the lease is in force at the time now.
func (h *Holder) Live(now time.Time) bool { return now.Before(h.until) }

// Expiry returns when a grantor that granted term in a reply sent at repliedAt may treat
// the lease as expired. The holder counts term from an earlier time.
func Expiry(repliedAt time.Time, term time.Duration) time.Time {
	return repliedAt.Add(term + term/driftDivisor + timerMargin)
}

// Remaining returns the term to grant for a request that arrived at arrivedAt, so that the
// lease expires by until. The holder counts the term from an earlier time.
func Remaining(until, arrivedAt time.Time) time.Duration {
	return max(until.Sub(arrivedAt), 0)
}
