package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// HeaderIdempotencyKey carries the idempotency key of a call that runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a response that was replayed from the ledger.
	HeaderReplayed = "Idempotent-Replayed"
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
	// maxStoredBody bounds the response body that the ledger keeps, in bytes.
	maxStoredBody = ledger.MaxBodyBytes
	// ledgerRetryInterval is the pause between two requests to the ledger about one call.
	ledgerRetryInterval = 100 * time.Millisecond
	// recordTimeout bounds one attempt to record an outcome.
	recordTimeout = 2 * time.Second
	// recordRetryTimeout bounds the background attempts to record an outcome.
	recordRetryTimeout = 2 * time.Minute
)

// idempotentCall is a call to a service that runs at most once per idempotency key.
type idempotentCall struct {
	x    *exchange
	rt   *table.Route
	call ledger.Call
	body []byte
}

// callAtMostOnce serves a call on a route whose calls run at most once.
func (s *Server) callAtMostOnce(x *exchange, rt *table.Route) error {
	key, err := idempotencyKey(x.r.Header)
	if err != nil {
		return err
	}
	x.out.w.Header().Set(HeaderIdempotencyKey, key)
	x.r.Header.Set(HeaderIdempotencyKey, key)
	body, err := x.readBody()
	if err != nil {
		return err
	}
	// The call goes on if its caller disconnects, because its outcome must be recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.timeLeft())
	defer cancel()
	x.ctx = ctx
	call := idempotentCall{x: x, rt: rt, body: body, call: ledger.Call{
		Organisation: x.org,
		Key:          key,
		Digest:       requestDigest(x.r, body),
		Attempt:      x.id,
		Entry:        s.Self,
		Incarnation:  s.Incarnation,
	}}
	return call.run()
}

// idempotencyKey returns the caller's idempotency key, or a new one if there is none.
func idempotencyKey(h http.Header) (string, error) {
	if len(h.Values(HeaderIdempotencyKey)) == 0 {
		return uuid.NewString(), nil
	}
	key := h.Get(HeaderIdempotencyKey)
	invalid := key == "" || len(key) > maxKeyBytes || len(h.Values(HeaderIdempotencyKey)) > 1
	for _, c := range []byte(key) {
		invalid = invalid || c < ' ' || c > '~'
	}
	if invalid {
		e := verd.New(verd.NotRun, verd.BadRequest, "header %s must have one value of 1 to %d printable ASCII characters", HeaderIdempotencyKey, maxKeyBytes)
		e.Field = HeaderIdempotencyKey
		return "", e
	}
	return key, nil
}

// requestDigest returns the SHA-256 of the method, URI, content type and body of a call,
// to detect a key that is used for two different calls.
func requestDigest(r *http.Request, body []byte) [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n", r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"))
	_, _ = h.Write(body) // Writing to a hash never fails.
	return [sha256.Size]byte(h.Sum(nil))
}

// run registers the call in the ledger and then sends it, replays its stored response or
// returns an error, depending on the state in the ledger.
func (c *idempotentCall) run() error {
	for {
		status, err := c.begin()
		if err == nil && status.State == ledger.InProgress {
			status, err = c.waitForOutcome()
		}
		if err != nil {
			return err
		}
		switch status.State {
		case ledger.Acquired:
			return c.send()
		case ledger.Completed:
			return c.replay(status)
		case ledger.Orphaned:
			return unknownOutcome("the instance that sent the call stopped before it recorded the outcome")
		case ledger.KeyReused:
			return verd.New(verd.NotRun, verd.Conflict, "idempotency key %q was already used for a different request", c.call.Key)
		default:
			timing.Sleep(c.x.ctx, ledgerRetryInterval) // The key is free again: retry.
		}
	}
}

// begin registers this attempt in the ledger. If it fails, the call must not be sent.
func (c *idempotentCall) begin() (ledger.CallStatus, error) {
	ctx, span := c.x.s.Tracer.Start(c.x.ctx, "begin")
	defer span.End()
	status, err := c.x.s.Ledger.Begin(ctx, c.call)
	if err == nil {
		return status, nil
	}
	// The ledger may have registered the attempt although the call failed: free the key.
	c.recordOutcome(verd.NotRun, nil)
	e := verd.New(verd.NotRun, verd.Unavailable, "register the call in the ledger: %v", err)
	e.RetryAfter = retryAfter
	return ledger.CallStatus{}, e
}

// waitForOutcome waits until the other attempt in progress has ended, within the deadline.
// It returns the zero status, and never ledger.Acquired, if the key is free again: only begin
// may allow an attempt to send.
func (c *idempotentCall) waitForOutcome() (ledger.CallStatus, error) {
	ctx, span := c.x.s.Tracer.Start(c.x.ctx, "wait")
	defer span.End()
	status, err := c.x.s.Ledger.Wait(ctx, c.call)
	if ctx.Err() != nil {
		e := verd.New(verd.MayHaveRun, verd.Timeout, "another attempt with idempotency key %q is still in progress", c.call.Key)
		e.RetryAfter = retryAfter
		return status, e
	}
	if err != nil {
		return status, verd.Wrap(err, verd.MayHaveRun, verd.Unavailable, "wait for the attempt in progress with idempotency key %q", c.call.Key)
	}
	if status.State == ledger.Acquired || status.State == ledger.Completed && status.Verdict == verd.NotRun {
		return ledger.CallStatus{}, nil
	}
	return status, nil
}

// replay writes the stored response of a call that has ended.
func (c *idempotentCall) replay(status ledger.CallStatus) error {
	switch {
	case status.Verdict == verd.NotRun:
		return verd.New(verd.NotRun, verd.Conflict, "the attempt with idempotency key %q was cancelled before it was sent", c.call.Key)
	case status.Verdict != verd.Ran:
		return unknownOutcome("the outcome of the call is unknown")
	case status.Response == nil || status.Response.Truncated:
		return verd.New(verd.Ran, verd.Conflict, "the call with idempotency key %q ran, but its response was too large to store", c.call.Key)
	}
	h := c.x.out.w.Header()
	h.Set(HeaderReplayed, "true")
	if status.Response.ContentType != "" {
		h.Set("Content-Type", status.Response.ContentType)
	}
	c.x.out.writeHeader(status.Response.Status, verd.Ran)
	_, err := c.x.out.Write(status.Response.Body)
	return err
}

// unknownOutcome returns the error for a call that may have run and won't be sent again.
func unknownOutcome(msg string) error {
	return verd.New(verd.MayHaveRun, verd.Unknown, "%s; the call will not be sent again", msg)
}

// send sends the call and records its outcome.
func (c *idempotentCall) send() error {
	recorded := false
	body := func() io.Reader { return bytes.NewReader(c.body) }
	err := c.x.sendToService(c.rt, body, func(resp *http.Response) error {
		recorded = true
		return c.recordAndRelay(resp)
	})
	if err != nil && !recorded {
		c.recordOutcome(verd.From(err).Verdict, nil)
	}
	return err
}

// recordAndRelay records a service's response in the ledger and relays it to the caller.
func (c *idempotentCall) recordAndRelay(resp *http.Response) error {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredBody+1))
	stored := &ledger.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: prefix}
	if err != nil || len(prefix) > maxStoredBody {
		stored.Body, stored.Truncated = nil, true
	}
	c.recordOutcome(verd.Ran, stored)
	if err != nil {
		return verd.Wrap(err, verd.Ran, verd.Target, "read response of the service")
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(prefix), resp.Body), resp.Body}
	return c.x.relayResponse(resp)
}

// recordOutcome records the outcome in the ledger. If the first attempt fails, it retries
// in the background for up to recordRetryTimeout. The key stays open until then.
func (c *idempotentCall) recordOutcome(v verd.Verdict, a *ledger.Response) {
	if c.tryRecordOutcome(v, a) == nil {
		return
	}
	c.x.s.counter("end_delayed").Inc(1)
	c.x.s.inFlight.Go(func() {
		deadline := time.Now().Add(recordRetryTimeout)
		for time.Now().Before(deadline) {
			time.Sleep(ledgerRetryInterval)
			if c.tryRecordOutcome(v, a) == nil {
				return
			}
		}
		c.x.s.counter("end_failed").Inc(1)
	})
}

// tryRecordOutcome makes one attempt to record the outcome. It doesn't depend on the
// request's context, which may have ended.
func (c *idempotentCall) tryRecordOutcome(v verd.Verdict, a *ledger.Response) error {
	ctx := trace.ContextWithSpan(context.Background(), trace.SpanFromContext(c.x.ctx))
	ctx, span := c.x.s.Tracer.Start(ctx, "end")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return c.x.s.Ledger.End(ctx, c.call, v, a)
}
