package gate

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// exchange is one request of a caller on its way.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	start  time.Time
	view   *view

	call     Call
	route    *site.Route
	pool     *site.Pool
	org      string
	rank     int
	body     []byte
	deadline time.Time

	// sends counts the targets that the request was sent to, and ran says that one
	// of them may have run it.
	sends int
	ran   bool
	// avoid are the targets that failed the request.
	avoid []string

	// for the log
	status int
	reason string
	target string
	// grant is the ID of the last ask.
	grant string
	first time.Duration
	// pause is the longest pause between two events, passed when the last came.
	pause  time.Duration
	passed time.Time
	events int
	waited time.Duration
	expect time.Duration
	parts  int
}

// prepare reads the request up to the point where a target is wanted. It
// returns false if it has answered.
func (x *exchange) prepare() bool {
	s := x.server
	call, err := s.Dialect.Call(x.r.Header)
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return false
	}
	x.call = call
	if s.leaving() > acceptAfterLeave {
		x.refuse("this instance stops", 0)
		return false
	}
	if !x.awaitTables() {
		x.refuse("this instance has no tables yet", startRetry)
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := x.view.index.Route(hostOf(x.r.Host), path)
	if !ok {
		x.fail(http.StatusNotFound, "no route for this host and path")
		return false
	}
	x.route = route
	if !x.authorise() {
		return false
	}
	left := x.call.Left
	if left <= 0 {
		left = defaultLeft
	}
	x.deadline = x.start.Add(min(left, route.Limit))
	pool, ok := x.view.index.Pool(route.Pick(rand.Float64()))
	if !ok {
		x.refuse("the route's pool is missing", later)
		return false
	}
	x.pool = pool
	return x.readBody()
}

// awaitTables waits for the first tables of an instance that has just started:
// control is about to send them. It returns false if there are none.
func (x *exchange) awaitTables() bool {
	s := x.server
	if x.view == nil {
		wait := min(startWait, startTime-time.Since(s.born))
		if x.call.Left > 0 {
			wait = min(wait, x.call.Left/startPart)
		}
		s.world.await(x.r.Context(), wait)
		x.view = s.world.view()
	}
	return x.view != nil && x.view.index != nil
}

// authorise finds the caller's organisation.
func (x *exchange) authorise() bool {
	x.rank = x.route.Rank
	if x.route.Public || !x.view.index.Tables.Keyed {
		return true
	}
	o, ok := x.view.index.Organisation(x.call.Key)
	if !ok || x.call.Key == "" {
		x.fail(http.StatusUnauthorized, "unknown key")
		return false
	}
	x.org = o.Name
	if o.Ranked {
		x.rank = o.Rank
	}
	return true
}

func (x *exchange) readBody() bool {
	limit := x.view.index.Tables.Bounds.Body
	if limit <= 0 {
		limit = defaultBody
	}
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil {
		x.body = b
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		x.fail(http.StatusRequestEntityTooLarge, "the body is too large")
		return false
	}
	x.reason = "the body was not received whole"
	x.abort()
	return false
}

// hostOf cuts off the port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// fail answers with a status that says that asking again does not help.
func (x *exchange) fail(status int, reason string) {
	x.status, x.reason = status, reason
	http.Error(x.w, reason, status)
}

// refuse answers that the request did not run, and when to come back.
func (x *exchange) refuse(reason string, retry time.Duration) {
	x.status, x.reason = http.StatusServiceUnavailable, reason
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', -1, 64))
	http.Error(x.w, reason, http.StatusServiceUnavailable)
}

// giveUp ends a request that got no answer: with a promise that it did not run
// only if that is known.
func (x *exchange) giveUp(ctx context.Context, reason string, retry time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.reason = x.whyOver()
		x.abort()
	case !x.ran:
		x.refuse(reason, retry)
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "the time limit was reached: "+reason)
	default:
		x.fail(http.StatusBadGateway, reason)
	}
}

// whyOver says why a request whose time is over can't go on: a caller that leaves
// breaks off what is read for it, which is no fault of a target.
func (x *exchange) whyOver() string {
	if x.r.Context().Err() != nil {
		return "the caller left"
	}
	return "the time limit was reached"
}

// abort ends the connection, so that the answer is seen to be broken off.
func (x *exchange) abort() {
	x.finish()
	panic(http.ErrAbortHandler)
}

// left is the time that the request still has.
func (x *exchange) left() time.Duration { return time.Until(x.deadline) }

// finish logs the outcome, once.
func (x *exchange) finish() {
	if x.start.IsZero() {
		return
	}
	took := time.Since(x.start)
	x.start = time.Time{}
	s := x.server
	e := s.Log.Info()
	if x.status >= http.StatusInternalServerError || x.status == 0 {
		e = s.Log.Warn()
	}
	e.Str("id", x.call.ID)
	if x.view != nil && x.view.index != nil {
		e.Int64("version", x.view.index.Tables.Version).Uint64("revision", x.view.revision)
	}
	if x.route != nil {
		e.Str("route", x.route.Name).Str("organisation", x.org)
	}
	e.Int("prompt", x.call.Prompt).Int("status", x.status).Str("reason", x.reason).Str("ask", x.grant).Str("target", x.target).Int("sends", x.sends).
		Int("parts", x.parts).Dur("waited", x.waited).Dur("expect", x.expect).Dur("first", x.first).Dur("pause", x.pause).Int("events", x.events).Dur("took", took).
		Msg("request ended")
	s.measure(x, took)
}
