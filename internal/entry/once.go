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
	// HeaderKey is the caller's name for a call that runs at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed says that an answer was given before.
	HeaderReplayed = "Idempotent-Replayed"
	// maxKey bounds a key in bytes.
	maxKey = 255
	// maxStored bounds the answers that the ledger keeps, in bytes.
	maxStored = ledger.MaxBody
	// ledgerPause is the least time between two looks at one call.
	ledgerPause = 100 * time.Millisecond
	// endTimeout bounds one attempt to record an outcome.
	endTimeout = 2 * time.Second
	// endLife bounds all attempts to record an outcome.
	endLife = 2 * time.Minute
)

// onceCall is one call that runs at most once.
type onceCall struct {
	x    *exchange
	rt   *table.Route
	call ledger.Call
	body []byte
}

// once runs a call whose route says that it runs at most once.
func (s *Server) once(x *exchange, rt *table.Route) error {
	key, err := onceKey(x.r.Header)
	if err != nil {
		return err
	}
	x.out.w.Header().Set(HeaderKey, key)
	x.r.Header.Set(HeaderKey, key)
	body, err := x.body()
	if err != nil {
		return err
	}
	// A caller that leaves does not stop a call whose outcome must be known.
	limit, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.left())
	defer cancel()
	x.ctx = limit
	o := onceCall{x: x, rt: rt, body: body, call: ledger.Call{
		Organisation: x.org,
		Key:          key,
		Digest:       digest(x.r, body),
		Attempt:      x.id,
		Entry:        s.Self,
		Incarnation:  s.Incarnation,
	}}
	return o.run()
}

// onceKey returns the caller's key, or a new one.
func onceKey(h http.Header) (string, error) {
	if len(h.Values(HeaderKey)) == 0 {
		return uuid.NewString(), nil
	}
	key := h.Get(HeaderKey)
	bad := key == "" || len(key) > maxKey || len(h.Values(HeaderKey)) > 1
	for _, c := range []byte(key) {
		bad = bad || c < ' ' || c > '~'
	}
	if bad {
		e := verd.New(verd.NotRun, verd.BadRequest, "header %s is not one value of 1 to %d printable characters", HeaderKey, maxKey)
		e.Field = HeaderKey
		return "", e
	}
	return key, nil
}

// digest names what a call does, so that a key can't be used for two.
func digest(r *http.Request, body []byte) [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n%s\n", r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"))
	_, _ = h.Write(body) // A hash never fails.
	return [sha256.Size]byte(h.Sum(nil))
}

// run begins the call and acts on what the ledger knows of it.
func (o *onceCall) run() error {
	for {
		began, err := o.begin()
		if err == nil && began.State == ledger.Open {
			began, err = o.wait()
		}
		if err != nil {
			return err
		}
		switch began.State {
		case ledger.Won:
			return o.send()
		case ledger.Ended:
			return o.replay(began)
		case ledger.Lost:
			return unknown("the instance that sent the call died before its outcome was known")
		case ledger.Mismatch:
			return verd.New(verd.NotRun, verd.Conflict, "the key was used for another request")
		default:
			timing.Sleep(o.x.ctx, ledgerPause) // The key is free again.
		}
	}
}

// begin records the attempt. Nothing has been sent if it fails.
func (o *onceCall) begin() (ledger.Begun, error) {
	ctx, span := o.x.s.Tracer.Start(o.x.ctx, "begin")
	defer span.End()
	began, err := o.x.s.Ledger.Begin(ctx, o.call)
	if err == nil {
		return began, nil
	}
	// The record may have been made all the same: free it.
	o.settle(verd.NotRun, nil)
	e := verd.New(verd.NotRun, verd.Unavailable, "the ledger can't be reached: %v", err)
	e.RetryAfter = retryAfter
	return ledger.Begun{}, e
}

// wait waits until the attempt in progress has ended, within the deadline.
// It never returns that this attempt may send: only begin does.
func (o *onceCall) wait() (ledger.Begun, error) {
	ctx, span := o.x.s.Tracer.Start(o.x.ctx, "wait")
	defer span.End()
	b, err := o.x.s.Ledger.Wait(ctx, o.call)
	if ctx.Err() != nil {
		e := verd.New(verd.MayHaveRun, verd.Timeout, "the call is still in progress")
		e.RetryAfter = retryAfter
		return b, e
	}
	if err != nil {
		return b, verd.Wrap(err, verd.MayHaveRun, verd.Unavailable, "wait for the call in progress")
	}
	if b.State == ledger.Won || b.State == ledger.Ended && b.Verdict == verd.NotRun {
		return ledger.Begun{}, nil
	}
	return b, nil
}

// replay gives the stored answer of a call that has ended.
func (o *onceCall) replay(b ledger.Begun) error {
	switch {
	case b.Verdict == verd.NotRun:
		return verd.New(verd.NotRun, verd.Conflict, "the attempt was given up before it was sent")
	case b.Verdict != verd.Ran:
		return unknown("the outcome of the call is unknown")
	case b.Answer == nil || b.Answer.Cut:
		return verd.New(verd.Ran, verd.Conflict, "the call ran; its answer was too long to be kept")
	}
	h := o.x.out.w.Header()
	h.Set(HeaderReplayed, "true")
	if b.Answer.ContentType != "" {
		h.Set("Content-Type", b.Answer.ContentType)
	}
	o.x.out.head(b.Answer.Status, verd.Ran)
	_, err := o.x.out.Write(b.Answer.Body)
	return err
}

func unknown(msg string) error {
	return verd.New(verd.MayHaveRun, verd.Unknown, "%s; it is never sent again", msg)
}

// send sends the call, once, and records its outcome whatever it is.
func (o *onceCall) send() error {
	ended := false
	body := func() io.Reader { return bytes.NewReader(o.body) }
	err := o.x.send(o.rt, body, func(resp *http.Response) error {
		ended = true
		return o.hand(resp)
	})
	if err != nil && !ended {
		o.settle(verd.From(err).Verdict, nil)
	}
	return err
}

// hand records a service's answer and passes it to the caller.
func (o *onceCall) hand(resp *http.Response) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxStored+1))
	ans := &ledger.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: head}
	if err != nil || len(head) > maxStored {
		ans.Body, ans.Cut = nil, true
	}
	o.settle(verd.Ran, ans)
	if err != nil {
		return verd.Wrap(err, verd.Ran, verd.Target, "answer broke off")
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), resp.Body), resp.Body}
	return o.x.relay(resp)
}

// settle records the outcome. If that can't be done at once it goes on in
// the background; until it is done the key stays open.
func (o *onceCall) settle(v verd.Verdict, a *ledger.Answer) {
	if o.end(v, a) == nil {
		return
	}
	o.x.s.count("end_delayed").Inc(1)
	o.x.s.busy.Go(func() {
		until := time.Now().Add(endLife)
		for time.Now().Before(until) {
			time.Sleep(ledgerPause)
			if o.end(v, a) == nil {
				return
			}
		}
		o.x.s.count("end_failed").Inc(1)
	})
}

// end makes one attempt to record the outcome.
func (o *onceCall) end(v verd.Verdict, a *ledger.Answer) error {
	ctx := trace.ContextWithSpan(context.Background(), trace.SpanFromContext(o.x.ctx))
	ctx, span := o.x.s.Tracer.Start(ctx, "end")
	defer span.End()
	ctx, stop := context.WithTimeout(ctx, endTimeout)
	defer stop()
	return o.x.s.Ledger.End(ctx, o.call, v, a)
}
