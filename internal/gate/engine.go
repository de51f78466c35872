package gate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// acquireGrant obtains engines for the next attempt.
func (s *stream) acquireGrant(ctx context.Context) (place.Grant, error) {
	s.pauseCount = s.server.pauses.pauseCount()
	req := s.placementRequest()
	g, err := s.acquireInTime(ctx, &req)
	s.grantID = req.ID
	s.queueTime += g.Waited
	if err != nil && s.sends > 0 {
		s.noRetry = err.Error()
	}
	return g, err
}

// placementRequest returns a new request for placement, with the time left and the failed
// targets as of now.
func (s *stream) placementRequest() place.Request {
	age := time.Since(s.start)
	req := place.Request{
		ID: s.server.placer.newID(), Pool: s.pool.Name, Prompt: s.call.PromptTokens, Output: s.call.MaxOutputTokens,
		TTFTLeft: s.route.Aim - age, TTFTTarget: s.route.Aim, MaxPause: s.route.Pause, TimeLeft: s.firstEventTimeout() - age, Rank: s.rank,
		DataCentre: s.server.DataCentre, Avoid: s.avoidedTargets(), PauseTimeout: s.eventTimeout(), Resumed: s.headSent,
		RouteRank: s.routeRank, Organisation: s.org, CallerLeft: s.timeLeft(), Regions: s.regions.allowed,
	}
	if s.call.ExpectedOutputTokens > 0 {
		req.Output = min(req.Output, s.call.ExpectedOutputTokens)
	}
	if !s.hasEvents() {
		// The caller gets nothing before the end of the answer, and gives up at its time limit only.
		req.Whole, req.MaxPause, req.PauseTimeout, req.TimeLeft = true, req.CallerLeft, req.CallerLeft, req.CallerLeft
		if s.call.ExpectedOutputTokens > 0 {
			req.TTFTLeft -= place.WriteTime(*s.pool.Engine, req.Prompt, req.Output)
		}
	}
	if s.headSent {
		// The caller is waiting for the next event: continue as soon as possible.
		req.TTFTLeft, req.TimeLeft = 0, min(s.timeLeft(), s.eventTimeout())
	}
	return req
}

// avoidedTargets returns the engines that failed the request, those that accept no request from
// this instance now, and those outside the allowed regions.
func (s *stream) avoidedTargets() []string {
	out := slices.Clone(s.failedTargets)
	closed, _ := s.server.health.closedTargets(s.server.views.load(), s.pool.Name)
	for _, id := range closed {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	if s.isBound() {
		// A scheduler that ignores regions must not grant these either.
		for _, t := range s.server.views.load().pools[s.pool.Name] {
			if !s.allows(t.DataCentre) {
				out = append(out, t.ID)
			}
		}
	}
	return out
}

// attemptGranted sends the request to the engines of a grant. It returns done if the caller has
// a complete response, and otherwise the reason why not.
func (s *stream) attemptGranted(ctx context.Context, g place.Grant) (done bool, reason string) {
	end := place.End{ID: g.ID}
	defer func() { s.server.placer.release(end) }()
	s.server.pauses.await(ctx)
	lead, helpers, ok := s.resolve(g)
	if !ok {
		s.refusals++
		return false, "a granted engine is no longer ready"
	}
	s.target, s.engineCount, s.predicted = lead.ID, len(helpers)+1, g.PredictedTTFT
	reserved, err := s.server.reserve(ctx, s.call.ID, helpers)
	if err != nil {
		s.refusals++
		return false, "memory reservation on a helper engine failed"
	}
	defer reserved.release(ctx)
	// The reservations took a while, in which an engine may have begun to leave, or this
	// process may have been paused for longer than the scheduler keeps its grants.
	if s.server.pauses.pauseCount() != s.pauseCount {
		s.refusals++
		return false, "the grant ran out while this instance was paused"
	}
	if _, _, ok := s.resolve(g); !ok {
		s.refusals++
		return false, "a granted engine is no longer ready"
	}
	if _, blocked := s.server.blocklist.find(s.exchange); blocked {
		s.refusals++
		return false, blockedReason
	}
	if s.sends > 0 && !s.acquireRetry() {
		s.refusals++
		return false, noBudget
	}
	return s.sendTo(ctx, assignment{lead: lead, urgency: g.Urgency, grant: g, helpers: helpers, unused: reserved.unused}, &end)
}

// resolve finds the engines of a grant in the current view. An engine that drains, or wants
// no requests from this instance, gets none even if the scheduler granted it; neither does one
// outside the allowed regions.
func (s *stream) resolve(g place.Grant) (lead site.Target, helpers []PrefillHelper, ok bool) {
	v := s.server.views.load()
	lead, ok = v.readyTarget(g.Lead, s.pool.Name)
	if !ok || s.server.health.isClosed(lead) || !s.allows(lead.DataCentre) {
		s.failedTargets = append(s.failedTargets, g.Lead)
		return lead, nil, false
	}
	for i, id := range g.Helpers {
		t, ok := v.readyTarget(id, s.pool.Name)
		if !ok || s.server.health.isClosed(t) || !s.allows(t.DataCentre) {
			s.failedTargets = append(s.failedTargets, id)
			return lead, nil, false
		}
		h := PrefillHelper{Target: t}
		if i < len(g.Memory) && g.Memory[i] > 0 {
			h.ReservedTokens, h.ReservationID = g.Memory[i], fmt.Sprintf("%s-%d", strings.ReplaceAll(g.ID, "/", "-"), i)
		}
		helpers = append(helpers, h)
	}
	return lead, helpers, true
}

// faultyTarget returns the ID of the engine that the response names as the cause of the
// failure, or that of the lead if it names none. It returns "" if the named engine is
// unknown.
func (s *stream) faultyTarget(lead site.Target, resp *hop.Response) string {
	address := s.server.HeaderCodec.DecodeReply(resp.Header).FaultyAddress
	if address == "" || address == lead.Address {
		return lead.ID
	}
	for _, t := range s.server.views.load().pools[s.pool.Name] {
		if t.Address == address {
			s.failedTargets = append(s.failedTargets, t.ID)
			return t.ID
		}
	}
	return ""
}
