package place

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

const ms = time.Millisecond

// deployment is a fleet with its kinds of requests, their rates and their organisations.
type deployment struct {
	engines                int
	model                  site.Engine
	short, medium, long    *simClass
	shorts, mediums, longs float64
	organisations          []simOrganisation
}

// organisations returns senders of unequal size; two of them have other ranks than 1 if mixed.
func organisations(mixed bool) []simOrganisation {
	parts := []float64{0.2, 0.15, 0.12, 0.1, 0.09, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.01}
	var out []simOrganisation
	for i, p := range parts {
		rank := 1
		switch {
		case mixed && i == 5:
			rank = 0
		case mixed && i == 7:
			rank = 2
		}
		out = append(out, simOrganisation{name: fmt.Sprintf("o%02d", i), rank: rank, part: p})
	}
	return out
}

// firstDeployment has kinds of the ranks 0 to 2, and organisations of different ranks.
func firstDeployment() *deployment {
	return &deployment{
		engines: 45,
		model: site.Engine{
			Slots: 12, Memory: 197_200, Step: 1020 * time.Microsecond, PerAnswer: 2260 * time.Nanosecond, PerContext: 4310 * time.Nanosecond,
			Rate: 206_000, Pairs: 138 * time.Microsecond, Chunk: 2048, Stride: 48, Hop: 75 * time.Microsecond,
		},
		short:  &simClass{name: "short", prompt: 4960, spread: 0.9, maxPrompt: 23_800, output: 1470, ttftTarget: 250 * ms, maxPause: 250 * ms, limit: 10 * second, value: 1.3},
		medium: &simClass{name: "medium", prompt: 45_000, spread: 0.5, maxPrompt: 110_000, output: 880, ttftTarget: 1500 * ms, maxPause: 600 * ms, limit: 10 * second, value: 3.1, rank: 1},
		long:   &simClass{name: "long", prompt: 190_000, spread: 0.55, maxPrompt: 600_000, output: 730, ttftTarget: 6 * second, maxPause: second, limit: 15 * second, value: 22, rank: 2},
		shorts: 56.1, mediums: 6.63, longs: 2.35, organisations: organisations(true),
	}
}

// secondDeployment has one rank for all.
func secondDeployment() *deployment {
	return &deployment{
		engines: 54, model: fastEngine(12, 52, 382_500),
		short:  &simClass{name: "short", prompt: 4960, spread: 0.9, maxPrompt: 23_800, output: 1720, ttftTarget: 300 * ms, maxPause: 200 * ms, limit: 10 * second, value: 1.4, rank: 1},
		medium: &simClass{name: "medium", prompt: 45_000, spread: 0.5, maxPrompt: 110_000, output: 1030, ttftTarget: 1500 * ms, maxPause: 500 * ms, limit: 10 * second, value: 2.6, rank: 1},
		long:   &simClass{name: "long", prompt: 300_000, spread: 0.55, maxPrompt: 1_000_000, output: 860, ttftTarget: 4 * second, maxPause: 800 * ms, limit: 15 * second, value: 30, rank: 1},
		shorts: 81, mediums: 7.42, longs: 2.2, organisations: organisations(false),
	}
}

// add adds requests of all kinds at the rates of the deployment times a factor for each.
func (d *deployment) add(s *sim, from, to time.Duration, shorts, mediums, longs float64) {
	s.addLoad(d.short, from, to, d.shorts*shorts)
	s.addLoad(d.medium, from, to, d.mediums*mediums)
	s.addLoad(d.long, from, to, d.longs*longs)
}

// addFrom adds requests of one organisation and kind.
func (s *sim) addFrom(o simOrganisation, c *simClass, from, to time.Duration, rate float64) {
	all := s.organisations
	o.part = 1
	s.organisations = []simOrganisation{o}
	s.addLoad(c, from, to, rate)
	s.organisations = all
}

// slow makes a part of the engines slower for a while.
func (s *sim) slow(part, times float64, from, to time.Duration) {
	some := s.engines[:int(part*float64(len(s.engines))+0.5)]
	s.events.add(from, func() {
		for _, e := range some {
			e.slowdown = times
		}
	})
	s.events.add(to, func() {
		for _, e := range some {
			e.slowdown = 1
		}
	})
}

// burst is a load in which the engines don't suffice.
type burst struct {
	name       string
	deployment func() *deployment
	play       func(d *deployment, s *sim)
	// from and to bound the arrivals that count.
	from, to time.Duration
	// Between lost and found there is no scheduler, and entries place alone.
	lost, found time.Duration
	// minOthers is the least part on time of organisations other than bursting with the usual
	// rank; 0 for none.
	minOthers float64
}

// bursting is the organisation that sends too much in some bursts.
const bursting = "o08"

func bursts() []burst {
	return []burst{
		{
			// The largest kind comes in a burst, then the smallest, while engines are slow.
			name: "first, long then short", deployment: firstDeployment, from: second, to: 17 * second,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 17*second, 1, 1, 1)
				s.addLoad(d.long, 3*second, 9800*ms, d.longs*1.3)
				s.addLoad(d.short, 9800*ms, 13400*ms, d.shorts*0.9)
				s.slow(0.15, 7.7, 9800*ms, 15800*ms)
			},
		},
		{
			// The same at twice the rates: far too little capacity.
			name: "first, twice the rates", deployment: firstDeployment, from: second, to: 10 * second,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 10*second, 2, 2, 2)
				s.addLoad(d.long, 2*second, 6*second, d.longs*2.6)
				s.addLoad(d.short, 6*second, 9*second, d.shorts*1.8)
				s.slow(0.15, 7.7, 6*second, 10*second)
			},
		},
		{
			// No scheduler for 2.5 s in the burst of short requests.
			name: "first, no scheduler", deployment: firstDeployment, from: second, to: 17 * second, lost: 10 * second, found: 12500 * ms,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 17*second, 1, 1, 1)
				s.addLoad(d.long, 3*second, 9800*ms, d.longs*1.3)
				s.addLoad(d.short, 9800*ms, 13400*ms, d.shorts*0.9)
			},
		},
		{
			// Demand swings by 55 in 100 within seconds.
			name: "second, swings", deployment: secondDeployment, from: second, to: 17 * second,
			play: func(d *deployment, s *sim) {
				for i := range 6 {
					from, to := time.Duration(i)*3*second, time.Duration(i+1)*3*second
					short, long := 1.55, 0.45
					if i%2 == 1 {
						short, long = 0.45, 1.55
					}
					d.add(s, from, to, short*1.3, 1.3, long*1.5)
				}
			},
		},
		{
			// Short requests come at five times their mean for 6 s.
			name: "second, short x5", deployment: secondDeployment, from: second, to: 15 * second,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 15*second, 1, 1, 1)
				s.addLoad(d.short, 4*second, 10*second, d.shorts*4)
			},
		},
		{
			// The same without a scheduler for 2.5 s.
			name: "second, no scheduler", deployment: secondDeployment, from: second, to: 15 * second, lost: 5 * second, found: 7500 * ms,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 15*second, 1, 1, 1)
				s.addLoad(d.short, 4*second, 10*second, d.shorts*0.55)
			},
		},
		{
			// One small organisation sends as many requests as the engines can take.
			name: "first, one organisation", deployment: firstDeployment, from: second, to: 9 * second, minOthers: 0.88,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 9*second, 1.4, 1.4, 1.4)
				o := s.organisations[8]
				s.addFrom(o, d.short, 3*second, 7*second, d.shorts*3)
				s.addFrom(o, d.medium, 3*second, 7*second, d.mediums*4)
			},
		},
		{
			name: "second, one organisation", deployment: secondDeployment, from: second, to: 9 * second, minOthers: 0.88,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 9*second, 1.4, 1.4, 1.4)
				o := s.organisations[8]
				s.addFrom(o, d.short, 3*second, 7*second, d.shorts*3)
				s.addFrom(o, d.medium, 3*second, 7*second, d.mediums*4)
			},
		},
	}
}

// run plays a burst and returns the simulation.
func (b *burst) run(seed uint64) *sim {
	d := b.deployment()
	var p placer = &Core{Fair: true}
	if b.found > 0 {
		p = &informedFailover{failover: newFailover(b.lost, b.found)}
	}
	s := newSimOf(seed, d.engines, d.model, p)
	s.organisations, s.comeBack = d.organisations, true
	b.play(d, s)
	s.run(b.to + 15*second)
	return s
}

// burstOutcome counts what became of the requests of one kind or organisation.
type burstOutcome struct {
	score
	// comings counts refusals after which the caller came again, waited the requests that
	// waited for 50 ms or more.
	comings, waited int
	// again counts the answers that were on time by their last attempt.
	again int
	// sizes are those of all requests, served those of the served ones.
	sizes  []int
	served []int
}

func (o burstOutcome) String() string {
	n := float64(max(1, o.requests))
	return fmt.Sprintf("%5d requests, %5.1f%% waited, %5.1f%% on time (%5.1f%% by the last attempt), %5.1f%% late (%d by a pause, %d of these unforeseen), %5.1f%% not served, %d came again, earned %.3f",
		o.requests, 100*float64(o.waited)/n, 100*float64(o.inTime)/n, 100*float64(o.again)/n, 100*float64(o.late)/n, o.paused, o.unforeseen, 100*float64(o.refused)/n, o.comings, o.earnedShare())
}

// onTime and servedPart are fractions of the requests.
func (o burstOutcome) onTime() float64 { return float64(o.inTime) / float64(max(1, o.requests)) }

func (o burstOutcome) servedPart() float64 { return 1 - float64(o.refused)/float64(max(1, o.requests)) }

// largestServed returns the served fraction of the largest tenth.
func (o burstOutcome) largestServed() float64 {
	all := slices.Clone(o.sizes)
	slices.Sort(all)
	if len(all) == 0 {
		return 1
	}
	limit := all[len(all)*9/10]
	large := func(list []int) (n int) {
		for _, v := range list {
			if v >= limit {
				n++
			}
		}
		return n
	}
	return float64(large(o.served)) / float64(large(all))
}

// outcomes adds up the requests that arrived in a span, by kind, by organisation and in total.
func (s *sim) outcomes(from, to time.Duration, into map[string]*burstOutcome) {
	for _, j := range s.all {
		if j.arrived < from || j.arrived >= to {
			continue
		}
		for _, key := range []string{"kind " + j.class.name, "organisation " + j.organisation.name, "sum"} {
			o := into[key]
			if o == nil {
				o = &burstOutcome{}
				into[key] = o
			}
			o.add(j)
			o.comings += j.refusals
			if j.ended && !j.failed && !j.refused && j.ttft-(j.attempted-j.arrived) <= j.class.ttftTarget && j.longestGap <= j.class.maxPause {
				o.again++
			}
			if j.grant.Waited >= 50*ms {
				o.waited++
			}
			o.sizes = append(o.sizes, j.prompt+j.output)
			if j.ended && !j.failed && !j.refused {
				o.served = append(o.served, j.prompt+j.output)
			}
		}
	}
}

// playBurst plays a burst with several seeds and logs the outcomes.
func playBurst(t *testing.T, b *burst) map[string]*burstOutcome {
	out := make(map[string]*burstOutcome)
	sims := make([]*sim, *replaySeeds)
	var wg sync.WaitGroup
	for i := range sims {
		wg.Go(func() { sims[i] = b.run(uint64(i) + 1) })
	}
	wg.Wait()
	for _, s := range sims {
		s.outcomes(b.from, b.to, out)
	}
	for _, key := range slices.SortedFunc(maps.Keys(out), cmp.Compare[string]) {
		t.Logf("%-20s %v, largest tenth %.2f", key, out[key], out[key].largestServed())
	}
	return out
}

// TestBurstReplay plays loads beyond the engines' capacity. It guards against kinds,
// organisations and large requests that are starved.
func TestBurstReplay(t *testing.T) {
	for _, b := range bursts() {
		t.Run(b.name, func(t *testing.T) {
			out := playBurst(t, &b)
			checkOrder(t, b.deployment(), out)
			checkService(t, out)
			for _, org := range b.deployment().organisations {
				// Less urgent organisations yield by their rank as well.
				if o := out["organisation "+org.name]; b.minOthers > 0 && org.rank < 2 && org.name != bursting {
					quicktest.Check(t, o.onTime() >= b.minOthers, quicktest.IsTrue, quicktest.Commentf("%s: %v", org.name, o))
				}
			}
		})
	}
}

// checkOrder checks that no kind is served less often than a less urgent one by more than 5 in
// 100, or on time by more than 15 in 100.
func checkOrder(t *testing.T, d *deployment, out map[string]*burstOutcome) {
	for _, urgent := range []*simClass{d.short, d.medium, d.long} {
		for _, other := range []*simClass{d.short, d.medium, d.long} {
			if a, b := out["kind "+urgent.name], out["kind "+other.name]; urgent.rank < other.rank {
				quicktest.Check(t, a.servedPart() >= b.servedPart()-0.05, quicktest.IsTrue, quicktest.Commentf("%s served less often than %s", urgent.name, other.name))
				quicktest.Check(t, a.onTime() >= b.onTime()-0.15, quicktest.IsTrue, quicktest.Commentf("%s on time less often than %s", urgent.name, other.name))
			}
		}
	}
}

// checkService checks that all kinds and larger organisations are served, and the largest
// requests of a kind.
func checkService(t *testing.T, out map[string]*burstOutcome) {
	all := out["sum"]
	for key, o := range out {
		if strings.HasPrefix(key, "kind") {
			quicktest.Check(t, o.largestServed() >= o.servedPart()/2, quicktest.IsTrue, quicktest.Commentf("largest of %s: %.2f", key, o.largestServed()))
		}
		if strings.HasPrefix(key, "kind") || 20*o.requests >= all.requests {
			quicktest.Check(t, o.servedPart() >= all.servedPart()/4, quicktest.IsTrue, quicktest.Commentf("%s: %v", key, o))
		}
	}
}

// failover places like a scheduler, apart from a time in which entries place alone. A new
// scheduler then takes over their grants.
type failover struct {
	lost, found time.Time
	core        *Core
	entries     []*Core
	rng         *rand.Rand
	fleet       Fleet
	owners      map[string]*Core
	active      map[string]*ActiveGrant
	granted     map[string]time.Time
	requests    map[string]Request
	replaced    bool
}

// failoverEntries is the number of entries.
const failoverEntries = 83

func newFailover(lost, found time.Duration) *failover {
	f := &failover{
		lost: time.Unix(0, 0).Add(lost), found: time.Unix(0, 0).Add(found), core: &Core{Fair: true}, rng: rand.New(rand.NewPCG(9, 9)),
		owners: make(map[string]*Core), active: make(map[string]*ActiveGrant), granted: make(map[string]time.Time), requests: make(map[string]Request),
	}
	for range failoverEntries {
		f.entries = append(f.entries, &Core{Standalone: true, Fair: true, Shares: failoverEntries})
	}
	return f
}

func (f *failover) Waiting() int {
	n := f.core.Waiting()
	for _, c := range f.entries {
		n += c.Waiting()
	}
	return n
}

func (f *failover) Step(now time.Time, e Event) []Decision {
	alone := !now.Before(f.lost) && now.Before(f.found)
	if !now.Before(f.found) && !f.replaced {
		f.takeOver(now)
	}
	switch e := e.(type) {
	case Arrive:
		f.requests[e.Request.ID] = e.Request
		owner := f.entries[f.rng.IntN(len(f.entries))]
		f.owners[e.Request.ID] = owner
		if alone {
			return f.record(now, owner.Step(now, e), false)
		}
		return f.record(now, f.core.Step(now, e), true)
	case FirstEvent:
		if g := f.active[e.ID]; g != nil {
			g.Started = true
		}
		f.report(now, e.ID, e, alone)
	case End:
		delete(f.active, e.ID)
		f.report(now, e.ID, e, alone)
	case Withdraw:
		f.report(now, e.ID, e, false)
	case Tick:
		return f.tick(now, alone)
	case Fleet:
		f.fleet = e
		f.tell(now, e)
	default:
		f.tell(now, e)
	}
	return nil
}

// takeOver replaces the scheduler by a new one, which adopts the grants in use.
func (f *failover) takeOver(now time.Time) {
	f.replaced = true
	f.core = &Core{Fair: true}
	f.core.Step(now, f.fleet)
	for _, id := range slices.Sorted(maps.Keys(f.active)) {
		g := *f.active[id]
		g.Age = now.Sub(f.granted[id])
		f.core.Step(now, Adopt{g})
	}
}

// report passes an event of a request to its entry, and to the scheduler if there is one.
func (f *failover) report(now time.Time, id string, e Event, alone bool) {
	f.owners[id].Step(now, e)
	if !alone {
		f.core.Step(now, e)
	}
}

// tell passes an event to all.
func (f *failover) tell(now time.Time, e Event) {
	f.core.Step(now, e)
	for _, c := range f.entries {
		c.Step(now, e)
	}
}

// tick lets all try to place what waits.
func (f *failover) tick(now time.Time, alone bool) []Decision {
	var out []Decision
	for _, c := range f.entries {
		if c.Waiting() > 0 {
			out = append(out, f.record(now, c.Step(now, Tick{}), false)...)
		}
	}
	if !alone {
		out = append(out, f.record(now, f.core.Step(now, Tick{}), true)...)
	}
	return out
}

// record notes the grants in use, which entries know of their own requests.
func (f *failover) record(now time.Time, list []Decision, adopt bool) []Decision {
	for _, d := range list {
		if g, ok := d.(Grant); ok {
			a := &ActiveGrant{Request: f.requests[g.ID], Lead: g.Lead, Helpers: g.Helpers, Memory: g.Memory}
			f.active[g.ID], f.granted[g.ID] = a, now
			if adopt {
				f.owners[g.ID].Step(now, Adopt{*a})
			}
		}
	}
	return list
}
