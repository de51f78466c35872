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

// forward passes a call to a plain service.
func (s *Server) forward(x *exchange) error {
	rt, p, stop, err := x.route("")
	if err != nil {
		return err
	}
	defer stop()
	if p.Kind != table.Service {
		return verd.New(verd.NotRun, verd.NoRoute, "route %s leads to a pool of engines", rt.Name)
	}
	if x.r.ContentLength > s.MaxBody {
		return x.tooLarge()
	}
	spent, err := s.Quota.Admit(x.ctx, p, x.org, 0)
	if err != nil {
		return err
	}
	defer spent(0)
	if rt.Once {
		return s.once(x, rt)
	}
	body := &slowReader{x: x, from: http.MaxBytesReader(x.out.w, x.r.Body, s.MaxBody)}
	return x.send(rt, body.unread, x.relay)
}

// send brings a call to a service and hands its answer on. As long as it has
// surely not run it goes on to other services, if body gives the whole body
// again; after that it never sends again.
func (x *exchange) send(rt *table.Route, body func() io.Reader, hand func(*http.Response) error) error {
	var avoid []string
	for attempt := 0; ; attempt++ {
		p, err := x.seek(rt, &prompt.Request{}, attempt, avoid)
		if err != nil {
			return err
		}
		err = x.sendTo(p, body(), hand)
		x.s.release(p, err != nil)
		if err == nil {
			x.s.retries.earn()
			return nil
		}
		e := verd.From(err)
		if e.Verdict != verd.NotRun || x.ctx.Err() != nil || attempt+1 >= maxAttempts || body() == nil || !x.s.retries.spend() {
			return e
		}
		if name := p.lead().Name; !slices.Contains(avoid, name) {
			avoid = append(avoid, name)
		}
	}
}

// sendTo makes one attempt at a call, on a connection of its own.
func (x *exchange) sendTo(p *permit, body io.Reader, hand func(*http.Response) error) error {
	lead := p.lead()
	ctx, span := x.s.Tracer.Start(x.ctx, "target", trace.WithAttributes(attribute.String("target", lead.Name)))
	defer span.End()
	resp, err := x.s.Services.Call(ctx, lead.Addr, x.outgoing(body), p.useBy)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verd.Wrap(err, verd.MayHaveRun, verd.TooLarge, "body")
	}
	if err != nil {
		span.RecordError(err)
		return err
	}
	defer resp.Body.Close()
	return hand(resp)
}

// outgoing is the request as its service gets it.
func (x *exchange) outgoing(body io.Reader) *http.Request {
	out := x.r.Clone(x.ctx)
	out.URL = &url.URL{Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery}
	out.Body = io.NopCloser(body)
	if x.r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	for _, h := range hop.ConnectionHeaders() {
		out.Header.Del(h)
	}
	x.s.hideIdentity(out.Header, x.org)
	return out
}

// relay passes a service's answer to the caller.
func (x *exchange) relay(resp *http.Response) error {
	for _, k := range hop.ConnectionHeaders() {
		resp.Header.Del(k)
	}
	maps.Copy(x.out.w.Header(), resp.Header)
	x.out.head(resp.StatusCode, verd.Ran)
	if _, err := io.Copy(&x.out, resp.Body); err != nil {
		return verd.Wrap(err, verd.Ran, verd.Target, "answer broke off")
	}
	return nil
}

// slowReader reads a caller's body, each part within readTimeout.
type slowReader struct {
	x    *exchange
	from io.Reader
	read bool
}

// unread returns the reader, or nil if a part of the body is gone.
func (r *slowReader) unread() io.Reader {
	if r.read {
		return nil
	}
	return r
}

// Read waits for more of the body, for readTimeout at most.
func (r *slowReader) Read(b []byte) (int, error) {
	r.read = true
	// A connection that knows no deadlines has none.
	_ = r.x.out.rc.SetReadDeadline(time.Now().Add(readTimeout))
	n, err := r.from.Read(b)
	if err == io.EOF {
		_ = r.x.out.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}
