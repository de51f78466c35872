package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// mostInWindow has instances share a limit under a load pattern, and returns the largest number
// of requests sent in 4 s, and how many were sent a second.
func mostInWindow(limit float64, instances int, seed uint64, isBusy func(time.Duration) bool) (most int, perSecond float64) {
	const window, length, step = 4 * time.Second, 60 * time.Second, 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	limiters := make([]Limiter, instances)
	for i := range limiters {
		limiters[i].Set(start, limit, instances, rng.Float64())
	}
	var sent []time.Duration
	first := 0
	for at := time.Duration(0); at < length; at += step {
		for i := range limiters {
			now := start.Add(at)
			if isBusy(at) && limiters[i].Wait(now, instances) == 0 {
				limiters[i].Take(now, instances)
				sent = append(sent, at)
			}
		}
		for first < len(sent) && at-sent[first] > window {
			first++
		}
		most = max(most, len(sent)-first)
	}
	return most, float64(len(sent)) / length.Seconds()
}

// TestLimitIsShared: instances that don't know of each other's requests must together stay
// below one and a half times the limit and five requests in 4 s, also if all of them begin to
// send at once, and must use most of it under load.
func TestLimitIsShared(t *testing.T) {
	patterns := map[string]func(time.Duration) bool{
		"always":        func(time.Duration) bool { return true },
		"after a pause": func(at time.Duration) bool { return at > 30*time.Second },
		"bursts":        func(at time.Duration) bool { return at%(5*time.Second) < time.Second },
	}
	for name, isBusy := range patterns {
		for _, limit := range []float64{0, 0.5, 1, 2.3, 10} {
			for _, instances := range []int{1, 2, 6, 9, 30, 195} {
				for seed := range uint64(2) {
					most, perSecond := mostInWindow(limit, instances, seed, isBusy)
					comment := quicktest.Commentf("%s: limit %g, %d instances, seed %d: %d in 4 s, %.2f a second", name, limit, instances, seed, most, perSecond)
					quicktest.Check(t, most <= int(1.5*4*limit)+5, quicktest.IsTrue, comment)
					if name == "always" && limit > 0 && instances < 10 {
						quicktest.Check(t, perSecond >= limit/2, quicktest.IsTrue, comment)
					}
				}
			}
		}
	}
}

// TestLimitThatChangesOften: a target may name another limit in each answer. That must not bring
// the next turn of an instance forward again and again.
func TestLimitThatChangesOften(t *testing.T) {
	for _, instances := range []int{1, 6, 30} {
		rng := rand.New(rand.NewPCG(1, 1))
		start := time.Unix(0, 0)
		limiters := make([]Limiter, instances)
		sent := 0
		const length = 60 * time.Second
		for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
			now := start.Add(at)
			for i := range limiters {
				if at%(50*time.Millisecond) == 0 {
					limiters[i].Set(now, 1+rng.Float64()/10, instances, rng.Float64())
				}
				if limiters[i].Wait(now, instances) == 0 {
					limiters[i].Take(now, instances)
					sent++
				}
			}
		}
		quicktest.Check(t, sent <= int(1.1*length.Seconds())+instances, quicktest.IsTrue, quicktest.Commentf("%d instances sent %d in %s", instances, sent, length))
	}
}

// limitEngines has the first engines of a core name a limit.
func limitEngines(c *Core, now time.Time, count int, perSecond float64) {
	for i := range count {
		c.Step(now, Limit{Target: string(rune('a' + i)), PerSecond: perSecond, Named: true})
	}
}

// TestLimitedEngineGetsItsShare: an engine that names a limit must get no more than that many
// requests a second, as lead or as helper, and the others the rest. Once it names none any more,
// or its process has been replaced, it gets work as before.
func TestLimitedEngineGetsItsShare(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 3)
	limitEngines(c, now, 1, 2)
	play := func(from int, length time.Duration) (used int) {
		for i := range int(length / (50 * time.Millisecond)) {
			now = now.Add(50 * time.Millisecond)
			for _, e := range c.engines {
				c.Step(now, Heartbeat{Target: e.ID})
			}
			req := shortRequest(fmt.Sprint(from + i))
			if i%10 == 0 {
				req.Prompt = 60_000
			}
			for _, d := range c.Step(now, Arrive{req}) {
				g, ok := d.(Grant)
				quicktest.Assert(t, ok, quicktest.IsTrue)
				if g.Lead == "a" || slices.Contains(g.Helpers, "a") {
					used++
				}
				c.Step(now, End{ID: req.ID})
			}
		}
		return used
	}
	const limited = 2 * 10
	quicktest.Assert(t, play(0, 10*time.Second) <= limited+1, quicktest.IsTrue)
	c.Step(now, Limit{Target: "a"})
	quicktest.Assert(t, play(1000, 10*time.Second) > limited, quicktest.IsTrue)
	limitEngines(c, now, 1, 2)
	f := Fleet{Engine: publishedEngine()}
	for _, e := range c.engines {
		e.Target.StartedMs++
		f.Targets = append(f.Targets, e.Target)
		e.Target.StartedMs--
	}
	c.Step(now, f)
	quicktest.Assert(t, play(2000, 10*time.Second) > limited, quicktest.IsTrue)
}

// TestLimitedEngineHelpsNobody: to help with a long prompt takes orders besides the request, so an
// engine that names a limit must not be asked to.
func TestLimitedEngineHelpsNobody(t *testing.T) {
	now := time.Unix(0, 0)
	for _, isLimited := range []bool{false, true} {
		c := idleCore(now, 3)
		if isLimited {
			limitEngines(c, now, 2, 1)
		}
		req := shortRequest("long")
		req.Prompt, req.TTFTLeft, req.TTFTTarget, req.TimeLeft = 140_000, 3*time.Second, 3*time.Second, 12*time.Second
		g, _ := placeAndWait(c, now.Add(2*time.Second), req)
		quicktest.Assert(t, g.ID, quicktest.Equals, "long")
		helps := slices.Contains(g.Helpers, "a") || slices.Contains(g.Helpers, "b")
		quicktest.Assert(t, helps, quicktest.Equals, !isLimited, quicktest.Commentf("%+v", g))
	}
}

// TestLateRequestUsesFreeEngine: a late request must be served by an engine that is free, however
// many others have used up their limits.
func TestLateRequestUsesFreeEngine(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 10)
	limitEngines(c, now, 9, 1)
	for i := range 9 {
		c.Step(now, Arrive{shortRequest(fmt.Sprint(i))})
	}
	req := shortRequest("late")
	req.TTFTLeft = 0
	g, _ := placeAndWait(c, now.Add(50*time.Millisecond), req)
	quicktest.Assert(t, g.ID, quicktest.Equals, "late")
}

// TestAllEnginesLimited: what can't be served within the limits of all engines must be refused
// when that is known, and told when to come back.
func TestAllEnginesLimited(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 2)
	limitEngines(c, now, 2, 0)
	req := shortRequest("never")
	d := c.Step(now, Arrive{req})
	quicktest.Assert(t, d, quicktest.HasLen, 1)
	refused := d[0].(Refuse)
	quicktest.Assert(t, refused.RetryAfter > req.TimeLeft, quicktest.IsTrue)

	c = idleCore(now, 2)
	limitEngines(c, now, 2, 1)
	var granted, waited int
	for i := range 100 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		for _, e := range c.engines {
			c.Step(at, Heartbeat{Target: e.ID})
		}
		for _, d := range slices.Concat(c.Step(at, Arrive{shortRequest(fmt.Sprint(i))}), c.Step(at, Tick{})) {
			switch d := d.(type) {
			case Grant:
				granted++
				c.Step(at, End{ID: d.ID})
			case Refuse:
				sent, err := strconv.Atoi(d.ID)
				quicktest.Assert(t, err, quicktest.IsNil)
				if time.Duration(i-sent)*50*time.Millisecond > shortRequest("").TTFTTarget+50*time.Millisecond {
					waited++
				}
			}
		}
	}
	// One a second each for 5 s.
	quicktest.Assert(t, granted >= 8 && granted <= 12, quicktest.IsTrue, quicktest.Commentf("%d granted", granted))
	quicktest.Assert(t, waited, quicktest.Equals, 0)
}

// TestStandaloneCoresTakeTurns: the cores of many instances learn a limit from the leader at the
// same moment. If they are left without it, they must not all use the engine at the same time.
func TestStandaloneCoresTakeTurns(t *testing.T) {
	const instances = 195
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(0, 0)
	var sent []time.Duration
	for i := range instances {
		c := &Core{Standalone: true, Shares: instances}
		c.Step(start, Fleet{Engine: publishedEngine(), Targets: []site.Target{{ID: "a", Pool: "p", State: site.Ready, Slots: 16}}})
		c.Step(start, Limit{Target: "a", PerSecond: 1, Named: true, Phase: rng.Float64()})
		for at := time.Duration(0); at < 6*time.Minute; at += 500 * time.Millisecond {
			req := shortRequest(fmt.Sprint(i, at))
			for _, d := range c.Step(start.Add(at), Arrive{req}) {
				if _, ok := d.(Grant); ok {
					sent = append(sent, at)
				}
			}
			c.Step(start.Add(at), End{ID: req.ID})
			c.Step(start.Add(at), Withdraw{ID: req.ID})
		}
	}
	slices.Sort(sent)
	quicktest.Assert(t, len(sent) >= instances, quicktest.IsTrue)
	const allowed = 11 // 1.5 times the limit in 4 s, and 5 more
	for i := range sent[allowed:] {
		quicktest.Assert(t, sent[i+allowed]-sent[i] > 4*time.Second, quicktest.IsTrue, quicktest.Commentf("%d requests from %s on", allowed+1, sent[i]))
	}
}
