package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// coldTestRate is the rate of cold targets in these tests.
const coldTestRate = 17

// mostWithin returns the largest number of sorted times that lie within a window.
func mostWithin(times []time.Duration, window time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// coldAllowed returns how many requests in a second a cold target tolerates.
func coldAllowed(rate float64) int { return int(1.5*rate + 5) }

// coldPlay has a scheduler and standalone cores share engines of which one is cold.
type coldPlay struct {
	cores []*Core
	rng   *rand.Rand
	start time.Time
	// sent is when requests were granted the cold engine.
	sent []time.Duration
	next int
}

// coldFleet returns engines of which the first is cold for the time left.
func coldFleet(engines int, left time.Duration) Fleet {
	f := Fleet{Engine: publishedEngine(), ColdRate: coldTestRate}
	for i := range engines {
		f.Targets = append(f.Targets, site.Target{ID: string(rune('a' + i)), Pool: "p", State: site.Ready, Slots: 1000, StartedMs: 1})
	}
	f.Targets[0].Cold = left
	return f
}

// announce has a core learn of the engines, as its owner does.
func (p *coldPlay) announce(at time.Duration, c *Core, f Fleet) {
	now := p.start.Add(at)
	c.Step(now, f)
	c.Step(now, Cold{Target: "a", StartedMs: f.Targets[0].StartedMs, For: f.Targets[0].Cold, Phase: p.rng.Float64()})
}

// offer has a core place a number of requests, whose answers end at once.
func (p *coldPlay) offer(at time.Duration, c *Core, count int) {
	now := p.start.Add(at)
	for id := range c.byID {
		c.Step(now, Heartbeat{Target: id})
	}
	for range count {
		req := shortRequest(fmt.Sprint(p.next))
		p.next++
		for _, d := range c.Step(now, Arrive{req}) {
			if g, ok := d.(Grant); ok && g.Lead == "a" {
				p.sent = append(p.sent, at)
			}
		}
		c.Step(now, End{ID: req.ID})
		c.Step(now, Withdraw{ID: req.ID})
	}
}

// TestColdEngineUnderOverload: a scheduler and 83 cores without one, which don't know of each other's
// requests, must together send a cold engine no more than it tolerates in any second: if it is
// announced or cold again under load, after a pause, and if another scheduler replaces the first one.
// Afterwards the limit must end by itself.
func TestColdEngineUnderOverload(t *testing.T) {
	const instances, step, coldUntil, length = 83, 20 * time.Millisecond, 16 * time.Second, 20 * time.Second
	for seed := range uint64(6) {
		p := &coldPlay{rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(0, 0)}
		scheduler := &Core{}
		p.announce(0, scheduler, coldFleet(1, coldUntil))
		for range instances {
			c := &Core{Standalone: true, Shares: instances}
			p.announce(0, c, coldFleet(1, coldUntil))
			p.cores = append(p.cores, c)
		}
		for at := time.Duration(0); at < length; at += step {
			if at == 8*time.Second {
				scheduler = &Core{}
				p.announce(at, scheduler, coldFleet(1, coldUntil-at))
			}
			if at >= 3*time.Second && at < 5*time.Second {
				continue // Turns that were not used add up in this time.
			}
			p.offer(at, scheduler, 10)
			for _, c := range p.cores {
				p.offer(at, c, 2)
			}
		}
		end := slices.IndexFunc(p.sent, func(at time.Duration) bool { return at >= coldUntil })
		quicktest.Assert(t, end > 0, quicktest.IsTrue)
		most := mostWithin(p.sent[:end], time.Second)
		perSecond := float64(end) / coldUntil.Seconds()
		t.Logf("seed %d: most %d in a second, %.1f a second", seed, most, perSecond)
		quicktest.Check(t, most <= coldAllowed(coldTestRate), quicktest.IsTrue, quicktest.Commentf("seed %d: %d", seed, most))
		quicktest.Check(t, perSecond > 0.7*coldTestRate, quicktest.IsTrue, quicktest.Commentf("seed %d: %.1f", seed, perSecond))
		quicktest.Check(t, mostWithin(p.sent, time.Second) > 100, quicktest.IsTrue, quicktest.Commentf("seed %d: the limit has not ended", seed))
	}
}

// coldServiceSends has instances share the rate of a cold service under a load pattern for a time, and
// returns when requests were sent.
func coldServiceSends(rate float64, instances int, seed uint64, length time.Duration, isBusy func(time.Duration) bool) (sent []time.Duration) {
	const step, repeat = 10 * time.Millisecond, 1200 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	limiters := make([]ColdLimiter, instances)
	for i := range limiters {
		limiters[i] = NewServiceColdLimiter()
	}
	for at := time.Duration(0); at < length; at += step {
		now := time.Unix(0, 0).Add(at)
		for i := range limiters {
			if at%repeat == 0 {
				// A heartbeat repeats the time.
				limiters[i].Set(now, length-at, rate, instances, rng.Float64())
			}
			if isBusy(at) && limiters[i].Wait(now, instances) == 0 {
				limiters[i].Take(now, instances)
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// TestColdServiceIsShared: instances that don't know of each other's requests must together send a cold
// service no more than it tolerates in any second, whichever of them begin to send at once, and must use
// a good part of that under load.
func TestColdServiceIsShared(t *testing.T) {
	const length = 30 * time.Second
	patterns := map[string]func(time.Duration) bool{
		"always":        func(time.Duration) bool { return true },
		"after a pause": func(at time.Duration) bool { return at > 15*time.Second },
		"bursts":        func(at time.Duration) bool { return at%(5*time.Second) < time.Second },
	}
	for name, isBusy := range patterns {
		for _, rate := range []float64{1, 3, coldTestRate, 50} {
			for _, instances := range []int{1, 2, 9, 83, 195} {
				for seed := range uint64(3) {
					sent := coldServiceSends(rate, instances, seed, length, isBusy)
					most := mostWithin(sent, time.Second)
					comment := quicktest.Commentf("%s: rate %g, %d instances, seed %d: %d in a second, %d in all", name, rate, instances, seed, most, len(sent))
					quicktest.Check(t, most <= coldAllowed(rate), quicktest.IsTrue, comment)
					enough := name != "always" || instances == 1 || rate <= 1 || float64(len(sent)) >= 0.4*rate*length.Seconds()
					quicktest.Check(t, enough, quicktest.IsTrue, comment)
				}
			}
		}
	}
}

// TestColdTakesTheLowerLimit: of the cold rate and the limit that a target names itself, the lower one
// must hold.
func TestColdTakesTheLowerLimit(t *testing.T) {
	for _, limit := range []float64{2, 100} {
		p := &coldPlay{rng: rand.New(rand.NewPCG(1, 1)), start: time.Unix(0, 0)}
		c := &Core{}
		p.announce(0, c, coldFleet(1, time.Minute))
		c.Step(p.start, Limit{Target: "a", StartedMs: 1, PerSecond: limit, Named: true})
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			p.offer(at, c, 1)
		}
		want := int(min(limit, coldTestRate) * 10)
		quicktest.Check(t, len(p.sent) <= want+1 && len(p.sent) > want/2, quicktest.IsTrue, quicktest.Commentf("%d requests at a limit of %g", len(p.sent), limit))
	}
}

// TestColdBindsOneProcess: reports of a former process must not slow down the next one, and a limit
// must not outlast the process.
func TestColdBindsOneProcess(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	f := coldFleet(1, time.Minute)
	c.Step(now, f)
	quicktest.Assert(t, c.engines[0].cold.Limits(now), quicktest.IsTrue)
	f.Targets[0].StartedMs, f.Targets[0].Cold = 2, 0
	c.Step(now, f)
	quicktest.Assert(t, c.engines[0].cold.Limits(now), quicktest.IsFalse)
	c.Step(now, Cold{Target: "a", StartedMs: 1, For: time.Minute})
	quicktest.Assert(t, c.engines[0].cold.Limits(now), quicktest.IsFalse)
	c.Step(now, Cold{Target: "a", StartedMs: 2, For: time.Minute})
	quicktest.Assert(t, c.engines[0].cold.Limits(now), quicktest.IsTrue)
	// The tables lift the limit.
	f.ColdRate = 0
	c.Step(now, f)
	quicktest.Assert(t, c.engines[0].cold.Limits(now), quicktest.IsFalse)
	f.ColdRate = coldTestRate
	c.Step(now, f)
	quicktest.Assert(t, c.engines[0].cold.Limits(now.Add(59*time.Second)), quicktest.IsTrue)
	quicktest.Assert(t, c.engines[0].cold.Limits(now.Add(61*time.Second)), quicktest.IsFalse)
}

// TestColdEngineHelpsNobody: to help with a long prompt takes orders besides the request, which a cold
// engine may count.
func TestColdEngineHelpsNobody(t *testing.T) {
	now := time.Unix(0, 0)
	for _, isCold := range []bool{false, true} {
		c := &Core{}
		f := coldFleet(3, 0)
		c.Step(now, f)
		if isCold {
			for _, id := range []string{"a", "b"} {
				c.Step(now, Cold{Target: id, StartedMs: 1, For: time.Minute})
			}
		}
		req := shortRequest("long")
		req.Prompt, req.TTFTLeft, req.TTFTTarget, req.TimeLeft = 140_000, 3*time.Second, 3*time.Second, 12*time.Second
		g, _ := placeAndWait(c, now.Add(2*time.Second), req)
		quicktest.Assert(t, g.ID, quicktest.Equals, "long")
		helps := slices.Contains(g.Helpers, "a") || slices.Contains(g.Helpers, "b")
		quicktest.Assert(t, helps, quicktest.Equals, !isCold, quicktest.Commentf("%+v", g))
	}
}

// TestNewEngineIsNotPackedFull: an engine that has just started is slower for some seconds, so it must
// not get answers for all of its slots at once.
func TestNewEngineIsNotPackedFull(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	f := Fleet{Engine: publishedEngine(), ColdRate: 1000}
	f.Targets = []site.Target{{ID: "a", Pool: "p", State: site.Ready, Slots: 12, StartedMs: 1, Cold: time.Minute}}
	c.Step(now, f)
	granted := 0
	grant := func(until time.Duration) int {
		for at := time.Duration(0); at < until; at += 20 * time.Millisecond {
			now = now.Add(20 * time.Millisecond)
			c.Step(now, Heartbeat{Target: "a"})
			req := shortRequest(fmt.Sprint(now.UnixNano()))
			for _, d := range c.Step(now, Arrive{req}) {
				if _, ok := d.(Grant); ok {
					granted++
					c.Step(now, FirstEvent{ID: req.ID, Elapsed: 50 * time.Millisecond})
				}
			}
			c.Step(now, Withdraw{ID: map[bool]string{true: req.ID}[c.jobs[req.ID] != nil && c.jobs[req.ID].lead == nil]})
		}
		return granted
	}
	quicktest.Assert(t, grant(warmUpTime-time.Second), quicktest.Equals, 6)
	quicktest.Assert(t, grant(4*time.Second), quicktest.Equals, 12)
}

// uncoldRun is a core of a pool without a cold rate under load.
type uncoldRun struct {
	core Core
	now  time.Time
	out  []string
}

// step passes an event to the core and notes the decisions. Answers start at once.
func (r *uncoldRun) step(e Event) {
	for _, d := range r.core.Step(r.now, e) {
		r.out = append(r.out, fmt.Sprintf("%s %+v", r.now, d))
		if g, ok := d.(Grant); ok {
			r.core.Step(r.now, FirstEvent{ID: g.ID, Elapsed: 100 * time.Millisecond})
		}
	}
}

// decisionsWithoutColdRate returns the decisions for engines that say that they are cold for a time,
// while processes replace each other, in a pool that names no rate for that.
func decisionsWithoutColdRate(cold time.Duration) []string {
	r := uncoldRun{now: time.Unix(0, 0)}
	rng := rand.New(rand.NewPCG(1, 1))
	f := coldFleet(4, cold)
	f.ColdRate = 0
	for i := range f.Targets {
		f.Targets[i].Cold, f.Targets[i].Slots = cold, 12
	}
	for i := range 2000 {
		r.now = r.now.Add(10 * time.Millisecond)
		if i%200 == 0 {
			f.Targets[i/200%4].StartedMs++
			r.step(f)
		}
		for _, target := range f.Targets {
			r.step(Heartbeat{Target: target.ID})
			if cold > 0 && i%100 == 0 {
				r.step(Cold{Target: target.ID, StartedMs: target.StartedMs, For: cold})
			}
		}
		req := shortRequest(fmt.Sprint(i))
		if rng.IntN(10) == 0 {
			req.Prompt = 60_000
		}
		r.step(Arrive{req})
		r.step(Tick{})
		r.step(End{ID: fmt.Sprint(i - 100)})
	}
	return r.out
}

// TestPoolWithoutColdRate: targets that say that they are cold must get the same work as before in a
// pool whose tables name no rate for that.
func TestPoolWithoutColdRate(t *testing.T) {
	got := decisionsWithoutColdRate(time.Minute)
	quicktest.Assert(t, len(got) > 1000, quicktest.IsTrue)
	quicktest.Assert(t, got, quicktest.DeepEquals, decisionsWithoutColdRate(0))
}
