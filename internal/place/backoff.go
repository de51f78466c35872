package place

import "time"

// maxDoublings bounds the shift of a backoff; every limit in use is reached before.
const maxDoublings = 8

// Backoff leaves a target out for a while after failures.
type Backoff struct {
	// out is until when it is left out.
	out      time.Time
	failures int
}

// Fail leaves the target out for first, twice as long with each further failure in a
// row, and at most for most. Requests that fail while it is out fail of the same cause,
// and count as one.
func (b *Backoff) Fail(now time.Time, first, most time.Duration) {
	if b.IsOut(now) {
		return
	}
	b.out = now.Add(min(first<<min(b.failures, maxDoublings), most))
	b.failures++
}

// Worked ends the row of failures.
func (b *Backoff) Worked() { b.failures = 0 }

// IsOut says whether the target is left out.
func (b *Backoff) IsOut(now time.Time) bool { return now.Before(b.out) }

// IsClear says whether nothing is known against the target.
func (b *Backoff) IsClear(now time.Time) bool { return b.failures == 0 && !b.IsOut(now) }
