package ledger

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// The methods that the leader of the control plane serves.
const (
	BeginMethod = "ledger.begin"
	EndMethod   = "ledger.end"
	WaitMethod  = "ledger.wait"
	FindMethod  = "ledger.find"
)

// EndRequest is the request of EndMethod: the outcome of an attempt.
type EndRequest struct {
	Call     Call         `cbor:"1,keyasint"`
	Verdict  verd.Verdict `cbor:"2,keyasint"`
	Response *Response    `cbor:"3,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
func (e *EndRequest) Check() error { return e.Call.Check() }

// EndReply is the reply of EndMethod.
type EndReply struct{}

// Check returns an error if a field is missing.
func (i *ID) Check() error {
	if i.Organisation == "" || i.Key == "" {
		return verd.New(verd.NotRun, verd.BadRequest, "the organisation or the idempotency key is missing")
	}
	return nil
}

// FindReply is the reply of FindMethod. Record is nil if there is none.
type FindReply struct {
	Record *Record `cbor:"1,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
func (c *Call) Check() error {
	for _, f := range []struct{ name, value string }{
		{"organisation", c.Organisation}, {"key", c.Key}, {"attempt", c.Attempt}, {"entry", c.Entry},
	} {
		if f.value == "" || len(f.value) > maxFieldBytes {
			e := verd.New(verd.NotRun, verd.BadRequest, "%s is empty or longer than %d bytes", f.name, maxFieldBytes)
			e.Field = f.name
			return e
		}
	}
	return nil
}

const (
	// maxFieldBytes bounds each text field of a call.
	maxFieldBytes = 256
	// releaseTimeout bounds the release of an attempt whose Begin failed.
	releaseTimeout = 2 * time.Second
)

// LeaderClient sends calls to the leader of the control plane.
type LeaderClient interface {
	// Call calls the method, retrying until the leader replies or ctx ends.
	Call(ctx context.Context, method string, in, out any) error
}

// Client is the Ledger that entries use. It calls the leader of the control plane.
type Client struct {
	Control LeaderClient
}

var _ Ledger = (*Client)(nil)

// Begin registers the attempt if the key is free. Its errors have the verdict NotRun,
// because the call must not be sent after an error. If the attempt may have been
// registered although the reply was lost, Begin releases it.
func (c *Client) Begin(ctx context.Context, call Call) (CallStatus, error) {
	if err := call.Check(); err != nil {
		return CallStatus{}, err
	}
	var b CallStatus
	if err := c.Control.Call(ctx, BeginMethod, &call, &b); err != nil {
		e := *verd.From(err)
		if e.Verdict != verd.NotRun {
			c.release(ctx, call)
		}
		e.Verdict = verd.NotRun
		return CallStatus{}, &e
	}
	return b, nil
}

// release releases an attempt that may have been registered. If this fails too, the key
// stays in use until the process is gone.
func (c *Client) release(ctx context.Context, call Call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = c.End(ctx, call, verd.NotRun, nil)
}

// End records the outcome of an attempt, with its response truncated to MaxBodyBytes.
func (c *Client) End(ctx context.Context, call Call, v verd.Verdict, a *Response) error {
	e := EndRequest{Call: call, Verdict: v, Response: truncate(a)}
	return c.Control.Call(ctx, EndMethod, &e, &EndReply{})
}

// Wait waits until the call is no longer in progress or ctx ends, and returns its status.
func (c *Client) Wait(ctx context.Context, call Call) (CallStatus, error) {
	for {
		var b CallStatus
		if err := c.Control.Call(ctx, WaitMethod, &call, &b); err != nil {
			return CallStatus{}, err
		}
		if b.State != InProgress && b.State != Acquired {
			return b, nil
		}
		if err := ctx.Err(); err != nil {
			return b, verd.Wrap(err, verd.MayHaveRun, verd.Timeout, "the call with idempotency key %q is still in progress", call.Key)
		}
	}
}

// Find returns the record with the id, or nil if there is none. It serves operators.
func (c *Client) Find(ctx context.Context, id ID) (*Record, error) {
	var f FindReply
	if err := c.Control.Call(ctx, FindMethod, &id, &f); err != nil {
		return nil, err
	}
	return f.Record, nil
}
