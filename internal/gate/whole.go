package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// wholeSilence is how long the engines of a grant may be silent before a whole answer until another one is tried.
func (s *stream) wholeSilence(g place.Grant) time.Duration {
	expected := predictionFactor*s.predicted + s.writeTime(g)
	// If the response is lost, half of the remaining time is left for another engine.
	return min(max(latencyFactor*s.route.Aim, minHeadTimeout, expected), s.timeLeft()/2)
}

// relayWhole passes the whole response of a target on to the caller. It returns "" if the caller has it, and otherwise
// the reason why not, with the error of reading the response if there is one. An error response to a request that may
// go to another target is kept as the fallback.
func (s *stream) relayWhole(ctx context.Context, lead site.Target, resp *hop.Response, att *streamAttempt, end *place.End) (reason string, err error) {
	// The body may stall as well as the head.
	s.next.await(s.timeLeft() / 2)
	resp.SetReadDeadline(time.Time{})
	b, err := s.server.readBody(lead, resp, att.sentAt)
	switch {
	case err != nil && ctx.Err() != nil:
		return s.endReason(), err
	case err != nil:
		return "the response of a target ended early: " + err.Error(), err
	}
	whole := &response{status: resp.StatusCode, header: resp.Header, body: b}
	if resp.StatusCode >= http.StatusInternalServerError {
		end.FailedTarget, end.Answered = lead.ID, true
		if s.route.MayRetry() {
			s.keepFallback(whole)
			return "error response: " + strconv.Itoa(resp.StatusCode), nil
		}
	}
	defer b.release()
	if !s.mayRelay(ctx) || s.headSent {
		return otherTargetReason, nil
	}
	s.recordProgress(att)
	began := time.Now()
	s.writeResponse(whole)
	att.blocked = time.Since(began)
	return "", nil
}

// keepFallback replaces the fallback.
func (s *stream) keepFallback(r *response) {
	s.fallback.release()
	s.fallback = r
}
