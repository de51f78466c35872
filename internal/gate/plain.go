package gate

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// refusalBodyTimeout bounds the wait for the body of a refusal, which is read only to
	// reuse the connection. It normally comes with the head.
	refusalBodyTimeout = 100 * time.Millisecond
	// minAttemptTime is the remaining time below which no further target is tried.
	minAttemptTime = 20 * time.Millisecond
	// latencyFactor times the route's target latency, and at least minHeadTimeout, is how
	// long a target has to answer before another one is tried.
	latencyFactor  = 2
	minHeadTimeout = 100 * time.Millisecond
	// remoteCost is the penalty of a target in another data centre, in in-flight
	// requests: it weighs the cost of the traffic against time in a queue.
	remoteCost = 0.5
)

// noTargetReason is the reason of a refusal because no target accepts the request.
const noTargetReason = "no target is available"

// attempts is the state of a request between its sends.
type attempts struct {
	// hasTurn is set while the request may be sent; see awaitTurn.
	hasTurn bool
	// resumes is set if the caller has a part of the answer, which is lost unless it goes on soon.
	resumes bool
	// reason and retry are what the caller is told if no further target is tried.
	reason string
	retry  time.Duration
}

// plainResult is the result of a request to a plain service.
type plainResult struct {
	// response is the response for the caller; nil if there is none. It is the error of a target unless
	// delivered is set.
	response  *response
	delivered bool
	// reason and retry are what the caller is told without a response.
	reason string
	retry  time.Duration
}

// servePlain sends a request to a plain service.
func (x *exchange) servePlain(ctx context.Context) {
	r := x.runPlain(ctx)
	defer r.response.release()
	if r.response != nil && x.r.Context().Err() == nil {
		x.writeResponse(r.response)
		return
	}
	x.respondFailure(ctx, r.reason, r.retry)
}

// runPlain sends a request to one target after the other until one has answered without an error.
func (x *exchange) runPlain(ctx context.Context) plainResult {
	// fallback is an error response that is passed on if no other target succeeds.
	var fallback *response
	a := attempts{reason: noTargetReason, retry: shortRetryAfter}
	for {
		t, ok := x.nextTarget(ctx, &a)
		if !ok {
			break
		}
		a.hasTurn = false
		resp, o := x.sendHedged(ctx, t)
		switch o := o.(type) {
		case delivered:
			fallback.release()
			return plainResult{response: resp, delivered: true}
		case serverError:
			fallback.release()
			fallback = resp
			a.reason = "targets answered with an error"
			x.mayHaveRun = true
		case notRun:
			a.reason, a.retry = o.reason, longRetryAfter
		case mayHaveRun:
			a.reason = o.reason
			x.mayHaveRun = true
		}
		x.failedTargets = append(x.failedTargets, t.ID)
		if x.mayHaveRun && !x.route.MayRetry() {
			break
		}
	}
	return plainResult{response: fallback, reason: a.reason, retry: a.retry}
}

// nextTarget returns the target to send the request to, once it has its turn. It returns false if there is
// none, or no time or budget for it.
func (x *exchange) nextTarget(ctx context.Context, a *attempts) (site.Target, bool) {
	for x.timeLeft() > minAttemptTime && ctx.Err() == nil {
		x.server.pauses.await(ctx)
		if left, blocked := x.server.blocklist.find(x); blocked {
			a.reason, a.retry = blockedReason, left
			break
		}
		if x.sends > 0 && !x.mayRetry() {
			break
		}
		if !a.resumes && !x.mayStart(ctx, a) {
			break
		}
		if t, ok := x.pickTarget(); ok {
			return t, x.sends == 0 || x.acquireRetry()
		}
		var reopened bool
		if reopened, a.retry = x.awaitPool(ctx, a); !reopened {
			break
		}
	}
	return site.Target{}, false
}

// mayStart waits until it is the turn of a request of which the caller has no answer yet. It returns false, with the reason in a, if
// it is refused or would end too late.
func (x *exchange) mayStart(ctx context.Context, a *attempts) bool {
	if !a.hasTurn {
		var after time.Duration
		if after, a.hasTurn = x.awaitTurn(ctx); !a.hasTurn {
			a.reason, a.retry = fullReason, after
			return false
		}
	}
	if x.takesTooLong() {
		a.reason, a.retry = shutdownReason, 0
		return false
	}
	return true
}

// awaitPool waits for a target that accepts requests again if that is soon enough for the answer
// to be on time, or before its caller leaves if it has a part already. Otherwise it returns false, and when to try
// again: as before if no target says when.
func (x *exchange) awaitPool(ctx context.Context, a *attempts) (reopened bool, retryAfter time.Duration) {
	reopens, closed := x.poolReopens()
	if !closed {
		return false, a.retry
	}
	wanted := x.route.Aim - time.Since(x.start)
	if a.resumes {
		wanted = x.eventTimeout()
	}
	maxWait := min(x.timeLeft(), wanted) / 2
	return reopens <= maxWait && timing.Sleep(ctx, reopens), reopens
}

// mayRetry reports whether the request could be sent to one more target now.
func (x *exchange) mayRetry() bool { return x.checkRetry(x.server.Budget.allowsRetry) }

// acquireRetry reports whether the request may be sent to one more target, and counts
// that as a retry.
func (x *exchange) acquireRetry() bool { return x.checkRetry(x.server.Budget.acquireRetry) }

// checkRetry reports whether the attempts of the route and the budget, which it asks with allows, have
// room for one more send. Otherwise it records why not.
func (x *exchange) checkRetry(allows func(pool string, instances int) bool) bool {
	if x.sends >= max(1, x.route.Attempts) {
		x.noRetry = noAttempts
		return false
	}
	if !allows(x.pool.Name, int(x.server.instanceCount.Load())) {
		x.noRetry = noBudget
		metrics.GetOrRegisterCounter("gate.repeats_refused", x.server.Metrics).Inc(1)
		return false
	}
	return true
}

// canRetryElsewhere reports whether the request may go to another target if t does not
// answer, and whether there is one.
func (x *exchange) canRetryElsewhere(t site.Target) bool {
	if !x.route.MayRetry() || x.sends+1 >= x.route.Attempts {
		return false
	}
	for _, o := range x.server.views.load().pools[x.pool.Name] {
		if o.ID != t.ID && x.allows(o.DataCentre) && !slices.Contains(x.failedTargets, o.ID) && !x.server.health.isClosed(o) {
			return true
		}
	}
	return false
}

// pickTarget returns the target with the fewest in-flight requests; targets in other data
// centres have a penalty, and ejected ones are used only if there is no other. It counts the
// request against the limit of the target.
func (x *exchange) pickTarget() (site.Target, bool) {
	for {
		t, ok := x.bestTarget()
		if !ok || x.server.health.takeTurn(t, x.server.limitShares()) {
			return t, ok
		}
	}
}

// bestTarget returns the target that pickTarget chooses.
func (x *exchange) bestTarget() (site.Target, bool) {
	var best site.Target
	bestCost, found := 0.0, false
	for _, wantHealthy := range [...]bool{true, false} {
		for _, t := range x.server.views.load().pools[x.pool.Name] {
			if !x.isOpen(t) {
				continue
			}
			inFlight, ejected := x.server.health.state(t.ID)
			if ejected && wantHealthy {
				continue
			}
			cost := float64(inFlight) + rand.Float64()/4
			if t.DataCentre != x.server.DataCentre {
				cost += remoteCost
			}
			if !found || cost < bestCost {
				best, bestCost, found = t, cost, true
			}
		}
		if found {
			break
		}
	}
	return best, found
}

// isOpen reports whether a target has not failed the request, is in an allowed region and accepts
// requests of this instance now.
func (x *exchange) isOpen(t site.Target) bool {
	wait, ok := x.server.health.opensIn(t, x.server.limitShares())
	return ok && wait == 0 && x.allows(t.DataCentre) && !slices.Contains(x.failedTargets, t.ID)
}

// poolReopens returns how long it takes until a target of the pool accepts requests of this
// instance again. It returns false if one of them accepts other requests now, or if none says
// how long.
func (x *exchange) poolReopens() (reopens time.Duration, closed bool) {
	for _, t := range x.server.views.load().pools[x.pool.Name] {
		if !x.allows(t.DataCentre) {
			continue
		}
		wait, ok := x.server.health.opensIn(t, x.server.limitShares())
		if ok && wait == 0 {
			return 0, false
		}
		if ok && (reopens == 0 || wait < reopens) {
			reopens = wait
		}
	}
	return reopens, reopens > 0
}

// outcome is the result of one send.
type outcome interface{ outcome() }

// delivered means that the response is complete and not a server error.
type delivered struct{}

// serverError means that the target ran the request and answered with a 5xx status.
type serverError struct{}

// notRun means that the request certainly did not run.
type notRun struct{ reason string }

// mayHaveRun means that the request may or may not have run.
type mayHaveRun struct{ reason string }

func (delivered) outcome()   {}
func (serverError) outcome() {}
func (notRun) outcome()      {}
func (mayHaveRun) outcome()  {}

// response is a complete, buffered response of a target.
type response struct {
	status int
	header http.Header
	body   *body
}

// release returns the memory of the response, if there is one.
func (r *response) release() {
	if r != nil {
		r.body.release()
	}
}

// sendHedged sends the request to one target, and to others while that one is silent if it may go there.
func (x *exchange) sendHedged(ctx context.Context, t site.Target) (*response, outcome) {
	if !x.canRetryElsewhere(t) {
		return x.send(ctx, t, nil)
	}
	h, sendCtx := x.newHedge(ctx, t)
	resp, o := x.send(sendCtx, t, h)
	return h.finish(x, resp, o)
}

// send sends the request to one target and buffers the response. The hedge h may be nil.
func (x *exchange) send(ctx context.Context, t site.Target, h *hedge) (*response, outcome) {
	s := x.server
	defer s.health.track(t.ID)()
	x.target = t.ID
	q := x.buildRequest(t, SendInfo{Urgency: -1, LastEventID: x.call.LastEventID, HasLastEventID: x.call.HasLastEventID})
	sentAt := time.Now()
	resp, err := s.TargetClient.Do(ctx, t.Address, q)
	if err != nil {
		err = sendError(ctx, err, sentAt)
		x.recordIfCrashed(send{target: t, at: sentAt, isRecorded: h.hasStarted()}, err)
		return nil, x.classifySendError(t, err)
	}
	reuse := false
	defer func() { resp.Close(reuse) }()
	x.sends++
	x.relay = relayOf(resp)
	s.blocklist.recordResponse(t, resp.StatusCode)
	x.recordNotice(t, resp, sentAt)
	if o := x.classify(t, resp); o != nil {
		_, ok := o.(notRun)
		if ok && resp.StatusCode != http.StatusMisdirectedRequest {
			x.recordFull()
		}
		reuse = ok && keepsConnection(resp)
		return nil, o
	}
	// The body may stall as well as the head.
	h.await(x.timeLeft() / 2)
	body, err := s.readBody(t, resp, sentAt)
	if err != nil {
		err = sendError(ctx, err, sentAt)
		failed := send{target: t, at: sentAt, isRecorded: h.hasStarted()}
		if (ctx.Err() == nil || isSilence(err)) && !errors.Is(err, guard.ErrResponsesFull) {
			s.health.recordFailure(t.ID)
			x.recordIfCrashed(failed, err)
		} else if ctx.Err() != nil {
			x.watchSend(failed, err, time.Now())
		}
		x.logFailedAttempt(t, "response ended early", err)
		return nil, mayHaveRun{"the response of a target ended early"}
	}
	reuse = true
	s.answers.add(x.kind(), answer{took: time.Since(sentAt)})
	s.blocklist.recordSurvival(x, sentAt)
	buffered := &response{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.logFailedAttempt(t, "error response: "+strconv.Itoa(resp.StatusCode), nil)
		return buffered, serverError{}
	}
	s.health.recordSuccess(t.ID)
	took := time.Since(sentAt)
	x.recordAnswered(took, took)
	return buffered, delivered{}
}

// keepsConnection reports whether the connection of a refusal can be reused. One that leads to another process
// than the one wanted is of no use.
func keepsConnection(resp *hop.Response) bool {
	return resp.StatusCode != http.StatusMisdirectedRequest && drainBody(resp)
}

// drainBody discards what is left of a refusal, so that the connection can be reused. It
// returns false if the body is too long, too slow or broken.
func drainBody(resp *hop.Response) bool {
	const maxBytes = 64 << 10
	resp.SetReadDeadline(time.Now().Add(refusalBodyTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBytes))
	return err == nil && n < maxBytes
}

// maxIdleConns returns the bound of idle connections of this instance to a target that accepts
// limit connections in all; see hop.Request.MaxIdle. Instances share three quarters of them, so
// that idle connections of some don't keep out the requests of others.
func maxIdleConns(limit, instances int) int {
	if limit <= 0 {
		return 0
	}
	n := limit * 3 / (4 * instances)
	if n == 0 {
		return -1
	}
	return min(n, hop.DefaultMaxIdle)
}

// buildRequest returns the request to a target.
func (x *exchange) buildRequest(t site.Target, s SendInfo) *hop.Request {
	s.TimeLimit, s.TargetID, s.Organisation = max(time.Millisecond, x.timeLeft()), t.ID, x.org
	codec := x.server.HeaderCodec
	id := x.call.ID
	return &hop.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: codec.TargetHeader(x.r.Header, s), Body: x.body,
		// The responses to requests without an ID can't be told apart.
		NewConn: !x.route.MayRetry() || id == "", MaxIdle: maxIdleConns(x.pool.Connections, x.server.limitShares()),
		Matches: func(h http.Header, reused bool) bool {
			c := codec.DecodeReply(h).RequestID
			return c == id || c == "" && !reused
		},
	}
}

// classifySendError returns the outcome of a send that returned no response headers, and
// records it as a failure of the target.
func (x *exchange) classifySendError(t site.Target, err error) outcome {
	x.server.health.recordFailure(t.ID)
	var unreachable *engine.Unreachable
	if errors.As(err, &unreachable) {
		x.logFailedAttempt(t, "target unreachable", err)
		return notRun{"a target could not be reached"}
	}
	x.sends++
	x.logFailedAttempt(t, "no response", err)
	return mayHaveRun{"the connection to a target ended early"}
}

// recordNotice records what a target asks of this instance in its response: that it is
// leaving, a pause after a refusal, or a limit. It returns the pause. A response with the ID of
// another request is ignored. The request was sent at sentAt.
func (x *exchange) recordNotice(t site.Target, resp *hop.Response, sentAt time.Time) (pause time.Duration) {
	reply := x.server.HeaderCodec.DecodeReply(resp.Header)
	if reply.RequestID != "" && reply.RequestID != x.call.ID {
		return 0
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		pause = reply.RetryAfter
	}
	x.server.recordNotice(t, reply.Leaving, pause)
	tellRelay(resp, relay.Notice{Leaving: reply.Leaving, Pause: pause})
	// A proxy on the way may have answered instead.
	isOwn := reply.RequestID == x.call.ID && (reply.Sealed || reply.NotRun)
	if isOwn {
		x.server.recordCold(t, reply.Cold)
	}
	if reply.HasLimit || isOwn {
		x.server.recordLimit(t, reply, sentAt)
	}
	return pause
}

// recordNotice records that a target is leaving, which it also reports to the leader, or
// that it wants no requests for the duration pause.
func (s *Server) recordNotice(t site.Target, leaving bool, pause time.Duration) {
	if !s.health.recordNotice(t, leaving, pause) {
		return
	}
	s.Log.Info().Str("target", t.ID).Str("address", t.Address).Int64("born", t.StartedMs).Bool("leaving", leaving).Dur("pause", pause).
		Msg("target asked for no more requests")
	if leaving {
		s.blocklist.recordLeaving(t)
		s.Link.Send(func(m *link.FollowerMessage) { m.Leaving = append(m.Leaving, departures([]site.Target{t})...) })
	}
}

// classify returns the outcome that follows from the response headers alone, or nil if
// the body must be read. It records a refusal or an invalid response as a failure of the
// target.
func (x *exchange) classify(t site.Target, resp *hop.Response) outcome {
	reply := x.server.HeaderCodec.DecodeReply(resp.Header)
	code := resp.StatusCode
	switch {
	case (reply.NotRun || code == http.StatusMisdirectedRequest) && reply.RequestID == x.call.ID:
		x.server.health.recordFailure(t.ID)
		x.logFailedAttempt(t, "refused: "+http.StatusText(code), nil)
		return notRun{"targets refused the request"}
	case reply.NotRun || impliesNotRun(code):
		// Callers conclude from this status that the request did not run. The target did
		// not state that of this request, so the status is not passed on.
		x.logFailedAttempt(t, "may have run despite status: "+http.StatusText(code), nil)
		return mayHaveRun{"a target answered with a busy status"}
	case !reply.Sealed, resp.Header.Get("Content-Encoding") != "", reply.RequestID != x.call.ID:
		x.server.health.recordFailure(t.ID)
		x.logFailedAttempt(t, "response has no seal, is encoded or has another ID", nil)
		return mayHaveRun{"the response of a target is invalid"}
	}
	return nil
}

// impliesNotRun reports whether callers conclude from a status that the request did not
// run.
func impliesNotRun(code int) bool {
	switch code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// logFailedAttempt logs a send that failed or got an error response.
func (x *exchange) logFailedAttempt(t site.Target, what string, err error) {
	x.server.Log.Warn().Str("id", x.call.ID).Str("ask", x.grantID).Str("target", t.ID).Str("address", t.Address).Int("sends", x.sends).
		Dur("after", time.Since(x.start)).Str("what", what).Err(err).Msg("send failed")
}

// writeResponse sends a buffered response to the caller.
func (x *exchange) writeResponse(resp *response) {
	h := x.w.Header()
	for k, v := range x.server.HeaderCodec.CallerHeader(resp.header) {
		h[k] = v
	}
	x.extendWriteDeadline()
	x.status, x.answeredBy = resp.status, byTarget
	if resp.status >= http.StatusBadRequest {
		x.reason = "the target answered with " + strconv.Itoa(resp.status)
	}
	h.Del("Transfer-Encoding")
	h.Set("Content-Length", strconv.Itoa(resp.body.length))
	x.w.WriteHeader(resp.status)
	for _, chunk := range resp.body.chunks {
		// A failed write closes the connection, which the caller sees.
		if _, err := x.w.Write(chunk); err != nil {
			return
		}
	}
}
