package verd

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Header is the HTTP response header that carries the verdict.
const Header = "Bamboo-Verdict"

// Reason is a machine-readable code for why a request failed.
type Reason string

// Reasons that error responses carry.
const (
	BadRequest  Reason = "bad_request"
	Denied      Reason = "denied"
	NoRoute     Reason = "no_route"
	TooLarge    Reason = "too_large"
	Limited     Reason = "limited"
	Overloaded  Reason = "overloaded"
	Unavailable Reason = "unavailable"
	// Moved means that the peer no longer owns the shard or role that the request addresses.
	Moved Reason = "moved"
	// Unreached means that a call to a peer got no response.
	Unreached Reason = "unreached"
	Timeout   Reason = "timeout"
	Conflict  Reason = "conflict"
	Unknown   Reason = "unknown_outcome"
	Target    Reason = "target_failed"
	Cancelled Reason = "cancelled"
	Internal  Reason = "internal"
)

// Status returns the HTTP status code for the reason.
func (r Reason) Status() int {
	switch r {
	case BadRequest:
		return http.StatusBadRequest
	case Denied:
		return http.StatusUnauthorized
	case NoRoute:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Limited, Overloaded:
		return http.StatusTooManyRequests
	case Unavailable, Moved, Unreached:
		return http.StatusServiceUnavailable
	case Timeout:
		return http.StatusGatewayTimeout
	case Conflict, Unknown:
		return http.StatusConflict
	case Target:
		return http.StatusBadGateway
	case Cancelled:
		return 499 // The non-standard code for a closed connection; it is never delivered.
	default:
		return http.StatusInternalServerError
	}
}

// Error is the error of a failed request, with its verdict.
type Error struct {
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason"`
	Message string  `json:"message"`
	// Field is the path of the rejected input field, if the input was invalid.
	Field string `json:"field,omitempty"`
	// RetryAfter is the time to wait before a retry; 0 means that a retry won't help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	cause error
}

// New returns an Error with a formatted message.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with the cause err. If err already carries a verdict, the verdicts
// are joined and its RetryAfter is kept.
func Wrap(err error, v Verdict, r Reason, format string, args ...any) *Error {
	e := New(v, r, format, args...)
	e.cause = err
	e.Message += ": " + err.Error()
	var inner *Error
	if errors.As(err, &inner) {
		e.Verdict = v.Join(inner.Verdict)
		e.RetryAfter = inner.RetryAfter
	}
	return e
}

// Error returns Message.
func (e *Error) Error() string { return e.Message }

// Unwrap returns the error passed to Wrap, or nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns the *Error in the chain of err. An error without a verdict is wrapped with
// MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Wrap(err, MayHaveRun, Timeout, "time limit reached")
	}
	if errors.Is(err, context.Canceled) {
		return Wrap(err, MayHaveRun, Cancelled, "cancelled")
	}
	return Wrap(err, MayHaveRun, Internal, "internal error")
}
