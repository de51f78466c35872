package place

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// decodingCore returns a core whose only engine decodes the answers a to d, in a pass that has just
// begun.
func decodingCore(now time.Time) (*Core, *engine) {
	c := idleCore(now, 1)
	e := c.engines[0]
	for _, id := range []string{"a", "b", "c", "d"} {
		c.Step(now, Arrive{shortRequest(id)})
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		c.Step(now, FirstEvent{ID: id, Elapsed: 100 * ms})
	}
	return c, e
}

// prefillOf returns a prompt size and its prefill time that lengthens a pass by about 110 ms: one
// such part in a pass is no late pause for a short answer, two are.
func prefillOf(c *Core) (tokens float64, d time.Duration) {
	const size = 15_500
	return size, c.model.prefillTime(size)
}

// addAt adds a part of a new request at a time.
func addAt(c *Core, now time.Time, e *engine, id string) {
	tokens, d := prefillOf(c)
	r := shortRequest(id)
	r.Prompt = int(tokens)
	j := &job{request: r, arrived: now, due: now.Add(r.TTFTTarget), value: 1}
	c.jobs[id] = j
	c.reserve(now, j, plan{lead: e, partTime: d, ttft: c.predictTTFT(now, e, tokens, d)})
}

// TestPartInTransitMissesPass: a part that is granted just before a pass is known to end arrives
// after the engine has begun the next one, so it waits there together with parts granted later.
// Predicted in different passes, the two made answers pause without any predicted loss.
func TestPartInTransitMissesPass(t *testing.T) {
	c, e := decodingCore(time.Unix(0, 0))
	end := e.passEnd
	addAt(c, end.Add(-transitTime/2), e, "x")
	c.advance(end.Add(ms), e)
	quicktest.Assert(t, e.hasQueued(c.jobs["x"]), quicktest.IsTrue)
	tokens, d := prefillOf(c)
	later := end.Add(40 * ms)
	quicktest.Assert(t, c.othersLoss(later, e, tokens, d) > latePenalty/2, quicktest.IsTrue)

	c, e = decodingCore(time.Unix(0, 0))
	addAt(c, e.passEnd.Add(-2*transitTime), e, "x")
	c.advance(end.Add(ms), e)
	quicktest.Assert(t, e.hasQueued(c.jobs["x"]), quicktest.IsFalse)
}

// TestPassMayStartLater: an engine whose pass is predicted to have begun a moment ago may begin it
// only now, with the next part. A loss of zero there let parts of several requests come together in
// one pass. Later in the pass the risk is over.
func TestPassMayStartLater(t *testing.T) {
	c, e := decodingCore(time.Unix(0, 0))
	addAt(c, e.passStart.Add(ms), e, "x")
	c.advance(e.passEnd, e)
	start := e.passStart
	quicktest.Assert(t, e.hasQueued(c.jobs["x"]), quicktest.IsFalse)
	tokens, d := prefillOf(c)
	soon := c.othersLoss(start.Add(ms), e, tokens, d)
	late := c.othersLoss(start.Add(2*passShift), e, tokens, d)
	quicktest.Assert(t, soon > late+shiftWeight*latePenalty/2, quicktest.IsTrue, quicktest.Commentf("%v, later %v", soon, late))
}

// TestOverdueFirstEventSlowsEngine: an engine that has become slow must count as slow before its
// late first event comes, or it goes on getting requests for most of a second. One overdue request
// alone, which may be lost, must not rule the engine out, nor may it count beside a later answer
// that was on time.
func TestOverdueFirstEventSlowsEngine(t *testing.T) {
	now := time.Unix(0, 0)
	c, e := decodingCore(now)
	c.Step(now, Arrive{shortRequest("x")})
	predicted := c.jobs["x"].firstEventAt
	c.Step(predicted.Add(slowdownNoise-ms), Tick{})
	quicktest.Assert(t, e.slowdown(now), quicktest.Equals, 1.0)
	now = predicted.Add(slowdownNoise + 50*ms)
	c.Step(now, Tick{})
	quicktest.Assert(t, e.slowdown(now) > slowThreshold, quicktest.IsTrue)
	now = predicted.Add(1500 * ms)
	c.Step(now, Tick{})
	quicktest.Assert(t, e.slowdown(now) <= maxSingleSlowdown, quicktest.IsTrue)

	addAt(c, now, e, "y")
	now = c.jobs["y"].firstEventAt
	c.Step(now, FirstEvent{ID: "y", Elapsed: now.Sub(c.jobs["y"].granted) / maxSingleSlowdown})
	before := e.slowdown(now)
	now = now.Add(overdueInterval)
	c.Step(now, Tick{})
	quicktest.Assert(t, before < slowThreshold+1, quicktest.IsTrue, quicktest.Commentf("%v", before))
	quicktest.Assert(t, e.slowdown(now) <= before, quicktest.IsTrue)
}

// TestOverdueRequestsShowRatio: two overdue requests show how slow the engine is, and the estimate
// fades when they have ended.
func TestOverdueRequestsShowRatio(t *testing.T) {
	now := time.Unix(0, 0)
	c, e := decodingCore(now)
	addAt(c, now, e, "x")
	addAt(c, now, e, "y")
	now = now.Add(1500 * ms)
	c.Step(now, Tick{})
	shown := e.slowdown(now)
	quicktest.Assert(t, shown > maxSingleSlowdown && shown <= maxSlowdown, quicktest.IsTrue, quicktest.Commentf("%v", shown))
	c.Step(now, End{ID: "x"})
	c.Step(now, End{ID: "y"})
	now = now.Add(slowdownDecay)
	c.Step(now, Tick{})
	quicktest.Assert(t, e.slowdown(now) < 1+(shown-1)/2, quicktest.IsTrue)
}
