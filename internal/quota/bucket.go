package quota

import (
	"math"
	"time"
)

// burstDuration bounds the balance of a bucket, as the time in which it accrues.
const burstDuration = time.Second

// bucket is a token bucket that lends while its balance is positive. The balance may
// become negative, because one request can cost more than the bucket holds.
type bucket struct {
	// rate is in units per second; 0 means unlimited.
	rate    float64
	balance float64
	// refilled is the time up to which the balance includes what has accrued.
	refilled time.Time
}

// burst returns the largest balance, which is at least 1.
func (b *bucket) burst() float64 {
	return max(1, b.rate*burstDuration.Seconds())
}

// setRate changes the rate. A negative balance stays.
func (b *bucket) setRate(now time.Time, rate float64) {
	b.refill(now)
	b.rate = rate
	b.balance = min(b.balance, b.burst())
}

func (b *bucket) refill(now time.Time) {
	if dt := now.Sub(b.refilled); dt > 0 {
		b.balance = min(b.burst(), b.balance+b.rate*dt.Seconds())
		b.refilled = now
	}
}

// retryAfter returns the time until the bucket can lend; 0 if it can lend now.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.refill(now)
	if b.balance > 0 {
		return 0
	}
	seconds := -b.balance / b.rate
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Millisecond, time.Duration(math.Ceil(seconds*float64(time.Second))))
}

// lend lends at least need, even if the balance becomes negative, and up to want if the
// balance allows.
func (b *bucket) lend(need, want float64) float64 {
	if b.rate == 0 {
		return 0
	}
	n := max(need, min(want, b.balance))
	b.balance -= n
	return n
}

// refund adds what was lent and not spent.
func (b *bucket) refund(n float64) {
	b.balance = min(b.burst(), b.balance+max(0, n))
}
