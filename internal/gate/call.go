// Package gate accepts the requests of callers, chooses targets for them and relays the
// responses.
package gate

import (
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Call is what the headers of a caller's request say.
type Call struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the caller's API key; "" if there is none.
	Key string
	// Left is how long the caller waits for the response; 0 if it did not say.
	Left time.Duration
	// Prompt is the length of the prompt and Output the maximum length of the answer, in
	// tokens. Guess is the caller's estimate of the length of the answer; 0 if there is
	// none.
	Prompt, Output, Guess int
	// Last is the number of the last event that the caller received. It counts only if
	// Resumes is set: the caller asks for the rest of an answer.
	Last    int64
	Resumes bool
}

// Send is what the headers of a request to a target say.
type Send struct {
	// Left is the time until the response must be complete.
	Left time.Duration
	// Target is the ID of the process that must serve the request.
	Target string
	// Organisation is the caller's organisation; "" on public routes.
	Organisation string
	// Urgency orders requests within an engine, from 0, the first, to 9. A negative value
	// is not sent.
	Urgency int
	// Helpers are the engines that prefill parts of the prompt.
	Helpers []Helper
	// Last is the number of the last event that the caller received; it counts only if
	// Resumes is set.
	Last    int64
	Resumes bool
}

// Helper is an engine that prefills a part of a prompt.
type Helper struct {
	Target site.Target
	// Ticket identifies the memory reserved on the engine; "" if there is none.
	Ticket string
	// Tokens is the size of that reservation.
	Tokens int
}

// Reply is what the headers of a target's response say.
type Reply struct {
	// Call is the ID of the request that is answered; "" if the target did not say.
	Call string
	// Sealed reports that the response carries the seal of a target, which a response made
	// by something in between lacks.
	Sealed bool
	// NotRun reports that the request did not run and will not.
	NotRun bool
	// Fault is the address of the target that caused the failure; "" if unknown.
	Fault string
}

// Dialect reads and writes the headers exchanged with callers and targets.
type Dialect interface {
	// Call parses the headers of a caller's request.
	Call(h http.Header) (Call, error)
	// Send returns the headers of a request to a target, made from the caller's headers
	// h.
	Send(h http.Header, s Send) http.Header
	// Reply parses the headers of a target's response.
	Reply(h http.Header) Reply
	// Answer returns the headers of the response to the caller, made from those of the
	// target.
	Answer(h http.Header) http.Header
	// Reserve returns the request that reserves memory on an engine for the duration ttl,
	// or extends a reservation. Release returns the request that ends it.
	Reserve(h Helper, ttl time.Duration) *hop.Request
	Release(h Helper) *hop.Request
}
