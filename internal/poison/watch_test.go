package poison

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/red"
)

// sightings of a target that is replaced.
var (
	former      = Process{Target: "t", Address: "a", StartedMs: 1}
	sameID      = Sighting{Process: Process{Target: "t", Address: "b", StartedMs: 2}}
	sameAddress = Sighting{Process: Process{Target: "u", Address: "a", StartedMs: 2}}
)

// TestReplacedProcess: a process that was replaced without having left must count as crashed for the
// sends that had failed, and no other, least of all one that only fell silent or a planned restart.
func TestReplacedProcess(t *testing.T) {
	gone := Sighting{Process: former, Gone: true}
	for name, c := range map[string]struct {
		// meanwhile happens between the failure of a send and the changes.
		meanwhile func(w *Watch)
		changes   []Sighting
		silent    bool
		want      bool
	}{
		"same ID":                {nil, []Sighting{sameID}, false, true},
		"same address":           {nil, []Sighting{gone, sameAddress}, false, true},
		"silent":                 {nil, []Sighting{gone, sameAddress}, true, true},
		"no new process":         {nil, nil, true, false},
		"deregistered":           {nil, []Sighting{gone}, true, false},
		"same process":           {nil, []Sighting{{Process: former}}, true, false},
		"earlier process":        {nil, []Sighting{{Process: Process{Target: "u", Address: "a"}}}, true, false},
		"another target":         {nil, []Sighting{{Process: Process{Target: "u", Address: "b", StartedMs: 2}}}, true, false},
		"sign of life":           {func(w *Watch) { w.Alive(time.Now(), former) }, []Sighting{sameID}, false, false},
		"drained":                {func(w *Watch) { w.Update(time.Now(), []Sighting{{Process: former, Leaving: true}}) }, []Sighting{sameID}, false, false},
		"said that it leaves":    {func(w *Watch) { w.Leave(former) }, []Sighting{sameID}, false, false},
		"deregistered, replaced": {func(w *Watch) { w.Update(time.Now(), []Sighting{gone}) }, []Sighting{sameAddress}, false, false},
		"long ago":               {func(*Watch) { time.Sleep(replacementTime) }, []Sighting{sameID}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var w Watch
				w.Update(time.Now(), []Sighting{{Process: former}})
				sentAt := time.Now()
				time.Sleep(time.Second)
				w.Fail(time.Now(), former, FailedSend{Segments: []string{"s"}, SentAt: sentAt, FailedAt: time.Now(), Silent: c.silent})
				time.Sleep(time.Second)
				if c.meanwhile != nil {
					c.meanwhile(&w)
				}
				got := w.Update(time.Now(), c.changes)
				quicktest.Assert(t, len(got) == 1, quicktest.Equals, c.want)
				quicktest.Assert(t, w.HasCrashed(former), quicktest.Equals, c.want || name == "sign of life" || name == "long ago")
				if !c.want {
					return
				}
				want := Crash{Target: "t", StartedMs: 1, Age: time.Second, Suspects: [][]string{{"s"}}, Sends: []Send{{Age: time.Second}}}
				if c.silent {
					want.Window = time.Second
				}
				quicktest.Assert(t, got[0], quicktest.DeepEquals, want)
				// A send that fails later is evidence at once.
				_, ok := w.Fail(time.Now(), former, FailedSend{Segments: []string{"s"}, SentAt: sentAt, FailedAt: time.Now(), Silent: true})
				quicktest.Assert(t, ok, quicktest.IsTrue)
			})
		})
	}
}

// TestSilentTargetsThatEndTogether: targets of a rack fall silent at one instant, while each has a
// popular request, and are replaced one after the other. That says nothing about the request.
func TestSilentTargetsThatEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d Detector
		var w Watch
		process := func(i int, startedMs int64) Process {
			return Process{Target: fmt.Sprint(i), Address: fmt.Sprint(i), StartedMs: startedMs}
		}
		const targets = 8
		for i := range targets {
			w.Update(time.Now(), []Sighting{{Process: process(i, 1)}})
		}
		time.Sleep(time.Second)
		for i := range targets {
			// The requests were sent, and given up, at different times.
			sentAt := time.Now().Add(-time.Duration(i) * 100 * time.Millisecond)
			w.Fail(time.Now(), process(i, 1), FailedSend{Segments: []string{RequestSegment("popular")}, SentAt: sentAt, FailedAt: time.Now(), Silent: true})
		}
		for i := range targets {
			time.Sleep(time.Second)
			for _, c := range w.Update(time.Now(), []Sighting{{Process: process(i, 2)}}) {
				d.AddCrash(time.Now(), c)
			}
			time.Sleep(SettleTime)
			quicktest.Assert(t, d.Evaluate(time.Now()), quicktest.HasLen, 0)
		}
		quicktest.Assert(t, d.crashes, quicktest.HasLen, targets)
	})
}

// silentBench is a fleet whose targets fall silent, as one instance sees it.
type silentBench struct {
	bench
	watch Watch
	// generation is the start time of the current processes.
	generation [4]int64
}

func (b *silentBench) process(i int) Process {
	return Process{Target: fmt.Sprint(i), Address: fmt.Sprint(i), StartedMs: b.generation[i]}
}

// see announces the current process of a target, which replaces a former one.
func (b *silentBench) see(i int) []Block {
	b.generation[i]++
	for _, c := range b.watch.Update(time.Now(), []Sighting{{Process: b.process(i)}}) {
		b.AddCrash(time.Now(), c)
	}
	time.Sleep(SettleTime)
	return b.Evaluate(time.Now())
}

// fail sends a request to a target, gives up after a time, and returns the blocks if that is evidence at once.
func (b *silentBench) fail(i int, after time.Duration) []Block {
	f := FailedSend{Segments: []string{RequestSegment("r")}, SentAt: time.Now(), FailedAt: time.Now().Add(after), Silent: true}
	time.Sleep(after)
	b.watch.Fail(time.Now(), b.process(i), f)
	if c, ok := b.watch.Silence(time.Now(), b.process(i), f); ok && b.IsSuspect(RequestSegment("r")) {
		b.AddCrash(time.Now(), c)
	}
	time.Sleep(SettleTime)
	return b.Evaluate(time.Now())
}

// TestOrderOfSilentTargets: a request under which targets fall silent must be blamed if some of these
// gave a sign of life after another one had fallen silent. If not, they may have ended at one instant, also
// before the request came: callers repeat it, and it is sent to one silent target after the other.
func TestOrderOfSilentTargets(t *testing.T) {
	for name, c := range map[string]struct{ alive, again, want bool }{
		"at one instant": {}, "one after the other": {alive: true, want: true}, "the next process, too": {again: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b silentBench
				got := b.silenceAll(t, c.alive)
				quicktest.Assert(t, len(got) > 0, quicktest.Equals, c.alive)
				if c.again {
					got = b.fail(1, 300*time.Millisecond)
				}
				quicktest.Assert(t, len(got) > 0, quicktest.Equals, c.want)
			})
		})
	}
}

// silenceAll has three targets fall silent, the last one after a sign of life if alive is set, sends the request
// to silent ones again, and replaces them. It returns the blocks that follow from the last replacement.
func (b *silentBench) silenceAll(t *testing.T, alive bool) (got []Block) {
	t.Helper()
	const targets = 3
	for i := range targets {
		b.see(i)
	}
	time.Sleep(time.Second)
	for i := range targets {
		if alive && i == targets-1 {
			b.watch.Alive(time.Now(), b.process(i))
		}
		b.fail(i, 300*time.Millisecond)
	}
	for range 2 {
		b.fail(0, 100*time.Millisecond)
		b.fail(1, 100*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for i := range targets {
		quicktest.Assert(t, got, quicktest.HasLen, 0)
		got = b.see(i)
	}
	return got
}

// TestSilenceIsNoCrash: targets that are slow to answer must blame nobody, whatever came before.
func TestSilenceIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b silentBench
		for i := range 4 {
			b.see(i)
		}
		for range 2 {
			b.fail(0, time.Second)
			b.see(0)
			for i := range 3 {
				quicktest.Assert(t, b.fail(1+i, 2*time.Second), quicktest.HasLen, 0)
			}
			time.Sleep(time.Minute)
		}
	})
}

// TestReportsNarrowCrash: what several instances know of the time of one crash must be joined.
func TestReportsNarrowCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d Detector
		time.Sleep(time.Minute)
		now := time.Now()
		for _, c := range []struct{ age, window, wantAge, wantWindow time.Duration }{
			{time.Second, 4 * time.Second, time.Second, 4 * time.Second},
			{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second},
			{time.Second, 5 * time.Second, 2 * time.Second, 2 * time.Second},
			// A sign of life after the time at which the process was taken for silent refutes that, in any order.
			{500 * time.Millisecond, 900 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond},
			{2 * time.Second, 2 * time.Second, 500 * time.Millisecond, 900 * time.Millisecond},
			{3 * time.Second, 0, 3 * time.Second, 0},
			{time.Second, 3 * time.Second, 3 * time.Second, 0},
		} {
			d.AddCrash(now, Crash{Target: "t", Age: c.age, Window: c.window, Suspects: [][]string{{"s"}}})
			crashes, _ := d.Evidence(now)
			quicktest.Assert(t, crashes, quicktest.HasLen, 1)
			quicktest.Assert(t, [2]time.Duration{crashes[0].Age, crashes[0].Window}, quicktest.Equals, [2]time.Duration{c.wantAge, c.wantWindow})
		}
	})
}

// TestReplayOfReplacedProcesses replays fleets in which only the next process of an engine shows that
// the former one crashed: the connections of some ended, those of others fell silent. A request or a
// segment that crashes engines must be blocked within the callers' bound, without such ones nothing
// may be, and in all fewer than a thousandth of the sound requests.
func TestReplayOfReplacedProcesses(t *testing.T) {
	const (
		seeds           = 32
		allowedLate     = 3
		soundPerRefused = 1000
		// manyRestarts is a seed in which many restarts pass until a rare segment is blocked.
		manyRestarts = 148
	)
	var mu sync.Mutex
	sent, refused, crashes, worst, worstSilent := 0, 0, 0, 0, 0
	play := func(t *testing.T, seed uint64) {
		load := resendLoad(seed)
		rng := rand.New(rand.NewPCG(seed, 3))
		load.length, load.replaced, load.silent = 90*time.Second, true, seed%8 >= 4
		load.backAfter = []time.Duration{0, 500 * time.Millisecond, 3 * time.Second}[rng.IntN(3)]
		if load.silent {
			load.backAfter = 3 * time.Second
		}
		synctest.Test(t, func(t *testing.T) {
			r := playReplay(seed, load)
			quicktest.Check(t, load.silent || r.late <= allowedLate, quicktest.IsTrue, quicktest.Commentf("seed %d: %d late requests, %d crashes, %+v", seed, r.late, r.crashes, load))
			mu.Lock()
			defer mu.Unlock()
			sent, refused, crashes = sent+r.sent, refused+r.refused, crashes+r.crashes
			if load.silent {
				worstSilent = max(worstSilent, r.late)
			} else {
				worst = max(worst, r.late)
			}
		})
		synctest.Test(t, func(t *testing.T) {
			load.bad = 0
			r := playReplay(seed, load)
			quicktest.Check(t, r.blocks, quicktest.HasLen, 0, quicktest.Commentf("seed %d without crashers", seed))
		})
	}
	t.Run("seeds", func(t *testing.T) {
		const groups = 8
		for g := range uint64(groups) {
			t.Run(fmt.Sprint(g), func(t *testing.T) {
				t.Parallel()
				for seed := g; seed < seeds; seed += groups {
					play(t, seed)
				}
			})
		}
		t.Run("many restarts", func(t *testing.T) {
			t.Parallel()
			play(t, manyRestarts)
		})
	})
	t.Logf("%d of %d sound requests refused, %.1f crashes and at most %d late requests a seed, %d where engines fell silent",
		refused, sent, float64(crashes)/(seeds+1), worst, worstSilent)
	red.Check(t, "silent", worstSilent <= allowedLate, "%d late requests in the worst seed with silent engines, allowed %d", worstSilent, allowedLate)
	quicktest.Check(t, refused*soundPerRefused < sent, quicktest.IsTrue, quicktest.Commentf("%d of %d sound requests refused", refused, sent))
}

// maxHeartbeat is how long after its start the announcement of a process may come.
const maxHeartbeat = 1200 * time.Millisecond

// process returns the current process of an engine.
func (r *replay) process(e int) Process {
	return Process{Target: fmt.Sprint("e", e), Address: fmt.Sprint("e", e), StartedMs: int64(r.generations[e])}
}

// endReplaced ends an engine whose crash only the next process shows.
func (r *replay) endReplaced(e int) {
	// giveUpTime is how long instances wait for an answer.
	const giveUpTime = 300 * time.Millisecond
	p := r.process(e)
	backAt := time.Now().Add(r.load.backAfter)
	seenAt := backAt.Add(time.Duration(r.rng.IntN(int(maxHeartbeat/time.Millisecond))) * time.Millisecond)
	failedAt := time.Now()
	if r.load.silent {
		failedAt = failedAt.Add(giveUpTime)
	}
	for _, q := range r.running[e] {
		if time.Since(q.writesAt) < SurvivalTime {
			r.later = append(r.later, laterEvent{failedAt, func() {
				r.report(r.watch.Fail(time.Now(), p, FailedSend{Segments: q.segments, SentAt: q.sentAt, FailedAt: failedAt, Silent: r.load.silent, Repeated: q.repeated && !r.load.silent}))
			}})
		}
		if !q.repeated {
			r.resends = append(r.resends, &replayRequest{segments: q.segments, bad: q.bad, repeated: true, resendAt: failedAt.Add(r.load.resendAfter)})
		}
	}
	r.running[e], r.backAt[e] = nil, seenAt
	r.later = append(r.later, laterEvent{seenAt, func() {
		r.generations[e]++
		for _, c := range r.watch.Update(time.Now(), []Sighting{{Process: r.process(e)}}) {
			r.report(c, true)
		}
	}})
}

// report adds a crash that the watch has found.
func (r *replay) report(c Crash, ok bool) {
	if ok {
		r.AddCrash(time.Now(), c)
	}
}

// laterEvent is something that happens at a time in a replay.
type laterEvent struct {
	at time.Time
	do func()
}

// runLater runs what is due.
func (r *replay) runLater() {
	due := r.later
	r.later = nil
	for _, l := range due {
		if time.Now().Before(l.at) {
			r.later = append(r.later, l)
		} else {
			l.do()
		}
	}
}
