// Package ledger records the calls that must run at most once, so that a repeated call is
// never sent again.
package ledger

import (
	"context"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Call identifies an attempt at a call.
type Call struct {
	Organisation string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Digest is the SHA-256 of the request. It detects a key used for two requests.
	Digest [32]byte `cbor:"3,keyasint"`
	// Attempt is unique to the attempt. Repeating Begin or End with it is safe.
	Attempt string `cbor:"4,keyasint"`
	// Entry and Incarnation identify the process that makes the attempt.
	Entry       string `cbor:"5,keyasint"`
	Incarnation uint64 `cbor:"6,keyasint"`
}

// State is the state of a call as seen by one attempt.
type State uint8

const (
	// Acquired means that this attempt, and no other, may send the call.
	Acquired State = iota + 1
	// InProgress means that another attempt is in progress.
	InProgress
	// Completed means that the outcome was recorded. CallStatus carries it.
	Completed
	// Orphaned means that the process of the attempt stopped before it recorded an outcome.
	Orphaned
	// KeyReused means that the key was used for a different request.
	KeyReused
)

// Response is the stored response of a service.
type Response struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Truncated means that the body is truncated or missing, as it was too large to store.
	Truncated bool `cbor:"4,keyasint,omitempty"`
}

// CallStatus is the status of a call. Verdict and Response are set once an outcome is known.
type CallStatus struct {
	State    State        `cbor:"1,keyasint"`
	Verdict  verd.Verdict `cbor:"2,keyasint,omitempty"`
	Response *Response    `cbor:"3,keyasint,omitempty"`
}

// Ledger records attempts at calls and their outcomes.
type Ledger interface {
	// Begin registers the attempt if the key is free, and returns the status of the call.
	// The call may be sent only if the state is Acquired.
	Begin(ctx context.Context, c Call) (CallStatus, error)
	// End records the outcome of an attempt. NotRun frees the key for another attempt.
	End(ctx context.Context, c Call, v verd.Verdict, a *Response) error
	// Wait waits until the call is no longer in progress or ctx ends, and returns its
	// status.
	Wait(ctx context.Context, c Call) (CallStatus, error)
}
