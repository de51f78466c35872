package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestModelConverges guards against a cost model that stays wrong: one that starts wrong
// by a factor of three must come close to the observed costs.
func TestModelConverges(t *testing.T) {
	const observations = 400
	truth := DefaultModel()
	for _, factor := range []float64{3, 1.0 / 3} {
		m := DefaultModel().Scale(factor)
		for i := range observations {
			prompt := []int{2_000, 20_000, 300_000}[i%3]
			m.observePrefill(prompt, 0, 1, 0, truth.Prefill(prompt, 0))
			m.observeTokenLatency(100, 100*truth.TokenLatency[0], false)
		}
		for _, prompt := range []int{2_000, 20_000, 300_000} {
			got, want := m.Prefill(prompt, 0).Seconds(), truth.Prefill(prompt, 0).Seconds()
			quicktest.Check(t, got > 0.8*want && got < 1.25*want, quicktest.IsTrue,
				quicktest.Commentf("factor %v, prompt %d: %.3f s for %.3f s", factor, prompt, got, want))
		}
		quicktest.Check(t, m.TokenLatency[0].Round(time.Millisecond), quicktest.Equals, truth.TokenLatency[0])
	}
}

// TestExpectedAnswer guards against refusals for answers that end early in practice: the
// expected time must follow the observed lengths, not the longest answer requested.
func TestExpectedAnswer(t *testing.T) {
	m := DefaultModel()
	for range 200 {
		m.observeAnswerLength(64, 512)
	}
	quicktest.Check(t, m.ExpectedAnswer(512, false).Round(100*time.Millisecond), quicktest.Equals, 1300*time.Millisecond)
	quicktest.Check(t, m.Answer(512, false), quicktest.Equals, 512*m.TokenLatency[0])
}

// TestPrefixAffinity guards against repeated prefills: a prompt whose prefix is cached on
// one target must be granted there.
func TestPrefixAffinity(t *testing.T) {
	var c Core
	c.Step(startTime, announcement("t0", false))
	c.Step(startTime, announcement("t1", false))
	now := startTime.Add(slowStart)
	c.Step(now, announcement("t0", false))
	c.Step(now, announcement("t1", false))
	c.Step(now, Cached{Target: "t1", Added: []uint64{1, 2, 3}})
	a := request("x", "a", 2_000, time.Minute)
	a.Prefix = []uint64{1, 2, 3, 4}
	d := c.Step(now, Arrive{Ask: a})
	quicktest.Assert(t, d, quicktest.HasLen, 1)
	quicktest.Check(t, d[0].(Grant).Targets[0].Name, quicktest.Equals, "t1")
}

// TestSlowTargetEjected guards against work for a target that is much slower than the
// others. It must get work again when its ejection ends.
func TestSlowTargetEjected(t *testing.T) {
	var c Core
	for _, name := range []string{"t0", "t1", "t2"} {
		c.Step(startTime, announcement(name, false))
	}
	slow := c.fleet.byName["t2"]
	for range 40 {
		slow.observeSlowdown(maxObservedRatio)
		c.fleet.byName["t0"].observeSlowdown(1)
		c.fleet.byName["t1"].observeSlowdown(1)
	}
	c.Step(startTime.Add(time.Second), Tick{})
	quicktest.Check(t, slow.available, quicktest.IsFalse)
	quicktest.Check(t, c.fleet.active, quicktest.HasLen, 2)
	now := startTime.Add(time.Second + ejectDuration)
	c.Step(now, announcement("t2", false))
	quicktest.Check(t, slow.available, quicktest.IsTrue)
	quicktest.Check(t, slow.slowStartAllows(now), quicktest.IsTrue)
}
