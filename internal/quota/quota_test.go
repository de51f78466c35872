package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// linkDelay is the one-way network delay between instances.
const linkDelay = 20 * time.Millisecond

// cluster is a set of instances that own accounts and borrow from each other, without a
// network between them.
type cluster struct {
	owners map[string]*Owner

	mu   sync.Mutex
	view *member.View
	// unreachable is the instance whose calls time out, if any.
	unreachable string
}

func (c *cluster) View() *member.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *cluster) Live() bool { return true }

// disconnect makes all calls to an instance time out.
func (c *cluster) disconnect(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable = name
}

func (c *cluster) isUnreachable(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable == name
}

// inFlightGauge tracks the number of requests in flight and the highest number so far.
type inFlightGauge struct {
	mu               sync.Mutex
	current, highest int
}

func (g *inFlightGauge) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current += n
	g.highest = max(g.highest, g.current)
}

// Call calls the owner at an address, or waits for the end of ctx if the owner is
// unreachable.
func (c *cluster) Call(ctx context.Context, addr, _ string, in, out any) error {
	if c.isUnreachable(addr) {
		<-ctx.Done()
		return verd.Wrap(ctx.Err(), verd.MayHaveRun, verd.Unavailable, "instance %s is unreachable", addr)
	}
	time.Sleep(linkDelay)
	got, err := c.owners[addr].handleBorrow(ctx, in)
	time.Sleep(linkDelay)
	if err != nil {
		return err
	}
	*out.(*Loan) = *got.(*Loan)
	return nil
}

func (g *inFlightGauge) peak() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}

// newCluster starts n instances and one pool with a limit. It returns their quota clients
// and a function that stops the clients and waits for them.
func newCluster(t *testing.T, n int, l table.Limit) (*cluster, []*Client, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	c := &cluster{view: &member.View{Version: 1}, owners: make(map[string]*Owner)}
	c.view.Tables.Pools = []table.Pool{{Name: "advice", Kind: table.Engine, Limits: []table.Limit{l}}}
	var clients []*Client
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		c.view.Members = append(c.view.Members, member.Member{Name: name, PeerAddr: name, State: member.Serving})
		c.owners[name] = &Owner{Self: name, Members: c}
		client := &Client{Self: Borrower{Name: name}, Members: c, Calls: c}
		clients = append(clients, client)
		wg.Go(func() { _ = client.Run(ctx) })
	}
	return c, clients, func() {
		cancel()
		wg.Wait()
	}
}

// removeMember removes an instance from the view, as the control plane does after the
// instance has failed.
func (c *cluster) removeMember(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := *c.view
	v.Version++
	v.Members = nil
	for _, m := range c.view.Members {
		if m.Name != name {
			v.Members = append(v.Members, m)
		}
	}
	c.view = &v
}

// TestConcurrencyLimit guards against exceeding a concurrency limit when several entries
// are flooded at the same time, against leaving a large part of it unused, and against
// allowances that are never dropped.
func TestConcurrencyLimit(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			const limit = 10
			cl, clients, stop := newCluster(t, 4, table.Limit{Organisation: "*", Concurrent: limit})
			defer stop()
			rng := rand.New(rand.NewPCG(seed, 1))
			time.Sleep(loanTTL + loanGrace + time.Second)
			var running inFlightGauge
			for range 400 {
				c := clients[rng.IntN(len(clients))]
				duration := time.Duration(rng.IntN(5000)) * time.Millisecond
				go func() {
					end, err := c.Admit(t.Context(), &cl.View().Tables.Pools[0], "levain", 1)
					if err != nil {
						return
					}
					running.add(1)
					time.Sleep(duration)
					running.add(-1)
					end(1)
				}()
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
			peak := running.peak()
			quicktest.Check(t, peak <= limit, quicktest.IsTrue, quicktest.Commentf("seed %d: peak of %d requests in flight", seed, peak))
			quicktest.Check(t, peak >= limit-3, quicktest.IsTrue, quicktest.Commentf("seed %d: peak of only %d requests in flight", seed, peak))
			time.Sleep(15 * time.Second)
			for _, c := range clients {
				quicktest.Check(t, c.Allowances(), quicktest.Equals, 0)
			}
		})
	}
}

// TestCrashedEntryLoanExpires guards against losing concurrency for good when an entry
// crashes with the whole limit borrowed: the other entries must get it once the loan has
// expired.
func TestCrashedEntryLoanExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, clients, stop := newCluster(t, 3, table.Limit{Organisation: "levain", Concurrent: 2})
		defer stop()
		pool := &cl.view.Tables.Pools[0]
		time.Sleep(loanTTL + loanGrace + time.Second)
		live := clients[0]
		crashed := &Client{Self: Borrower{Name: "dead"}, Members: cl, Calls: cl} // Run isn't called, so it never renews.
		for range 2 {
			_, err := crashed.Admit(t.Context(), pool, "levain", 1)
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		_, err := live.Admit(t.Context(), pool, "levain", 1)
		quicktest.Assert(t, err, quicktest.ErrorMatches, ".*at its limit.*")
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.NotRun)
		quicktest.Check(t, verd.From(err).RetryAfter > 0, quicktest.IsTrue)
		time.Sleep(loanTTL + 2*loanGrace)
		_, err = live.Admit(t.Context(), pool, "levain", 1)
		quicktest.Check(t, err, quicktest.IsNil)
	})
}

// TestOwnerFailover guards against refusing requests or exceeding the limit when the
// owner of an account becomes unreachable. Entries must go on with their equal shares,
// then with the new owner, and exceed the limit by at most one request each.
func TestOwnerFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 9
		cl, clients, stop := newCluster(t, 4, table.Limit{Organisation: "levain", Concurrent: limit})
		defer stop()
		owner, _ := OwnerOf(cl.view, Key{Organisation: "levain", Pool: "advice"})
		time.Sleep(loanTTL + loanGrace + time.Second)
		var running inFlightGauge
		served := 0
		for i := range 600 {
			if i == 200 {
				cl.disconnect(owner.Name)
			}
			if i == 240 {
				cl.removeMember(owner.Name)
			}
			c := clients[i%len(clients)]
			if c.Self.Name == owner.Name && i >= 200 {
				continue
			}
			if end, err := c.Admit(t.Context(), &cl.view.Tables.Pools[0], "levain", 1); err == nil {
				served++
				running.add(1)
				time.AfterFunc(700*time.Millisecond, func() { running.add(-1); end(1) })
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		peak := running.peak()
		quicktest.Check(t, peak <= limit+len(clients), quicktest.IsTrue, quicktest.Commentf("peak of %d requests in flight", peak))
		quicktest.Check(t, served > 300, quicktest.IsTrue, quicktest.Commentf("%d requests served", served))
	})
}

// TestRateLimit guards against exceeding a token rate over several entries, and against
// leaving more than a fifth of it unused. The total may exceed the rate by the burst, one
// slice per entry and one request of the largest size.
func TestRateLimit(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			const rate, largest, seconds = 1000.0, 4000, 60
			cl, clients, stop := newCluster(t, 4, table.Limit{Organisation: "*", Tokens: rate})
			defer stop()
			rng := rand.New(rand.NewPCG(seed, 2))
			time.Sleep(loanTTL + loanGrace + time.Second)
			start, total := time.Now(), 0.0
			for time.Since(start) < seconds*time.Second {
				n := 1 + rng.IntN(largest)
				if end, err := clients[rng.IntN(4)].Admit(t.Context(), &cl.view.Tables.Pools[0], "levain", n); err == nil {
					total += float64(n)
					end(n)
				}
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
			slack := rate*burstDuration.Seconds() + 4*rate*sliceDuration.Seconds() + largest
			quicktest.Check(t, total <= rate*seconds+slack, quicktest.IsTrue, quicktest.Commentf("seed %d: %v tokens admitted", seed, total))
			quicktest.Check(t, total >= rate*seconds*0.8, quicktest.IsTrue, quicktest.Commentf("seed %d: %v tokens admitted", seed, total))
		})
	}
}

// TestAccountConserves guards against lending more than the limit, over random loans,
// request ends and steps of time in which unrenewed loans expire: the concurrency lent
// must stay within the limit, and the tokens lent may exceed what the bucket has accrued
// only by the largest single need.
func TestAccountConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAccountModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
		}
		accrued := m.limit.Tokens*m.now.Sub(m.start).Seconds() + max(1, m.limit.Tokens*burstDuration.Seconds())
		if m.lent > accrued+m.largestNeed+1e-6*accrued {
			t.Fatalf("%v tokens lent, but only %v accrued", m.lent, accrued)
		}
	})
}

// accountModel tracks the requests in flight and the tokens lent for one account.
type accountModel struct {
	start, now time.Time
	limit      table.Limit
	account    *Account
	inFlight   map[Borrower]int
	// lent is the total of tokens lent, largestNeed the largest need of one request.
	lent, largestNeed float64
}

func newAccountModel(t *rapid.T) *accountModel {
	m := &accountModel{start: time.Unix(0, 0), now: time.Unix(0, 0), inFlight: make(map[Borrower]int)}
	m.limit = table.Limit{
		Organisation: "o",
		Tokens:       rapid.Float64Range(1, 1e4).Draw(t, "tokens"),
		Concurrent:   rapid.IntRange(1, 20).Draw(t, "concurrent"),
	}
	m.account = NewAccount(m.now, m.limit, m.start)
	return m
}

// step advances the time by up to a second and has one borrower call the account, in some
// steps after one of its requests has ended.
func (m *accountModel) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "dt")))
	b := Borrow{
		From:   Borrower{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from")},
		Tokens: rapid.Float64Range(0, 5e4).Draw(t, "need"),
	}
	b.InFlight = m.inFlight[b.From]
	if rapid.Bool().Draw(t, "ends") && b.InFlight > 0 {
		b.InFlight--
	}
	l := m.account.Borrow(m.now, b)
	m.largestNeed = max(m.largestNeed, b.Tokens)
	m.lent += l.Tokens
	m.inFlight[b.From] = l.MaxInFlight
	sum := 0
	for _, loan := range m.account.concurrency {
		sum += loan.maxInFlight
	}
	if sum > m.limit.Concurrent {
		t.Fatalf("concurrency lent adds up to %d, limit %d", sum, m.limit.Concurrent)
	}
	for borrower := range m.inFlight {
		if _, ok := m.account.concurrency[borrower]; !ok {
			m.inFlight[borrower] = 0
		}
	}
}
