package quota

import (
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// allowance is what this entry has borrowed for one account.
type allowance struct {
	requests float64
	tokens   float64
	// ratesExpire is when requests and tokens expire.
	ratesExpire time.Time
	// maxInFlight is the largest number of requests that may be in flight, inFlight the
	// number that are in flight now.
	maxInFlight, inFlight int
	// refs counts the requests that use the allowance; it is kept while there are any.
	refs int
	// concurrencyRenewed is when the last call that confirmed maxInFlight was sent.
	concurrencyRenewed time.Time
	// borrowLock is held while a request borrows from the owner. It has a buffer of one:
	// sending locks it, receiving unlocks it.
	borrowLock chan struct{}
}

func newAllowance() *allowance {
	return &allowance{borrowLock: make(chan struct{}, 1)}
}

// spend deducts one request with its tokens and reports whether the allowance covers it.
func (a *allowance) spend(now time.Time, l table.Limit, tokens float64) bool {
	valid := now.Before(a.ratesExpire)
	if l.Requests > 0 && !(valid && a.requests >= 1) {
		return false
	}
	if l.Tokens > 0 && !(valid && a.tokens >= tokens) {
		return false
	}
	if l.Concurrent > 0 && (a.inFlight >= a.maxInFlight || now.Sub(a.concurrencyRenewed) >= loanTTL) {
		return false
	}
	if l.Requests > 0 {
		a.requests--
	}
	if l.Tokens > 0 {
		a.tokens -= tokens
	}
	a.inFlight++
	return true
}

// addLoan adds a loan. Its time to live runs from when the call was sent.
func (a *allowance) addLoan(sent time.Time, l Loan) {
	a.requests += l.Requests
	a.tokens += l.Tokens
	a.maxInFlight = l.MaxInFlight
	a.ratesExpire = sent.Add(loanTTL)
	a.concurrencyRenewed = sent
}

// drainRates removes and returns the requests and tokens that are left.
func (a *allowance) drainRates() (requests, tokens float64) {
	requests, tokens = a.requests, a.tokens
	a.requests, a.tokens = 0, 0
	return requests, tokens
}

// capAtInFlight sets maxInFlight to the number of requests in flight and returns it, so
// that no more start while that number is reported to the owner.
func (a *allowance) capAtInFlight() (inFlight int) {
	a.maxInFlight = a.inFlight
	return a.inFlight
}

// idle reports whether the allowance is empty and unused, so that it can be dropped.
func (a *allowance) idle() bool {
	return a.refs == 0 && a.maxInFlight == 0 && a.requests == 0 && a.tokens == 0
}
