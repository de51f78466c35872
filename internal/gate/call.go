// Package gate takes the requests of callers, finds the targets for them and
// carries the answers back.
package gate

import (
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Call is what a request says of itself.
type Call struct {
	// ID names one attempt of the caller.
	ID string
	// Key is the caller's secret; "" if it showed none.
	Key string
	// Left is how long the caller waits; 0 if it did not say.
	Left time.Duration
	// Prompt and Output are in tokens: the length of the prompt and the most that
	// the answer may have. Guess is the caller's estimate of the answer; 0 if it
	// gave none.
	Prompt, Output, Guess int
	// Last is the number of the last event that the caller has; Resumes says that
	// it has one.
	Last    int64
	Resumes bool
}

// Send is what a target is told with a request.
type Send struct {
	// Left is how long the answer is waited for.
	Left time.Duration
	// Target is the ID of the process that is meant.
	Target string
	// Organisation is that of the caller; "" for public routes.
	Organisation string
	// Urgency orders requests in an engine, from 0, the first, to 9; below 0 none
	// is sent.
	Urgency int
	// Helpers are the engines that read parts of the prompt.
	Helpers []Helper
	// Last is the number of the last event that the caller has, if Resumes.
	Last    int64
	Resumes bool
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	Target site.Target
	// Ticket names the memory that it has set aside; "" if none.
	Ticket string
	// Tokens is that memory.
	Tokens int
}

// Reply is what the head of a target's answer says.
type Reply struct {
	// Call is the ID of the request that it answers; "" if it does not say.
	Call string
	// Sealed says that a target vouches for the answer.
	Sealed bool
	// NotRun says that the request did not run and will not.
	NotRun bool
	// Fault is the address of the target that is to blame; "" if it is not said.
	Fault string
}

// Dialect reads and writes the headers of callers and targets.
type Dialect interface {
	// Call reads the headers of a request.
	Call(h http.Header) (Call, error)
	// Send returns the headers for a target.
	Send(h http.Header, s Send) http.Header
	// Reply reads the headers of an answer.
	Reply(h http.Header) Reply
	// Answer returns the headers of an answer that the caller gets.
	Answer(h http.Header) http.Header
	// Reserve makes the call that sets memory aside on an engine for a while, or
	// keeps it longer, and Release the one that ends this.
	Reserve(h Helper, hold time.Duration) *hop.Request
	Release(h Helper) *hop.Request
}
