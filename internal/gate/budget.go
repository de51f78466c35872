package gate

import (
	"sync"
	"time"
)

const (
	// budgetShare is the part of the site's budget of repeats that is used: the
	// rest is for instances that count the others wrongly for a while.
	budgetShare = 0.7
	// budgetBuckets divide the window.
	budgetBuckets = 20
)

// Budget bounds the requests that are sent to a second target. It is shared by
// all instances: each takes its own requests and an even part of the slack.
type Budget struct {
	// Ratio is the repeats allowed for each request, Slack those allowed beside,
	// in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu    sync.Mutex
	pools map[string]*counts
}

// counts are the requests and repeats of one pool in the last window.
type counts struct {
	requests, repeats [budgetBuckets]int
	at                int64
}

// note counts a request.
func (b *Budget) note(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(pool)
	c.requests[c.at%budgetBuckets]++
}

// take asks for a repeat among so many instances.
func (b *Budget) take(pool string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(pool)
	if !b.covers(c, instances) {
		return false
	}
	c.repeats[c.at%budgetBuckets]++
	return true
}

// has says whether a repeat would be allowed now.
func (b *Budget) has(pool string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.covers(b.counts(pool), instances)
}

// covers says whether one more repeat is within the budget.
func (b *Budget) covers(c *counts, instances int) bool {
	requests, repeats := 0, 0
	for i := range budgetBuckets {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	return float64(repeats+1) <= budgetShare*(b.Ratio*float64(requests)+b.Slack/float64(max(1, instances)))
}

// counts returns those of a pool, with the buckets that have passed emptied.
func (b *Budget) counts(pool string) *counts {
	if b.pools == nil {
		b.pools = make(map[string]*counts)
	}
	now := time.Now().UnixNano() / max(1, int64(b.Window)/budgetBuckets)
	c := b.pools[pool]
	if c == nil {
		c = &counts{at: now}
		b.pools[pool] = c
	}
	for i := max(c.at+1, now-budgetBuckets+1); i <= now; i++ {
		c.requests[i%budgetBuckets], c.repeats[i%budgetBuckets] = 0, 0
	}
	c.at = max(c.at, now)
	return c
}
