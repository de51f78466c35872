package gate

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

// received is what the caller has of a stream.
type received struct {
	// headSent reports that the caller has the status and headers of the response. Then mediaType is
	// what they state; "" if nothing.
	headSent  bool
	mediaType string
	// source is the response that the first event came from, and latest the one that the last event did; nil before
	// that.
	source, latest *hop.Response
	// hasUnitStep is set once an ID was one more than the last one, and hasOtherStep once it was another one in the
	// same response. Without the latter, a gap between two responses is a missing event.
	hasUnitStep, hasOtherStep bool
	// isUnnumbered is set once the caller has an event without an ID, which another target would send
	// again.
	isUnnumbered bool
	// hasBegunEvent is set while a target has begun an event that the caller lacks.
	hasBegunEvent bool
	// lastID is the number of the last event that the caller has, if hasLastID is set.
	lastID    int64
	hasLastID bool
}

// classifyAnswer is like classify, and also returns the outcome of a response whose headers show that
// it doesn't continue the stream that the caller has begun to receive.
func (s *stream) classifyAnswer(t site.Target, resp *hop.Response) outcome {
	if o := s.classify(t, resp); o != nil || !s.headSent || resp.StatusCode != http.StatusOK {
		return o
	}
	switch mediaType(resp.Header) {
	case s.mediaType, "":
		return nil
	case eventStreamType:
		if s.mediaType == "" {
			return nil
		}
	}
	s.server.health.recordFailure(t.ID)
	s.logFailedAttempt(t, "response has another media type than the stream", nil)
	return mayHaveRun{"the response of a target does not continue the stream"}
}

// mediaType returns the media type of a response, in lower case; "" if it states none.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// admitEvent returns why a new event of a response can't be the next one of the caller's stream, or "".
// Events of another response than the one that the stream began with must have IDs.
func (s *stream) admitEvent(ctx context.Context, resp *hop.Response, ev hop.Event) (reason string) {
	switch {
	case s.source != nil && !ev.HasID && resp != s.source:
		return "an event has no ID"
	case s.latest != nil && resp != s.latest && ev.HasID && s.hasLastID && ev.ID != s.lastID+1 && s.hasUnitStep && !s.hasOtherStep:
		return "an event is missing"
	case !s.mayRelay(ctx):
		return otherTargetReason
	}
	return ""
}

// isRepeated reports whether the caller already has an event.
func (s *stream) isRepeated(ev hop.Event) bool { return ev.HasID && s.hasLastID && ev.ID <= s.lastID }

// relayEvent writes one event to the caller, unless the caller already has it. It returns
// the reason for a failure, or "".
func (s *stream) relayEvent(resp *hop.Response, ev hop.Event) (reason string) {
	if s.isRepeated(ev) || s.standby != nil {
		return ""
	}
	if !s.headSent {
		s.writeHead(resp)
	}
	s.noteID(resp, ev)
	if !ev.IsComment {
		s.countEvent()
		s.source, s.latest, s.isUnnumbered = cmp.Or(s.source, resp), resp, s.isUnnumbered || !ev.HasID
		s.hasBegunEvent = false
	}
	_, err := s.w.Write(ev.Raw)
	if err == nil {
		err = http.NewResponseController(s.w).Flush()
	}
	if s.callerLost = err != nil; s.callerLost {
		return "the caller disconnected, or did not read in time"
	}
	return ""
}

// noteID notes the ID of an event of a response, and how much it is higher than the last one.
func (r *received) noteID(resp *hop.Response, ev hop.Event) {
	if !ev.HasID {
		return
	}
	switch {
	case !r.hasLastID:
		// IDs that begin at 0 or 1 count the events.
		r.hasUnitStep = ev.ID == 0 || ev.ID == 1
	case ev.ID == r.lastID+1:
		r.hasUnitStep = true
	case r.latest == resp:
		r.hasOtherStep = true
	}
	r.lastID, r.hasLastID = ev.ID, true
}

// begunEventReason is why an answer without further events isn't the end of the stream.
const begunEventReason = "the event stream of a target ended before an event that another one had begun"

// complete ends the response to the caller after the last event. It returns the reason why the answer
// of this target isn't complete, or "".
func (s *stream) complete(ctx context.Context, resp *hop.Response) (reason string) {
	if s.hasBegunEvent {
		return begunEventReason
	}
	if !s.mayRelay(ctx) {
		return otherTargetReason
	}
	// Another target may have fallen silent within an event.
	if s.hasBegunEvent {
		return begunEventReason
	}
	if !s.headSent {
		s.writeHead(resp)
	}
	return ""
}

// countEvent updates the times of the first event and of the longest pause.
func (s *stream) countEvent() {
	if s.eventCount == 0 {
		s.firstEvent = time.Since(s.start)
	} else {
		s.maxPause = max(s.maxPause, time.Since(s.lastEventAt))
	}
	s.lastEventAt = time.Now()
	s.eventCount++
}

// writeHead sends the status and headers of the response to the caller.
func (s *stream) writeHead(resp *hop.Response) {
	s.headSent, s.mediaType = true, mediaType(resp.Header)
	s.status, s.answeredBy = resp.StatusCode, byTarget
	h := s.w.Header()
	for k, v := range s.server.HeaderCodec.CallerHeader(resp.Header) {
		h[k] = v
	}
	s.w.WriteHeader(resp.StatusCode)
}
