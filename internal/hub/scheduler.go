package hub

import (
	"context"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// tickInterval is how often the placement of queued requests is tried again.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is how often targets without heartbeats are removed.
	sweepInterval = time.Second
	// silenceTimeout is how long a target may send no heartbeat before it is removed.
	silenceTimeout = 30 * time.Second
)

// scheduler places the requests of all engine pools while this instance leads.
type scheduler struct {
	server *Server

	mu        sync.Mutex
	active    bool
	startedAt time.Time
	// cores holds the placement core of each engine pool, by pool name.
	cores map[string]*place.Core
	// sessions holds the session of each request, and pools its pool, by request ID.
	sessions map[string]*session
	pools    map[string]string
	// lastSeen is the time of the last heartbeat, by target ID.
	lastSeen map[string]time.Time
	// prunedAt is when lastSeen was last searched for those that no longer count.
	prunedAt time.Time
	// limits holds the limits that targets have named, by target ID.
	limits map[string]place.Limit
	// cold holds what is known of how long targets are cold, by target ID.
	cold map[string]*coldState
	// timer runs the next tick; nil if no tick is scheduled.
	timer *time.Timer
	// fleetRevision is the registry revision last passed to the cores.
	fleetRevision uint64
	// syncedAt is when syncFleetsSoon last passed the targets on, and syncTimer runs the next time; nil
	// if none is due.
	syncedAt  time.Time
	syncTimer *time.Timer
	// evacuated are the evacuated data centres last passed to the cores.
	evacuated reg.Evacuations
	// returned are the data centres whose evacuation has ended and whose engines are to be
	// audited; auditWake receives a value when there are any.
	returned  []string
	auditWake chan struct{}
}

// start begins to place requests. Earlier grants are unknown until entries report them.
func (s *scheduler) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.startedAt = true, time.Now()
	s.cores = make(map[string]*place.Core)
	s.sessions = make(map[string]*session)
	s.pools = make(map[string]string)
	s.lastSeen = make(map[string]time.Time)
	s.limits = make(map[string]place.Limit)
	s.cold = make(map[string]*coldState)
	s.fleetRevision, s.evacuated, s.returned = 0, reg.Evacuations{}, nil
	s.syncFleets()
	s.setCold(s.server.heardColdTargets())
}

// stop ends placement and drops all state.
func (s *scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = false
	for _, sess := range s.sessions {
		sess.requests = 0
	}
	s.cores, s.sessions, s.pools, s.lastSeen, s.limits, s.cold = nil, nil, nil, nil, nil, nil
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// syncFleets passes the targets of each engine pool to its core if the registry has
// changed.
func (s *scheduler) syncFleets() {
	revision, _ := s.server.registry.Revision()
	evacuated := s.server.currentEvacuations()
	if revision == s.fleetRevision && evacuated.Counter == s.evacuated.Counter {
		return
	}
	ended := s.evacuated.Without(evacuated)
	s.fleetRevision, s.evacuated = revision, evacuated
	tables, _ := s.server.registry.Tables()
	if tables == nil {
		return
	}
	byPool := make(map[string][]site.Target)
	for _, t := range s.server.registry.Targets() {
		// Entries leave out those that a build which checks less has committed.
		if t.Check() == nil {
			byPool[t.Pool] = append(byPool[t.Pool], t)
		}
	}
	for i := range tables.Pools {
		p := &tables.Pools[i]
		if p.Engine == nil {
			continue
		}
		c := s.cores[p.Name]
		if c == nil {
			c = &place.Core{Fair: s.server.Fair, Regions: s.server.Regions}
			s.cores[p.Name] = c
		}
		s.step(c, fleetOf(p, byPool[p.Name], evacuated))
	}
	s.syncLimits()
	s.syncCold()
	if len(ended) > 0 {
		s.endEvacuations(ended)
	}
}

// syncFleetsSoon is syncFleets at most once in Server.pushInterval. A fleet of thousands that announces
// itself changes the registry with almost every heartbeat, and the time to pass all targets on grows with
// their number. The caller holds mu.
func (s *scheduler) syncFleetsSoon() {
	interval := s.server.pushInterval()
	switch wait := interval - time.Since(s.syncedAt); {
	case wait <= 0:
		s.syncedAt = time.Now()
		s.syncFleets()
	case s.syncTimer == nil:
		s.syncTimer = time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.syncTimer = nil; s.active {
				s.syncedAt = time.Now()
				s.syncFleets()
			}
		})
	}
}

// handle processes the placement requests and the reports in a message.
func (s *scheduler) handle(sess *session, msg *link.FollowerMessage) {
	if len(msg.Requests)+len(msg.Cancelled)+len(msg.Started)+len(msg.Silences)+len(msg.Ended)+len(msg.ActiveGrants)+len(msg.Limits)+len(msg.Cold) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return
	}
	s.syncFleets()
	s.setLimits(msg.Limits)
	s.setCold(msg.Cold)
	s.adopt(sess, msg.ActiveGrants)
	for _, e := range msg.Started {
		s.stepRequest(e.ID, e)
	}
	for _, e := range msg.Silences {
		s.stepRequest(e.ID, e)
	}
	for _, e := range msg.Ended {
		s.stepRequest(e.ID, e)
		s.forget(e.ID)
	}
	for _, id := range msg.Cancelled {
		s.stepRequest(id, place.Withdraw{ID: id})
		s.forget(id)
	}
	for _, r := range msg.Requests {
		c := s.assign(sess, r)
		if c == nil {
			sess.EnqueueSized(len(r.ID), func(m *link.ControlMessage) {
				m.Refusals = append(m.Refusals, place.Refuse{ID: r.ID, Reason: "unknown pool, or too many requests of this instance"})
			})
			continue
		}
		r.Instance = sess.hello.Name
		s.step(c, place.Arrive{Request: r})
		if s.sessions[r.ID] != nil && c.Waiting() > 0 {
			sess.EnqueueSized(len(r.ID), func(m *link.ControlMessage) { m.Queued = append(m.Queued, r.ID) })
		}
	}
}

// adopt passes on grants of targets that are registered.
func (s *scheduler) adopt(sess *session, grants []place.ActiveGrant) {
	for _, g := range grants {
		if _, ok := s.server.registry.Target(g.Lead); !ok {
			continue
		}
		g.Request.Instance = sess.hello.Name
		if c := s.assign(sess, g.Request); c != nil {
			s.step(c, place.Adopt{Grant: g})
		}
	}
}

// assign records the session and the pool of a request and returns the core of the pool,
// or nil if the pool is unknown or the session has too many requests.
func (s *scheduler) assign(sess *session, r place.Request) *place.Core {
	c := s.cores[r.Pool]
	if c == nil || max(len(r.Organisation), len(r.DataCentre)) > maxNameBytes || sess.requests >= maxLinkRequests && s.sessions[r.ID] != sess {
		return nil
	}
	s.forget(r.ID)
	s.sessions[r.ID], s.pools[r.ID] = sess, r.Pool
	sess.requests++
	return c
}

// forget removes the session and the pool of a request.
func (s *scheduler) forget(id string) {
	if sess := s.sessions[id]; sess != nil {
		sess.requests--
	}
	delete(s.sessions, id)
	delete(s.pools, id)
}

// stepRequest passes an event of a request to the core of its pool.
func (s *scheduler) stepRequest(id string, e place.Event) {
	if c := s.cores[s.pools[id]]; c != nil {
		s.step(c, e)
	}
}

// step passes an event to a core and sends the grants and refusals that follow to the
// sessions of their requests.
func (s *scheduler) step(c *place.Core, e place.Event) {
	for _, d := range c.Step(time.Now(), e) {
		switch d := d.(type) {
		case place.Grant:
			s.server.counter("hub.grants").Inc(1)
			meter.Times("hub.wait", s.server.Metrics).Update(int64(d.Waited))
			meter.Times("hub.expect", s.server.Metrics).Update(int64(d.PredictedTTFT))
			s.server.Log.Info().Str("ask", d.ID).Str("lead", d.Lead).Strs("helpers", d.Helpers).Dur("expect", d.PredictedTTFT).
				Dur("waited", d.Waited).Float64("own", d.Loss.Own).Float64("others", d.Loss.Others).
				Int("waiting", c.Waiting()).Int("granted", c.Granted()).Uint64("revision", s.fleetRevision).Msg("request granted")
			if sess := s.sessions[d.ID]; sess != nil {
				sess.EnqueueSized(len(d.ID), func(m *link.ControlMessage) { m.Grants = append(m.Grants, d) })
			}
		case place.Refuse:
			s.server.counter(meter.Label("hub.refusals", "reason", d.Reason)).Inc(1)
			s.server.Log.Info().Str("ask", d.ID).Str("reason", d.Reason).Dur("retry", d.RetryAfter).Int("waiting", c.Waiting()).
				Str("organisation", d.Request.Organisation).Int("rank", d.Request.Rank).Int("route_rank", d.Request.RouteRank).
				Dur("work", d.Work).Dur("left", d.Left).
				Int("granted", c.Granted()).Uint64("revision", s.fleetRevision).Msg("request refused")
			if sess := s.sessions[d.ID]; sess != nil {
				sess.EnqueueSized(len(d.ID), func(m *link.ControlMessage) { m.Refusals = append(m.Refusals, d) })
			}
			s.forget(d.ID)
		}
	}
	if c.Waiting() > 0 && s.timer == nil {
		s.timer = time.AfterFunc(tickInterval, s.tick)
	}
}

// tick tries again to place the queued requests of every pool.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = nil
	if !s.active {
		return
	}
	for _, c := range s.cores {
		if c.Waiting() > 0 {
			s.step(c, place.Tick{})
		}
	}
}

// dropSession withdraws all requests of an instance whose link was lost. An instance that
// still runs reports its grants in use when it links again.
func (s *scheduler) dropSession(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, owner := range s.sessions {
		if owner == sess {
			s.stepRequest(id, place.Withdraw{ID: id})
			s.forget(id)
		}
	}
}

// markAlive records a heartbeat of a target.
func (s *scheduler) markAlive(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return
	}
	s.syncFleetsSoon()
	now := time.Now()
	s.pruneSeen(now)
	if _, ok := s.lastSeen[id]; !ok && !s.server.mayKeep(id, len(s.lastSeen)) {
		return
	}
	s.lastSeen[id] = now
	for _, c := range s.cores {
		c.Step(time.Now(), place.Heartbeat{Target: id})
	}
}

// silentTargets returns the targets without a heartbeat for silenceTimeout. It returns none
// in the first silenceTimeout of leadership, as a new leader has no earlier heartbeats.
func (s *scheduler) silentTargets() []site.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active || time.Since(s.startedAt) < silenceTimeout {
		return nil
	}
	var out []site.Target
	for _, t := range s.server.registry.Targets() {
		if time.Since(s.lastSeen[t.ID]) > silenceTimeout {
			out = append(out, t)
		}
	}
	return out
}

// logPools logs the load of every pool that has work.
func (s *scheduler) logPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.cores {
		p := c.Summary(time.Now())
		if p.Answers+p.Waiting == 0 {
			continue
		}
		s.server.Log.Info().Str("pool", name).Int("engines", p.Engines).Int("free", p.Available).Int("idle", p.Idle).
			Int("slots", p.Slots).Int("writers", p.Answers).Int("reads", p.PendingParts).Int("waiting", p.Waiting).
			Int("slow", p.Slow).Float64("demand", p.LongDemand).Msg("pool load")
	}
}

// sweep removes silent targets from the registry and logs the load of the pools, at every
// sweepInterval until ctx ends.
func (s *Server) sweep(ctx context.Context) error {
	timing.Every(ctx, sweepInterval, func() {
		s.scheduler.logPools()
		s.noteAnnounced()
		s.dropLeaderCold()
		s.countCold()
		for _, t := range s.scheduler.silentTargets() {
			_, err := s.propose(ctx, reg.Command{Deregister: &reg.Deregister{ID: t.ID, StartedMs: t.StartedMs, TimedOut: true}})
			s.Log.Warn().Str("target", t.ID).Str("pool", t.Pool).Err(err).Msg("deregistration of target without heartbeats handled")
		}
	})
	return nil
}
