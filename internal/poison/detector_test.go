package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
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
		quicktest.Assert(t, b.isBlocked("caller", RequestSegment("3")), quicktest.IsFalse)
		b.crash([]string{"caller", RequestSegment("3")})
		quicktest.Assert(t, b.isBlocked("caller", RequestSegment("4")), quicktest.IsTrue)
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

// replayLoad is what a replay plays.
type replayLoad struct {
	length  time.Duration
	engines int
	// sound and bad are the requests a second, the latter from second 5 on.
	sound, bad float64
	// crashes is the number of times a second at which engines end for other reasons, with others
	// at the same instant up to rack of them.
	crashes float64
	rack    int
	// writesAfter is the shortest time until an engine writes, and spread what may be added;
	// crashTime is how long it writes to a bad request.
	writesAfter, spread, crashTime time.Duration
	// resendAfter is when requests are sent to a second engine after the first one ended; 0 means never.
	resendAfter time.Duration
	// isWhole makes all bad requests the same one, without a segment that only they have.
	isWhole bool
	// place is where the bad segment stands among the others.
	place int
	// learnAfter is the number of crashes after which what causes them must be known.
	learnAfter int
	// learnTime is the time for that after the crash; 0 means the usual one.
	learnTime time.Duration
	// replaced is set if only the next process of an engine shows that one crashed, which is there
	// after backAfter, and silent if the connections of a crashed engine stay open.
	replaced, silent bool
	backAfter        time.Duration
}

// replay is a fleet under load whose engines also end for other reasons, with or without requests
// that crash them.
type replay struct {
	Detector
	load    replayLoad
	rng     *rand.Rand
	running [][]*replayRequest
	backAt  []time.Time
	resends []*replayRequest
	ended   int
	// crashes counts those by the segment, and late the requests with it that engines got later
	// than learnTime after crash number learnAfter, at learntAt.
	crashes, late int
	learntAt      time.Time
	blocks        []Block
	// sent and refused count the sound requests.
	sent, refused int

	// watch, the number of the process of each engine, and what happens later are for
	// replayLoad.replaced.
	watch       Watch
	generations []int
	later       []laterEvent
}

type replayRequest struct {
	segments         []string
	sentAt, writesAt time.Time
	bad, told        bool
	// resendAt is when it is due at a second engine; repeated is set from then on.
	resendAt time.Time
	repeated bool
}

const (
	replayEngines  = 23
	replayTick     = 10 * time.Millisecond
	crashesToLearn = 5
	learnTime      = 3 * time.Second
)

// newReplay plays a minute with that many requests a second that crash engines, none of which is
// sent again.
func newReplay(seed uint64, badPerSecond int) *replay {
	return playReplay(seed, replayLoad{
		length: time.Minute, engines: replayEngines, sound: 46, bad: float64(badPerSecond), crashes: 0.3, rack: 1,
		writesAfter: 50 * time.Millisecond, spread: 200 * time.Millisecond, crashTime: 50 * time.Millisecond, learnAfter: crashesToLearn,
	})
}

// playReplay plays a load.
func playReplay(seed uint64, load replayLoad) *replay {
	const ticksPerSecond = int(time.Second / replayTick)
	r := &replay{
		load: load, rng: rand.New(rand.NewPCG(seed, 1)),
		running: make([][]*replayRequest, load.engines), backAt: make([]time.Time, load.engines),
		generations: make([]int, load.engines),
	}
	if load.learnTime == 0 {
		r.load.learnTime = learnTime
	}
	for e := range load.engines {
		r.watch.Update(time.Now(), []Sighting{{Process: r.process(e)}})
	}
	perTick := func(perSecond float64) bool { return r.rng.IntN(1000) < int(perSecond*1000/float64(ticksPerSecond)) }
	wasSettling := false
	for i := range int(load.length / replayTick) {
		time.Sleep(replayTick)
		r.runLater()
		for e := range r.running {
			r.advance(e)
		}
		r.resend()
		if perTick(load.sound) {
			r.arrive(&replayRequest{segments: r.newSegments(fmt.Sprint("rare", r.rng.IntN(500)), i)})
		}
		if load.bad > 0 && i > 500 && perTick(load.bad) {
			r.arrive(r.newBad(i))
		}
		if perTick(load.crashes) {
			r.endRack()
		}
		// The leader judges crashes when they have settled.
		settling := r.IsSettling(time.Now())
		if load.resendAfter == 0 || wasSettling {
			r.blocks = append(r.blocks, r.Evaluate(time.Now())...)
		}
		wasSettling = settling
	}
	return r
}

// newSegments returns those of request i.
func (r *replay) newSegments(own string, i int) []string {
	segments := []string{"all", fmt.Sprint("org", r.rng.IntN(10)), own}
	if r.load.resendAfter > 0 {
		segments = append(segments, RequestSegment(fmt.Sprint(i)))
	}
	return segments
}

func (r *replay) newBad(i int) *replayRequest {
	q := &replayRequest{bad: true}
	if r.load.isWhole {
		q.segments = []string{"all", "org1", RequestSegment("bad")}
		return q
	}
	q.segments = r.newSegments("bad", 1_000_000+i)
	if p := r.load.place; p > 0 {
		q.segments[p-1], q.segments[2] = q.segments[2], q.segments[p-1]
	}
	return q
}

// endRack ends one engine, or several at the same instant.
func (r *replay) endRack() {
	n := 1
	if r.load.rack > 1 {
		n += r.rng.IntN(r.load.rack)
	}
	for first := r.rng.IntN(r.load.engines); n > 0; n-- {
		r.end((first + n) % r.load.engines)
	}
}

// advance ends the engine if it writes an answer that crashes it, and otherwise goes on with its
// answers.
func (r *replay) advance(e int) {
	const writeTime = 1700 * time.Millisecond
	for _, q := range r.running[e] {
		age := time.Since(q.writesAt)
		if age >= 0 && r.load.replaced {
			r.watch.Alive(time.Now(), r.process(e))
		}
		if q.bad && age >= r.load.crashTime {
			if r.crashes++; r.crashes == r.load.learnAfter {
				r.learntAt = time.Now().Add(r.load.learnTime)
			}
			r.end(e)
			return
		}
		if age >= SurvivalTime && !q.told {
			q.told = true
			s := Survival{Segments: q.segments, Age: age}
			if last := len(q.segments) - 1; isRequest(q.segments[last]) && !r.IsSuspect(q.segments[last]) {
				s.Segments = s.Segments[:last]
			}
			r.AddSurvival(time.Now(), s)
		}
	}
	r.running[e] = slices.DeleteFunc(r.running[e], func(q *replayRequest) bool { return time.Since(q.writesAt) > writeTime })
}

// end ends the process of an engine, and reports the crash.
func (r *replay) end(e int) {
	r.ended++
	if r.load.replaced {
		if time.Now().After(r.backAt[e]) {
			r.endReplaced(e)
		}
		return
	}
	c := Crash{Target: fmt.Sprint(r.ended)}
	for _, q := range r.running[e] {
		if time.Since(q.writesAt) < SurvivalTime {
			c.Suspects = append(c.Suspects, q.segments)
			if r.load.resendAfter > 0 {
				c.Sends = append(c.Sends, Send{Age: time.Since(q.sentAt), Repeated: q.repeated})
			}
		}
		if r.load.resendAfter > 0 && !q.repeated {
			again := &replayRequest{segments: q.segments, bad: q.bad, repeated: true, resendAt: time.Now().Add(r.load.resendAfter)}
			r.resends = append(r.resends, again)
		}
	}
	r.running[e], r.backAt[e] = nil, time.Now().Add(3*time.Second)
	r.AddCrash(time.Now(), c)
}

// resend sends the requests that are due at their second engine.
func (r *replay) resend() {
	var later []*replayRequest
	for _, q := range r.resends {
		if time.Now().Before(q.resendAt) {
			later = append(later, q)
		} else {
			r.send(q)
		}
	}
	r.resends = later
}

// arrive counts a new request and sends it.
func (r *replay) arrive(q *replayRequest) {
	if !q.bad {
		r.sent++
	}
	r.send(q)
}

// send sends a request to an engine with a free slot, unless it is blocked.
func (r *replay) send(q *replayRequest) {
	if _, blocked := r.Find(time.Now(), q.segments); blocked {
		if !q.bad {
			r.refused++
		}
		return
	}
	for range 5 {
		e := r.rng.IntN(r.load.engines)
		if time.Now().Before(r.backAt[e]) || len(r.running[e]) >= 16 {
			continue
		}
		if q.bad && r.crashes >= r.load.learnAfter && time.Now().After(r.learntAt) {
			r.late++
		}
		q.sentAt = time.Now()
		q.writesAt = q.sentAt.Add(r.load.writesAfter + time.Duration(r.rng.IntN(int(r.load.spread/time.Millisecond)))*time.Millisecond)
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

// resendLoad draws a load in which requests are sent to a second engine when the first one ended.
func resendLoad(seed uint64) replayLoad {
	rng := rand.New(rand.NewPCG(seed, 2))
	l := replayLoad{
		length: time.Minute / 2, engines: 12, sound: 60, bad: []float64{0.3, 2}[seed%2], crashes: 0.3, rack: 4,
		writesAfter: 10 * time.Millisecond, spread: 50 * time.Millisecond, crashTime: 20 * time.Millisecond,
		resendAfter: time.Duration(1+rng.IntN(15)) * replayTick, place: rng.IntN(4), learnAfter: crashesToLearn,
	}
	if l.isWhole = seed%4 >= 2; l.isWhole {
		l.learnAfter = 3
	}
	return l
}

// TestReplayOfResends replays fleets in which a request that ended one engine soon ends a second
// one: each crash must count, although engines that end together, without or with such requests
// among those sent again, blame nobody.
func TestReplayOfResends(t *testing.T) {
	const (
		seeds       = 200
		allowedLate = 3
		// A thousandth of the sound requests may be refused.
		soundPerRefused = 1000
	)
	var mu sync.Mutex
	sent, refused, crashes, worst := 0, 0, 0, 0
	play := func(t *testing.T, seed uint64) {
		load := resendLoad(seed)
		synctest.Test(t, func(t *testing.T) {
			r := playReplay(seed, load)
			quicktest.Check(t, r.late <= allowedLate, quicktest.IsTrue, quicktest.Commentf("seed %d: %d late requests, %d crashes, %+v", seed, r.late, r.crashes, load))
			mu.Lock()
			defer mu.Unlock()
			sent, refused, crashes, worst = sent+r.sent, refused+r.refused, crashes+r.crashes, max(worst, r.late)
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
	})
	t.Logf("%d of %d sound requests refused, %.1f crashes and at most %d late requests a seed", refused, sent, float64(crashes)/seeds, worst)
	quicktest.Check(t, refused*soundPerRefused < sent, quicktest.IsTrue, quicktest.Commentf("%d of %d sound requests refused", refused, sent))
}
