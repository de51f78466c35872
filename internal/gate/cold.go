package gate

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// unknownShares is the number of instances assumed to share cold rates until the leader has
	// told how many there are. All instances of a site may have started at the same moment; the
	// largest one has 85.
	unknownShares = 128
	// peakTime is how long a former, higher number of instances counts for cold rates: a new leader
	// counts only those that are linked again, while the others still use their former shares.
	peakTime = 10 * time.Second
	// coldNoise is the change of the time for which a target is cold below which a report is no
	// news: it is delayed by a link or two.
	coldNoise = time.Second
)

// ApplyCold applies reports of which targets are cold.
func (s *Server) ApplyCold(list []place.Cold) {
	v := s.views.load()
	if v == nil {
		return
	}
	var changes coldChanges
	for _, c := range list {
		if t, ok := v.targets[c.Target]; ok && t.StartedMs == c.StartedMs {
			s.applyCold(v, t, c.For, &changes)
		}
	}
	s.logCold(&changes)
}

// markCold takes all targets of a data centre for cold for the time that their pools declare for
// targets that have just started, until a later report says otherwise.
func (s *Server) markCold(dataCentre string) {
	v := s.views.load()
	if v == nil || v.index == nil {
		return
	}
	var changes coldChanges
	for _, t := range v.targets {
		if p, ok := v.index.Pool(t.Pool); ok && t.DataCentre == dataCentre && p.ColdTime > s.health.coldLeft(t) {
			s.applyCold(v, t, p.ColdTime, &changes)
		}
	}
	s.logCold(&changes)
}

// applyCold notes how much longer a target is cold, and adds a change to changes.
func (s *Server) applyCold(v *view, t site.Target, left time.Duration, changes *coldChanges) {
	rate := v.coldRate(t)
	changed := s.health.applyCold(t, left, rate, s.coldShares())
	s.placer.setCold(place.Cold{Target: t.ID, StartedMs: t.StartedMs, For: left})
	if changed {
		changes.add(t, left, rate)
	}
}

// maxLoggedTargets bounds the targets that a log line of cold targets names: after a restart it is about
// all targets of a site.
const maxLoggedTargets = 8

// coldChanges collects changes of which targets are cold, for one log line.
type coldChanges struct {
	// count is the number of changes, and cold that of the targets that are cold by them.
	count, cold int
	// ids names the first targets.
	ids []string
	// longest is the longest time for which one of them is cold, and rate the lowest rate of their pools.
	longest time.Duration
	rate    float64
}

func (c *coldChanges) add(t site.Target, left time.Duration, rate float64) {
	if c.count == 0 || rate < c.rate {
		c.rate = rate
	}
	c.count++
	if left > 0 {
		c.cold++
	}
	c.longest = max(c.longest, left)
	if len(c.ids) < maxLoggedTargets {
		c.ids = append(c.ids, t.ID)
	}
}

// logCold logs a batch of changes, if there are any.
func (s *Server) logCold(c *coldChanges) {
	if c.count == 0 {
		return
	}
	metrics.GetOrRegisterCounter("gate.cold_changes", s.Metrics).Inc(int64(c.count))
	s.Log.Info().Int("targets", c.count).Int("cold", c.cold).Strs("ids", c.ids).Dur("longest", c.longest).Float64("rate", c.rate).
		Msg("cold targets changed")
}

// recordCold records that a target has said in a response how much longer it is cold, and reports it
// to the leader if that is longer than known.
func (s *Server) recordCold(t site.Target, left time.Duration) {
	v := s.views.load()
	if left <= 0 || v == nil || v.coldRate(t) == 0 || left-s.health.coldLeft(t) < coldNoise {
		return
	}
	var changes coldChanges
	s.applyCold(v, t, left, &changes)
	s.logCold(&changes)
	s.Link.Send(func(m *link.FollowerMessage) {
		m.Cold = append(m.Cold, place.Cold{Target: t.ID, StartedMs: t.StartedMs, For: left})
	})
}

// applyAnnouncedCold takes the targets of an update for cold that were when they were announced. It
// comes before the view with these targets, so that no request reaches them earlier. The leader reports
// which of them are no longer cold.
func (s *Server) applyAnnouncedCold(d *reg.Delta) {
	v := s.views.load()
	if v == nil {
		v = &view{}
	}
	if d.Revision <= v.revision {
		return
	}
	var changes coldChanges
	for _, t := range d.Targets {
		left := t.ColdLeft(time.Now())
		if left > s.health.coldLeft(t) && t.State != site.Gone {
			rate := v.coldRate(t)
			changed := s.health.applyCold(t, left, rate, s.coldShares())
			if changed && v.revision > 0 {
				// The first update has all targets, of which the leader reports those that are warm.
				changes.add(t, left, rate)
			}
		}
	}
	s.logCold(&changes)
}

// coldRate returns how many requests a second a target tolerates from all instances together while it
// is cold; 0 means any number.
func (v *view) coldRate(t site.Target) float64 {
	if v.index == nil {
		return 0
	}
	p, ok := v.index.Pool(t.Pool)
	if !ok {
		return 0
	}
	return p.ColdRate
}

// coldShares returns the number of instances that share the cold rates of targets, on the safe side.
func (s *Server) coldShares() int {
	n := s.instanceCount.Load()
	if n == 0 {
		return unknownShares
	}
	if p := s.peakCount.Load(); p != nil && time.Since(p.until) < 0 {
		n = max(n, p.count)
	}
	return int(n)
}

// countPeak is a former number of instances, which counts until a time.
type countPeak struct {
	count int64
	until time.Time
}

// setInstanceCount sets the number of instances, and keeps the former one for a while if it was higher.
func (s *Server) setInstanceCount(n int64) {
	if former := int64(s.coldShares()); n < former {
		s.peakCount.Store(&countPeak{former, time.Now().Add(peakTime)})
	}
	s.instanceCount.Store(n)
}

// applyCold notes how much longer a target is cold. It reports whether that is news.
func (h *health) applyCold(t site.Target, left time.Duration, rate float64, shares int) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if left <= 0 && h.byID[t.ID] == nil {
		return false
	}
	now := time.Now()
	n := h.noticeOf(t)
	former := n.cold.Left(now)
	n.cold.Set(now, left, rate, shares, h.drawPhase())
	changed = (n.cold.Left(now) - former).Abs() >= coldNoise
	h.dropIdle(t.ID, h.byID[t.ID])
	return changed
}

// setColdRates applies the cold rates of new tables.
func (h *health) setColdRates(v *view, shares int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, x := range h.byID {
		if t, ok := v.targets[id]; ok {
			x.notice.cold.SetRate(time.Now(), v.coldRate(t), shares, h.drawPhase())
		}
	}
}

// coldLeft returns how much longer the process of a target is cold.
func (h *health) coldLeft(t site.Target) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.byID[t.ID]
	if x == nil || x.notice.startedMs != t.StartedMs {
		return 0
	}
	return x.notice.cold.Left(time.Now())
}

// coldTargets returns the targets of a view that are cold and have a limit for that time.
func (h *health) coldTargets(v *view) []place.Cold {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []place.Cold
	now := time.Now()
	for id, x := range h.byID {
		if t, ok := v.targets[id]; ok && x.notice.startedMs == t.StartedMs && x.notice.cold.Limits(now) {
			out = append(out, place.Cold{Target: id, StartedMs: t.StartedMs, For: x.notice.cold.Left(now)})
		}
	}
	return out
}

// setCold passes how much longer a target is cold to the local cores.
func (p *placer) setCold(c place.Cold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, core := range p.localCores {
		p.stepCold(core, c)
	}
}

// stepCold passes how much longer a target is cold to a local core. The caller holds mu.
func (p *placer) stepCold(core *place.Core, c place.Cold) {
	c.Phase = p.server.health.drawPhase()
	core.ColdShares = p.server.coldShares()
	core.Step(time.Now(), c)
}

// syncCold passes to a local core how much longer the targets of its pool are cold that were cold when
// they were announced. The caller holds mu.
func (p *placer) syncCold(core *place.Core, targets []site.Target) {
	for _, t := range targets {
		if left := p.server.health.coldLeft(t); left > 0 || t.Cold > 0 {
			p.stepCold(core, place.Cold{Target: t.ID, StartedMs: t.StartedMs, For: left})
		}
	}
}
