package place

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// idleCore returns a core with that many idle engines, named a, b and so on.
func idleCore(now time.Time, engines int) *Core {
	c := &Core{}
	f := Fleet{Engine: publishedEngine()}
	for i := range engines {
		f.Targets = append(f.Targets, site.Target{ID: string(rune('a' + i)), Pool: "p", State: site.Ready, Slots: 16})
	}
	c.Step(now, f)
	return c
}

// busyCore returns a core whose only engine has all slots in use.
func busyCore(now time.Time) *Core {
	c := &Core{}
	c.Step(now, Fleet{Engine: publishedEngine(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	for i := range 16 {
		req := shortRequest(string(rune('a' + i)))
		c.Step(now, Arrive{req})
		c.Step(now, FirstEvent{ID: req.ID, Elapsed: 100 * time.Millisecond})
	}
	return c
}

func shortRequest(id string) Request {
	s := short()
	return Request{
		ID: id, Pool: "p", Prompt: 5000, Output: 1300, TTFTLeft: s.ttftTarget, TTFTTarget: s.ttftTarget,
		MaxPause: s.maxPause, PauseTimeout: s.eventTimeout(), TimeLeft: s.eventTimeout(),
	}
}

// TestPassesOfUncheckedEngine guards against schedulers that never end a step: tables that a build without
// bounds has committed may declare passes that take no time, or whose time overflows.
func TestPassesOfUncheckedEngine(t *testing.T) {
	for name, change := range map[string]func(*site.Engine){
		"overflow":      func(e *site.Engine) { e.Stride = math.MaxInt },
		"negative time": func(e *site.Engine) { e.PerAnswer = -time.Hour },
		"no time":       func(e *site.Engine) { e.Step, e.PerAnswer, e.PerContext, e.Stride = 1, 0, 0, 1 },
		"all large": func(e *site.Engine) {
			e.Step, e.PerAnswer, e.PerContext, e.Pairs, e.Stride, e.Chunk = math.MaxInt64, math.MaxInt64, math.MaxInt64, math.MaxInt64, math.MaxInt, math.MaxInt
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			model := publishedEngine()
			change(&model)
			c := &Core{}
			c.Step(now, Fleet{Engine: model, Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
			e := c.byID["e"]
			for i := range 16 {
				req := shortRequest(string(rune('a' + i)))
				req.Resumed = i > 0 // It is granted whatever the predictions.
				c.Step(now, Arrive{req})
				now = now.Add(50 * time.Millisecond)
				c.Step(now, FirstEvent{ID: req.ID, Elapsed: 50 * time.Millisecond})
				c.Step(now, Tick{})
				if !e.passEnd.IsZero() && !e.passEnd.After(e.passStart) {
					t.Fatalf("a pass takes %s", e.passEnd.Sub(e.passStart))
				}
			}
			quicktest.Assert(t, e.answers > 0, quicktest.IsTrue)
		})
	}
}

// TestResumedRequestIsNotRefused sends a request that continues a partly delivered answer
// while all engines are full. It must not be refused because of the price of engine time, or
// answers would break off even under little load.
func TestResumedRequestIsNotRefused(t *testing.T) {
	now := time.Unix(0, 0)
	for _, resumed := range []bool{false, true} {
		c := busyCore(now)
		req := shortRequest("late")
		req.TTFTLeft, req.Resumed = 0, resumed
		refused := false
		for at := now; at.Before(now.Add(time.Second)); at = at.Add(20 * time.Millisecond) {
			var e Event = Tick{}
			if at.Equal(now) {
				e = Arrive{req}
			}
			for _, d := range c.Step(at, e) {
				r, ok := d.(Refuse)
				refused = refused || ok && r.ID == "late"
			}
		}
		quicktest.Assert(t, refused, quicktest.Equals, !resumed)
		for _, d := range c.Step(now.Add(time.Second), End{ID: "a"}) {
			t.Fatalf("decision %v before a tick", d)
		}
		granted := false
		for _, d := range c.Step(now.Add(time.Second), Tick{}) {
			g, ok := d.(Grant)
			granted = granted || ok && g.ID == "late"
		}
		quicktest.Assert(t, granted, quicktest.Equals, resumed)
	}
}

// TestRefusalHasRetryTime checks that each refusal has a retry time, within a third of what
// the caller has left, and that the times differ between callers.
func TestRefusalHasRetryTime(t *testing.T) {
	now := time.Unix(0, 0)
	c := busyCore(now)
	times := make(map[time.Duration]bool)
	for i := range 10 {
		req := shortRequest("x" + string(rune('a'+i)))
		req.TTFTLeft, req.TimeLeft = 0, 9*time.Second
		for _, d := range c.Step(now, Arrive{req}) {
			r := d.(Refuse)
			quicktest.Assert(t, r.RetryAfter > 0 && r.RetryAfter <= req.TimeLeft/3, quicktest.IsTrue)
			times[r.RetryAfter] = true
		}
	}
	quicktest.Assert(t, len(times) > 5, quicktest.IsTrue)
}

// TestSimultaneousFailuresCountOnce breaks off eight answers of an engine at once, as one
// long pass does. Counted one by one, they would eject it for four seconds and move its
// work to others.
func TestSimultaneousFailuresCountOnce(t *testing.T) {
	now := time.Unix(0, 0)
	c := busyCore(now)
	for i := range 8 {
		c.Step(now, End{ID: string(rune('a' + i)), FailedTarget: "e"})
	}
	e := c.byID["e"]
	quicktest.Assert(t, c.available(now, e), quicktest.IsFalse)
	quicktest.Assert(t, c.available(now.Add(minEjection), e), quicktest.IsTrue)
	// Failures that go on eject it for longer and longer.
	for i, id := range []string{"i", "j", "k"} {
		at := now.Add(time.Duration(i+1) * 2 * time.Second)
		c.Step(at, End{ID: id, FailedTarget: "e", Unreachable: true})
		quicktest.Assert(t, e.until.Sub(at) >= minEjection<<i, quicktest.IsTrue, quicktest.Commentf("%s", e.until.Sub(at)))
	}
}

// TestSilentEngineIsAvoided: while an engine is silent, other requests must be placed elsewhere, although
// its answers are still waited for.
func TestSilentEngineIsAvoided(t *testing.T) {
	now := time.Unix(0, 0)
	c := busyCore(now)
	e := c.byID["e"]
	answers := e.answers
	c.Step(now, Silence{ID: "a"})
	quicktest.Assert(t, c.available(now, e), quicktest.IsFalse)
	quicktest.Assert(t, e.answers, quicktest.Equals, answers)
	c.Step(now, Silence{ID: "unknown"})
	quicktest.Assert(t, c.available(now.Add(minEjection), e), quicktest.IsTrue)
}

// TestRequestWithoutTokenCounts places a request that does not state its length.
func TestRequestWithoutTokenCounts(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	c.Step(now, Fleet{Engine: publishedEngine(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	req := shortRequest("none")
	req.Prompt, req.Output = 0, 0
	out := c.Step(now, Arrive{req})
	quicktest.Assert(t, out, quicktest.HasLen, 1)
	quicktest.Assert(t, out[0].(Grant).Loss.Own >= 0, quicktest.IsTrue)
}

// TestQueueIsBounded sends far more than can be served: requests beyond the bound of the
// queue are refused at once.
func TestQueueIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	c := busyCore(now)
	refused := 0
	for i := range maxWaiting + 100 {
		req := shortRequest(fmt.Sprint("w", i))
		for _, d := range c.Step(now, Arrive{req}) {
			_, ok := d.(Refuse)
			quicktest.Assert(t, ok, quicktest.IsTrue)
			refused++
		}
	}
	quicktest.Assert(t, c.Waiting(), quicktest.Equals, maxWaiting)
	quicktest.Assert(t, refused, quicktest.Equals, 100)
}

// placeAndWait sends a request and ticks until it is granted.
func placeAndWait(c *Core, now time.Time, req Request) (Grant, time.Time) {
	var e Event = Arrive{req}
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		for _, d := range c.Step(now, e) {
			if g, ok := d.(Grant); ok && g.ID == req.ID {
				return g, now
			}
		}
		e = Tick{}
	}
	return Grant{}, now
}

// TestPromptLargerThanOneEngine places a prompt of a million tokens on engines with memory
// for 405,000: none is given more than it has, and all memory is released at the end.
func TestPromptLargerThanOneEngine(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 16)
	l := long()
	req := Request{
		ID: "large", Pool: "p", Prompt: 1_000_000, Output: 650, TTFTLeft: l.ttftTarget, TTFTTarget: l.ttftTarget,
		MaxPause: l.maxPause, PauseTimeout: l.eventTimeout(), TimeLeft: l.limit,
	}
	g, _ := placeAndWait(c, now, req)
	quicktest.Assert(t, g.ID, quicktest.Equals, "large")
	leadTokens := req.Prompt + req.Output
	for _, n := range g.Memory {
		quicktest.Assert(t, n > 0 && n <= publishedEngine().Memory, quicktest.IsTrue)
		leadTokens -= n
	}
	quicktest.Assert(t, leadTokens <= publishedEngine().Memory, quicktest.IsTrue)
	c.Step(now.Add(20*time.Second), End{ID: "large"})
	for _, e := range c.engines {
		quicktest.Assert(t, e.reserved, quicktest.Equals, 0)
		quicktest.Assert(t, len(e.jobs)+e.helperParts+e.answers, quicktest.Equals, 0)
	}
}

// TestPartDelaysAnswerAboutToStart adds a part to an engine that leads an answer whose
// helper is still prefilling. The part makes the answer pause as soon as it starts, and that
// must count as a loss, or answers of long prompts pause for seconds.
func TestPartDelaysAnswerAboutToStart(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 2)
	l := long()
	req := Request{
		ID: "long", Pool: "p", Prompt: 100_000, Output: 650, TTFTLeft: l.ttftTarget, TTFTTarget: l.ttftTarget,
		MaxPause: l.maxPause, PauseTimeout: l.eventTimeout(), TimeLeft: l.limit,
	}
	g, now := placeAndWait(c, now, req)
	quicktest.Assert(t, g.Helpers, quicktest.HasLen, 1)
	lead := c.byID[g.Lead]
	j := c.jobs["long"]
	for lead.hasQueued(j) {
		now = now.Add(time.Millisecond)
		c.advance(now, lead)
	}
	quicktest.Assert(t, j.started, quicktest.IsFalse)
	quicktest.Assert(t, c.othersLoss(now, lead, 30_000, 2*l.maxPause) > latePenalty*j.value/2, quicktest.IsTrue)
}

// TestLongAnswersArePacked checks that answers of long prompts are decoded on engines that
// already decode others, while idle engines are scarce.
func TestLongAnswersArePacked(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 8)
	m := medium()
	leads := make(map[string]int)
	for i := range 12 {
		req := Request{
			ID: fmt.Sprint(i), Pool: "p", Prompt: 45_000, Output: 780, TTFTLeft: m.ttftTarget, TTFTTarget: m.ttftTarget,
			MaxPause: m.maxPause, PauseTimeout: m.eventTimeout(), TimeLeft: m.limit,
		}
		for _, d := range c.Step(now, Arrive{req}) {
			leads[d.(Grant).Lead]++
		}
		now = now.Add(200 * time.Millisecond)
		c.Step(now, FirstEvent{ID: req.ID, Elapsed: 180 * time.Millisecond})
	}
	quicktest.Assert(t, len(leads) <= 3, quicktest.IsTrue, quicktest.Commentf("%v", leads))
}

// TestAnswersCountAsHeartbeats requires that an engine whose heartbeats are lost stays
// available as long as it answers.
func TestAnswersCountAsHeartbeats(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	c.Step(now, Fleet{Engine: publishedEngine(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	for i := range 10 {
		req := shortRequest(fmt.Sprint(i))
		quicktest.Assert(t, c.Step(now, Arrive{req}), quicktest.HasLen, 1, quicktest.Commentf("after %s", now.Sub(time.Unix(0, 0))))
		now = now.Add(time.Second)
		c.Step(now, FirstEvent{ID: req.ID, Elapsed: 100 * time.Millisecond})
		c.Step(now, End{ID: req.ID})
	}
	now = now.Add(heartbeatTimeout + time.Second)
	quicktest.Assert(t, c.Step(now, Arrive{shortRequest("late")}), quicktest.HasLen, 0)
}

// TestAdoptedWorkLeavesSlowdownUnchanged has an engine answer late while it still prefills
// the prompt of an adopted grant, whose progress is unknown. Taken as a slowdown, this would
// make a new leader give little work to half of a fleet for ten seconds.
func TestAdoptedWorkLeavesSlowdownUnchanged(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	c.Step(now, Fleet{Engine: publishedEngine(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	c.Step(now, Adopt{ActiveGrant{Request: shortRequest("old"), Lead: "e", Age: time.Second}})
	measureSlowdown := func(id string) float64 {
		c.Step(now, Arrive{shortRequest(id)})
		c.Step(now.Add(time.Second), FirstEvent{ID: id, Elapsed: time.Second})
		c.Step(now.Add(time.Second), End{ID: id})
		return c.byID["e"].slowdown(now.Add(time.Second))
	}
	quicktest.Assert(t, measureSlowdown("a"), quicktest.Equals, 1.0)
	now = now.Add(uncertainTime)
	quicktest.Assert(t, measureSlowdown("b") > slowThreshold, quicktest.IsTrue)
}

// TestUnaccountedWorkTakesCapacity checks that memory and slots which an audit found in use
// are not granted. After a loss of power, engines run requests of dead instances until
// their time limit, and long prompts placed there would wait for seconds.
func TestUnaccountedWorkTakesCapacity(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 2)
	c.Step(now, LoadReport{Target: "a", Load: site.Load{KVUsed: publishedEngine().Memory - 10_000, Running: 3}})
	quicktest.Assert(t, c.UnaccountedMemory("a"), quicktest.Equals, publishedEngine().Memory-10_000)
	m := medium()
	req := Request{
		ID: "x", Pool: "p", Prompt: 23_000, Output: 500, TTFTLeft: m.ttftTarget, TTFTTarget: m.ttftTarget,
		MaxPause: m.maxPause, PauseTimeout: m.eventTimeout(), TimeLeft: m.limit,
	}
	g, now := placeAndWait(c, now, req)
	quicktest.Assert(t, g.Lead, quicktest.Equals, "b")

	reserved := c.byID["b"].reserved
	c.Step(now, LoadReport{Target: "b", Load: site.Load{KVUsed: reserved + 10_000, Running: 16}})
	quicktest.Assert(t, c.UnaccountedMemory("b"), quicktest.Equals, 10_000)
	quicktest.Assert(t, c.byID["b"].hasFreeSlot(), quicktest.IsFalse)
	// A report that lags behind the ends of answers must not block slots for good.
	c.Step(now, LoadReport{Target: "b", Load: site.Load{KVUsed: reserved, Running: 16}})
	quicktest.Assert(t, c.UnaccountedMemory("b"), quicktest.Equals, 0)
	quicktest.Assert(t, c.byID["b"].hasFreeSlot(), quicktest.IsTrue)
	c.Step(now, LoadReport{Target: "b", Load: site.Load{Slowdown: 3}})
	quicktest.Assert(t, c.byID["b"].slowdown(now), quicktest.Equals, 3.0)
	c.Step(now, LoadReport{Target: "gone"})
	quicktest.Assert(t, c.UnaccountedMemory("gone"), quicktest.Equals, 0)
}

// TestPauseBindsOneInstance: an engine that wants a pause from one instance must get none of
// its requests, queued ones among them, while those of others may go there. An instance for
// which every engine pauses is refused at once and told when the first one opens.
func TestPauseBindsOneInstance(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 2)
	send := func(at time.Time, id, instance string) Decision {
		req := shortRequest(id)
		req.Instance = instance
		d := c.Step(at, Arrive{req})
		quicktest.Assert(t, len(d), quicktest.Equals, 1)
		return d[0]
	}
	first := send(now, "1", "x").(Grant)
	c.Step(now, End{ID: "1", FailedTarget: first.Lead, Pause: 5 * time.Second})
	later := now.Add(time.Second)
	for _, id := range []string{"2", "3", "4"} {
		quicktest.Assert(t, send(later, id, "x").(Grant).Lead, quicktest.Not(quicktest.Equals), first.Lead)
	}
	leads := make(map[string]bool)
	for _, id := range []string{"5", "6", "7", "8", "9"} {
		leads[send(later, id, "y").(Grant).Lead] = true
	}
	quicktest.Assert(t, leads[first.Lead], quicktest.IsTrue)

	c.Step(later, End{ID: "2", Pause: 20 * time.Second})
	r := send(later, "10", "x").(Refuse)
	quicktest.Assert(t, r.RetryAfter, quicktest.Equals, 4*time.Second)
	c.Step(now.Add(5*time.Second), Heartbeat{Target: first.Lead})
	_, granted := send(now.Add(5*time.Second), "11", "x").(Grant)
	quicktest.Assert(t, granted, quicktest.IsTrue)
}

// TestNoEngineIsRefusedAtOnce: without a ready engine, or with none that has not failed the
// request, waiting can't help.
func TestNoEngineIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	c := idleCore(now, 0)
	d := c.Step(now, Arrive{shortRequest("1")})
	r := shortRequest("1")
	quicktest.Assert(t, d, quicktest.DeepEquals, []Decision{Refuse{
		ID: "1", Reason: "no engine takes the request", RetryAfter: closedRetryAfter, Request: r, Work: c.engineTime(&job{request: r}), Left: r.TimeLeft,
	}})
	c = idleCore(now, 2)
	req := shortRequest("2")
	req.Avoid = []string{"a", "b"}
	_, refused := c.Step(now, Arrive{req})[0].(Refuse)
	quicktest.Assert(t, refused, quicktest.IsTrue)
	quicktest.Assert(t, c.Waiting(), quicktest.Equals, 0)
}

// TestPriceOfEngineTime: no engine time has a price at low load. At full load a long prompt,
// which takes an engine for itself, pays more than a short one, and the mean request can pay.
func TestPriceOfEngineTime(t *testing.T) {
	now := time.Unix(0, 0)
	var d demand
	const engines = 10
	price := func(isLong bool) float64 { return d.price(now, engines, isLong) }
	add := func(work time.Duration) {
		for range 10 {
			d.add(now, &job{value: 100, request: Request{TTFTTarget: longTarget}}, work, work)
		}
	}
	// Ten requests in the window, each with a tenth of the work of all engines, are full load.
	add(scale(demandWindow, lowLoad*0.9))
	quicktest.Assert(t, price(true), quicktest.Equals, 0.0)
	add(demandWindow)
	quicktest.Assert(t, price(false) > 0, quicktest.IsTrue)
	quicktest.Assert(t, price(true) > 2*price(false), quicktest.IsTrue)
	quicktest.Assert(t, price(true) < d.valueDensity(now), quicktest.IsTrue)
}

// TestFailedAnswersLeaveEngines guards against engines that are ejected together for the answers on one route. While they
// take connections, half of them stay in use; engines that take none are all ejected.
func TestFailedAnswersLeaveEngines(t *testing.T) {
	for _, c := range []struct {
		engines, wantLeft int
		unreachable       bool
	}{{1, 1, false}, {2, 1, false}, {3, 2, false}, {8, 4, false}, {3, 0, true}} {
		now := time.Unix(0, 0)
		core := idleCore(now, c.engines)
		for i := range 4 * c.engines {
			id := fmt.Sprint("r", i)
			for _, d := range core.Step(now, Arrive{shortRequest(id)}) {
				if g, ok := d.(Grant); ok {
					core.Step(now, End{ID: id, FailedTarget: g.Lead, Answered: !c.unreachable, Unreachable: c.unreachable})
				}
			}
		}
		quicktest.Check(t, core.availableEngines(now), quicktest.Equals, float64(c.wantLeft), quicktest.Commentf("%+v", c))
	}
}
