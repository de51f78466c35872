package gate

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// recordLimit records the limit that a target names in its response to a request that was sent
// at sentAt, or that it names none any more, and reports a change to the leader.
func (s *Server) recordLimit(t site.Target, reply ReplyInfo, sentAt time.Time) {
	if !s.health.recordLimit(t, reply.Limit, reply.HasLimit, sentAt, s.limitShares()) {
		return
	}
	l := place.Limit{Target: t.ID, StartedMs: t.StartedMs, PerSecond: reply.Limit, Named: reply.HasLimit}
	s.placer.setLimit(l)
	s.Log.Info().Str("target", t.ID).Str("address", t.Address).Int64("born", t.StartedMs).Float64("limit", reply.Limit).
		Bool("limited", reply.HasLimit).Msg("request limit of target changed")
	s.Link.Send(func(m *link.FollowerMessage) { m.Limits = append(m.Limits, l) })
}

// limitShares returns the number of instances that share the limits of targets.
func (s *Server) limitShares() int { return max(1, int(s.instanceCount.Load())) }

// ApplyLimits applies changes of the limits that targets name.
func (s *Server) ApplyLimits(limits []place.Limit) {
	v := s.views.load()
	if v == nil {
		return
	}
	for _, l := range limits {
		if t, ok := v.targets[l.Target]; ok && t.StartedMs == l.StartedMs {
			s.health.applyLimit(t, l, s.limitShares())
			s.placer.setLimit(l)
		}
	}
}

// recordLimit records the limit in the response of a target to a request that was sent at
// sentAt, or that it names none any more. It reports whether that is a change. A response to
// a request that was sent before the limit was named may have left before, too.
func (h *health) recordLimit(t site.Target, limit float64, hasLimit bool, sentAt time.Time, shares int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !hasLimit && h.byID[t.ID] == nil {
		return false
	}
	n := h.noticeOf(t)
	if !hasLimit {
		if !n.hasLimit || sentAt.Before(n.limitedAt) {
			return false
		}
		n.setLimit(place.Limit{}, 1, 0)
		return true
	}
	isChange := !n.hasLimit || n.limit != limit
	n.limitedAt = time.Now()
	if isChange {
		n.setLimit(place.Limit{PerSecond: limit, Named: true}, shares, h.drawPhase())
	}
	return isChange
}

// setLimit sets or removes the limit, which that many instances share; see Limiter.Set for the
// phase.
func (n *notice) setLimit(l place.Limit, shares int, phase float64) {
	n.limit, n.hasLimit = l.PerSecond, l.Named
	if !l.Named {
		n.limiter.Clear()
		return
	}
	n.limitedAt = time.Now()
	n.limiter.Set(n.limitedAt, l.PerSecond, shares, phase)
}

// applyLimit applies a limit that another instance has learnt.
func (h *health) applyLimit(t site.Target, l place.Limit, shares int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.noticeOf(t); n.hasLimit != l.Named || n.limit != l.PerSecond {
		n.setLimit(l, shares, h.drawPhase())
	}
	h.dropIdle(t.ID, h.byID[t.ID])
}

// limits returns the limits that processes of a view have named.
func (h *health) limits(v *view) []place.Limit {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []place.Limit
	for id, x := range h.byID {
		if t, ok := v.targets[id]; ok && x.notice.hasLimit && x.notice.startedMs == t.StartedMs {
			out = append(out, place.Limit{Target: id, StartedMs: t.StartedMs, PerSecond: x.notice.limit, Named: true})
		}
	}
	return out
}

// opensIn returns how long it takes until the process of a target accepts a request of this
// instance, which shares limits with others; false if it never does.
func (h *health) opensIn(t site.Target, shares int) (wait time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.byID[t.ID]
	if x == nil || x.notice.startedMs != t.StartedMs {
		return 0, true
	}
	now := time.Now()
	return max(0, x.notice.pausedUntil.Sub(now), x.notice.limiter.Wait(now, shares), x.notice.cold.Wait(now, h.coldShares())), !x.notice.leaving
}

// takeTurn counts a request against the limit of a target. It returns false if the target
// accepts none now.
func (h *health) takeTurn(t site.Target, shares int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.byID[t.ID]
	if x == nil || x.notice.startedMs != t.StartedMs {
		return true
	}
	now := time.Now()
	cold := h.coldShares()
	if x.notice.limiter.Wait(now, shares) > 0 || x.notice.cold.Wait(now, cold) > 0 {
		return false
	}
	x.notice.limiter.Take(now, shares)
	x.notice.cold.Take(now, cold)
	return true
}

// setLimit passes the limit of a target to the local cores.
func (p *placer) setLimit(l place.Limit) {
	l.Phase = p.server.health.drawPhase()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.localCores {
		c.Step(time.Now(), l)
	}
}

// setShares tells the local cores how many instances share the limits of targets.
func (p *placer) setShares(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.localCores {
		c.Shares = n
	}
}
