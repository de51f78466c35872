package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// exchange is the state of one request and of the response to it.
type exchange struct {
	s   *Server
	out responseWriter
	r   *http.Request
	ctx context.Context
	id  string
	org string

	view  *member.View
	start time.Time
	// firstToken is the time to first token, or 0 before it.
	firstToken time.Duration
	// promptTokens is the estimated length of the prompt, or 0 for a call to a service.
	promptTokens int
	// errorSent means that the error was written as the last event of a stream.
	errorSent bool
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		s:     s,
		out:   newResponseWriter(w),
		r:     r,
		ctx:   r.Context(),
		id:    uuid.NewString(),
		start: time.Now(),
	}
}

// admit rejects the request if this instance has no valid configuration lease or the
// caller can't be identified.
func (x *exchange) admit() error {
	x.out.w.Header().Set(HeaderRequestID, x.id)
	x.view = x.s.Members.View()
	if x.view == nil || !x.s.Members.Live() {
		e := verd.New(verd.NotRun, verd.Unavailable, "instance %s has no valid configuration lease; use another instance", x.s.Self)
		e.RetryAfter = time.Second
		return e
	}
	var err error
	x.org, err = x.s.organisation(x.r)
	return err
}

// run calls f with the time limit that the caller set.
func (x *exchange) run(f func(*exchange) error) error {
	cancel, err := x.applyTimeLimit()
	if err != nil {
		return err
	}
	defer cancel()
	return f(x)
}

// applyTimeLimit sets the deadline from the caller's HeaderTimeLimit. The limit of the route
// applies as well. The returned function must be called.
func (x *exchange) applyTimeLimit() (func(), error) {
	v := x.r.Header.Get(HeaderTimeLimit)
	if v == "" {
		return func() {}, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		e := verd.New(verd.NotRun, verd.BadRequest, "header %s: %q is not a positive duration such as 30s", HeaderTimeLimit, v)
		e.Field = HeaderTimeLimit
		return func() {}, e
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.start.Add(d))
	x.ctx = ctx
	return cancel, nil
}

// route returns the route and the pool for the request and sets the deadline from the
// limit of the route. The returned function must be called.
func (x *exchange) route(model string) (*table.Route, *table.Pool, func(), error) {
	m := table.Match{Path: x.r.URL.Path, Model: model, Organisation: x.org}
	rt, ok := x.view.Tables.Route(m)
	if !ok {
		return nil, nil, nil, verd.New(verd.NotRun, verd.NoRoute, "no route for %s and model %q", m.Path, model)
	}
	p, ok := x.view.Tables.Pool(rt.Pool)
	if !ok {
		return nil, nil, nil, verd.New(verd.NotRun, verd.Internal, "route %s refers to pool %q, which does not exist", rt.Name, rt.Pool)
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.start.Add(time.Duration(rt.Limit)))
	x.ctx = ctx
	return rt, p, cancel, nil
}

// timeLeft returns the time until the deadline, or table.MaxTimeLimit if there is none.
func (x *exchange) timeLeft() time.Duration {
	dl, ok := x.ctx.Deadline()
	if !ok {
		return table.MaxTimeLimit
	}
	return time.Until(dl)
}

// finalError returns the error for the caller. Its reason is Timeout if the deadline has
// passed.
func (x *exchange) finalError(err error) *verd.Error {
	e := *verd.From(err)
	if x.ctx.Err() == context.DeadlineExceeded {
		e.Reason = verd.Timeout
	}
	return &e
}

// finish records the outcome and writes the error response, if any. If the response of a
// service has begun, an error can only be shown by aborting the connection.
func (x *exchange) finish(err error) {
	defer x.out.finish()
	if err == nil {
		x.observe(nil)
		return
	}
	e := x.finalError(err)
	x.observe(e)
	switch {
	case !x.out.headerSent:
		writeError(x.out.w, e)
	case !x.errorSent:
		httpx.Abort(x.out.w, x.r)
	}
}
