// Package quota enforces the limits of organisations across all instances.
//
// The account of an organisation in a pool is kept by one instance, its owner, which
// rendezvous hashing selects. Entries borrow from the owner: small slices of a rate, which
// expire, and numbers of concurrent requests, which they renew. An idle organisation has
// no account and takes no memory on any instance.
package quota

import (
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// loanTTL is how long a loan is valid without renewal.
	loanTTL = 2 * time.Second
	// loanGrace is how much longer than loanTTL the owner counts a loan as lent. It
	// covers clock drift between instances and the time that a message travels.
	loanGrace = 500 * time.Millisecond
	// sliceDuration sets how much of a rate is lent at once: the amount that accrues in
	// this time.
	sliceDuration = 250 * time.Millisecond
	// headroomDivisor sets how many requests an entry may start beyond the one that it
	// borrows for: the concurrency limit divided by headroomDivisor.
	headroomDivisor = 32
	// maxRetryAfter bounds the retry-after time of a refused request.
	maxRetryAfter = time.Minute
	// concurrencyRetryAfter is the retry-after time of a request refused for
	// concurrency.
	concurrencyRetryAfter = time.Second
)

// Key identifies an account.
type Key struct {
	Organisation string `cbor:"1,keyasint"`
	Pool         string `cbor:"2,keyasint"`
}

// Borrower identifies an entry and the incarnation of its process.
type Borrower struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Borrow requests a loan from the owner of an account.
type Borrow struct {
	Key  Key      `cbor:"1,keyasint"`
	From Borrower `cbor:"2,keyasint"`
	// Requests and Tokens are the amounts needed now. If both are 0, the call only renews
	// the borrower's concurrency.
	Requests float64 `cbor:"3,keyasint,omitempty"`
	Tokens   float64 `cbor:"4,keyasint,omitempty"`
	// InFlight is the number of requests in flight at the borrower.
	InFlight int `cbor:"5,keyasint,omitempty"`
	// ReturnedRequests and ReturnedTokens were lent before and not spent.
	ReturnedRequests float64 `cbor:"6,keyasint,omitempty"`
	ReturnedTokens   float64 `cbor:"7,keyasint,omitempty"`
}

// Check returns an error if a name is missing or an amount is out of range.
func (b *Borrow) Check() error {
	if b.Key.Organisation == "" || b.Key.Pool == "" || b.From.Name == "" {
		return verd.New(verd.NotRun, verd.BadRequest, "loan needs organisation, pool and borrower, got %q, %q and %q",
			b.Key.Organisation, b.Key.Pool, b.From.Name)
	}
	for _, v := range []float64{b.Requests, b.Tokens, b.ReturnedRequests, b.ReturnedTokens, float64(b.InFlight)} {
		if !(v >= 0 && v < 1e15) {
			return verd.New(verd.NotRun, verd.BadRequest, "loan has amount %g, must be at least 0 and less than 1e15", v)
		}
	}
	return nil
}

// Loan answers a Borrow.
type Loan struct {
	Requests float64 `cbor:"1,keyasint,omitempty"`
	Tokens   float64 `cbor:"2,keyasint,omitempty"`
	// MaxInFlight is the number of requests that the borrower may have in flight.
	MaxInFlight int `cbor:"3,keyasint,omitempty"`
	// RetryAfter is set if the amounts needed were not lent.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Account is the state of one organisation in one pool. It reads no clock: the caller
// passes the time.
type Account struct {
	limit       table.Limit
	requests    bucket
	tokens      bucket
	concurrency map[Borrower]concurrencyLoan
	// oldLoansExpire is when all loans of a previous owner have expired. Until then a
	// borrower gets at most one request beyond those in flight.
	oldLoansExpire time.Time
}

// concurrencyLoan is the number of concurrent requests lent to one borrower.
type concurrencyLoan struct {
	maxInFlight int
	expires     time.Time
}

// NewAccount returns an account. A previous owner may have loans outstanding until
// oldLoansExpire; if that is past, the buckets start full, otherwise empty.
func NewAccount(now time.Time, l table.Limit, oldLoansExpire time.Time) *Account {
	a := &Account{
		limit:          l,
		requests:       bucket{rate: l.Requests, refilled: now},
		tokens:         bucket{rate: l.Tokens, refilled: now},
		concurrency:    make(map[Borrower]concurrencyLoan),
		oldLoansExpire: oldLoansExpire,
	}
	if !now.Before(oldLoansExpire) {
		a.requests.balance = a.requests.burst()
		a.tokens.balance = a.tokens.burst()
	}
	return a
}

// SetLimit changes the limit. Concurrency that is lent already stays lent.
func (a *Account) SetLimit(now time.Time, l table.Limit) {
	if l == a.limit {
		return
	}
	a.limit = l
	a.requests.setRate(now, l.Requests)
	a.tokens.setRate(now, l.Tokens)
}

// Borrow lends at least the amounts needed, or nothing and sets RetryAfter. Before that it
// takes back the amounts that the borrower returns. It renews the borrower's concurrency
// in either case.
func (a *Account) Borrow(now time.Time, b Borrow) Loan {
	a.expireConcurrency(now)
	a.requests.refund(b.ReturnedRequests)
	a.tokens.refund(b.ReturnedTokens)
	if b.Requests == 0 && b.Tokens == 0 {
		return Loan{MaxInFlight: a.lendConcurrency(now, b.From, b.InFlight)}
	}
	retryAfter := max(a.requests.retryAfter(now), a.tokens.retryAfter(now))
	n := a.availableConcurrency(now, b)
	if n <= b.InFlight {
		retryAfter = max(retryAfter, concurrencyRetryAfter)
	}
	if retryAfter > 0 {
		return Loan{MaxInFlight: a.lendConcurrency(now, b.From, b.InFlight), RetryAfter: retryAfter}
	}
	return Loan{
		Requests:    a.requests.lend(b.Requests, a.limit.Requests*sliceDuration.Seconds()),
		Tokens:      a.tokens.lend(b.Tokens, a.limit.Tokens*sliceDuration.Seconds()),
		MaxInFlight: a.lendConcurrency(now, b.From, n),
	}
}

// availableConcurrency returns the number of requests that the borrower may have in
// flight, with some headroom so that it need not borrow for each request.
func (a *Account) availableConcurrency(now time.Time, b Borrow) int {
	want := b.InFlight + 1 + a.limit.Concurrent/headroomDivisor
	if a.limit.Concurrent == 0 {
		return want
	}
	if now.Before(a.oldLoansExpire) {
		want = b.InFlight + 1
	}
	available := a.limit.Concurrent
	for borrower, l := range a.concurrency {
		if borrower != b.From {
			available -= l.maxInFlight
		}
	}
	return min(want, available)
}

// lendConcurrency records the concurrency of a borrower and returns it. A borrower keeps
// what it has in flight even above the limit: running requests are not cut off.
func (a *Account) lendConcurrency(now time.Time, borrower Borrower, n int) int {
	if n <= 0 {
		delete(a.concurrency, borrower)
		return 0
	}
	a.concurrency[borrower] = concurrencyLoan{maxInFlight: n, expires: now.Add(loanTTL + loanGrace)}
	return n
}

// expireConcurrency takes back the concurrency of borrowers that stopped renewing it.
func (a *Account) expireConcurrency(now time.Time) {
	for borrower, l := range a.concurrency {
		if now.After(l.expires) {
			delete(a.concurrency, borrower)
		}
	}
}

// Idle reports whether the account is in the same state as a new one, so that it can be
// dropped.
func (a *Account) Idle(now time.Time) bool {
	a.expireConcurrency(now)
	a.requests.refill(now)
	a.tokens.refill(now)
	full := a.requests.balance >= a.requests.burst() && a.tokens.balance >= a.tokens.burst()
	return len(a.concurrency) == 0 && full && now.After(a.oldLoansExpire)
}
