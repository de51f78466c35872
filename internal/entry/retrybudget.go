package entry

import "sync"

const (
	// retryRatio is the number of retries that each success allows.
	retryRatio = 0.1
	// retryReserve is the number of retries allowed without any success.
	retryReserve = 10
	// maxRetryBalance bounds the retries that successes can accumulate.
	maxRetryBalance = 100
)

// retryBudget bounds retries by a share of the recent successes, so that retries can't
// multiply the load of a failing site. The zero value is ready to use.
type retryBudget struct {
	mu sync.Mutex
	// balance is the number of retries earned and not used, or, if negative, those
	// taken from the reserve.
	balance float64
}

// recordSuccess adds the share of a retry that one success earns.
func (b *retryBudget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryRatio, maxRetryBalance)
}

// takeRetry reports whether a retry is allowed, and deducts it if so.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance-1 < -retryReserve {
		return false
	}
	b.balance--
	return true
}
