package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// idle returns a core with so many engines, a, b and so on, that do nothing.
func idle(now time.Time, engines int) *Core {
	c := &Core{}
	f := Fleet{Engine: published()}
	for i := range engines {
		f.Targets = append(f.Targets, site.Target{ID: string(rune('a' + i)), Pool: "p", State: site.Ready, Slots: 16})
	}
	c.Step(now, f)
	return c
}

// busy returns a core whose only engine reads and writes all that it can.
func busy(now time.Time) *Core {
	c := &Core{}
	c.Step(now, Fleet{Engine: published(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	for i := range 16 {
		ask := shortAsk(string(rune('a' + i)))
		c.Step(now, Arrive{ask})
		c.Step(now, Begin{ID: ask.ID, After: 100 * time.Millisecond})
	}
	return c
}

func shortAsk(id string) Ask {
	s := short()
	return Ask{
		ID: id, Pool: "p", Prompt: 5000, Output: 1300, Aim: s.aim, Whole: s.aim, Pause: s.pause, Gap: s.patience(), Left: s.patience(),
	}
}

// TestResumedIsNotRefused asks for an engine in the middle of an answer while all
// are full: once the price of engines refused it, and answers broke off on quiet
// days of the grown sites.
func TestResumedIsNotRefused(t *testing.T) {
	now := time.Unix(0, 0)
	for _, resumed := range []bool{false, true} {
		c := busy(now)
		ask := shortAsk("late")
		ask.Aim, ask.Resumed = 0, resumed
		refused := false
		for at := now; at.Before(now.Add(time.Second)); at = at.Add(20 * time.Millisecond) {
			var e Event = Tick{}
			if at.Equal(now) {
				e = Arrive{ask}
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

// TestRefusalNamesATime wants a time to come back with each refusal, within a
// third of what the caller has left, and not the same for all.
func TestRefusalNamesATime(t *testing.T) {
	now := time.Unix(0, 0)
	c := busy(now)
	times := make(map[time.Duration]bool)
	for i := range 10 {
		ask := shortAsk("x" + string(rune('a'+i)))
		ask.Aim, ask.Left = 0, 9*time.Second
		for _, d := range c.Step(now, Arrive{ask}) {
			r := d.(Refuse)
			quicktest.Assert(t, r.Retry > 0 && r.Retry <= ask.Left/3, quicktest.IsTrue)
			times[r.Retry] = true
		}
	}
	quicktest.Assert(t, len(times) > 5, quicktest.IsTrue)
}

// TestFailuresAtOnceCountAsOne breaks off all answers of an engine at the same
// moment, as one long pass does. Once that kept it out for four seconds, and others
// had to take its work.
func TestFailuresAtOnceCountAsOne(t *testing.T) {
	now := time.Unix(0, 0)
	c := busy(now)
	for i := range 8 {
		c.Step(now, End{ID: string(rune('a' + i)), Fault: "e"})
	}
	e := c.byID["e"]
	quicktest.Assert(t, c.free(now, e), quicktest.IsFalse)
	quicktest.Assert(t, c.free(now.Add(firstOut), e), quicktest.IsTrue)
	// Failures that go on keep it out longer and longer.
	for i, id := range []string{"i", "j", "k"} {
		at := now.Add(time.Duration(i+1) * 2 * time.Second)
		c.Step(at, End{ID: id, Fault: "e", Hard: true})
		quicktest.Assert(t, e.out.Sub(at) >= firstOut<<i, quicktest.IsTrue, quicktest.Commentf("%s", e.out.Sub(at)))
	}
}

// TestNoTokensNamed places a request that does not say how long it is.
func TestNoTokensNamed(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	c.Step(now, Fleet{Engine: published(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	ask := shortAsk("none")
	ask.Prompt, ask.Output = 0, 0
	out := c.Step(now, Arrive{ask})
	quicktest.Assert(t, out, quicktest.HasLen, 1)
	quicktest.Assert(t, out[0].(Grant).Loss.Own >= 0, quicktest.IsTrue)
}

// TestQueueIsBounded sends far more than can be served: what finds no room is
// refused at once.
func TestQueueIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	c := busy(now)
	refused := 0
	for i := range maxWaiting + 100 {
		ask := shortAsk(fmt.Sprint("w", i))
		for _, d := range c.Step(now, Arrive{ask}) {
			_, ok := d.(Refuse)
			quicktest.Assert(t, ok, quicktest.IsTrue)
			refused++
		}
	}
	quicktest.Assert(t, c.Waiting(), quicktest.Equals, maxWaiting)
	quicktest.Assert(t, refused, quicktest.Equals, 100)
}

// place asks for engines and lets time pass until they are granted.
func place(c *Core, now time.Time, ask Ask) (Grant, time.Time) {
	var e Event = Arrive{ask}
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		for _, d := range c.Step(now, e) {
			if g, ok := d.(Grant); ok && g.ID == ask.ID {
				return g, now
			}
		}
		e = Tick{}
	}
	return Grant{}, now
}

// TestMemoryOfTheLargest plans a prompt of a million tokens over engines of
// 405,000: no engine gets more than it has, and all is given back.
func TestMemoryOfTheLargest(t *testing.T) {
	now := time.Unix(0, 0)
	c := idle(now, 16)
	l := long()
	ask := Ask{
		ID: "large", Pool: "p", Prompt: 1_000_000, Output: 650, Aim: l.aim, Whole: l.aim, Pause: l.pause, Gap: l.patience(), Left: l.limit,
	}
	g, _ := place(c, now, ask)
	quicktest.Assert(t, g.ID, quicktest.Equals, "large")
	kept := ask.Prompt + ask.Output
	for _, n := range g.Memory {
		quicktest.Assert(t, n > 0 && n <= published().Memory, quicktest.IsTrue)
		kept -= n
	}
	quicktest.Assert(t, kept <= published().Memory, quicktest.IsTrue)
	c.Step(now.Add(20*time.Second), End{ID: "large"})
	for _, e := range c.engines {
		quicktest.Assert(t, e.held, quicktest.Equals, 0)
		quicktest.Assert(t, len(e.jobs)+e.helping+e.writers, quicktest.Equals, 0)
	}
}

// TestPartBesideWhatIsAboutToBegin gives an engine a part to read while an answer that
// it leads waits for its helper: the pause that this makes once the answer begins is
// a loss. It was none before, and answers of long prompts paused for seconds.
func TestPartBesideWhatIsAboutToBegin(t *testing.T) {
	now := time.Unix(0, 0)
	c := idle(now, 2)
	l := long()
	ask := Ask{
		ID: "long", Pool: "p", Prompt: 100_000, Output: 650, Aim: l.aim, Whole: l.aim, Pause: l.pause, Gap: l.patience(), Left: l.limit,
	}
	g, now := place(c, now, ask)
	quicktest.Assert(t, g.Helpers, quicktest.HasLen, 1)
	lead := c.byID[g.Lead]
	j := c.jobs["long"]
	for lead.waits(j) {
		now = now.Add(time.Millisecond)
		c.advance(now, lead)
	}
	quicktest.Assert(t, j.begun, quicktest.IsFalse)
	quicktest.Assert(t, c.harm(now, lead, 30_000, 2*l.pause) > lateShare*j.value/2, quicktest.IsTrue)
}

// TestLongAnswersArePacked wants the answers of long prompts written where others are,
// while engines that write nothing are scarce.
func TestLongAnswersArePacked(t *testing.T) {
	now := time.Unix(0, 0)
	c := idle(now, 8)
	m := medium()
	leads := make(map[string]int)
	for i := range 12 {
		ask := Ask{
			ID: fmt.Sprint(i), Pool: "p", Prompt: 45_000, Output: 780, Aim: m.aim, Whole: m.aim, Pause: m.pause, Gap: m.patience(), Left: m.limit,
		}
		for _, d := range c.Step(now, Arrive{ask}) {
			leads[d.(Grant).Lead]++
		}
		now = now.Add(200 * time.Millisecond)
		c.Step(now, Begin{ID: ask.ID, After: 180 * time.Millisecond})
	}
	quicktest.Assert(t, len(leads) <= 3, quicktest.IsTrue, quicktest.Commentf("%v", leads))
}

// TestAnswersAreSignsOfLife keeps an engine at work whose announcements don't come, as
// long as it answers.
func TestAnswersAreSignsOfLife(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	c.Step(now, Fleet{Engine: published(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	for i := range 10 {
		ask := shortAsk(fmt.Sprint(i))
		quicktest.Assert(t, c.Step(now, Arrive{ask}), quicktest.HasLen, 1, quicktest.Commentf("after %s", now.Sub(time.Unix(0, 0))))
		now = now.Add(time.Second)
		c.Step(now, Begin{ID: ask.ID, After: 100 * time.Millisecond})
		c.Step(now, End{ID: ask.ID})
	}
	now = now.Add(maxSilence + time.Second)
	quicktest.Assert(t, c.Step(now, Arrive{shortAsk("late")}), quicktest.HasLen, 0)
}

// TestAdoptedWorkTeachesNoPace answers late where an adopted grant, of which little is
// known, is being read. Once half of a fleet was taken for slow after a new leader had
// been elected, and got little work for ten seconds.
func TestAdoptedWorkTeachesNoPace(t *testing.T) {
	now := time.Unix(0, 0)
	c := &Core{}
	c.Step(now, Fleet{Engine: published(), Targets: []site.Target{{ID: "e", Pool: "p", State: site.Ready, Slots: 16}}})
	c.Step(now, Adopt{Holding{Ask: shortAsk("old"), Lead: "e", Age: time.Second}})
	slow := func(id string) float64 {
		c.Step(now, Arrive{shortAsk(id)})
		c.Step(now.Add(time.Second), Begin{ID: id, After: time.Second})
		c.Step(now.Add(time.Second), End{ID: id})
		return c.byID["e"].speed(now.Add(time.Second))
	}
	quicktest.Assert(t, slow("a"), quicktest.Equals, 1.0)
	now = now.Add(blurTime)
	quicktest.Assert(t, slow("b") > slowPace, quicktest.IsTrue)
}

// TestStrangeWorkTakesRoom wants the memory and the slots that an audit found in use left
// alone. After a loss of power engines hold requests of dead instances until their time
// limit, and long prompts waited there for seconds.
func TestStrangeWorkTakesRoom(t *testing.T) {
	now := time.Unix(0, 0)
	c := idle(now, 2)
	c.Step(now, Audit{Target: "a", Load: site.Load{Used: published().Memory - 10_000, Running: 3}})
	quicktest.Assert(t, c.Strange("a"), quicktest.Equals, published().Memory-10_000)
	m := medium()
	ask := Ask{
		ID: "x", Pool: "p", Prompt: 23_000, Output: 500, Aim: m.aim, Whole: m.aim, Pause: m.pause, Gap: m.patience(), Left: m.limit,
	}
	g, now := place(c, now, ask)
	quicktest.Assert(t, g.Lead, quicktest.Equals, "b")

	held := c.byID["b"].held
	c.Step(now, Audit{Target: "b", Load: site.Load{Used: held + 10_000, Running: 16}})
	quicktest.Assert(t, c.Strange("b"), quicktest.Equals, 10_000)
	quicktest.Assert(t, c.byID["b"].hasSlot(), quicktest.IsFalse)
	// A report that lags behind the ends of answers must not take slots for good.
	c.Step(now, Audit{Target: "b", Load: site.Load{Used: held, Running: 16}})
	quicktest.Assert(t, c.Strange("b"), quicktest.Equals, 0)
	quicktest.Assert(t, c.byID["b"].hasSlot(), quicktest.IsTrue)
	c.Step(now, Audit{Target: "b", Load: site.Load{Pace: 3}})
	quicktest.Assert(t, c.byID["b"].speed(now), quicktest.Equals, 3.0)
	c.Step(now, Audit{Target: "gone"})
	quicktest.Assert(t, c.Strange("gone"), quicktest.Equals, 0)
}
