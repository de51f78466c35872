package hub

import (
	"context"
	"sync"
	"time"
	"unsafe"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// loadsMethod passes on the load of grants that instances made without a scheduler.
	loadsMethod = "hub.loads"
	// loadsTimeout bounds such a call: what comes later is of no use.
	loadsTimeout = 300 * time.Millisecond
	// passInterval is the shortest time between two messages with such grants to an instance, so that
	// a burst of them takes one.
	passInterval = 50 * time.Millisecond
	// maxPassedGrants bounds the grants that wait to be passed on. A fleet of 195 entries makes 50 in
	// passInterval if each of them gets five requests in a second.
	maxPassedGrants = 1024
	// loadRate bounds the reports of the pools' loads to an instance, in bytes a second: three
	// quarters of what control may cost an instance.
	loadRate = 1500
	// loadCacheTime is how long a report is used for further instances.
	loadCacheTime = 100 * time.Millisecond
	// loadStart is the time for which a new leader reports no load: by then the entries have linked to
	// it and reported their grants.
	loadStart = time.Second
)

// loadsRequest carries the load of grants from one control instance to another.
type loadsRequest struct {
	Loads []place.PoolLoad `cbor:"1,keyasint"`
}

// Check rejects loads that are cut off, and names that no pool has.
func (r *loadsRequest) Check() error {
	for i := range r.Loads {
		if err := r.Loads[i].Check(); err != nil {
			return verd.Wrap(err, verd.NotRun, verd.BadRequest, "loads of pools")
		}
		if n := len(r.Loads[i].Pool); n > maxNameBytes {
			return verd.New(verd.NotRun, verd.BadRequest, "load of a pool with a name of %d bytes", n)
		}
	}
	return nil
}

// loadsResponse answers a loadsRequest.
type loadsResponse struct{}

// loadRelay tells the linked instances of the load of the pools, so that they know it once there
// is no scheduler: the whole of it from time to time, and the grants that others make meanwhile.
type loadRelay struct {
	server *Server

	mu sync.Mutex
	// loads is the newest report of the leader, this instance or another one, as of a time.
	loads []place.PoolLoad
	asOf  time.Time
	// granted are the grants to pass on, with the session of each. passing is set while a message
	// with them is due.
	granted []passedGrant
	passing bool
}

// passedGrant is a grant that an instance made without a scheduler.
type passedGrant struct {
	place.ActiveGrant
	from *session
}

// current returns the newest report of the pools' loads with its age, or none if that is too old.
func (r *loadRelay) current(now time.Time) []place.PoolLoad {
	leads := r.server.isLeader()
	r.mu.Lock()
	if leads && now.Sub(r.asOf) >= loadCacheTime {
		if loads, ok := r.server.scheduler.loads(now); ok {
			r.loads, r.asOf = loads, now
		}
	}
	loads, age := r.loads, now.Sub(r.asOf)
	r.mu.Unlock()
	out := make([]place.PoolLoad, 0, len(loads))
	for _, l := range loads {
		if l.Age += age; l.Age <= place.MaxLoadAge {
			out = append(out, l)
		}
	}
	return out
}

// hear takes over what the leader reports.
func (r *loadRelay) hear(loads []place.PoolLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads, r.asOf = loads, time.Now()
}

// fill adds the loads of the pools to a message, as often as loadRate allows.
func (r *loadRelay) fill(sess *session, m *link.ControlMessage) {
	now := time.Now()
	if now.Before(sess.loadsDue) {
		return
	}
	loads := r.current(now)
	size := 0
	for _, l := range loads {
		size += len(l.Packed) + len(l.Pool)
	}
	sess.loadsDue = now.Add(time.Duration(size) * time.Second / loadRate)
	m.Loads = append(m.Loads, loads...)
}

// pass passes grants of an instance without a scheduler on to the others.
func (r *loadRelay) pass(sess *session, grants []place.ActiveGrant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range grants {
		if len(r.granted) < maxPassedGrants {
			r.granted = append(r.granted, passedGrant{g, sess})
		}
	}
	if !r.passing {
		r.passing = true
		time.AfterFunc(passInterval, r.flush)
	}
}

// flush sends the grants to the instances linked here, but for their own, and their load to the other
// control instances.
func (r *loadRelay) flush() {
	r.mu.Lock()
	granted := r.granted
	r.granted, r.passing = nil, false
	r.mu.Unlock()
	models := r.server.engineModels()
	all := loadsOf(models, granted, nil)
	makers := make(map[*session]bool)
	for _, g := range granted {
		makers[g.from] = true
	}
	s := r.server
	s.mu.Lock()
	links := len(s.sessions)
	for sess := range s.sessions {
		loads := all
		if makers[sess] {
			loads = loadsOf(models, granted, sess)
		}
		if len(loads) > 0 && !sess.hello.IsControl {
			sess.Enqueue(func(m *link.ControlMessage) { m.Loads = append(m.Loads, loads...) })
		}
	}
	s.mu.Unlock()
	s.counter("hub.passed_grants").Inc(int64(len(granted)))
	s.Log.Info().Int("grants", len(granted)).Int("from", len(makers)).Int("links", links).Msg("grants made without a scheduler passed on")
	for _, p := range s.replica().Status().Config.Replicas {
		if p.Addr != s.PeerAddr {
			go s.callLoads(p.Addr, &loadsRequest{Loads: all})
		}
	}
}

// callLoads passes loads on to another control instance. It ends within loadsTimeout.
func (s *Server) callLoads(addr string, r *loadsRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), loadsTimeout)
	defer cancel()
	if err := s.Calls.Call(ctx, addr, loadsMethod, r, &loadsResponse{}); err != nil {
		s.Log.Debug().Str("peer", addr).Err(err).Msg("grants were not passed on to a control instance")
	}
}

// handleLoads passes on to the linked instances what another control instance was told of. A
// leader has no use for it: its scheduler grants by what it knows.
func (s *Server) handleLoads(_ context.Context, in any) (any, error) {
	if s.isLeader() {
		return &loadsResponse{}, nil
	}
	loads := in.(*loadsRequest).Loads
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		if !sess.hello.IsControl {
			sess.Enqueue(func(m *link.ControlMessage) { addLoads(m, loads) })
		}
	}
	return &loadsResponse{}, nil
}

// addLoads adds loads to a message, up to maxWaitingLoads: each link has a message of its own.
func addLoads(m *link.ControlMessage, loads []place.PoolLoad) {
	n := 0
	for _, l := range m.Loads {
		n += loadBytes(l)
	}
	for _, l := range loads {
		if n += loadBytes(l); n > maxWaitingLoads {
			return
		}
		m.Loads = append(m.Loads, l)
	}
}

// loadBytes returns the memory that a load takes.
func loadBytes(l place.PoolLoad) int {
	return int(unsafe.Sizeof(l)) + len(l.Pool) + len(l.Packed)
}

// loadsOf returns the loads by pool of all grants but those of a session.
func loadsOf(models map[string]site.Engine, granted []passedGrant, but *session) []place.PoolLoad {
	byPool := make(map[string][]place.ActiveGrant)
	var order []string
	for _, g := range granted {
		pool := g.Request.Pool
		if _, known := models[pool]; !known || g.from == but {
			continue
		}
		if byPool[pool] == nil {
			order = append(order, pool)
		}
		byPool[pool] = append(byPool[pool], g.ActiveGrant)
	}
	var out []place.PoolLoad
	for _, pool := range order {
		out = append(out, place.LoadOfGrants(pool, models[pool], byPool[pool]))
	}
	return out
}

// engineModels returns the declared engines by pool.
func (s *Server) engineModels() map[string]site.Engine {
	out := make(map[string]site.Engine)
	if tables, _ := s.registry.Tables(); tables != nil {
		for _, p := range tables.Pools {
			if p.Engine != nil {
				out[p.Name] = *p.Engine
			}
		}
	}
	return out
}

// loads returns the loads of all pools, or false if this instance does not know all grants yet.
func (s *scheduler) loads(now time.Time) ([]place.PoolLoad, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active || now.Sub(s.startedAt) < loadStart {
		return nil, false
	}
	var out []place.PoolLoad
	for name, c := range s.cores {
		l := c.Load(now)
		l.Pool = name
		out = append(out, l)
	}
	return out, true
}
