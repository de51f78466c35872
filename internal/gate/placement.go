package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// placement is where the next attempt of a stream goes.
type placement interface{ placement() }

// granted are engines that the scheduler has granted, or a local placement core.
type granted struct{ place.Grant }

// picked is a plain service that this instance has picked itself.
type picked struct{ site.Target }

func (granted) placement() {}
func (picked) placement()  {}

// assignment is what is set aside for one attempt.
type assignment struct {
	lead site.Target
	// urgency is SendInfo.Urgency.
	urgency int
	// grant and helpers are empty at a plain service.
	grant   place.Grant
	helpers []PrefillHelper
	// unused is reservations.unused; it never ends without reservations.
	unused context.Context
}

// noUrgency is the value of SendInfo.Urgency at a plain service.
const noUrgency = -1

// newAttempts returns the state before the first attempt.
func (s *stream) newAttempts() attempts {
	if s.pool.Engine != nil {
		return attempts{reason: "no engine was free in time", retry: longRetryAfter}
	}
	return attempts{reason: noTargetReason, retry: shortRetryAfter}
}

// mayBeRefused reports whether the request may be refused once more. A plain service that has refused it isn't picked again, so
// that their number is the limit.
func (s *stream) mayBeRefused() bool { return s.pool.Engine == nil || s.refusals < maxRefusals }

// acquire obtains a placement for the next attempt. It returns false if there is none, with the reason in a.
func (s *stream) acquire(ctx context.Context, a *attempts) (placement, bool) {
	if s.pool.Engine == nil {
		a.hasTurn, a.resumes = false, s.headSent
		if s.refusals > 0 {
			a.retry = longRetryAfter
		}
		t, ok := s.nextTarget(ctx, a)
		return picked{t}, ok
	}
	g, err := s.acquireGrant(ctx)
	var r *refusedError
	if errors.As(err, &r) {
		a.reason, a.retry = r.Reason, r.RetryAfter
	}
	return granted{g}, err == nil
}

// attempt makes an attempt at a placement. It returns done if the caller has a complete response, and otherwise the reason
// why not.
func (s *stream) attempt(ctx context.Context, p placement) (done bool, reason string) {
	switch p := p.(type) {
	case granted:
		done, reason = s.attemptGranted(ctx, p.Grant)
	case picked:
		s.target = p.ID
		done, reason = s.sendTo(ctx, assignment{lead: p.Target, urgency: noUrgency, unused: context.Background()}, &place.End{})
	}
	return done, reason
}

// recordSilence records that the target of an attempt is silent, so that other requests go elsewhere meanwhile.
func (s *stream) recordSilence(att *streamAttempt) {
	if s.pool.Engine == nil {
		s.server.health.recordFailure(att.target.ID)
		return
	}
	s.server.placer.reportSilence(att.grant.ID)
}

// recordRefusal tells the admission of a plain service that it has refused the request because it is full.
func (s *stream) recordRefusal(resp *hop.Response, refused bool) {
	if s.pool.Engine == nil && refused && resp.StatusCode != http.StatusMisdirectedRequest {
		s.recordFull()
	}
}

// recordAnswer tells the admission of a plain service that it has answered.
func (s *stream) recordAnswer(att *streamAttempt) {
	if s.pool.Engine != nil {
		return
	}
	took := time.Since(att.sentAt) - att.blocked
	latency := took
	if s.hasEvents() && !att.firstEventAt.IsZero() {
		latency = att.firstEventAt.Sub(att.sentAt)
	}
	s.recordAnswered(took, latency)
}
