package place

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// simEngine runs the declared model: it works in passes, prefills prompts in chunks, and
// decodes all answers together.
type simEngine struct {
	id    string
	model costModel
	// slowdown is how many times slower than declared it is.
	slowdown float64
	queued   []*simPart
	answers  []*simJob
	// busy is set during a pass, which finishes the parts of finishing and decodes
	// decoding.
	busy      bool
	finishing []*simPart
	decoding  []*simJob
	// loss is the highest loss of others that was predicted for a part prefilled in the pass.
	loss float64
}

// simPart is the part of a prompt that one engine prefills.
type simPart struct {
	job    *simJob
	tokens float64
	// perToken is the prefill time of a token, in nanoseconds.
	perToken float64
	split    bool
}

// simJob is one request from its arrival to its end.
type simJob struct {
	id             string
	class          *simClass
	prompt         int
	output         int
	outputEstimate int
	arrived        time.Duration
	grant          Grant
	granted        bool
	refused        bool
	// pendingParts counts the parts not yet prefilled; written is in tokens.
	pendingParts int
	written      int
	ttft         time.Duration
	lastEvent    time.Duration
	longestGap   time.Duration
	ended        bool
	lead         *simEngine
	failed       bool
	// organisation sent it. refusals counts the refusals after which it came again.
	organisation simOrganisation
	refusals     int
	// attempted is when it came last.
	attempted time.Duration
	// toCaller and toPlacer are when the last event reaches the caller and the last report the
	// placer: messages of one request don't overtake each other.
	toCaller, toPlacer time.Duration
	// gapLoss is the highest loss of others that was predicted for a part prefilled during the
	// longest pause.
	gapLoss float64
}

// simOrganisation is a sender of requests with its rank and its part of all requests.
type simOrganisation struct {
	name string
	rank int
	part float64
}

// simClass is a kind of request with its sizes, targets and value.
type simClass struct {
	name                 string
	prompt               float64
	spread               float64
	maxPrompt            int
	output               float64
	ttftTarget, maxPause time.Duration
	limit                time.Duration
	value                float64
	// rank is that of the route.
	rank int
}

// eventTimeout is how long callers wait for an event before they give up.
func (c *simClass) eventTimeout() time.Duration {
	return max(2*time.Second, 4*c.ttftTarget, 8*c.maxPause)
}

// sim plays a load against engines and a placer.
type sim struct {
	now     time.Duration
	start   time.Time
	rng     *rand.Rand
	engines []*simEngine
	placer  placer
	jobs    map[string]*simJob
	all     []*simJob
	events  simQueue
	lost    map[string]bool
	// declared is the engine model that the placer is given.
	declared site.Engine
	// organisations send the requests; without any, all come from the same one.
	organisations []simOrganisation
	// organisationRNG draws the organisations, apart from rng: loads are the same with
	// organisations and without.
	organisationRNG *rand.Rand
	// delayRNG draws the network delays, apart from rng, so that loads don't depend on decisions.
	delayRNG *rand.Rand
	// comeBack makes refused callers come again after the time that the refusal names, if that
	// is within a third of the time that they have left.
	comeBack bool
}

// placer decides like a Core.
type placer interface {
	Step(now time.Time, e Event) []Decision
	Waiting() int
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue struct {
	list []simEvent
	seq  int
}

func (q *simQueue) add(at time.Duration, run func()) {
	q.seq++
	e := simEvent{at, q.seq, run}
	i, _ := slices.BinarySearchFunc(q.list, e, func(a, b simEvent) int {
		return -cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	q.list = slices.Insert(q.list, i, e)
}

func (q *simQueue) pop() (simEvent, bool) {
	if len(q.list) == 0 {
		return simEvent{}, false
	}
	e := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return e, true
}

// publishedEngine is the engine model that the sites declare.
func publishedEngine() site.Engine {
	return site.Engine{
		Slots: 16, Memory: 405_000, Step: 1310 * time.Microsecond, PerAnswer: 917 * time.Nanosecond,
		PerContext: 2130 * time.Nanosecond, Rate: 154_000, Pairs: 162 * time.Microsecond, Chunk: 2048, Stride: 34,
		Hop: 100 * time.Microsecond,
	}
}

// grownEngine is the engine model after the sites have grown.
func grownEngine() site.Engine {
	e := publishedEngine()
	e.Slots, e.Memory, e.Stride = 12, 344_250, 38
	return e
}

// newSim returns a sim with that many engines of the published model.
func newSim(seed uint64, engines int, p placer) *sim {
	return newSimOf(seed, engines, publishedEngine(), p)
}

// newSimOf returns a sim with that many engines of a model.
func newSimOf(seed uint64, engines int, m site.Engine, p placer) *sim {
	s := &sim{
		declared: m,
		start:    time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), placer: p,
		jobs: make(map[string]*simJob), lost: make(map[string]bool), organisationRNG: rand.New(rand.NewPCG(seed, 2)),
		delayRNG: rand.New(rand.NewPCG(seed, 3)),
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{id: fmt.Sprintf("e%02d", i), model: costModel{m}, slowdown: 1})
	}
	s.updateFleet()
	return s
}

// updateFleet passes the current engines to the placer.
func (s *sim) updateFleet() {
	f := Fleet{Engine: s.declared}
	for _, e := range s.engines {
		if !s.lost[e.id] {
			f.Targets = append(f.Targets, site.Target{ID: e.id, Pool: "p", State: site.Ready, Slots: f.Engine.Slots})
		}
	}
	s.step(f)
}

func (s *sim) clock() time.Time { return s.start.Add(s.now) }

// addLoad adds requests of a class between two times, at a rate per second.
func (s *sim) addLoad(c *simClass, from, to time.Duration, rate float64) {
	for at := from; rate > 0; {
		at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		sigma := math.Sqrt(math.Log(1 + c.spread*c.spread))
		prompt := min(c.maxPrompt, int(c.prompt*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)))
		output := max(s.declared.Stride, int(c.output*math.Exp(0.6*s.rng.NormFloat64()-0.18)))
		// Callers' estimates are right at the median, and often far off.
		estimate := max(s.declared.Stride, int(float64(output)*math.Exp(0.5*s.rng.NormFloat64())))
		j := &simJob{class: c, prompt: max(50, prompt), output: output, outputEstimate: estimate, arrived: at, organisation: s.drawOrganisation()}
		s.events.add(at, func() { s.arrive(j) })
	}
}

// addBursts adds three bursts of 9.5 s, of long, short and long requests, with the given
// average rates per second.
func (s *sim) addBursts(l, m *simClass, shorts, mediums, longs float64) {
	for i, x := range []struct{ short, medium, long float64 }{{0.31, 1.3, 2.8}, {2.4, 0.5, 0.05}, {0.38, 1.3, 2.6}} {
		from, to := time.Duration(i)*9500*time.Millisecond, time.Duration(i+1)*9500*time.Millisecond
		s.addLoad(short(), from, to, shorts*x.short)
		s.addLoad(m, from, to, mediums*x.medium)
		s.addLoad(l, from, to, longs*x.long)
	}
}

// drawOrganisation returns the sender of the next request.
func (s *sim) drawOrganisation() simOrganisation {
	if len(s.organisations) == 0 {
		return simOrganisation{}
	}
	x := s.organisationRNG.Float64()
	for _, o := range s.organisations {
		if x -= o.part; x < 0 {
			return o
		}
	}
	return s.organisations[0]
}

func (s *sim) arrive(j *simJob) {
	s.all = append(s.all, j)
	s.attempt(j, fmt.Sprintf("j%05d", len(s.all)-1))
}

// attempt sends a request to the placer.
func (s *sim) attempt(j *simJob, id string) {
	j.id, j.attempted = id, s.now
	s.jobs[j.id] = j
	c := j.class
	timeLeft := min(c.limit-(s.now-j.arrived), c.eventTimeout())
	s.report(j, Arrive{Request{
		ID: j.id, Pool: "p", Prompt: j.prompt, Output: j.outputEstimate, TTFTLeft: c.ttftTarget, TTFTTarget: c.ttftTarget, MaxPause: c.maxPause,
		TimeLeft: timeLeft, PauseTimeout: c.eventTimeout(),
		Rank: j.organisation.rank, RouteRank: c.rank, Organisation: j.organisation.name, CallerLeft: c.limit - (s.now - j.arrived),
	}})
	s.events.add(s.now+timeLeft, func() {
		if j.id == id && !j.granted && !j.refused {
			j.failed = true
			s.report(j, Withdraw{ID: j.id})
		}
	})
}

const (
	// minSimDelay and maxSimDelay bound the delay of a message between two processes.
	minSimDelay, maxSimDelay = time.Millisecond, 3 * time.Millisecond
	// meanReportDelay is the mean further delay of a report to the placer: entries have a small
	// share of a processor.
	meanReportDelay = 2 * time.Millisecond
)

// delay returns the time that a message takes.
func (s *sim) delay() time.Duration {
	return minSimDelay + time.Duration(s.delayRNG.Int64N(int64(maxSimDelay-minSimDelay)))
}

// report passes an event of a request to the placer after the delay of a message.
func (s *sim) report(j *simJob, e Event) {
	late := time.Duration(s.delayRNG.ExpFloat64() * float64(meanReportDelay))
	j.toPlacer = max(j.toPlacer, s.now+s.delay()+late)
	s.events.add(j.toPlacer, func() { s.step(e) })
}

// step passes an event to the placer and carries out its decisions when the entries learn them.
func (s *sim) step(e Event) {
	for _, d := range s.placer.Step(s.clock(), e) {
		switch d := d.(type) {
		case Grant:
			s.events.add(s.now+s.delay(), func() { s.send(s.jobs[d.ID], d) })
		case Refuse:
			s.events.add(s.now+s.delay(), func() { s.refuse(s.jobs[d.ID], d) })
		}
	}
}

// refuse ends an attempt, and lets the caller come again.
func (s *sim) refuse(j *simJob, d Refuse) {
	j.refused = true
	if left := j.class.limit - (s.now - j.arrived); s.comeBack && d.RetryAfter <= left/3 {
		s.events.add(s.now+d.RetryAfter, func() {
			j.refused = false
			j.refusals++
			s.attempt(j, fmt.Sprintf("%s+", j.id))
		})
	}
}

// send hands a granted request to its engines.
func (s *sim) send(j *simJob, g Grant) {
	if j.failed {
		s.report(j, Withdraw{ID: j.id})
		return
	}
	j.grant, j.granted = g, true
	j.lead = s.engine(g.Lead)
	j.lastEvent = s.now
	list := []*simEngine{j.lead}
	for _, h := range g.Helpers {
		list = append(list, s.engine(h))
	}
	j.pendingParts = len(list)
	n := float64(j.prompt)
	each := n / float64(len(list))
	m := j.lead.model
	cost := float64(m.prefillTime(j.prompt)) / n
	for _, e := range list {
		s.events.add(s.now+s.delay(), func() {
			e.add(&simPart{job: j, tokens: each, perToken: cost, split: len(list) > 1})
			s.startPass(e)
		})
	}
}

// add queues a part: parts of split prompts go before all others, the newest first.
func (e *simEngine) add(p *simPart) {
	if p.split {
		e.queued = slices.Insert(e.queued, 0, p)
		return
	}
	e.queued = append(e.queued, p)
}

func (s *sim) engine(id string) *simEngine {
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.id == id })
	return s.engines[i]
}

// startPass starts a pass if the engine is idle and has work.
func (s *sim) startPass(e *simEngine) {
	if e.busy || s.lost[e.id] || len(e.queued)+len(e.answers) == 0 {
		return
	}
	e.busy = true
	steps := 1
	var took float64
	context := 0.0
	if len(e.answers) > 0 {
		steps = e.model.Stride
		for _, w := range e.answers {
			context += float64(w.prompt)/float64(len(w.grant.Helpers)+1) + float64(w.written)
		}
	}
	step := float64(e.model.Step) + float64(len(e.answers))*float64(e.model.PerAnswer) + context/1000*float64(e.model.PerContext)
	took = float64(steps) * step
	room := float64(steps * e.model.Chunk)
	e.loss = 0
	for room > 0 && len(e.queued) > 0 {
		p := e.queued[0]
		n := math.Min(room, p.tokens)
		took += n * p.perToken
		e.loss = max(e.loss, p.job.grant.Loss.Others)
		p.tokens -= n
		room -= n
		if p.tokens > 0 {
			break
		}
		e.queued = e.queued[1:]
		e.finishing = append(e.finishing, p)
	}
	e.decoding = slices.Clone(e.answers)
	s.events.add(s.now+time.Duration(took*e.slowdown), func() { s.endPass(e) })
}

// endPass ends a pass.
func (s *sim) endPass(e *simEngine) {
	e.busy = false
	if s.lost[e.id] {
		return
	}
	for _, w := range e.decoding {
		s.deliver(w, e.loss)
	}
	done := e.finishing
	e.finishing = nil
	var started []*simEngine
	for _, p := range done {
		if p.job.pendingParts--; p.job.pendingParts == 0 && !p.job.ended {
			// The pass that prefills the last part writes the first event.
			p.job.lead.answers = append(p.job.lead.answers, p.job)
			s.deliver(p.job, 0)
			started = append(started, p.job.lead)
		}
	}
	// The next pass decodes all answers that begin now.
	for _, lead := range started {
		s.startPass(lead)
	}
	s.startPass(e)
}

// deliver sends one event of an answer to its caller. loss is the highest predicted loss of others
// of the parts that were prefilled since the event before.
func (s *sim) deliver(j *simJob, loss float64) {
	if j.ended {
		return
	}
	first := j.written == 0
	j.written += j.lead.model.Stride
	last := j.written >= j.output
	if last {
		j.lead.answers = slices.DeleteFunc(j.lead.answers, func(o *simJob) bool { return o == j })
	}
	j.toCaller = max(j.toCaller, s.now+s.delay())
	s.events.add(j.toCaller, func() { s.receive(j, first, last, loss) })
}

// receive handles an event of an answer at its entry.
func (s *sim) receive(j *simJob, first, last bool, loss float64) {
	if j.ended {
		return
	}
	if first {
		j.ttft = s.now - j.arrived
		s.report(j, FirstEvent{ID: j.id, Elapsed: s.now - j.lastEvent})
	} else if gap := s.now - j.lastEvent; gap > j.longestGap {
		j.longestGap, j.gapLoss = gap, loss
	}
	j.lastEvent = s.now
	if last {
		j.ended = true
		s.report(j, End{ID: j.id})
	}
}

// loseEngine removes an engine with all of its work.
func (s *sim) loseEngine(e *simEngine) {
	s.lost[e.id] = true
	for _, j := range slices.Concat(e.answers, nil) {
		if j.ended {
			continue
		}
		j.ended, j.failed = true, true
		s.step(End{ID: j.id, FailedTarget: e.id, Unreachable: true})
	}
	e.answers, e.queued = nil, nil
	s.updateFleet()
}

// run plays events until the given time.
func (s *sim) run(to time.Duration) {
	var tick func()
	tick = func() {
		if s.placer.Waiting() > 0 {
			s.step(Tick{})
		}
		if s.now < to {
			s.events.add(s.now+20*time.Millisecond, tick)
		}
	}
	heartbeat := func() {}
	heartbeat = func() {
		for _, e := range s.engines {
			if !s.lost[e.id] {
				s.step(Heartbeat{Target: e.id})
			}
		}
		if s.now < to {
			s.events.add(s.now+time.Second, heartbeat)
		}
	}
	s.events.add(0, tick)
	s.events.add(0, heartbeat)
	for {
		e, ok := s.events.pop()
		if !ok || e.at > to {
			return
		}
		s.now = e.at
		e.run()
	}
}

// score counts the outcomes of a class's requests and sums their offered and earned value.
type score struct {
	requests, inTime, late, refused int
	// paused counts the late answers whose first event was on time, unforeseen those of them whose
	// pause was not predicted at the grants that caused it.
	paused, unforeseen int
	offered, earned    float64
}

// foreseenLoss is the predicted loss of others, as a fraction of the request's value, from which
// a pause counts as foreseen.
const foreseenLoss = 0.01

func (c score) String() string {
	return fmt.Sprintf("requests %d, on time %d, late %d (%d by a pause, %d of these unforeseen), not served %d, earned %.3f",
		c.requests, c.inTime, c.late, c.paused, c.unforeseen, c.refused, c.earnedShare())
}

// lateValue is the value of a late answer relative to one on time.
const lateValue = 0.25

// scores sums up all requests that arrived in a span, by class and in total.
func (s *sim) scores(from, to time.Duration) (map[string]score, score) {
	out := make(map[string]score)
	return out, s.addScores(from, to, out, score{})
}

// addScores adds the requests to sums by class and returns the total.
func (s *sim) addScores(from, to time.Duration, out map[string]score, sum score) score {
	for _, j := range s.all {
		if j.arrived < from || j.arrived >= to {
			continue
		}
		c := out[j.class.name]
		c.add(j)
		out[j.class.name] = c
		sum.add(j)
	}
	return sum
}

// playSeeds plays a load with several seeds and adds up the requests that arrived in a span.
func playSeeds(from, to time.Duration, play func(seed uint64) *sim) (map[string]score, score) {
	sims := make([]*sim, *replaySeeds)
	var wg sync.WaitGroup
	for i := range sims {
		wg.Go(func() { sims[i] = play(uint64(i) + 1) })
	}
	wg.Wait()
	out := make(map[string]score)
	var sum score
	for _, s := range sims {
		sum = s.addScores(from, to, out, sum)
	}
	return out, sum
}

// replaySeeds is the number of seeds over which the outcomes of a replay are summed up.
var replaySeeds = flag.Int("replay-seeds", 1, "number of seeds that each replay is played with")

func (c *score) add(j *simJob) {
	size := float64(j.prompt+outputWeight*j.output) / (j.class.prompt + outputWeight*j.class.output)
	value := j.class.value * min(4, 0.3+0.7*size)
	c.requests++
	c.offered += value
	switch {
	case j.refused || !j.ended || j.failed:
		c.refused++
	case j.ttft <= j.class.ttftTarget && j.longestGap <= j.class.maxPause:
		c.inTime++
		c.earned += value
	default:
		c.late++
		if j.ttft <= j.class.ttftTarget {
			c.paused++
			if j.gapLoss < foreseenLoss {
				c.unforeseen++
			}
		}
		c.earned += lateValue * value
	}
}

func (c score) earnedShare() float64 { return c.earned / max(1, c.offered) }

// The classes of requests in the sites' data sheets.
func short() *simClass {
	return &simClass{
		name: "short", prompt: 5000, spread: 0.9, maxPrompt: 23_800, output: 1300, ttftTarget: 300 * time.Millisecond,
		maxPause: 250 * time.Millisecond, limit: 10 * time.Second, value: 1.3,
	}
}

func medium() *simClass {
	return &simClass{
		name: "medium", prompt: 45_000, spread: 0.5, maxPrompt: 110_000, output: 780, ttftTarget: 1500 * time.Millisecond,
		maxPause: 600 * time.Millisecond, limit: 10 * time.Second, value: 3.9,
	}
}

func long() *simClass {
	return &simClass{
		name: "long", prompt: 182_000, spread: 0.55, maxPrompt: 900_000, output: 650, ttftTarget: 3 * time.Second,
		maxPause: time.Second, limit: 15 * time.Second, value: 24,
	}
}
