package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

const (
	// hopLatency is the one-way network latency between instances and to engines.
	hopLatency = time.Millisecond
	// tickInterval is the time between two tick events of a policy.
	tickInterval = 200 * time.Millisecond
	// reportInterval is the time between two load reports of an engine.
	reportInterval = time.Second
	// renewInterval is the time between two renewals of a grant.
	renewInterval = policy.LeaseTime / 3
	// digestInterval is the time between two updates of the shards' load digests.
	digestInterval = 250 * time.Millisecond
	// cacheEventLag is the delay of cache events.
	cacheEventLag = 2 * time.Second
	// poolName is the name of the only pool.
	poolName = "advice"
)

// Policy schedules the requests of one shard. The system's own is *policy.Core.
type Policy interface {
	Step(now time.Time, e policy.Event) []policy.Decision
}

// shard is a scheduler shard: an instance of the policy that schedules for some of the
// engines.
type shard struct {
	policy Policy
	// live is false once the shard's data centre has failed.
	live   bool
	digest policy.Digest
}

// simulation holds the state of one run.
type simulation struct {
	setup   Setup
	loop    loop
	rand    *rand.Rand
	shards  []*shard
	engines map[string]*simEngine
	// shardOf maps the name of an engine to its shard.
	shardOf  map[string]*shard
	handlers []*handler
	// byID holds the handlers of requests in progress by the id of their latest attempt.
	byID map[string]*handler
}

// startTime returns the wall-clock time at virtual time zero.
func startTime() time.Time { return time.Unix(0, 0) }

// newSimulation returns a simulation with all engines, before its first event.
func newSimulation(s Setup) *simulation {
	sim := &simulation{
		setup:   s,
		rand:    rand.New(rand.NewPCG(s.Seed, 11)),
		engines: make(map[string]*simEngine),
		shardOf: make(map[string]*shard),
		byID:    make(map[string]*handler),
	}
	for dataCentre, n := range s.Workload.Engines {
		if dataCentre == 0 || s.Contender.Sharded {
			sim.shards = append(sim.shards, &shard{policy: s.Contender.New(s), live: true})
		}
		sh := sim.shards[len(sim.shards)-1]
		for i := range n {
			sim.addEngine(sh, dataCentre, i)
		}
	}
	return sim
}

// addEngine adds engine i of a data centre to a shard and starts its load reports.
func (sim *simulation) addEngine(sh *shard, dataCentre, i int) {
	e := &simEngine{
		target: engine.Target{
			Name: fmt.Sprintf("%c%d", 'a'+dataCentre, i), Addr: fmt.Sprintf("10.0.%d.%d:80", dataCentre, i),
			DataCentre: fmt.Sprintf("dc-%c", 'a'+dataCentre), Pool: poolName, Kind: table.Engine,
			Memory: sim.setup.Costs.Memory, Incarnation: 1,
		},
		costs:        sim.setup.Costs,
		loop:         &sim.loop,
		measureUntil: sim.setup.Length,
	}
	e.onCacheChange = func(added, removed []uint64) { sim.sendCacheEvent(e, added, removed) }
	sim.engines[e.target.Name] = e
	sim.shardOf[e.target.Name] = sh
	for d := time.Duration(0); d < sim.setup.ReportLag; d += reportInterval {
		sim.sendReport(e, d) // Reports that were sent before the run began.
	}
	sim.reportPeriodically(e)
}

// reportPeriodically sends a load report now and every reportInterval from then on.
func (sim *simulation) reportPeriodically(e *simEngine) {
	if e.failed || sim.loop.now > sim.setup.horizon() {
		return
	}
	sim.sendReport(e, sim.setup.ReportLag)
	sim.loop.after(reportInterval, func() { sim.reportPeriodically(e) })
}

// sendReport sends a load report that arrives after lag.
func (sim *simulation) sendReport(e *simEngine, lag time.Duration) {
	announce := policy.Announce{News: engine.Announcement{Target: e.target, Report: e.report()}}
	sim.loop.after(lag, func() { sim.step(sim.shardOf[e.target.Name], announce) })
}

// sendCacheEvent sends a cache event, which may get lost.
func (sim *simulation) sendCacheEvent(e *simEngine, added, removed []uint64) {
	if sim.rand.Float64() < sim.setup.CacheEventLoss {
		return
	}
	ev := policy.Cached{Target: e.target.Name, Added: added, Removed: removed}
	sim.loop.after(cacheEventLag, func() { sim.step(sim.shardOf[e.target.Name], ev) })
}

// tick sends a tick event to every shard now and every tickInterval from then on.
func (sim *simulation) tick() {
	if sim.loop.now > sim.setup.horizon() {
		return
	}
	for _, sh := range sim.shards {
		sim.step(sh, policy.Tick{})
	}
	sim.loop.after(tickInterval, sim.tick)
}

// updateDigests updates the load digest of every shard that has one, now and every
// digestInterval from then on.
func (sim *simulation) updateDigests() {
	if sim.loop.now > sim.setup.horizon() {
		return
	}
	for _, sh := range sim.shards {
		if c, ok := sh.policy.(*policy.Core); ok {
			sh.digest = c.Digest(sim.clock())
		}
	}
	sim.loop.after(digestInterval, sim.updateDigests)
}

// clock returns the wall-clock time at the current virtual time.
func (sim *simulation) clock() time.Time { return startTime().Add(sim.loop.now) }

// step passes an event to a shard's policy and carries out its decisions.
func (sim *simulation) step(sh *shard, e policy.Event) {
	if !sh.live {
		return
	}
	for _, d := range sh.policy.Step(sim.clock(), e) {
		switch d := d.(type) {
		case policy.Grant:
			if h := sim.byID[d.ID]; h != nil {
				sim.loop.after(2*hopLatency, func() { h.start(d) })
			}
		case policy.Refuse:
			if h := sim.byID[d.ID]; h != nil {
				h.tryNextShard(d)
			}
		case policy.Cancel:
			if h := sim.byID[d.Grant]; h != nil && h.execution != nil && h.execution.id == d.Grant {
				h.execution.end()
			}
		}
	}
}

// chooseShard returns the shard from which an entry in a data centre requests a grant: the
// local one unless the digest of another one is better. Shards in exclude are skipped.
func (sim *simulation) chooseShard(dataCentre int, a policy.Ask, exclude []*shard) *shard {
	if !sim.setup.Contender.Sharded {
		return sim.shards[0]
	}
	var local *shard
	if sh := sim.shards[dataCentre]; sh.live && !slices.Contains(exclude, sh) {
		local = sh
	}
	var best *shard
	for _, sh := range sim.shards {
		if !sh.live || slices.Contains(exclude, sh) {
			continue
		}
		if best == nil || sh.digest.Better(best.digest, a, 0) {
			best = sh
		}
	}
	if local == nil {
		return best
	}
	if best != local && !sim.setup.Contender.Local && best.digest.Better(local.digest, a, 2*hopLatency) {
		return best
	}
	return local
}

// failEngine makes an engine fail without notice.
func (sim *simulation) failEngine(name string) { sim.engines[name].fail() }

// failDataCentre makes all engines and the shard of a data centre fail.
func (sim *simulation) failDataCentre(dataCentre int) {
	if sim.setup.Contender.Sharded {
		sim.shards[dataCentre].live = false
	}
	for i := range sim.setup.Workload.Engines[dataCentre] {
		sim.failEngine(fmt.Sprintf("%c%d", 'a'+dataCentre, i))
	}
}
