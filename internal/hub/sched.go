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
	// placeEvery is how often requests that wait are looked at again.
	placeEvery = 20 * time.Millisecond
	// sweepEvery is how often targets that fell silent are looked for.
	sweepEvery = time.Second
	// goneAfter is how long a target may say nothing before it is taken for gone.
	goneAfter = 30 * time.Second
)

// scheduler places the requests of all engine pools while this instance leads.
type scheduler struct {
	server *Server

	mu     sync.Mutex
	active bool
	began  time.Time
	pools  map[string]*place.Core
	// owner is the session of each ask, and pool its pool.
	owner map[string]*session
	pool  map[string]string
	seen  map[string]time.Time
	timer *time.Timer
	// revision is that of the fleet that the pools know.
	revision uint64
}

// start begins to place, with nothing known of earlier grants.
func (d *scheduler) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active, d.began = true, time.Now()
	d.pools = make(map[string]*place.Core)
	d.owner = make(map[string]*session)
	d.pool = make(map[string]string)
	d.seen = make(map[string]time.Time)
	d.revision = 0
	d.refresh()
}

func (d *scheduler) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active = false
	d.pools, d.owner, d.pool, d.seen = nil, nil, nil, nil
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

// refresh tells the pools of the fleet, if it has changed.
func (d *scheduler) refresh() {
	revision, _ := d.server.machine.Revision()
	if revision == d.revision {
		return
	}
	d.revision = revision
	tables, _ := d.server.machine.Tables()
	if tables == nil {
		return
	}
	byPool := make(map[string][]site.Target)
	for _, t := range d.server.machine.Targets() {
		byPool[t.Pool] = append(byPool[t.Pool], t)
	}
	for i := range tables.Pools {
		p := &tables.Pools[i]
		if p.Engine == nil {
			continue
		}
		c := d.pools[p.Name]
		if c == nil {
			c = &place.Core{}
			d.pools[p.Name] = c
		}
		d.step(c, place.Fleet{Engine: *p.Engine, Targets: byPool[p.Name]})
	}
}

// take handles what an instance asks and reports.
func (d *scheduler) take(x *session, u *link.Up) {
	if len(u.Asks)+len(u.Withdrawn)+len(u.Begun)+len(u.Ended)+len(u.Held) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active {
		return
	}
	d.refresh()
	for _, h := range u.Held {
		if c := d.own(x, h.Ask); c != nil {
			d.step(c, place.Adopt{Holding: h})
		}
	}
	for _, b := range u.Begun {
		d.stepOf(b.ID, b)
	}
	for _, e := range u.Ended {
		d.stepOf(e.ID, e)
		d.forget(e.ID)
	}
	for _, id := range u.Withdrawn {
		d.stepOf(id, place.Withdraw{ID: id})
		d.forget(id)
	}
	for _, a := range u.Asks {
		c := d.own(x, a)
		if c == nil {
			x.Add(func(m *link.Down) {
				m.Refusals = append(m.Refusals, place.Refuse{ID: a.ID, Reason: "unknown pool"})
			})
			continue
		}
		d.step(c, place.Arrive{Ask: a})
		if d.owner[a.ID] != nil && c.Waiting() > 0 {
			x.Add(func(m *link.Down) { m.Waiting = append(m.Waiting, a.ID) })
		}
	}
}

// own notes whose ask it is and returns the core of its pool, or nil.
func (d *scheduler) own(x *session, a place.Ask) *place.Core {
	c := d.pools[a.Pool]
	if c == nil {
		return nil
	}
	d.owner[a.ID], d.pool[a.ID] = x, a.Pool
	return c
}

func (d *scheduler) forget(id string) {
	delete(d.owner, id)
	delete(d.pool, id)
}

func (d *scheduler) stepOf(id string, e place.Event) {
	if c := d.pools[d.pool[id]]; c != nil {
		d.step(c, e)
	}
}

// step lets a pool decide and sends what it decided.
func (d *scheduler) step(c *place.Core, e place.Event) {
	for _, x := range c.Step(time.Now(), e) {
		switch x := x.(type) {
		case place.Grant:
			d.server.counter("hub.grants").Inc(1)
			meter.Times("hub.wait", d.server.Metrics).Update(int64(x.Waited))
			meter.Times("hub.expect", d.server.Metrics).Update(int64(x.Expect))
			d.server.Log.Info().Str("ask", x.ID).Str("lead", x.Lead).Strs("helpers", x.Helpers).Dur("expect", x.Expect).
				Dur("waited", x.Waited).Float64("own", x.Loss.Own).Float64("others", x.Loss.Others).
				Int("waiting", c.Waiting()).Int("granted", c.Granted()).Uint64("revision", d.revision).Msg("granted")
			if o := d.owner[x.ID]; o != nil {
				o.Add(func(m *link.Down) { m.Grants = append(m.Grants, x) })
			}
		case place.Refuse:
			d.server.counter(meter.Label("hub.refusals", "reason", x.Reason)).Inc(1)
			d.server.Log.Info().Str("ask", x.ID).Str("reason", x.Reason).Dur("retry", x.Retry).Int("waiting", c.Waiting()).
				Int("granted", c.Granted()).Uint64("revision", d.revision).Msg("refused")
			if o := d.owner[x.ID]; o != nil {
				o.Add(func(m *link.Down) { m.Refusals = append(m.Refusals, x) })
			}
			d.forget(x.ID)
		}
	}
	if c.Waiting() > 0 && d.timer == nil {
		d.timer = time.AfterFunc(placeEvery, d.tick)
	}
}

// tick looks again at what waits.
func (d *scheduler) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = nil
	if !d.active {
		return
	}
	for _, c := range d.pools {
		if c.Waiting() > 0 {
			d.step(c, place.Tick{})
		}
	}
}

// drop ends what an instance had whose link is lost. If it still serves, it
// tells what it holds when it links up again.
func (d *scheduler) drop(x *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, o := range d.owner {
		if o == x {
			d.stepOf(id, place.Withdraw{ID: id})
			d.forget(id)
		}
	}
}

// heard notes a sign of life of a target.
func (d *scheduler) heard(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active {
		return
	}
	d.refresh()
	d.seen[id] = time.Now()
	for _, c := range d.pools {
		c.Step(time.Now(), place.Heard{Target: id})
	}
}

// silent returns the targets that said nothing for too long.
func (d *scheduler) silent() []site.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active || time.Since(d.began) < goneAfter {
		return nil
	}
	var out []site.Target
	for _, t := range d.server.machine.Targets() {
		if time.Since(d.seen[t.ID]) > goneAfter {
			out = append(out, t)
		}
	}
	return out
}

// report logs the state of the pools that have work.
func (d *scheduler) report() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.pools {
		p := c.Picture(time.Now())
		if p.Writers+p.Waiting == 0 {
			continue
		}
		d.server.Log.Info().Str("pool", name).Int("engines", p.Engines).Int("free", p.Free).Int("idle", p.Idle).
			Int("slots", p.Slots).Int("writers", p.Writers).Int("reads", p.Reads).Int("waiting", p.Waiting).
			Int("slow", p.Slow).Float64("demand", p.Demand).Msg("pool")
	}
}

// sweep takes targets that fell silent out of the registry, until ctx ends.
func (s *Server) sweep(ctx context.Context) error {
	timing.Every(ctx, sweepEvery, func() {
		s.sched.report()
		for _, t := range s.sched.silent() {
			_, err := s.propose(ctx, reg.Command{Depart: &reg.Depart{ID: t.ID, Born: t.Born, Silent: true}})
			s.Log.Warn().Str("target", t.ID).Str("pool", t.Pool).Err(err).Msg("target silent; taken out")
		}
	})
	return nil
}
