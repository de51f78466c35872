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
func (b *bench) survive(parts ...string) []Block {
	lifted, _ := b.AddSurvival(time.Now(), Survival{Parts: parts})
	return lifted
}

func (b *bench) isBlocked(parts ...string) bool {
	_, blocked := b.Find(time.Now(), parts)
	return blocked
}

func partsOf(blocks []Block) [][]string {
	var out [][]string
	for _, b := range blocks {
		out = append(out, b.Parts)
	}
	return out
}

// TestPartIsBlamed: the part that all crashes have in common must be blamed, and not the ones
// that were at the engines with it, or that answers survive with.
func TestPartIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		quicktest.Assert(t, b.crash([]string{"all", "bad", "x"}, []string{"all", "y"}, []string{"all", "z"}), quicktest.HasLen, 0)
		quicktest.Assert(t, b.crash([]string{"all", "bad", "y"}, []string{"all", "z"}), quicktest.HasLen, 0)
		b.survive("all", "y")
		b.crash([]string{"all", "x"}, []string{"all", "bad", "z"})
		got := b.crash([]string{"all", "bad"}, []string{"all", "z"})
		quicktest.Assert(t, partsOf(got), quicktest.DeepEquals, [][]string{{"bad"}})
		quicktest.Assert(t, b.isBlocked("all", "new", "bad"), quicktest.IsTrue)
		quicktest.Assert(t, b.isBlocked("all", "x", "y", "z"), quicktest.IsFalse)
	})
}

// TestPartsThatAlwaysCameTogether: while it is open which of two parts is the cause, only
// requests with both are refused, so the one that is harmless is found out.
func TestPartsThatAlwaysCameTogether(t *testing.T) {
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

// TestKnownPartThatBeginsToCrash: a part of which answers have survived may become harmful, for
// example after engines were replaced. That takes more evidence, and answers with other parts
// must still survive.
func TestKnownPartThatBeginsToCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bench
		b.survive("all", "bad")
		for range knownCrashLimit {
			quicktest.Assert(t, b.crash([]string{"all", "bad"}), quicktest.HasLen, 0)
		}
		time.Sleep(knownCrashTime)
		quicktest.Assert(t, b.Evaluate(time.Now()), quicktest.HasLen, 0)
		b.survive("all", "good")
		quicktest.Assert(t, partsOf(b.Evaluate(time.Now())), quicktest.DeepEquals, [][]string{{"bad"}})
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
		quicktest.Assert(t, partsOf(b.survive("other", "bad")), quicktest.DeepEquals, [][]string{{"bad"}})
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
		quicktest.Assert(t, partsOf(b.crash([]string{"all", "worse"})), quicktest.DeepEquals, [][]string{{"worse"}})
		b.Apply(now, Block{Parts: []string{"bad"}})
		quicktest.Assert(t, b.isBlocked("all", "bad"), quicktest.IsFalse)
	})
}

// replay plays a fleet under load whose engines also end for other reasons, with or without a
// part that crashes them. It returns the number of requests with that part that engines got
// later than 3 s after its fifth crash, and all blocks.
func replay(seed uint64, rate int, crashers bool) (late int, blocks []Block) {
	const learnTime, crashesToLearn = 3 * time.Second, 5
	crashes, learntAt := 0, time.Time{}
	const engines, requestsPerSecond, writeTime, tick = 23, 46, 1700 * time.Millisecond, 10 * time.Millisecond
	type request struct {
		parts     []string
		writesAt  time.Time
		bad, told bool
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var d Detector
	running := make([][]*request, engines)
	backAt := make([]time.Time, engines)
	ended := 0
	end := func(e int) {
		ended++
		c := Crash{Target: fmt.Sprint(ended)}
		for _, r := range running[e] {
			if time.Since(r.writesAt) < SurvivalTime {
				c.Suspects = append(c.Suspects, r.parts)
			}
		}
		running[e], backAt[e] = nil, time.Now().Add(3*time.Second)
		d.AddCrash(time.Now(), c)
	}
	for i := range int(60 * time.Second / tick) {
		time.Sleep(tick)
		now := time.Now()
		for e := range running {
			for _, r := range slices.Clone(running[e]) {
				age := now.Sub(r.writesAt)
				if r.bad && age >= 50*time.Millisecond {
					if crashes++; crashes == crashesToLearn {
						learntAt = now.Add(learnTime)
					}
					end(e)
					break
				}
				if age >= SurvivalTime && !r.told {
					r.told = true
					d.AddSurvival(now, Survival{Parts: r.parts, Age: age})
				}
			}
			running[e] = slices.DeleteFunc(running[e], func(r *request) bool { return now.Sub(r.writesAt) > writeTime })
		}
		send := func(parts []string, bad bool) {
			if _, blocked := d.Find(now, parts); blocked {
				return
			}
			for range 5 {
				if e := rng.IntN(engines); now.After(backAt[e]) && len(running[e]) < 16 {
					if bad && crashes >= crashesToLearn && now.After(learntAt) {
						late++
					}
					running[e] = append(running[e], &request{parts: parts, writesAt: now.Add(time.Duration(50+rng.IntN(200)) * time.Millisecond), bad: bad})
					return
				}
			}
		}
		if rng.IntN(1000) < requestsPerSecond*10 {
			send([]string{"all", fmt.Sprint("org", rng.IntN(10)), fmt.Sprint("rare", rng.IntN(500))}, false)
		}
		if crashers && i > 500 && rng.IntN(1000) < rate*10 {
			send([]string{"all", fmt.Sprint("org", rng.IntN(10)), "bad"}, true)
		}
		if rng.IntN(1000) < 3 {
			end(rng.IntN(engines))
		}
		blocks = append(blocks, d.Evaluate(now)...)
	}
	return late, blocks
}

// TestReplayUnderLoad replays fleets of which engines also end for other reasons: a part that
// crashes them must be blocked in time, and no other requests ever.
func TestReplayUnderLoad(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 9, 120} {
		for _, rate := range []int{1, 8} {
			synctest.Test(t, func(t *testing.T) {
				late, blocks := replay(seed, rate, true)
				quicktest.Check(t, partsOf(blocks), quicktest.DeepEquals, [][]string{{"bad"}}, quicktest.Commentf("seed %d, rate %d", seed, rate))
				const allowed = 3
				quicktest.Check(t, late <= allowed, quicktest.IsTrue, quicktest.Commentf("seed %d, rate %d: %d late requests", seed, rate, late))
			})
		}
		synctest.Test(t, func(t *testing.T) {
			_, blocks := replay(seed, 0, false)
			quicktest.Check(t, blocks, quicktest.HasLen, 0, quicktest.Commentf("seed %d without crashers", seed))
		})
	}
}
