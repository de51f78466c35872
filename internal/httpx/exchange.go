package httpx

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// Silence is the time without any byte on a connection after which the target is
	// considered failed. Engines send heartbeats at a much shorter interval.
	Silence = 3 * time.Second
	// maxErrorBytes bounds how much of an error response's body an error quotes.
	maxErrorBytes = 512
)

// exchange is one HTTP request and its response. A watchdog cancels it when the
// connection takes too long or falls silent.
type exchange struct {
	ctx    context.Context
	cancel context.CancelFunc
	// connected is set once a connection was established: bytes may have been sent.
	connected atomic.Bool
	// reused is set if that connection has carried other requests.
	reused atomic.Bool
	// timedOut is set once the watchdog has cancelled the exchange.
	timedOut atomic.Bool
	// connectOnly limits the watchdog to the time until a connection is established.
	connectOnly bool

	mu       sync.Mutex
	watchdog *time.Timer
}

// newExchange returns an exchange with a running watchdog. A connection must be
// established within Silence and, unless useBy is the zero time, before useBy.
func newExchange(ctx context.Context, useBy time.Time) *exchange {
	x := &exchange{}
	ctx, x.cancel = context.WithCancel(ctx)
	connectTimeout := Silence
	if !useBy.IsZero() {
		connectTimeout = min(connectTimeout, time.Until(useBy))
	}
	x.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		x.reused.Store(i.Reused)
		x.connected.Store(true)
		x.noteActivity()
	}})
	x.watchdog = time.AfterFunc(connectTimeout, x.expire)
	if connectTimeout <= 0 {
		x.expire() // The timer alone could fire after the request has started.
	}
	return x
}

// expire cancels the exchange as timed out.
func (x *exchange) expire() {
	x.timedOut.Store(true)
	x.cancel()
}

// noteActivity restarts the watchdog after a byte was sent or received, or stops it if
// only the connection is timed.
func (x *exchange) noteActivity() {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.timedOut.Load():
	case x.connectOnly:
		x.watchdog.Stop()
	default:
		x.watchdog.Reset(Silence)
	}
}

// expireAfter sets the watchdog to cancel the exchange after d.
func (x *exchange) expireAfter(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.watchdog.Reset(d)
}

// close stops the watchdog and cancels what is still in progress.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.watchdog.Stop()
	x.cancel()
}

// send sends a request and waits for the headers of the response. Its errors carry a
// verdict and, unless the request's context has ended, an engine.Failure.
func (x *exchange) send(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	propagation.TraceContext{}.Inject(x.ctx, propagation.HeaderCarrier(req.Header))
	if req.Body != nil {
		req.Body = &watchedBody{ReadCloser: req.Body, exchange: x}
	}
	// Without GetBody, net/http can't send a request with a body a second time.
	req.GetBody = nil
	resp, err := rt.RoundTrip(req.WithContext(x.ctx))
	if err != nil {
		return nil, x.transportError(req.Context(), err)
	}
	x.noteActivity()
	return resp, nil
}

// transportError adds a verdict to an error of the transport: nothing ran if no connection
// was established. ctx is the context of the request.
func (x *exchange) transportError(ctx context.Context, err error) error {
	switch {
	case !x.connected.Load():
		return verd.Wrap(&engine.Unreachable{Cause: err}, verd.NotRun, verd.Target, "connect to target")
	case x.timedOut.Load():
		return verd.Wrap(&engine.Silent{After: Silence}, verd.MayHaveRun, verd.Target, "wait for target")
	case ctx.Err() != nil:
		return verd.From(ctx.Err())
	case errors.Is(err, strict.ErrMalformed):
		return verd.Wrap(&engine.Garbled{Message: err.Error()}, verd.MayHaveRun, verd.Target, "exchange with target")
	default:
		return verd.Wrap(&engine.Broken{Cause: err}, verd.MayHaveRun, verd.Target, "exchange with target")
	}
}

// isAnswer reports whether a response belongs to the request with this ID. A response without an
// ID may belong to an earlier request on a reused connection.
func (x *exchange) isAnswer(resp *http.Response, id string) bool {
	named := resp.Header.Get(HeaderID)
	return named == id || named == "" && !x.reused.Load()
}

// watchedBody is a request body that restarts the watchdog whenever it is read from.
type watchedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read reads from the body and restarts the watchdog.
func (w *watchedBody) Read(b []byte) (int, error) {
	n, err := w.ReadCloser.Read(b)
	w.exchange.noteActivity()
	return n, err
}

// responseError converts a non-success response to an error.
func responseError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	msg := strings.TrimSpace(string(b))
	switch {
	case resp.Header.Get(verd.Header) == verd.NotRun.String():
		return verd.Wrap(&engine.Refused{Status: resp.StatusCode, Message: msg}, verd.NotRun, verd.Target, "response of target")
	case resp.StatusCode == http.StatusNotFound:
		return verd.Wrap(&engine.Missing{}, verd.MayHaveRun, verd.Target, "response of target")
	default:
		return verd.Wrap(&engine.Aborted{Message: resp.Status + " " + msg}, verd.MayHaveRun, verd.Target, "response of target")
	}
}
