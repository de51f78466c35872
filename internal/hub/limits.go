package hub

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// setLimits applies the limits that targets have named to an instance, and tells all linked
// instances those that have changed. The caller holds mu.
func (s *scheduler) setLimits(reported []place.Limit) {
	var changed []place.Limit
	for _, l := range reported {
		if old, ok := s.limits[l.Target]; old == l || !ok && !l.Named || !s.isCurrent(l) {
			continue
		}
		s.limits[l.Target] = l
		if !l.Named {
			delete(s.limits, l.Target)
		}
		changed = append(changed, l)
		for _, c := range s.cores {
			c.Step(time.Now(), l)
		}
		s.server.Log.Info().Str("target", l.Target).Int64("born", l.StartedMs).Float64("limit", l.PerSecond).Bool("limited", l.Named).
			Msg("request limit of target changed")
	}
	if len(changed) > 0 {
		s.server.sendAll(func(m *link.ControlMessage) { m.Limits = append(m.Limits, changed...) })
	}
}

// isCurrent reports whether a limit is that of a registered process.
func (s *scheduler) isCurrent(l place.Limit) bool {
	t, ok := s.server.registry.Target(l.Target)
	return ok && t.State != site.Gone && t.StartedMs == l.StartedMs
}

// syncLimits drops the limits of processes that are gone, and passes the others to the cores,
// which may be new. The caller holds mu.
func (s *scheduler) syncLimits() {
	for id, l := range s.limits {
		if !s.isCurrent(l) {
			delete(s.limits, id)
			continue
		}
		for _, c := range s.cores {
			c.Step(time.Now(), l)
		}
	}
}

// currentLimits returns the limits that targets have named.
func (s *scheduler) currentLimits() []place.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]place.Limit, 0, len(s.limits))
	for _, l := range s.limits {
		out = append(out, l)
	}
	return out
}
