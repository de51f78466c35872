package hub

import (
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// coldLonger and coldShorter are by how much a report must extend or shorten the time for which a
	// target is cold to be passed on. Heartbeats repeat that time every 1.2 s, each with a delay of
	// its own. place takes targets for cold for longer than coldLonger beyond what it is told.
	coldLonger  = 100 * time.Millisecond
	coldShorter = time.Second
	// markGuard is how long after markCold a heartbeat without a cold time is ignored. It
	// may have been sent before the target knew that it is cold: heartbeats come every 1.2 s, and
	// may be late.
	markGuard = 3 * time.Second
)

// coldState is what the leader knows of how long a target is cold.
type coldState struct {
	// startedMs identifies the process.
	startedMs int64
	until     time.Time
	// sequence is the number of the latest heartbeat that told.
	sequence uint64
	// markedAt is when markCold last applied; zero if never.
	markedAt time.Time
}

// announcedCold identifies an announcement of a cold target.
type announcedCold struct {
	id        string
	startedMs int64
	cold      time.Duration
}

// recordCold notes how much longer a target is cold by its heartbeat. A follower keeps it for its next
// message to the leader.
func (s *Server) recordCold(t site.Target) {
	p := s.coldPool(t.Pool)
	if p.ColdRate == 0 || t.Cold == 0 && !s.mayCountAsCold(time.Now(), t, p) {
		return
	}
	s.forwardCold([]place.Cold{{Target: t.ID, StartedMs: t.StartedMs, For: t.Cold, Sequence: t.Sequence}})
}

// mayCountAsCold reports whether an instance may take a process for cold, so that its word that it isn't
// is news. A fleet of thousands of warm targets would say so with each heartbeat.
func (s *Server) mayCountAsCold(now time.Time, t site.Target, p site.Pool) bool {
	if known, ok := s.registry.Target(t.ID); ok && known.StartedMs == t.StartedMs && known.Cold > 0 &&
		now.Before(s.announcedAt(now, known).Add(known.Cold+markGuard)) {
		return true
	}
	if at, ok := s.evacuations.endTime(t.DataCentre); ok && now.Before(at.Add(p.ColdTime+markGuard)) {
		return true
	}
	s.mu.Lock()
	isHeard := s.heardCold[t.ID].isColdProcess(now, t) || s.leaderCold[t.ID].isColdProcess(now, t)
	s.mu.Unlock()
	if isHeard {
		return true
	}
	c := &s.scheduler
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.cold[t.ID]
	return c.active && st != nil && st.startedMs == t.StartedMs && now.Before(st.until)
}

// heardCold is the latest report of how much longer a target is cold that a follower received.
type heardCold struct {
	place.Cold
	at time.Time
	// forwarded is set once it was sent to another control instance.
	forwarded bool
}

// current returns the report with the time that is left now.
func (h *heardCold) current(now time.Time) place.Cold {
	c := h.Cold
	c.For = max(0, c.For-now.Sub(h.at))
	return c
}

// isColdProcess reports whether the report, if there is one, takes the process for cold.
func (h *heardCold) isColdProcess(now time.Time, t site.Target) bool {
	return h != nil && h.StartedMs == t.StartedMs && h.current(now).For > 0
}

// noteLeaderCold notes which targets the leader takes for cold.
func (s *Server) noteLeaderCold(list []place.Cold) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		s.leaderCold[c.Target] = &heardCold{Cold: c, at: now}
		if c.For == 0 {
			delete(s.leaderCold, c.Target)
		}
	}
}

// dropLeaderCold drops the targets that the leader has taken for cold and that are no longer. It is not
// done with each message, as a large fleet has thousands of cold targets.
func (s *Server) dropLeaderCold() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.leaderCold, func(_ string, h *heardCold) bool { return h.current(now).For == 0 })
}

// forwardCold applies reports of which targets are cold if this instance leads. Otherwise it keeps them
// for its next message to the leader, for the case that it becomes the leader, and for instances that
// have no leader either: it tells those that are linked which targets are cold.
func (s *Server) forwardCold(list []place.Cold) {
	if s.isLeader() {
		s.scheduler.applyCold(list)
		return
	}
	now := time.Now()
	s.mu.Lock()
	var cold []place.Cold
	for _, c := range list {
		h := s.heardCold[c.Target]
		if h == nil && !s.mayKeep(c.Target, len(s.heardCold)) {
			continue
		}
		if h != nil && h.StartedMs == c.StartedMs && h.Sequence >= c.Sequence && c.Sequence > 0 {
			continue
		}
		if c.For > 0 && (h == nil || h.StartedMs != c.StartedMs || isColdNews(c.For-h.current(now).For)) {
			cold = append(cold, c)
		}
		s.heardCold[c.Target] = &heardCold{Cold: c, at: now}
	}
	s.mu.Unlock()
	s.coldQueue.add(s, cold)
}

// isColdNews reports whether a change of the time for which a target is cold is passed on.
func isColdNews(change time.Duration) bool { return change > coldLonger || change <= -coldShorter }

// coldQueue holds the notices of cold targets to be sent to all linked instances. A whole fleet that
// starts, or whose heartbeats are late, changes thousands of them within a second; a message for each to
// each of hundreds of instances would take more than the processor time of a control instance.
type coldQueue struct {
	mu      sync.Mutex
	pending map[string]heardCold
	timer   *time.Timer
	sentAt  time.Time
}

// add adds notices, which replace earlier ones of the same target. They are sent at once, unless others
// were within Server.pushInterval.
func (q *coldQueue) add(s *Server, list []place.Cold) {
	if len(list) == 0 {
		return
	}
	interval := s.pushInterval()
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[string]heardCold)
	}
	for _, c := range list {
		q.pending[c.Target] = heardCold{Cold: c, at: now}
	}
	if q.timer == nil {
		q.timer = time.AfterFunc(max(0, interval-now.Sub(q.sentAt)), func() { q.send(s) })
	}
}

// send sends the pending notices with the time that is left now.
func (q *coldQueue) send(s *Server) {
	now := time.Now()
	q.mu.Lock()
	list := make([]place.Cold, 0, len(q.pending))
	for _, h := range q.pending {
		list = append(list, h.current(now))
	}
	q.pending, q.timer, q.sentAt = nil, nil, now
	q.mu.Unlock()
	s.sendAll(func(m *link.ControlMessage) { addCold(m, list) })
}

// clear drops the pending notices.
func (q *coldQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = nil
}

// addCold adds notices to a message. Messages to several instances share the list.
func addCold(m *link.ControlMessage, list []place.Cold) {
	if m.Cold == nil {
		m.Cold = list[:len(list):len(list)]
		return
	}
	m.Cold = append(m.Cold, list...)
}

// takeColdReports returns the reports to forward to another control instance, and drops those that are of
// no further use.
func (s *Server) takeColdReports() []place.Cold {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []place.Cold
	for id, h := range s.heardCold {
		c := h.current(time.Now())
		if !h.forwarded {
			out = append(out, c)
		}
		if h.forwarded = true; c.For == 0 {
			delete(s.heardCold, id)
		}
	}
	return out
}

// heardColdTargets returns the cold targets by the reports that this instance received as a follower.
func (s *Server) heardColdTargets() []place.Cold {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []place.Cold
	for _, h := range s.heardCold {
		if c := h.current(time.Now()); c.For > 0 {
			out = append(out, c)
		}
	}
	return out
}

// markCold takes all targets of a data centre for cold for the time that their pools declare for targets
// that have just started, until a later heartbeat says otherwise. The caller holds mu.
func (s *scheduler) markCold(dataCentre string) {
	now := time.Now()
	var changed []place.Cold
	for _, t := range s.server.registry.Targets() {
		p := s.server.coldPool(t.Pool)
		if t.DataCentre != dataCentre || p.ColdRate == 0 || p.ColdTime == 0 {
			continue
		}
		st := s.coldOf(now, t)
		st.markedAt = now
		if until := now.Add(p.ColdTime); until.After(st.until) {
			st.until = until
			changed = append(changed, s.notice(now, t, st))
		}
	}
	s.tellCold(now, changed, "marked")
}

// coldPool returns a pool of the current tables, or an empty one.
func (s *Server) coldPool(name string) site.Pool {
	tables, _ := s.registry.Tables()
	if tables != nil {
		for i := range tables.Pools {
			if tables.Pools[i].Name == name {
				return tables.Pools[i]
			}
		}
	}
	return site.Pool{}
}

// noteAnnounced notes when this instance first had each announcement of a cold target, so that it knows
// how much of that time is over if it becomes the leader.
func (s *Server) noteAnnounced() {
	now := time.Now()
	seen := make(map[announcedCold]time.Time)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.registry.ColdTargets() {
		key := announcedCold{t.ID, t.StartedMs, t.Cold}
		if seen[key] = now; !s.announced[key].IsZero() {
			seen[key] = s.announced[key]
		}
	}
	s.announced = seen
}

// countCold updates the metric of the targets that are cold; 0 unless this instance leads.
func (s *Server) countCold() {
	c := &s.scheduler
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, st := range c.cold {
		if time.Now().Before(st.until) {
			count++
		}
	}
	metrics.GetOrRegisterGauge("hub.cold_targets", s.Metrics).Update(int64(count))
}

// announcedAt returns when this instance first had the announcement of a cold target.
func (s *Server) announcedAt(now time.Time, t site.Target) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.announced[announcedCold{t.ID, t.StartedMs, t.Cold}]; ok {
		return at
	}
	return now
}

// coldOf returns the state of a target's process. It begins with the announcement. The caller holds mu.
func (s *scheduler) coldOf(now time.Time, t site.Target) *coldState {
	st := s.cold[t.ID]
	if st == nil || st.startedMs != t.StartedMs {
		st = &coldState{startedMs: t.StartedMs, until: now}
		if t.Cold > 0 {
			st.until = s.server.announcedAt(now, t).Add(t.Cold)
			if left := t.ColdLeft(now); left < st.until.Sub(now) {
				st.until = now.Add(left)
			}
		}
		s.cold[t.ID] = st
	}
	return st
}

// notice returns the notice of a state.
func (*scheduler) notice(now time.Time, t site.Target, st *coldState) place.Cold {
	return place.Cold{Target: t.ID, StartedMs: t.StartedMs, For: max(0, st.until.Sub(now))}
}

// applyCold applies reports of how much longer targets are cold.
func (s *scheduler) applyCold(list []place.Cold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active {
		s.syncFleets()
		s.setCold(list)
	}
}

// setCold applies reports of how much longer targets are cold, and tells all linked instances the
// changes. Of reports without a number only those that extend the time count: they may be older than
// what heartbeats have told. The caller holds mu.
func (s *scheduler) setCold(list []place.Cold) {
	now := time.Now()
	var changed []place.Cold
	for _, c := range list {
		t, ok := s.server.registry.Target(c.Target)
		if !ok || t.State == site.Gone || t.StartedMs != c.StartedMs || s.server.coldPool(t.Pool).ColdRate == 0 {
			continue
		}
		st := s.coldOf(now, t)
		if c.Sequence > 0 && c.Sequence <= st.sequence {
			continue
		}
		st.sequence = max(st.sequence, c.Sequence)
		until := now.Add(max(0, c.For))
		change := until.Sub(st.until)
		if st.until.Before(now) {
			change = until.Sub(now)
		}
		mayShorten := c.Sequence > 0 && (c.For > 0 || now.Sub(st.markedAt) >= markGuard)
		if change <= coldLonger && (change > -coldShorter || !mayShorten) {
			continue
		}
		st.until = until
		changed = append(changed, s.notice(now, t, st))
	}
	s.tellCold(now, changed, "reported")
}

// tellCold passes changes on to the cores and to all linked instances. The caller holds mu.
func (s *scheduler) tellCold(now time.Time, changed []place.Cold, cause string) {
	if len(changed) == 0 {
		return
	}
	for _, c := range changed {
		for _, core := range s.cores {
			core.Step(now, c)
		}
		s.server.counter("hub.cold_changes").Inc(1)
		s.server.Log.Info().Str("target", c.Target).Int64("born", c.StartedMs).Dur("cold", c.For).Str("cause", cause).
			Msg("target is cold or no longer")
	}
	s.server.coldQueue.add(s.server, changed)
}

// syncCold drops the state of processes that are gone, and passes that of the others to the cores, which
// may be new. The caller holds mu.
func (s *scheduler) syncCold() {
	now := time.Now()
	for id, st := range s.cold {
		if t, ok := s.server.registry.Target(id); !ok || t.State == site.Gone || t.StartedMs != st.startedMs {
			delete(s.cold, id)
		}
	}
	for _, c := range s.coldNotices(now) {
		for _, core := range s.cores {
			core.Step(now, c)
		}
	}
}

// coldNotices returns a notice of each target that is cold, or may be by its announcement. The caller
// holds mu.
func (s *scheduler) coldNotices(now time.Time) []place.Cold {
	var out []place.Cold
	announced := make(map[string]bool)
	for _, t := range s.server.registry.ColdTargets() {
		if s.server.coldPool(t.Pool).ColdRate > 0 {
			announced[t.ID] = true
			if n := s.notice(now, t, s.coldOf(now, t)); n.For > 0 || t.ColdLeft(now) > 0 {
				out = append(out, n)
			}
		}
	}
	for id, st := range s.cold {
		if announced[id] || !now.Before(st.until) {
			continue
		}
		if t, ok := s.server.registry.Target(id); ok && t.State != site.Gone && t.StartedMs == st.startedMs {
			out = append(out, s.notice(now, t, st))
		}
	}
	return out
}

// currentCold returns the notices for an instance that has just linked. An instance that does not lead
// knows only the heartbeats that it received itself.
func (s *scheduler) currentCold() []place.Cold {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return s.server.heardColdTargets()
	}
	s.syncFleets()
	return s.coldNotices(time.Now())
}
