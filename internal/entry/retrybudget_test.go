package entry

import (
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRetryBudgetBound guards against retries beyond the reserve and the share of the
// successes, in any order of successes and retries.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var b retryBudget
		earned, spent := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(rt, "successes") {
			if success {
				b.recordSuccess()
				earned++
			} else if b.takeRetry() {
				spent++
			}
		}
		if most := retryReserve + int(float64(earned)*retryRatio) + 1; spent > most {
			rt.Fatalf("%d retries after %d successes, want at most %d", spent, earned, most)
		}
	})
}

// TestRetryReserve checks that retryReserve retries, and no more, are allowed before the
// first success.
func TestRetryReserve(t *testing.T) {
	var b retryBudget
	retries := 0
	for b.takeRetry() {
		retries++
	}
	quicktest.Check(t, retries, quicktest.Equals, retryReserve)
}
