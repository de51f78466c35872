package quota

import (
	"context"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// renewInterval is how often the concurrency in use is renewed and expired amounts
	// are returned.
	renewInterval = loanTTL / 4
	// callTimeout bounds one call to an owner.
	callTimeout = 500 * time.Millisecond
)

// Client enforces the limits of organisations on this entry's requests.
type Client struct {
	Self    Borrower
	Members member.ViewSource
	Calls   wire.Caller

	mu         sync.Mutex
	allowances map[Key]*allowance
	// localAccounts are used while the owner cannot be reached. Each has this entry's
	// equal share of the limit.
	localAccounts map[Key]*Account
}

// Admit admits one request that is expected to use a number of tokens. It returns the
// function to call when the request has ended, with the tokens that it used. Its errors
// have the verdict NotRun.
func (c *Client) Admit(ctx context.Context, p *table.Pool, org string, tokens int) (func(used int), error) {
	l := p.LimitFor(org)
	if l.Requests == 0 && l.Tokens == 0 && l.Concurrent == 0 {
		return func(int) {}, nil
	}
	k := Key{Organisation: org, Pool: p.Name}
	al := c.acquire(k)
	if !c.spend(al, l, tokens) {
		if err := c.borrow(ctx, k, al, l, tokens); err != nil {
			c.release(al)
			return nil, err
		}
	}
	var once sync.Once
	return func(used int) {
		once.Do(func() { c.finish(al, l, tokens-used) })
	}, nil
}

// Run renews loans until ctx ends, and then returns what is left of them.
func (c *Client) Run(ctx context.Context) error {
	timing.Every(ctx, renewInterval, func() { c.renewLoans(ctx) })
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer stop()
	c.renewLoans(last)
	return nil
}

// Allowances returns the number of accounts that this entry has borrowed from or is
// using.
func (c *Client) Allowances() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.allowances)
}

// acquire returns the allowance of an account and keeps it from being dropped until it is
// released.
func (c *Client) acquire(k Key) *allowance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allowances == nil {
		c.allowances = make(map[Key]*allowance)
		c.localAccounts = make(map[Key]*Account)
	}
	al := c.allowances[k]
	if al == nil {
		al = newAllowance()
		c.allowances[k] = al
	}
	al.refs++
	return al
}

// release drops the reference of a request that was not admitted.
func (c *Client) release(al *allowance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	al.refs--
}

// spend deducts one request from the allowance and reports whether it covers the request.
func (c *Client) spend(al *allowance, l table.Limit, tokens int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return al.spend(time.Now(), l, float64(tokens))
}

// finish ends an admitted request and refunds its unused tokens to the allowance.
func (c *Client) finish(al *allowance, l table.Limit, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	al.inFlight--
	al.refs--
	if l.Tokens > 0 && unused > 0 {
		al.tokens += float64(unused)
	}
}

// borrow borrows what one request needs and spends it. Requests for the same account
// borrow one at a time, because one loan often covers the next ones too.
func (c *Client) borrow(ctx context.Context, k Key, al *allowance, l table.Limit, tokens int) error {
	select {
	case al.borrowLock <- struct{}{}:
		defer func() { <-al.borrowLock }()
	case <-ctx.Done():
		return verd.Wrap(ctx.Err(), verd.NotRun, verd.Timeout, "waiting to borrow quota of organisation %s in pool %s",
			k.Organisation, k.Pool)
	}
	if c.spend(al, l, tokens) {
		return nil
	}
	b := Borrow{Key: k, From: c.Self, Requests: 1, Tokens: float64(tokens)}
	c.mu.Lock()
	b.InFlight = al.capAtInFlight()
	b.ReturnedRequests, b.ReturnedTokens = al.drainRates()
	c.mu.Unlock()
	sent := time.Now()
	loan, err := c.callOwner(ctx, b)
	if err != nil {
		loan = c.borrowLocally(k, l, b)
	}
	c.mu.Lock()
	al.addLoan(sent, loan)
	c.mu.Unlock()
	if loan.RetryAfter == 0 && c.spend(al, l, tokens) {
		return nil
	}
	e := verd.New(verd.NotRun, verd.Limited, "organisation %s is at its limit in pool %s", k.Organisation, k.Pool)
	e.RetryAfter = max(loan.RetryAfter, time.Second)
	return e
}

// callOwner sends a Borrow to the owner of the account.
func (c *Client) callOwner(ctx context.Context, b Borrow) (Loan, error) {
	v := c.Members.View()
	if v == nil {
		return Loan{}, verd.New(verd.NotRun, verd.Unavailable, "no configuration received yet")
	}
	m, ok := OwnerOf(v, b.Key)
	if !ok {
		return Loan{}, verd.New(verd.NotRun, verd.Unavailable, "no instance in service to own the account of organisation %s in pool %s",
			b.Key.Organisation, b.Key.Pool)
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var loan Loan
	err := c.Calls.Call(ctx, m.PeerAddr, borrowMethod, &b, &loan)
	return loan, err
}

// borrowLocally lends from this entry's equal share of the limit. The shares of all
// entries add up to the limit, except that each entry may always have one request in
// flight.
func (c *Client) borrowLocally(k Key, l table.Limit, b Borrow) Loan {
	n := 1
	if v := c.Members.View(); v != nil {
		n = max(1, len(v.Members))
	}
	l.Requests /= float64(n)
	l.Tokens /= float64(n)
	if l.Concurrent > 0 {
		l.Concurrent = max(1, l.Concurrent/n)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.localAccounts[k]
	if a == nil {
		a = NewAccount(now, l, now)
		c.localAccounts[k] = a
	}
	a.SetLimit(now, l)
	return a.Borrow(now, b)
}

// renewLoans renews the concurrency in use and returns expired amounts to their owners.
func (c *Client) renewLoans(ctx context.Context) {
	for _, b := range c.dueRenewals(time.Now()) {
		sent := time.Now()
		loan, err := c.callOwner(ctx, b)
		if err != nil {
			continue // The owner takes the concurrency back when it expires.
		}
		c.confirmConcurrency(b.Key, sent, loan)
	}
}

// dueRenewals returns the calls to make to owners, and drops idle allowances and local
// accounts.
func (c *Client) dueRenewals(now time.Time) []Borrow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Borrow
	for k, al := range c.allowances {
		if al.idle() {
			delete(c.allowances, k)
			continue
		}
		if len(al.borrowLock) > 0 || now.Sub(al.concurrencyRenewed) < renewInterval {
			continue
		}
		b := Borrow{Key: k, From: c.Self, InFlight: al.capAtInFlight()}
		if !now.Before(al.ratesExpire) {
			b.ReturnedRequests, b.ReturnedTokens = al.drainRates()
		}
		out = append(out, b)
	}
	for k, a := range c.localAccounts {
		if a.Idle(now) {
			delete(c.localAccounts, k)
		}
	}
	return out
}

// confirmConcurrency applies the reply to a renewal, unless a newer loan has been added
// since.
func (c *Client) confirmConcurrency(k Key, sent time.Time, l Loan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	al := c.allowances[k]
	if al == nil || sent.Before(al.concurrencyRenewed) {
		return
	}
	al.maxInFlight = l.MaxInFlight
	al.concurrencyRenewed = sent
}
