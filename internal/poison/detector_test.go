package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// bench feeds a detector on the virtual clock of synctest.
type bench struct {
	Detector
	ended int
}

// crash ends another engine that has these requests, and lets the crash settle.
func (b *bench) crash(suspects ...[]string) []Block {
	b.ended++
	b.AddCrash(time.Now(), Crash{Target: fmt.Sprint("e", b.ended), Suspects: suspects})
	time.Sleep(SettleTime)
	return b.Evaluate(time.Now())
}

// survive reports an answer that began just now.
func (b *bench) survive(segments ...string) []Block {
	lifted, _ := b.AddSurvival(time.Now(), Survival{Segments: segments})
	return lifted
}

func (b *bench) isBlocked(segments ...string) bool {
	_, blocked := b.Find(time.Now(), segments)
	return blocked
}

func segmentsOf(blocks []Block) [][]string {
	var out [][]string
	for _, b := range blocks {
		out = append(out, b.Segments)
	}
	return out
}

// TestSegmentIsBlamed: the segment that all crashes have in common must be blamed, and not the ones
// that were at the engines with it, or that answers survive with.
func TestSegmentIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		quicktest.Assert(t, b.crash([]string{"all", "bad", "x"}, []string{"all", "y"}, []string{"all", "z"}), quicktest.HasLen, 0)
		quicktest.Assert(t, b.crash([]string{"all", "bad", "y"}, []string{"all", "z"}), quicktest.HasLen, 0)
		b.survive("all", "y")
		b.crash([]string{"all", "x"}, []string{"all", "bad", "z"})
		got := b.crash([]string{"all", "bad"}, []string{"all", "z"})
		quicktest.Assert(t, segmentsOf(got), quicktest.DeepEquals, [][]string{{"bad"}})
		quicktest.Assert(t, b.isBlocked("all", "new", "bad"), quicktest.IsTrue)
		quicktest.Assert(t, b.isBlocked("all", "x", "y", "z"), quicktest.IsFalse)
	})
}

// requestTo ends another target that has these requests, each of which was sent there that long ago.
func (b *bench) requestTo(sent time.Duration, names ...string) []Block {
	b.ended++
	c := Crash{Target: fmt.Sprint("s", b.ended)}
	for _, n := range names {
		c.Suspects, c.Sends = append(c.Suspects, []string{RequestSegment(n)}), append(c.Sends, Send{Age: sent})
	}
	b.AddCrash(time.Now(), c)
	return b.Evaluate(time.Now())
}

// TestRequestIsBlamed: a request that was sent to one target after the other, each of which ended
// soon after that, must be blocked, and not those that were there with it.
func TestRequestIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		for _, with := range []string{"x", "y", "x"} {
			b.requestTo(40*time.Millisecond, "bad", with)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(SettleTime)
		quicktest.Assert(t, segmentsOf(b.Evaluate(time.Now())), quicktest.DeepEquals, [][]string{{RequestSegment("bad")}})
		quicktest.Assert(t, b.isBlocked(RequestSegment("x")), quicktest.IsFalse)
		quicktest.Assert(t, b.survive(RequestSegment("bad")), quicktest.HasLen, 1)
		quicktest.Assert(t, b.isBlocked(RequestSegment("bad")), quicktest.IsFalse)
	})
}

// TestRequestAtTargetsThatEndTogether: the same request of many callers is at all targets of a
// rack that loses power, which says nothing about it.
func TestRequestAtTargetsThatEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		for range 8 {
			b.requestTo(20*time.Millisecond, "popular")
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(SettleTime)
		quicktest.Assert(t, b.Evaluate(time.Now()), quicktest.HasLen, 0)
	})
}

// TestRequestDoesNotConvictItsPrompt: one request that crashes engines is blocked as a whole. The
// segments of its prompt are blocked only once other requests with them crash engines, too.
func TestRequestDoesNotConvictItsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		for range requestCrashLimit {
			b.crash([]string{"caller", RequestSegment("1")})
		}
		for range 5 {
			b.crash([]string{"caller", RequestSegment("1")})
		}
		quicktest.Assert(t, b.isBlocked("caller", RequestSegment("1")), quicktest.IsTrue)
		quicktest.Assert(t, b.isBlocked("caller", RequestSegment("2")), quicktest.IsFalse)
		b.crash([]string{"caller", RequestSegment("2")})
		b.crash([]string{"caller", RequestSegment("2")})
		quicktest.Assert(t, b.isBlocked("caller", RequestSegment("3")), quicktest.IsTrue)
	})
}

// TestSegmentsThatAlwaysCameTogether: while it is open which of two segments is the cause, only
// requests with both are refused, so the one that is harmless is found out.
func TestSegmentsThatAlwaysCameTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		for range crashLimit {
			b.crash([]string{"caller", "bad"})
		}
		quicktest.Assert(t, b.isBlocked("caller", "bad"), quicktest.IsTrue)
		quicktest.Assert(t, b.isBlocked("caller", "other"), quicktest.IsFalse)
		quicktest.Assert(t, b.isBlocked("other", "bad"), quicktest.IsFalse)
		b.survive("caller", "other")
		for range crashLimit {
			b.crash([]string{"other", "bad"})
		}
		quicktest.Assert(t, b.isBlocked("bad"), quicktest.IsTrue)
		quicktest.Assert(t, b.isBlocked("caller", "other"), quicktest.IsFalse)
	})
}

// TestEnginesThatEndTogether: engines that lose power at the same time, or all of a fleet, say
// nothing about their requests.
func TestEnginesThatEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		b.survive("all")
		time.Sleep(time.Second)
		for range 3 {
			for i := range 20 {
				b.AddCrash(time.Now(), Crash{Target: fmt.Sprint(i), StartedMs: time.Now().UnixMilli(), Suspects: [][]string{{"all", "rare"}}})
				time.Sleep(2 * time.Millisecond)
			}
			time.Sleep(SettleTime)
			quicktest.Assert(t, b.Evaluate(time.Now()), quicktest.HasLen, 0)
			time.Sleep(time.Minute)
			b.survive("all", "rare")
		}
	})
}

// TestKnownSegmentThatBeginsToCrash: a segment of which answers have survived may become harmful, for
// example after engines were replaced. That takes more evidence, and answers with other segments
// must still survive.
func TestKnownSegmentThatBeginsToCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		b.survive("all", "bad")
		for range knownCrashLimit {
			quicktest.Assert(t, b.crash([]string{"all", "bad"}), quicktest.HasLen, 0)
		}
		time.Sleep(knownCrashTime)
		quicktest.Assert(t, b.Evaluate(time.Now()), quicktest.HasLen, 0)
		b.survive("all", "good")
		quicktest.Assert(t, segmentsOf(b.Evaluate(time.Now())), quicktest.DeepEquals, [][]string{{"bad"}})
		quicktest.Assert(t, b.isBlocked("all", "good"), quicktest.IsFalse)
	})
}

// TestBlockEnds: a block ends by itself, and a single crash renews it for twice the time. An
// answer to a request that was sent meanwhile lifts it.
func TestBlockEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		for range crashLimit {
			b.crash([]string{"bad"})
		}
		blocked := initialBlockTime
		for range 3 {
			left, _ := b.Find(time.Now(), []string{"bad"})
			quicktest.Assert(t, left, quicktest.Equals, blocked)
			// Requests that were sent before still crash engines, which changes nothing.
			quicktest.Assert(t, b.crash([]string{"bad"}), quicktest.HasLen, 0)
			time.Sleep(blocked)
			quicktest.Assert(t, b.isBlocked("bad"), quicktest.IsFalse)
			quicktest.Assert(t, b.crash([]string{"bad"}), quicktest.HasLen, 1)
			blocked *= 2
		}
		quicktest.Assert(t, segmentsOf(b.survive("other", "bad")), quicktest.DeepEquals, [][]string{{"bad"}})
		quicktest.Assert(t, b.isBlocked("bad"), quicktest.IsFalse)
	})
}

// TestHandover: a detector that gets the evidence and the blocks of another one goes on where
// that one has ended.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b bench
		a.survive("all")
		for range crashLimit {
			a.crash([]string{"all", "bad"})
		}
		for range crashLimit - 1 {
			a.crash([]string{"all", "worse"})
		}
		now := time.Now()
		for _, k := range a.Blocks(now) {
			b.Apply(now, k)
		}
		crashes, survivals := a.Evidence(now)
		for _, s := range survivals {
			b.AddSurvival(now, s)
		}
		for _, c := range crashes {
			b.AddCrash(now, c)
		}
		b.ended = 100
		quicktest.Assert(t, b.isBlocked("all", "bad"), quicktest.IsTrue)
		quicktest.Assert(t, b.isBlocked("all", "worse"), quicktest.IsFalse)
		quicktest.Assert(t, segmentsOf(b.crash([]string{"all", "worse"})), quicktest.DeepEquals, [][]string{{"worse"}})
		b.Apply(now, Block{Segments: []string{"bad"}})
		quicktest.Assert(t, b.isBlocked("all", "bad"), quicktest.IsFalse)
	})
}

// replay is a fleet under load whose engines also end for other reasons, with or without a segment
// that crashes them.
type replay struct {
	Detector
	rng     *rand.Rand
	running [replayEngines][]*replayRequest
	backAt  [replayEngines]time.Time
	ended   int
	// crashes counts those by the segment, and late the requests with it that engines got later
	// than learnTime after crash number crashesToLearn, at learntAt.
	crashes, late int
	learntAt      time.Time
	blocks        []Block
}

type replayRequest struct {
	segments  []string
	writesAt  time.Time
	bad, told bool
}

const (
	replayEngines  = 23
	replayTick     = 10 * time.Millisecond
	crashesToLearn = 5
	learnTime      = 3 * time.Second
)

// newReplay plays a minute with that many requests a second that crash engines.
func newReplay(seed uint64, badPerSecond int) *replay {
	const requestsPerSecond, ticksPerSecond = 46, int(time.Second / replayTick)
	r := &replay{rng: rand.New(rand.NewPCG(seed, 1))}
	perTick := func(perSecond int) bool { return r.rng.IntN(1000) < perSecond*1000/ticksPerSecond }
	for i := range int(time.Minute / replayTick) {
		time.Sleep(replayTick)
		for e := range r.running {
			r.advance(e)
		}
		if perTick(requestsPerSecond) {
			r.send(&replayRequest{segments: []string{"all", fmt.Sprint("org", r.rng.IntN(10)), fmt.Sprint("rare", r.rng.IntN(500))}})
		}
		if badPerSecond > 0 && i > 500 && perTick(badPerSecond) {
			r.send(&replayRequest{segments: []string{"all", fmt.Sprint("org", r.rng.IntN(10)), "bad"}, bad: true})
		}
		if r.rng.IntN(1000) < 3 {
			r.end(r.rng.IntN(replayEngines))
		}
		r.blocks = append(r.blocks, r.Evaluate(time.Now())...)
	}
	return r
}

// advance ends the engine if it writes an answer that crashes it, and otherwise goes on with its
// answers.
func (r *replay) advance(e int) {
	const crashTime, writeTime = 50 * time.Millisecond, 1700 * time.Millisecond
	for _, q := range r.running[e] {
		age := time.Since(q.writesAt)
		if q.bad && age >= crashTime {
			if r.crashes++; r.crashes == crashesToLearn {
				r.learntAt = time.Now().Add(learnTime)
			}
			r.end(e)
			return
		}
		if age >= SurvivalTime && !q.told {
			q.told = true
			r.AddSurvival(time.Now(), Survival{Segments: q.segments, Age: age})
		}
	}
	r.running[e] = slices.DeleteFunc(r.running[e], func(q *replayRequest) bool { return time.Since(q.writesAt) > writeTime })
}

// end ends the process of an engine, and reports the crash.
func (r *replay) end(e int) {
	r.ended++
	c := Crash{Target: fmt.Sprint(r.ended)}
	for _, q := range r.running[e] {
		if time.Since(q.writesAt) < SurvivalTime {
			c.Suspects = append(c.Suspects, q.segments)
		}
	}
	r.running[e], r.backAt[e] = nil, time.Now().Add(3*time.Second)
	r.AddCrash(time.Now(), c)
}

// send sends a request to an engine with a free slot, unless it is blocked.
func (r *replay) send(q *replayRequest) {
	if _, blocked := r.Find(time.Now(), q.segments); blocked {
		return
	}
	for range 5 {
		e := r.rng.IntN(replayEngines)
		if time.Now().Before(r.backAt[e]) || len(r.running[e]) >= 16 {
			continue
		}
		if q.bad && r.crashes >= crashesToLearn && time.Now().After(r.learntAt) {
			r.late++
		}
		q.writesAt = time.Now().Add(time.Duration(50+r.rng.IntN(200)) * time.Millisecond)
		r.running[e] = append(r.running[e], q)
		return
	}
}

// TestReplayUnderLoad replays fleets of which engines also end for other reasons: a segment that
// crashes them must be blocked in time, and no other requests ever.
func TestReplayUnderLoad(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 9, 120} {
		for _, rate := range []int{1, 8} {
			synctest.Test(t, func(t *testing.T) {
				r := newReplay(seed, rate)
				quicktest.Check(t, segmentsOf(r.blocks), quicktest.DeepEquals, [][]string{{"bad"}}, quicktest.Commentf("seed %d, rate %d", seed, rate))
				const allowed = 3
				quicktest.Check(t, r.late <= allowed, quicktest.IsTrue, quicktest.Commentf("seed %d, rate %d: %d late requests", seed, rate, r.late))
			})
		}
		synctest.Test(t, func(t *testing.T) {
			quicktest.Check(t, newReplay(seed, 0).blocks, quicktest.HasLen, 0, quicktest.Commentf("seed %d without crashers", seed))
		})
	}
}
