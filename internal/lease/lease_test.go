package lease

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestHolderExpiresFirst guards against a holder that still relies on its lease after the
// grantor's record of it has expired. It draws random clock drifts within the bound,
// network delays and handling times.
func TestHolderExpiresFirst(t *testing.T) {
	start := time.Unix(1_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		// The holder's clock is slower than the grantor's by up to the allowed drift.
		rate := 1 - rapid.Float64Range(0, 1.0/(driftDivisor+1)).Draw(t, "slow")
		delay := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "travel"))
		handling := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "hold"))
		arrivedAt := start.Add(delay)
		repliedAt := arrivedAt.Add(handling)
		term := Remaining(repliedAt.Add(Term), arrivedAt)
		var h Holder
		h.Extend(start, term)
		expires := start.Add(time.Duration(float64(h.Until().Sub(start)) / rate))
		if expires.After(Expiry(repliedAt, Term)) {
			t.Fatalf("holder's lease expires at %v, after the grantor's record at %v", expires, Expiry(repliedAt, Term))
		}
	})
}

// TestExtendNeverShortens guards against a lease that expires early because the reply to an
// older request came last.
func TestExtendNeverShortens(t *testing.T) {
	now := time.Unix(1_000, 0)
	var h Holder
	quicktest.Check(t, h.Live(now), quicktest.IsFalse)
	h.Extend(now, Term)
	h.Extend(now.Add(-time.Second), Term)
	quicktest.Check(t, h.Live(now.Add(Term-1)), quicktest.IsTrue)
	quicktest.Check(t, h.Live(now.Add(Term)), quicktest.IsFalse)
}
