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
	// renewEvery is how often loans in use are renewed and the rest given back.
	renewEvery = LoanTime / 4
	// callTimeout bounds one call to an owner.
	callTimeout = 500 * time.Millisecond
)

// Client holds this entry's requests to the limits of their organisations.
type Client struct {
	Self    Borrower
	Members member.Source
	Calls   wire.Caller

	mu      sync.Mutex
	wallets map[Key]*wallet
	// shares are the accounts used while their owner does not answer: this
	// entry's equal part of each limit.
	shares map[Key]*Account
}

// Admit takes one request with its expected tokens out of the allowance of
// its organisation. It returns the function that ends the request, which
// takes the tokens that were really used. Its errors are NotRun.
func (c *Client) Admit(ctx context.Context, p *table.Pool, org string, tokens int) (func(used int), error) {
	l := p.LimitFor(org)
	if l.Requests == 0 && l.Tokens == 0 && l.Concurrent == 0 {
		return func(int) {}, nil
	}
	k := Key{Organisation: org, Pool: p.Name}
	w := c.wallet(k)
	if !c.take(w, l, tokens) {
		if err := c.borrow(ctx, k, w, l, tokens); err != nil {
			c.leave(w)
			return nil, err
		}
	}
	var once sync.Once
	return func(used int) {
		once.Do(func() { c.done(w, l, tokens-used) })
	}, nil
}

// Run renews loans until ctx ends, and then gives back what is left.
func (c *Client) Run(ctx context.Context) error {
	timing.Every(ctx, renewEvery, func() { c.renew(ctx) })
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer stop()
	c.renew(last)
	return nil
}

// Wallets returns the number of accounts with something borrowed.
func (c *Client) Wallets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.wallets)
}

// wallet returns the wallet of an account, which stays until its user leaves.
func (c *Client) wallet(k Key) *wallet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wallets == nil {
		c.wallets = make(map[Key]*wallet)
		c.shares = make(map[Key]*Account)
	}
	w := c.wallets[k]
	if w == nil {
		w = newWallet()
		c.wallets[k] = w
	}
	w.users++
	return w
}

func (c *Client) leave(w *wallet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.users--
}

func (c *Client) take(w *wallet, l table.Limit, tokens int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.take(time.Now(), l, float64(tokens))
}

func (c *Client) done(w *wallet, l table.Limit, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.held--
	w.users--
	if l.Tokens > 0 && unused > 0 {
		w.tokens += float64(unused)
	}
}

// borrow asks the owner for what one request needs and takes it. Requests
// for one account ask one after another, so that a loan serves them all.
func (c *Client) borrow(ctx context.Context, k Key, w *wallet, l table.Limit, tokens int) error {
	select {
	case w.borrowing <- struct{}{}:
		defer func() { <-w.borrowing }()
	case <-ctx.Done():
		return verd.Wrap(ctx.Err(), verd.NotRun, verd.Timeout, "waiting for an allowance")
	}
	if c.take(w, l, tokens) {
		return nil
	}
	b := Borrow{Key: k, From: c.Self, Requests: 1, Tokens: float64(tokens)}
	c.mu.Lock()
	b.Held = w.freeze()
	b.BackRequests, b.BackTokens = w.empty()
	c.mu.Unlock()
	asked := time.Now()
	loan, err := c.ask(ctx, b)
	if err != nil {
		loan = c.share(k, l, b)
	}
	c.mu.Lock()
	w.put(asked, loan)
	c.mu.Unlock()
	if loan.RetryAfter == 0 && c.take(w, l, tokens) {
		return nil
	}
	e := verd.New(verd.NotRun, verd.Limited, "organisation %s is at its limit in pool %s", k.Organisation, k.Pool)
	e.RetryAfter = max(loan.RetryAfter, time.Second)
	return e
}

// ask calls the owner of the account.
func (c *Client) ask(ctx context.Context, b Borrow) (Loan, error) {
	v := c.Members.View()
	if v == nil {
		return Loan{}, verd.New(verd.NotRun, verd.Unavailable, "no configuration yet")
	}
	m, ok := OwnerOf(v, b.Key)
	if !ok {
		return Loan{}, verd.New(verd.NotRun, verd.Unavailable, "no instance owns accounts")
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var loan Loan
	err := c.Calls.Call(ctx, m.Peers, borrowMethod, &b, &loan)
	return loan, err
}

// share lends from this entry's equal part of the limit. The parts of all
// entries add up to the limit, but each entry may have one request in progress.
func (c *Client) share(k Key, l table.Limit, b Borrow) Loan {
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
	a := c.shares[k]
	if a == nil {
		a = NewAccount(now, l, now)
		c.shares[k] = a
	}
	a.SetLimit(now, l)
	return a.Borrow(now, b)
}

// renew confirms the levels in use and gives back rates that have expired.
func (c *Client) renew(ctx context.Context) {
	for _, b := range c.due(time.Now()) {
		asked := time.Now()
		loan, err := c.ask(ctx, b)
		if err != nil {
			continue // The owner takes the level back when it runs out.
		}
		c.confirm(b.Key, asked, loan)
	}
}

// due lists what has to be told to owners, and drops idle wallets.
func (c *Client) due(now time.Time) []Borrow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Borrow
	for k, w := range c.wallets {
		if w.idle() {
			delete(c.wallets, k)
			continue
		}
		if len(w.borrowing) > 0 || now.Sub(w.renewed) < renewEvery {
			continue
		}
		b := Borrow{Key: k, From: c.Self, Held: w.freeze()}
		if !now.Before(w.until) {
			b.BackRequests, b.BackTokens = w.empty()
		}
		out = append(out, b)
	}
	for k, a := range c.shares {
		if a.Quiet(now) {
			delete(c.shares, k)
		}
	}
	return out
}

func (c *Client) confirm(k Key, asked time.Time, l Loan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.wallets[k]
	if w == nil || asked.Before(w.renewed) {
		return
	}
	w.level = l.Level
	w.renewed = asked
}
