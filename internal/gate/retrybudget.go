package gate

import (
	"sync"
	"time"
)

const (
	// usableBudget is the fraction of the site's retry budget that is used. The rest covers
	// retries of instances that for a while divide the slack by an outdated instance count.
	usableBudget = 0.7
	// budgetBuckets is the number of buckets in the window.
	budgetBuckets = 20
)

// RetryBudget bounds the requests that are sent to a second target. All instances share
// it: each uses the ratio of its own requests and an equal part of the slack.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request. Slack is the number allowed in
	// addition, by all instances together in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu    sync.Mutex
	pools map[string]*poolCounts
}

// poolCounts are the requests and retries of one pool in the current window, by bucket.
type poolCounts struct {
	requests, retries [budgetBuckets]int
	// bucket is the number of the current bucket, counted from 1970.
	bucket int64
}

// recordRequest counts a request.
func (b *RetryBudget) recordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(pool)
	c.requests[c.bucket%budgetBuckets]++
}

// acquireRetry counts a retry and returns true if the budget allows it. The parameter
// instances is the number of those that share the budget.
func (b *RetryBudget) acquireRetry(pool string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(pool)
	if !b.hasRoom(c, instances) {
		return false
	}
	c.retries[c.bucket%budgetBuckets]++
	return true
}

// allowsRetry reports whether a retry would be allowed now, without counting it.
func (b *RetryBudget) allowsRetry(pool string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRoom(b.currentCounts(pool), instances)
}

// hasRoom reports whether one more retry is within the budget.
func (b *RetryBudget) hasRoom(c *poolCounts, instances int) bool {
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	return float64(retries+1) <= usableBudget*(b.Ratio*float64(requests)+b.Slack/float64(max(1, instances)))
}

// currentCounts returns the counts of a pool after clearing the expired buckets. The
// caller holds mu.
func (b *RetryBudget) currentCounts(pool string) *poolCounts {
	if b.pools == nil {
		b.pools = make(map[string]*poolCounts)
	}
	now := time.Now().UnixNano() / max(1, int64(b.Window)/budgetBuckets)
	c := b.pools[pool]
	if c == nil {
		c = &poolCounts{bucket: now}
		b.pools[pool] = c
	}
	for i := max(c.bucket+1, now-budgetBuckets+1); i <= now; i++ {
		c.requests[i%budgetBuckets], c.retries[i%budgetBuckets] = 0, 0
	}
	c.bucket = max(c.bucket, now)
	return c
}
