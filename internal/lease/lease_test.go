package lease

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestHolderExpiresFirst guards against a holder that still relies on its lease after the
// grantor has given it up. It draws clocks that drift apart within the bound, network
// delays and handling times.
func TestHolderExpiresFirst(t *testing.T) {
	start := time.Unix(1_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		// The holder's clock runs slower by up to the bound.
		rate := 1 - rapid.Float64Range(0, 1.0/(driftDivisor+1)).Draw(t, "slow")
		delay := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "travel"))
		handling := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "hold"))
		arrived := start.Add(delay)
		answered := arrived.Add(handling)
		term := Remaining(answered.Add(Term), arrived)
		var h Holder
		h.Extend(start, term)
		expires := start.Add(time.Duration(float64(h.Until().Sub(start)) / rate))
		if expires.After(Expiry(answered, Term)) {
			t.Fatalf("holder's lease expires at %v, after the grantor's record at %v", expires, Expiry(answered, Term))
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
