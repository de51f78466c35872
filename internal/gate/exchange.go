package gate

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// exchange is the state of one request of a caller.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	start  time.Time
	view   *view

	call  CallInfo
	route *site.Route
	pool  *site.Pool
	org   string
	// rank is the priority of the organisation, or of the route if it has none; 0 is the highest.
	// routeRank is that of the route if rank is that of the organisation.
	rank, routeRank int
	// regions are the regions that the route and the organisation allow.
	regions regionLimit
	body    []byte
	// digest is the value of requestDigest once it has been computed.
	digest string
	// buffered is the buffer of the body; nil before it is read.
	buffered *guard.Body
	deadline time.Time

	// sends is the number of targets that the request was sent to. mayHaveRun reports
	// that one of them may have executed it.
	sends      int
	mayHaveRun bool
	// crashes is the number of targets whose processes ended while they had the request.
	crashes int
	// failedTargets are the IDs of targets not to be tried again.
	failedTargets []string

	// The fields below are for the log and the metrics.
	status int
	reason string
	target string
	// relay is the instance through which the last response came; "" if it came directly.
	relay string
	// answeredBy is whose response the caller got: byTarget or byEntry; "" if none.
	answeredBy string
	// truncated is set if this instance broke off the response to a caller who was still there.
	truncated bool
	// noRetry is why the request was not sent to another target: noAttempts, noBudget or the reason of
	// the scheduler; "" if it was not asked for.
	noRetry string
	// grantID is the ID of the last request for placement.
	grantID string
	// firstEvent is the time to the first event, and predicted the value that the scheduler
	// predicted. queueTime is the time spent waiting for grants.
	firstEvent time.Duration
	// maxPause is the longest pause between two events; lastEventAt is the time of the
	// last one.
	maxPause    time.Duration
	lastEventAt time.Time
	eventCount  int
	queueTime   time.Duration
	predicted   time.Duration
	engineCount int
	// need is the time that the answer was expected to take when it was granted engines while the instance was draining.
	need time.Duration
}

// Values of exchange.answeredBy.
const (
	byTarget = "target"
	byEntry  = "entry"
)

// Values of exchange.noRetry.
const (
	noAttempts = "the attempts of the route are used up"
	noBudget   = "the retry budget is used up"
)

// prepare validates the request and finds its route and pool. It returns false if it has
// already responded.
func (x *exchange) prepare() bool {
	s := x.server
	call, err := s.HeaderCodec.DecodeCall(x.r.Header)
	if err != nil {
		x.respondError(http.StatusBadRequest, err.Error())
		return false
	}
	x.call = call
	if !x.awaitTables() {
		x.respondUnavailable("this instance has no tables yet", noTablesRetryAfter)
		return false
	}
	if n := x.view.index.Tables.Bounds.Header; n > 0 && headBytes(x.r) > n {
		x.respondError(http.StatusRequestHeaderFieldsTooLarge, "the request headers are too large")
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := x.view.index.Route(hostOf(x.r.Host), path)
	if !ok {
		x.respondError(http.StatusNotFound, "no route for this host and path")
		return false
	}
	x.route = route
	if !x.authorise() {
		return false
	}
	limit := x.call.TimeLimit
	if limit <= 0 {
		limit = defaultTimeout
	}
	x.deadline = x.start.Add(min(limit, route.Limit))
	pool, ok := x.view.index.Pool(route.PickPool(rand.Float64()))
	if !ok {
		x.respondUnavailable("the route's pool is missing", longRetryAfter)
		return false
	}
	x.pool = pool
	if x.refuseIfTooLate() {
		return false
	}
	// The body may have taken a while.
	return x.readBody() && !x.refuseIfTooLate() && x.checkRegions()
}

// refuseIfTooLate refuses a request whose answer might not end before this instance does.
func (x *exchange) refuseIfTooLate() bool {
	if !x.outlastsInstance() {
		return false
	}
	x.respondUnavailable(shutdownReason, 0)
	return true
}

// headBytes returns the length of the request line and the headers of a request.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// awaitTables waits for the first tables if the instance has only just started, because
// control is about to send them, and isn't leaving again. It returns false if there are none.
func (x *exchange) awaitTables() bool {
	s := x.server
	if !s.views.isUsable() {
		wait := min(maxTablesWait, startupPeriod-time.Since(s.startedAt))
		if x.call.TimeLimit > 0 {
			wait = min(wait, x.call.TimeLimit/tablesWaitDivisor)
		}
		ctx, cancel := s.untilDrainedFor(x.r.Context(), 0)
		defer cancel()
		s.views.await(ctx, wait)
	}
	if !s.views.isUsable() {
		return false
	}
	// There may have been no tables yet when the request came.
	x.view = s.views.load()
	return true
}

// authorise finds the organisation of the caller's API key. It returns false if it has
// already responded.
func (x *exchange) authorise() bool {
	x.rank = x.route.Rank
	x.regions.bind(x.route.Regions)
	if x.route.Public || !x.view.index.Tables.Keyed {
		return true
	}
	o, ok := x.view.index.Organisation(x.call.Key)
	if !ok || x.call.Key == "" {
		x.respondError(http.StatusUnauthorized, "missing or unknown API key")
		return false
	}
	x.org = o.Name
	x.regions.bind(o.Regions)
	if o.Ranked {
		x.rank, x.routeRank = o.Rank, x.route.Rank
	}
	return true
}

// readBody reads the body of the request. It returns false if it has already responded, or closed
// the connection.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	limit := x.view.index.Tables.Bounds.Body
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	// These fail only on a closed connection, and then the read fails, too.
	conn := http.NewResponseController(x.w)
	_ = conn.SetReadDeadline(x.deadline)
	limited := http.MaxBytesReader(x.w, x.r.Body, limit)
	defer context.AfterFunc(x.server.serving, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })()
	x.buffered = x.server.requestBodies.New(x.r.ContentLength, limit, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	_, err := x.buffered.ReadFrom(limited)
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{})
		x.body = x.buffered.Data
		if x.server.drainingFor() > 0 && guard.SendsAhead(x.r) {
			x.w.Header().Del("Connection")
		}
		return true
	}
	// The rest of the body is not read, so it must not be taken for another request.
	x.w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case x.server.serving.Err() != nil:
		x.respondUnavailable(shutdownReason, 0)
	case errors.As(err, &large):
		x.respondError(http.StatusRequestEntityTooLarge, "the request body is too large")
	case errors.Is(err, guard.ErrBodiesFull):
		x.refuseUnread(limited)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.respondError(http.StatusRequestTimeout, "the request body was not received in time")
	default:
		x.reason = "the request body was not received completely"
		x.abortConnection()
	}
	return false
}

// refuseUnread refuses a request for lack of memory for its body, and discards what the caller
// still sends of it: a caller whose connection is closed meanwhile may not see the response.
func (x *exchange) refuseUnread(body io.Reader) {
	conn := http.NewResponseController(x.w)
	// These fail only on a closed connection.
	_ = conn.EnableFullDuplex()
	x.respondUnavailable("too many large requests are in progress", longRetryAfter)
	_ = conn.Flush()
	_, _ = io.Copy(io.Discard, body)
}

// hostOf returns host without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// respondError responds with an error for which a retry by the caller does not help.
func (x *exchange) respondError(status int, reason string) {
	x.status, x.reason, x.answeredBy = status, reason, byEntry
	x.extendWriteDeadline()
	http.Error(x.w, reason, status)
}

// respondUnavailable responds that the request did not run and when to try again.
func (x *exchange) respondUnavailable(reason string, retry time.Duration) {
	x.status, x.reason, x.answeredBy = http.StatusServiceUnavailable, reason, byEntry
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', -1, 64))
	x.extendWriteDeadline()
	http.Error(x.w, reason, http.StatusServiceUnavailable)
}

// respondFailure ends a request without a response from a target. It responds that the
// request did not run only if that is certain.
func (x *exchange) respondFailure(ctx context.Context, reason string, retry time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.reason = x.endReason()
		x.abortConnection()
	case !x.mayHaveRun:
		x.respondUnavailable(reason, retry)
	case x.server.serving.Err() != nil:
		x.respondError(http.StatusBadGateway, shutdownReason+": "+reason)
	case ctx.Err() != nil:
		x.respondError(http.StatusGatewayTimeout, "the time limit was reached: "+reason)
	default:
		x.respondError(http.StatusBadGateway, reason)
	}
}

// endReason returns why the context of a request, or of its further sends, ended. A caller that disconnects also ends
// the read from the target; that is no failure of the target.
func (x *exchange) endReason() string {
	switch {
	case x.server.serving.Err() != nil:
		// This instance may have closed the connection.
		return shutdownReason
	case x.r.Context().Err() != nil:
		return "the caller disconnected"
	case x.timeLeft() > 0:
		return otherTargetReason
	case time.Until(x.deadline) > 0:
		return shutdownReason
	default:
		return "the time limit was reached"
	}
}

// abortConnection closes the caller's connection, so that it notices a truncated
// response.
func (x *exchange) abortConnection() {
	x.logOutcome()
	httpx.Abort(x.w, x.r)
}

// isRefused reports whether this instance responded that the request did not run.
func (x *exchange) isRefused() bool {
	return x.status == http.StatusServiceUnavailable && x.answeredBy == byEntry
}

// timeLeft returns the time until the request's deadline, or until this instance ends if it drains.
func (x *exchange) timeLeft() time.Duration {
	left := time.Until(x.deadline)
	if drain, ok := x.server.drainLeft(); ok {
		left = min(left, drain)
	}
	return left
}

// logOutcome logs and measures the outcome, once.
func (x *exchange) logOutcome() {
	if x.start.IsZero() {
		return
	}
	took := time.Since(x.start)
	x.start = time.Time{}
	s := x.server
	e := s.Log.Info()
	if x.status >= http.StatusInternalServerError || x.status == 0 || x.truncated {
		e = s.Log.Warn()
	}
	e.Str("id", x.call.ID)
	if x.view != nil && x.view.index != nil {
		e.Int64("version", x.view.index.Tables.Version).Uint64("revision", x.view.revision)
	}
	if x.route != nil {
		e.Str("route", x.route.Name).Str("organisation", x.org).Int("rank", x.rank).Int("route_rank", x.routeRank)
	}
	if x.pool != nil {
		e.Str("pool", x.pool.Name)
	}
	if x.isRefused() && !x.deadline.IsZero() {
		e.Int("output", x.call.MaxOutputTokens).Dur("left", x.timeLeft())
	}
	if x.isBound() {
		e.Strs("regions", x.regions.allowed)
	}
	if x.truncated {
		e.Bool("truncated", true)
	}
	if d := s.drainingFor(); d > 0 {
		e.Dur("draining", d).Dur("need", x.need)
	}
	if x.noRetry != "" {
		e.Str("no_retry", x.noRetry)
	}
	if len(x.call.SharedSegments) > 0 {
		e.Strs("prefix", x.call.SharedSegments)
	}
	if x.sends > 0 && x.status != http.StatusOK {
		e.Str("digest", x.requestDigest())
	}
	if x.relay != "" {
		e.Str("relay", x.relay)
	}
	e.Int("prompt", x.call.PromptTokens).Int("status", x.status).Str("by", x.answeredBy).Str("reason", x.reason).Str("ask", x.grantID).Str("target", x.target).Int("sends", x.sends).
		Int("parts", x.engineCount).Dur("waited", x.queueTime).Dur("expect", x.predicted).Dur("first", x.firstEvent).Dur("pause", x.maxPause).Int("events", x.eventCount).Dur("took", took).
		Msg("request ended")
	s.recordMetrics(x, took)
}
