package place

import "time"

// maxDoublings bounds the shift in Fail, so that it can't overflow. The limits in use are
// reached with fewer doublings.
const maxDoublings = 8

// Backoff ejects a target for a while after failures.
type Backoff struct {
	// until is when the ejection ends.
	until    time.Time
	failures int
}

// Fail ejects the target for the initial time, which doubles with each further failure in a
// row, up to limit. Failures while it is ejected share the cause of the first and do not
// count.
func (b *Backoff) Fail(now time.Time, initial, limit time.Duration) {
	if b.IsEjected(now) {
		return
	}
	b.until = now.Add(min(initial<<min(b.failures, maxDoublings), limit))
	b.failures++
}

// Reset clears the number of failures in a row.
func (b *Backoff) Reset() { b.failures = 0 }

// IsEjected reports whether the target is ejected.
func (b *Backoff) IsEjected(now time.Time) bool { return now.Before(b.until) }

// IsHealthy reports whether the target is not ejected and its last attempt did not fail.
func (b *Backoff) IsHealthy(now time.Time) bool { return b.failures == 0 && !b.IsEjected(now) }
