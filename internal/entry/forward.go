package entry

import (
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// forward proxies a call to a service.
func (s *Server) forward(x *exchange) error {
	rt, p, cancel, err := x.route("")
	if err != nil {
		return err
	}
	defer cancel()
	if p.Kind != table.Service {
		return verd.New(verd.NotRun, verd.NoRoute, "route %s leads to pool %q, which contains engines, not services", rt.Name, rt.Pool)
	}
	if x.r.ContentLength > s.MaxBody {
		return x.bodyTooLarge()
	}
	settleQuota, err := s.Quota.Admit(x.ctx, p, x.org, 0)
	if err != nil {
		return err
	}
	defer settleQuota(0)
	if rt.Once {
		return s.callAtMostOnce(x, rt)
	}
	body := &bodyReader{x: x, src: http.MaxBytesReader(x.out.w, x.r.Body, s.MaxBody)}
	return x.sendToService(rt, body.ifUnread, x.relayResponse)
}

// sendToService sends the call to a service and passes the response to onResponse. If an
// attempt failed with the verdict NotRun, it tries other services within the retry budget.
// newBody returns the whole body for an attempt, or nil if it can't be read again. A call
// that may have run is never sent again.
func (x *exchange) sendToService(rt *table.Route, newBody func() io.Reader, onResponse func(*http.Response) error) error {
	var excluded []string
	for attempt := 0; ; attempt++ {
		g, err := x.acquireGrant(rt, &prompt.Request{}, attempt, excluded)
		if err != nil {
			return err
		}
		err = x.sendTo(g, newBody(), onResponse)
		x.s.release(g, err != nil)
		if err == nil {
			x.s.retryBudget.recordSuccess()
			return nil
		}
		e := verd.From(err)
		if e.Verdict != verd.NotRun || x.ctx.Err() != nil || attempt+1 >= maxAttempts || newBody() == nil || !x.s.retryBudget.takeRetry() {
			return e
		}
		if name := g.primary().Name; !slices.Contains(excluded, name) {
			excluded = append(excluded, name)
		}
	}
}

// sendTo makes one attempt at the call, on a new connection.
func (x *exchange) sendTo(g *activeGrant, body io.Reader, onResponse func(*http.Response) error) error {
	target := g.primary()
	ctx, span := x.s.Tracer.Start(x.ctx, "target", trace.WithAttributes(attribute.String("target", target.Name)))
	defer span.End()
	resp, err := x.s.Services.Call(ctx, target.Addr, x.serviceRequest(body), g.useBy)
	var limitErr *http.MaxBytesError
	if errors.As(err, &limitErr) {
		return verd.Wrap(err, verd.MayHaveRun, verd.TooLarge, "request body is larger than %d bytes", x.s.MaxBody)
	}
	if err != nil {
		span.RecordError(err)
		return err
	}
	defer resp.Body.Close()
	return onResponse(resp)
}

// serviceRequest returns the request to send to the service: without hop-by-hop headers,
// and with the organisation in place of the caller's token.
func (x *exchange) serviceRequest(body io.Reader) *http.Request {
	out := x.r.Clone(x.ctx)
	out.URL = &url.URL{Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery}
	out.Body = io.NopCloser(body)
	if x.r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	for _, h := range hop.ConnectionHeaders() {
		out.Header.Del(h)
	}
	x.s.replaceIdentity(out.Header, x.org)
	return out
}

// relayResponse copies a service's response to the caller.
func (x *exchange) relayResponse(resp *http.Response) error {
	for _, k := range hop.ConnectionHeaders() {
		resp.Header.Del(k)
	}
	maps.Copy(x.out.w.Header(), resp.Header)
	x.out.writeHeader(resp.StatusCode, verd.Ran)
	if _, err := io.Copy(&x.out, resp.Body); err != nil {
		return verd.Wrap(err, verd.Ran, verd.Target, "relay response of the service")
	}
	return nil
}

// bodyReader reads a caller's body. Each read is limited to readTimeout.
type bodyReader struct {
	x   *exchange
	src io.Reader
	// started means that a read was attempted, so the body can't be sent again.
	started bool
}

// ifUnread returns the reader, or nil if reading has started.
func (r *bodyReader) ifUnread() io.Reader {
	if r.started {
		return nil
	}
	return r
}

// Read reads more of the body, waiting for at most readTimeout.
func (r *bodyReader) Read(b []byte) (int, error) {
	r.started = true
	// Not every connection supports deadlines; the read is unlimited then.
	_ = r.x.out.rc.SetReadDeadline(time.Now().Add(readTimeout))
	n, err := r.src.Read(b)
	if err == io.EOF {
		_ = r.x.out.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}
