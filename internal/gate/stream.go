package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// The caller of a stream is assumed to give up after a time without an event: the
	// longest of minEventTimeout, firstEventFactor times the route's target for the first
	// event, and pauseFactor times its target for the pause between events.
	minEventTimeout  = 2 * time.Second
	firstEventFactor = 4
	pauseFactor      = 8
	// firstEventShare is the fraction of that timeout after which another target is tried
	// if the first event is missing. An engine gets at least predictionFactor times the
	// predicted time.
	firstEventShare  = 0.4
	predictionFactor = 4
	// stallShare is the fraction of that timeout for which a target may be silent in the
	// middle of an answer before another target is tried.
	stallShare = 0.8
	// maxIdleBytes bounds the comments and repeated events between two new events.
	maxIdleBytes = 64 << 10
	// maxCountedPause is the part of a pause between two events that counts as written.
	maxCountedPause = 250 * time.Millisecond
	// maxRefusals bounds the number of engines that may refuse one request.
	maxRefusals = 4
	// otherTargetReason is why an attempt ends when another target has gone on with the answer.
	otherTargetReason = "another target went on with the answer"
	// slowCallerTime is how long a write to the caller must have blocked until the end of an
	// target's connection is no failure of the target: targets cut off responses that stay unread
	// for some seconds.
	slowCallerTime = time.Second
)

// stream is an exchange whose answer is relayed from targets to the caller: event by event, or as a whole if
// the kind of the route says so.
type stream struct {
	*exchange
	received
	// pauseCount is the number of pauses of this process when the last grant was requested.
	pauseCount int
	// refusals is the number of attempts that did not run because targets refused the
	// request, could not be reached or were no longer ready.
	refusals int
	// callerLost is set once the response could not be written to the caller.
	callerLost bool
	// next tries another target while the current one is silent; nil if there is none to try.
	next *takeover
	// standby is the takeover that this stream belongs to, until it continues the answer; nil if
	// it belongs to none.
	standby *takeover
	// fallback is an error response that is passed on if no other target answers; nil if there is none.
	fallback *response
}

// serveStream sends a request to targets and relays the answer to the caller.
func (x *exchange) serveStream(ctx context.Context) {
	s := &stream{exchange: x, received: received{lastID: x.call.LastEventID, hasLastID: x.call.HasLastEventID}}
	if x.pool.Engine != nil {
		x.server.placer.awaitLink(ctx)
	}
	done, reason, retry := s.run(ctx)
	defer func() { s.fallback.release() }()
	if done {
		return
	}
	if s.fallback != nil && !s.headSent && x.r.Context().Err() == nil {
		x.writeResponse(s.fallback)
		return
	}
	if s.headSent {
		x.reason, x.truncated = reason, x.r.Context().Err() == nil
		x.abortConnection()
	}
	x.respondFailure(ctx, reason, retry)
}

// run sends the request to one target after the other until the caller has a complete response. It
// returns done if that is so, and otherwise the reason why not and when to try again.
func (s *stream) run(ctx context.Context) (done bool, reason string, retry time.Duration) {
	a := s.newAttempts()
	for ctx.Err() == nil && !s.callerLost && s.timeLeft() > minAttemptTime && s.mayBeRefused() {
		if left, blocked := s.server.blocklist.find(s.exchange); blocked {
			return false, blockedReason, left
		}
		if s.sends > 0 && (s.isUnnumbered || s.mayHaveRun && !s.route.MayRetry() || !s.mayRetry()) {
			break
		}
		p, ok := s.acquire(ctx, &a)
		if !ok {
			break
		}
		done, a.reason = s.attempt(ctx, p)
		if next := s.next; next != nil {
			s.next = nil
			done, a.reason = next.finish(done, a.reason)
		}
		if done {
			break
		}
	}
	return done, a.reason, a.retry
}

// firstEventTimeout is how long the caller waits for the first event.
func (s *stream) firstEventTimeout() time.Duration {
	return min(s.eventTimeout(), s.deadline.Sub(s.start))
}

// eventTimeout is how long the caller waits for the next event.
func (x *exchange) eventTimeout() time.Duration {
	return max(minEventTimeout, firstEventFactor*x.route.Aim, pauseFactor*x.route.Pause)
}

// sendTo sends the request to the lead and relays the response. It leaves an engine that doesn't use the memory that is
// reserved for the request.
func (s *stream) sendTo(ctx context.Context, to assignment, end *place.End) (done bool, reason string) {
	lead := to.lead
	defer s.server.health.track(lead.ID)()
	att := streamAttempt{target: lead, grant: to.grant, sentAt: time.Now(), resumes: s.hasLastID, unused: to.unused}
	q := s.buildRequest(lead, SendInfo{Urgency: to.urgency, Helpers: to.helpers, LastEventID: s.lastID, HasLastEventID: s.hasLastID})
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(to.unused, cancel)()
	if s.canRetryElsewhere(lead) {
		s.next = newTakeover(ctx, s, &att, cancel)
		defer s.next.firstEnds()
	}
	q.HeadTimeout = s.firstEventLimit()
	resp, err := s.server.TargetClient.Do(sendCtx, lead.Address, q)
	if err != nil {
		return s.handleSendError(ctx, &att, err, end)
	}
	reuse := false
	defer func() { resp.Close(reuse) }()
	s.sends++
	s.relay = relayOf(resp)
	s.server.blocklist.recordResponse(lead, resp.StatusCode)
	end.Pause = s.recordNotice(lead, resp, att.sentAt)
	if o := s.classifyAnswer(lead, resp); o != nil {
		_, refused := o.(notRun)
		end.FailedTarget, end.Answered = s.faultyTarget(lead, resp), !refused
		s.recordRefusal(resp, refused)
		reuse = refused && keepsConnection(resp)
		return s.handleFailedAttempt(lead, o)
	}
	switch {
	case !s.relaysEvents(resp):
		reason, err = s.relayWhole(ctx, lead, resp, &att, end)
	case resp.StatusCode != http.StatusOK:
		return s.handleErrorResponse(ctx, lead, resp, &att, end)
	default:
		reason, err = s.relayEvents(ctx, lead, resp, &att)
	}
	if reason != "" {
		return false, s.handleBrokenStream(ctx, lead, &att, reason, err, end)
	}
	reuse = true
	s.recordComplete(&att)
	return true, ""
}

// recordComplete records that an attempt has completed the answer.
func (s *stream) recordComplete(att *streamAttempt) {
	if !att.firstEventAt.IsZero() {
		s.server.blocklist.recordSurvival(s.exchange, att.firstEventAt)
	}
	if !att.resumes {
		s.server.answers.add(s.kind(), s.measure(att))
	}
	s.server.health.recordSuccess(att.target.ID)
	s.recordAnswer(att)
}

// handleBrokenStream handles an attempt that ended for reason while its events were relayed, with the error
// err of reading them if there is one. It returns the reason for the log.
func (s *stream) handleBrokenStream(ctx context.Context, lead site.Target, att *streamAttempt, reason string, err error, end *place.End) string {
	s.mayHaveRun = true
	silent := &engine.Silent{After: time.Since(att.record().lastByteAt())}
	switch {
	case s.next.firstEnds():
		reason, err = "a target was silent, and another one continued its answer", silent
	case att.unused.Err() != nil:
		reason, err = "an engine did not use the memory that was reserved for it", silent
	}
	failed := att.record()
	failed.isRecorded = s.next.hasStarted()
	if ctx.Err() != nil || s.callerLost {
		s.watchSend(failed, err, time.Now())
		return reason
	}
	switch {
	case att.maxBlocked >= slowCallerTime:
		reason += ", after the caller had not read for a while"
	case errors.Is(err, guard.ErrResponsesFull):
		s.failedTargets = append(s.failedTargets, lead.ID)
	default:
		end.FailedTarget = lead.ID
		s.failedTargets = append(s.failedTargets, lead.ID)
		s.server.health.recordFailure(lead.ID)
	}
	s.logFailedAttempt(lead, reason, nil)
	end.Answered = !s.recordIfCrashed(failed, err) && !isSilence(err)
	return reason
}

// handleSendError handles a send that returned no response headers.
func (s *stream) handleSendError(ctx context.Context, att *streamAttempt, err error, end *place.End) (done bool, reason string) {
	if s.next.firstEnds() || att.unused.Err() != nil {
		err = &engine.Silent{After: time.Since(att.sentAt)}
	}
	failed := att.record()
	failed.isRecorded = s.next.hasStarted()
	if ctx.Err() != nil {
		s.sends++
		s.mayHaveRun = true
		s.watchSend(failed, err, time.Now())
		return false, s.endReason()
	}
	var unreachable *engine.Unreachable
	end.FailedTarget, end.Unreachable = failed.target.ID, errors.As(err, &unreachable)
	end.Answered = !s.recordIfCrashed(failed, err) && !end.Unreachable && !isSilence(err)
	return s.handleFailedAttempt(failed.target, s.classifySendError(failed.target, err))
}

// handleFailedAttempt excludes the lead and records whether the request may have run.
func (s *stream) handleFailedAttempt(lead site.Target, o outcome) (done bool, reason string) {
	switch o := o.(type) {
	case notRun:
		reason = o.reason
		s.refusals++
	case mayHaveRun:
		reason = o.reason
		s.mayHaveRun = true
	}
	s.failedTargets = append(s.failedTargets, lead.ID)
	return false, reason
}

// handleErrorResponse relays the error response of a target, or leaves the request to another
// one.
func (s *stream) handleErrorResponse(ctx context.Context, lead site.Target, resp *hop.Response, att *streamAttempt, end *place.End) (done bool, reason string) {
	s.mayHaveRun = true
	isFailure := resp.StatusCode >= http.StatusInternalServerError
	if isFailure {
		end.FailedTarget, end.Answered = lead.ID, true
	}
	var err error
	if !s.headSent {
		mayRetry := isFailure && s.route.MayRetry()
		limit := s.eventTimeout()
		if mayRetry {
			// Another target may answer meanwhile.
			limit = refusalBodyTimeout
		}
		resp.SetReadDeadline(time.Now().Add(limit))
		var b *body
		b, err = s.server.readBody(lead, resp, att.sentAt)
		failure := &response{status: resp.StatusCode, header: resp.Header, body: b}
		switch {
		case err != nil:
		case mayRetry:
			s.keepFallback(failure)
		default:
			defer b.release()
			if s.mayRespond(ctx) {
				s.writeResponse(failure)
				return true, ""
			}
		}
	}
	s.failedTargets = append(s.failedTargets, lead.ID)
	s.logFailedAttempt(lead, "error response: "+http.StatusText(resp.StatusCode), err)
	return false, "a target answered with an error"
}

// streamAttempt describes one send while its events are relayed.
type streamAttempt struct {
	target site.Target
	grant  place.Grant
	sentAt time.Time
	// resumes is set if the caller has a part of the answer.
	resumes bool
	// unused is reservations.unused, with which the attempt ends.
	unused context.Context
	// firstEventAt is when the first new event came, and lastEventAt when the last one did;
	// zero before that.
	firstEventAt, lastEventAt time.Time
	// written is how long the target has been writing the answer, at least. A pause counts for
	// maxCountedPause at most: what comes after a pause of this process was written before.
	written time.Duration
	// survived is set once the target has written for poison.SurvivalTime.
	survived bool
	// maxBlocked is the longest time for which a write to the caller has blocked, and blocked the sum of all.
	maxBlocked, blocked time.Duration
}

// relayEvents relays the events of a response to the caller. It returns "" after the last
// event, and otherwise the reason why the stream ended early, with the error of reading it if
// there is one.
func (s *stream) relayEvents(ctx context.Context, lead site.Target, resp *hop.Response, att *streamAttempt) (reason string, err error) {
	events := resp.Events()
	if limit := s.firstEventLimit(); limit > 0 {
		resp.SetReadDeadline(time.Now().Add(limit))
	}
	idleBytes := 0
	for {
		ev, err := events.Next()
		if err != nil {
			s.hasBegunEvent = s.hasBegunEvent || ev.IsPartial && !s.isRepeated(ev)
			return s.endRelay(ctx, resp, att, err)
		}
		isNew := !ev.IsComment && !s.isRepeated(ev)
		if isNew {
			if reason := s.admitEvent(ctx, resp, ev); reason != "" {
				return reason, nil
			}
			s.recordProgress(att)
			s.server.blocklist.recordAlive(lead)
		}
		began := time.Now()
		if reason := s.relayEvent(resp, ev); reason != "" {
			return reason, nil
		}
		blocked := time.Since(began)
		att.maxBlocked, att.blocked = max(att.maxBlocked, blocked), att.blocked+blocked
		if ctx.Err() != nil {
			return s.endReason(), nil
		}
		if isNew {
			idleBytes = 0
			// From here on the caller decides how long to wait.
			resp.SetReadDeadline(time.Time{})
			s.awaitNext()
			continue
		}
		if idleBytes += len(ev.Raw); idleBytes > maxIdleBytes {
			return "the event stream of a target has no new event in 64 KiB", nil
		}
	}
}

// awaitNext has another target continue the stream after a stall, if one can.
func (s *stream) awaitNext() {
	if !s.isUnnumbered {
		s.next.await(time.Duration(stallShare * float64(s.eventTimeout())))
	}
}

// endRelay returns the results of relayEvents after an error of the event reader, which is io.EOF
// after the last event.
func (s *stream) endRelay(ctx context.Context, resp *hop.Response, att *streamAttempt, err error) (reason string, cause error) {
	switch {
	case errors.Is(err, io.EOF) && s.server.endedWithProcess(att.target, resp, att.sentAt):
		return "the process of a target ended with its event stream", io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF):
		return s.complete(ctx, resp), nil
	case ctx.Err() != nil:
		return s.endReason(), nil
	default:
		return "the event stream of a target ended early: " + err.Error(), err
	}
}

// recordProgress records that a new event has come.
func (s *stream) recordProgress(att *streamAttempt) {
	now := time.Now()
	if att.firstEventAt.IsZero() {
		att.firstEventAt, att.lastEventAt = now, now
		if att.grant.ID != "" {
			s.server.placer.reportFirstEvent(att.grant.ID, now.Sub(att.sentAt))
		}
	}
	att.written += min(now.Sub(att.lastEventAt), maxCountedPause)
	att.lastEventAt = now
	if !att.survived && att.written >= poison.SurvivalTime {
		att.survived = true
		s.server.blocklist.recordSurvival(s.exchange, att.firstEventAt)
	}
}

// record returns what is recorded of the send if it fails.
func (a *streamAttempt) record() send {
	return send{target: a.target, at: a.sentAt, written: a.written, lastEventAt: a.lastEventAt}
}

// firstEventLimit is how long the wait for the first event of a target may last; 0 means until the time
// limit of the request. If the caller has a part of the answer already and no other target may be tried,
// the caller decides how long to wait, as it does for a whole answer.
func (s *stream) firstEventLimit() time.Duration {
	if s.headSent && s.next == nil || !s.hasEvents() {
		return 0
	}
	return s.eventTimeout()
}
