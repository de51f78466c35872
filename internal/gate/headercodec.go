// Package gate accepts the requests of callers, chooses targets for them and relays the
// responses.
package gate

import (
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// CallInfo holds the decoded headers of a caller's request.
type CallInfo struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the caller's API key; "" if there is none.
	Key string
	// TimeLimit is how long the caller waits for the response; 0 if not given.
	TimeLimit time.Duration
	// PromptTokens is the length of the prompt, and MaxOutputTokens the maximum length of
	// the answer. ExpectedOutputTokens is the length that the caller expects; 0 if not
	// given.
	PromptTokens, MaxOutputTokens, ExpectedOutputTokens int
	// SharedSegments are the IDs of the segments of the prompt that other requests may share, such
	// as a system prompt.
	SharedSegments []string
	// LastEventID is the number of the last event that the caller received, if
	// HasLastEventID is set: the caller resumes an answer after that event.
	LastEventID    int64
	HasLastEventID bool
}

// SendInfo holds what is encoded in the headers of a request to a target.
type SendInfo struct {
	// TimeLimit is the time until the response must be complete.
	TimeLimit time.Duration
	// TargetID is the ID of the process that must serve the request.
	TargetID string
	// Organisation is the caller's organisation; "" on public routes.
	Organisation string
	// Urgency orders requests within an engine, from 0, the first, to 9. A negative value
	// is not sent.
	Urgency int
	// Helpers are the engines that prefill parts of the prompt.
	Helpers []PrefillHelper
	// LastEventID is the number of the last event that the caller received, if
	// HasLastEventID is set.
	LastEventID    int64
	HasLastEventID bool
}

// PrefillHelper is an engine that prefills a part of a prompt.
type PrefillHelper struct {
	Target site.Target
	// ReservationID identifies the memory reserved on the engine; "" if there is none.
	ReservationID string
	// ReservedTokens is the size of that reservation.
	ReservedTokens int
}

// ReplyInfo holds the decoded headers of a target's response.
type ReplyInfo struct {
	// RequestID is the ID of the request that is answered; "" if not given.
	RequestID string
	// Sealed reports that the response carries the seal of a target. A response generated
	// by a proxy on the way has none.
	Sealed bool
	// NotRun reports that the request did not run and will not.
	NotRun bool
	// FaultyAddress is the address of the target that caused the failure; "" if unknown.
	FaultyAddress string
	// Leaving reports that the target is about to shut down and wants no more requests.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this instance after it has
	// refused one; 0 if it does not say.
	RetryAfter time.Duration
	// Limit is how many requests a second the target accepts from all instances together, if
	// HasLimit is set.
	Limit    float64
	HasLimit bool
	// Cold is how much longer the target is cold; 0 if it does not say.
	Cold time.Duration
}

// HeaderCodec reads and writes the headers exchanged with callers and targets.
type HeaderCodec interface {
	// DecodeCall parses the headers of a caller's request.
	DecodeCall(h http.Header) (CallInfo, error)
	// TargetHeader returns the headers of a request to a target, made from the caller's
	// headers h.
	TargetHeader(h http.Header, s SendInfo) http.Header
	// DecodeReply parses the headers of a target's response.
	DecodeReply(h http.Header) ReplyInfo
	// CallerHeader returns the headers of the response to the caller, made from those of the
	// target.
	CallerHeader(h http.Header) http.Header
	// Reserve returns the request that reserves memory on an engine for the duration ttl,
	// or extends a reservation. Release returns the request that ends it.
	Reserve(h PrefillHelper, ttl time.Duration) *hop.Request
	Release(h PrefillHelper) *hop.Request
	// Report returns the request for the load report of an engine.
	Report(t site.Target) *hop.Request
	// IsUnused reports whether no request uses a reservation by the load report of its engine. It
	// returns an error if the report can't be read.
	IsUnused(h PrefillHelper, report []byte) (bool, error)
}
