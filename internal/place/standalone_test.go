package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/red"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// loadInterval is how often entries hear of the pool's load in these replays, and passInterval how
// often the grants of others are passed on, each with the delay of a link.
const (
	loadInterval = 250 * ms
	passInterval = 50 * ms
)

// informedFailover is a failover whose entries are told of the load: of all of it while there is a
// scheduler, and of the grants of others while there is none.
type informedFailover struct {
	*failover
	heardAt, passedAt time.Time
	made              []ActiveGrant
}

func (f *informedFailover) Step(now time.Time, e Event) []Decision {
	alone := !now.Before(f.lost) && now.Before(f.found)
	if !alone && now.Sub(f.heardAt) >= loadInterval && f.fleet.Targets != nil {
		f.heardAt = now
		f.inform(now, f.core.Load(now))
	}
	if alone && now.Sub(f.passedAt) >= passInterval {
		f.passedAt = now
		f.inform(now, LoadOfGrants("p", f.fleet.Engine, f.made))
		f.made = nil
	}
	out := f.failover.Step(now, e)
	for _, d := range out {
		if g, ok := d.(Grant); ok && alone {
			f.made = append(f.made, *f.active[g.ID])
		}
	}
	return out
}

// inform passes a load to all entries.
func (f *informedFailover) inform(now time.Time, l PoolLoad) {
	for _, c := range f.entries {
		c.Step(now, l)
	}
}

// gap is a load pattern without a scheduler for a while.
type gap struct {
	name        string
	deployment  func() *deployment
	lost, found time.Duration
	play        func(d *deployment, s *sim)
}

func gaps() []gap {
	var out []gap
	for i, fleet := range []func() *deployment{firstDeployment, secondDeployment} {
		name := []string{"first", "second"}[i]
		out = append(out, gap{
			// All entries restart, and the callers that were cut off come back at once: 83 entries get
			// 3 to 5 requests each in the first second.
			name: name + ", all restart", deployment: fleet, lost: 0, found: 1500 * ms,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 300*ms, 8, 4, 3)
				d.add(s, 300*ms, 3*second, 1, 1, 1)
			},
		}, gap{
			// The leader is lost while four fifths of the slots are in use.
			name: name + ", leader lost", deployment: fleet, lost: 6 * second, found: 7500 * ms,
			play: func(d *deployment, s *sim) {
				d.add(s, 0, 9*second, 1, 1, 1)
				s.addLoad(d.short, 2*second, 8*second, 1.7*d.shorts)
			},
		})
	}
	return out
}

// run plays a gap and returns what became of the requests that arrived in it, by kind.
func (g *gap) run(seed uint64, informed bool) map[string]score {
	d := g.deployment()
	f := newFailover(g.lost, g.found)
	var p placer = f
	if informed {
		p = &informedFailover{failover: f}
	}
	s := newSimOf(seed, d.engines, d.model, p)
	s.organisations, s.comeBack = d.organisations, true
	g.play(d, s)
	s.run(g.found + 15*second)
	out, sum := s.scores(g.lost, g.found)
	out["sum"] = sum
	return out
}

// minGapSeeds is the least number of seeds: a gap has only 200 to 330 requests.
const minGapSeeds = 3

// TestGapReplay guards against entries that place by their own grants alone, and so choose engines
// that are full or prefill long prompts: of the requests without a scheduler, those that are late
// must be half of those without the reports of the load at most, and 99 in 100 are served.
func TestGapReplay(t *testing.T) {
	for _, g := range gaps() {
		t.Run(g.name, func(t *testing.T) {
			var late [2]float64
			for i, informed := range []bool{false, true} {
				total := make(map[string]score)
				for seed := range uint64(max(minGapSeeds, *replaySeeds)) {
					for kind, sc := range g.run(seed+1, informed) {
						total[kind] = total[kind].plus(sc)
					}
				}
				for _, kind := range []string{"short", "medium", "long", "sum"} {
					x := total[kind]
					n := float64(max(1, x.requests))
					t.Logf("informed %-5v %-6s %5d requests, %.3f on time, %.3f not served, earned %.3f", informed, kind, x.requests, float64(x.inTime)/n, float64(x.refused)/n, x.earnedShare())
				}
				late[i] = float64(total["sum"].late)
				quicktest.Check(t, 100*total["sum"].refused <= total["sum"].requests, quicktest.IsTrue)
			}
			red.Check(t, "late", late[1] <= 0.5*late[0], "late: %v without and with reports of the load, wanted half as many", late)
		})
	}
}

func (c score) plus(o score) score {
	return score{
		requests: c.requests + o.requests, inTime: c.inTime + o.inTime, late: c.late + o.late, refused: c.refused + o.refused,
		offered: c.offered + o.offered, earned: c.earned + o.earned,
	}
}

// twoEngines returns a standalone core with the engines a and b of 12 slots.
func twoEngines(now time.Time) *Core {
	c := &Core{Standalone: true}
	c.Step(now, Fleet{Engine: grownEngine(), Targets: []site.Target{
		{ID: "a", Pool: "p", State: site.Ready, Slots: 12}, {ID: "b", Pool: "p", State: site.Ready, Slots: 12},
	}})
	return c
}

// loadOf returns the load of a pool whose engine a has that many answers.
func loadOf(answers int, queued time.Duration) PoolLoad {
	var l PoolLoad
	l.add("a", engineLoad{answers: answers, queued: queued})
	return l
}

// shareOf returns which part of short requests, one at a time, is placed on engine a.
func shareOf(t *testing.T, c *Core, now time.Time) float64 {
	const requests = 2000
	n := 0
	for i := range requests {
		id := fmt.Sprint("s", i)
		d := c.Step(now, Arrive{shortRequest(id)})
		quicktest.Assert(t, d, quicktest.HasLen, 1)
		if d[0].(Grant).Lead == "a" {
			n++
		}
		c.Step(now, Withdraw{id})
	}
	return float64(n) / requests
}

// TestStandaloneSpread: short requests must go to engines in proportion to what each has left, and
// the reported load must fade, since the core does not see the ends of the answers of others. A
// report that is old or late must change nothing.
func TestStandaloneSpread(t *testing.T) {
	now := time.Unix(100, 0)
	for name, c := range map[string]struct {
		load     PoolLoad
		after    time.Duration
		from, to float64
	}{
		"nothing known": {PoolLoad{}, 0, 0.47, 0.53},
		// The longer passes of a engine with answers count, too.
		"answers":        {loadOf(8, 0), 0, 0.12, 0.25},
		"full":           {loadOf(12, 0), 0, 0, 0.02},
		"queue":          {loadOf(0, 200*ms), 0, 0.05, 0.25},
		"queue, later":   {loadOf(0, 200*ms), 200 * ms, 0.47, 0.53},
		"answers, later": {loadOf(8, 0), second, 0.25, 0.46},
		"too old":        {PoolLoad{Packed: loadOf(12, 0).Packed, Age: MaxLoadAge + 1}, 0, 0.47, 0.53},
		"added":          {PoolLoad{Packed: loadOf(12, 0).Packed, Added: true}, 0, 0, 0.02},
	} {
		t.Run(name, func(t *testing.T) {
			core := twoEngines(now)
			core.Step(now.Add(-100*ms), PoolLoad{})
			core.Step(now, c.load)
			core.Step(now, PoolLoad{Packed: loadOf(12, 0).Packed, Age: second})
			core.Step(now, PoolLoad{Added: true})
			got := shareOf(t, core, now.Add(c.after))
			quicktest.Check(t, got >= c.from && got <= c.to, quicktest.IsTrue, quicktest.Commentf("%.3f", got))
		})
	}
}

// TestLoadContainsOwnGrants guards against grants that count twice: those of the entry itself are part
// of what the scheduler reports.
func TestLoadContainsOwnGrants(t *testing.T) {
	now := time.Unix(100, 0)
	scheduler, entry := &Core{}, twoEngines(now)
	scheduler.Step(now, Fleet{Engine: grownEngine(), Targets: []site.Target{{ID: "a", Pool: "p", State: site.Ready, Slots: 12}}})
	for i := range 6 {
		r := shortRequest(fmt.Sprint(i))
		grant := Adopt{ActiveGrant{Request: r, Lead: "a"}}
		scheduler.Step(now, grant)
		if i < 4 {
			entry.Step(now, grant)
		}
	}
	entry.Step(now, scheduler.Load(now))
	quicktest.Check(t, entry.byID["a"].others.answers, quicktest.Equals, 2.0)
	quicktest.Check(t, entry.byID["b"].others.answers, quicktest.Equals, 0.0)
}

// TestLongPromptsUseFewestAnswers: a long prompt must not be prefilled where others decode.
func TestLongPromptsUseFewestAnswers(t *testing.T) {
	now := time.Unix(100, 0)
	core := twoEngines(now)
	core.Step(now, loadOf(4, 0))
	for i := range 50 {
		id := fmt.Sprint(i)
		d := core.Step(now, Arrive{Request{
			ID: id, Pool: "p", Prompt: 100_000, Output: 500, TTFTLeft: 6 * second, TTFTTarget: 6 * second, MaxPause: second, PauseTimeout: 8 * second, TimeLeft: 15 * second,
		}})
		quicktest.Assert(t, d, quicktest.HasLen, 1)
		quicktest.Check(t, d[0].(Grant).Lead, quicktest.Equals, "b")
		core.Step(now, Withdraw{id})
	}
}

// TestPoolLoadOfGrants packs grants as they are passed on, and rejects what was cut off.
func TestPoolLoadOfGrants(t *testing.T) {
	m := grownEngine()
	r := Request{ID: "1", Prompt: 50_000}
	l := LoadOfGrants("p", m, []ActiveGrant{{Request: r, Lead: "a", Helpers: []string{"b"}}, {Request: r, Lead: "a", Started: true}})
	quicktest.Check(t, l.Check(), quicktest.IsNil)
	quicktest.Check(t, len(l.Packed), quicktest.Equals, 2*engineLoadBytes)
	part := (costModel{m}.prefillTime(r.Prompt)/2 + loadQueueUnit/2).Truncate(loadQueueUnit)
	got := l.unpack()
	quicktest.Check(t, got[engineHash("a")] == engineLoad{answers: 2, queued: part}, quicktest.IsTrue, quicktest.Commentf("%v", got))
	quicktest.Check(t, got[engineHash("b")] == engineLoad{queued: part}, quicktest.IsTrue, quicktest.Commentf("%v", got))
	l.Packed = l.Packed[1:]
	quicktest.Check(t, l.Check(), quicktest.IsNotNil)
}
