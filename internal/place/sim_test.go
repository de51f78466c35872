package place

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// simEngine runs the declared model: it works in passes, reads prompts in
// chunks, and steps all answers together.
type simEngine struct {
	id    string
	model model
	// pace is how much slower than declared it is.
	pace    float64
	reads   []*simPart
	writers []*simJob
	// busy says that a pass is in progress, which reads done and writes wrote.
	busy  bool
	done  []*simPart
	wrote []*simJob
}

// simPart is what one engine reads of a prompt.
type simPart struct {
	job    *simJob
	tokens float64
	// cost is the time that a token takes to read.
	cost  float64
	apart bool
}

// simJob is one request from its arrival to its end.
type simJob struct {
	id      string
	class   *simClass
	prompt  int
	output  int
	guess   int
	arrived time.Duration
	grant   Grant
	granted bool
	refused bool
	// parts are not yet read; written is in tokens.
	parts   int
	written int
	first   time.Duration
	last    time.Duration
	gap     time.Duration
	ended   bool
	lead    *simEngine
	gone    bool
}

// simClass is a kind of request.
type simClass struct {
	name       string
	prompt     float64
	spread     float64
	maxPrompt  int
	output     float64
	aim, pause time.Duration
	limit      time.Duration
	worth      float64
}

// patience is how long its callers wait for an event.
func (c *simClass) patience() time.Duration { return max(2*time.Second, 4*c.aim, 8*c.pause) }

// sim plays a load against engines with a way to place it.
type sim struct {
	now     time.Duration
	start   time.Time
	rng     *rand.Rand
	engines []*simEngine
	place   placer
	jobs    map[string]*simJob
	all     []*simJob
	events  simQueue
	lost    map[string]bool
	// declared is what the placer is told of the engines.
	declared site.Engine
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

func (q *simQueue) take() (simEvent, bool) {
	if len(q.list) == 0 {
		return simEvent{}, false
	}
	e := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return e, true
}

// published is the model of the engines that the sites declare.
func published() site.Engine {
	return site.Engine{
		Slots: 16, Memory: 405_000, Step: 1310 * time.Microsecond, PerAnswer: 917 * time.Nanosecond,
		PerContext: 2130 * time.Nanosecond, Rate: 154_000, Pairs: 162 * time.Microsecond, Chunk: 2048, Stride: 34,
		Hop: 100 * time.Microsecond,
	}
}

// grown is the model of the engines after the sites have grown.
func grown() site.Engine {
	e := published()
	e.Slots, e.Memory, e.Stride = 12, 344_250, 38
	return e
}

// newSim returns a sim with so many engines of the published model.
func newSim(seed uint64, engines int, p placer) *sim { return newSimOf(seed, engines, published(), p) }

// newSimOf returns a sim with so many engines of a model.
func newSimOf(seed uint64, engines int, m site.Engine, p placer) *sim {
	s := &sim{
		declared: m,
		start:    time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), place: p,
		jobs: make(map[string]*simJob), lost: make(map[string]bool),
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{id: fmt.Sprintf("e%02d", i), model: model{m}, pace: 1})
	}
	s.fleet()
	return s
}

// fleet tells the placer which engines there are.
func (s *sim) fleet() {
	f := Fleet{Engine: s.declared}
	for _, e := range s.engines {
		if !s.lost[e.id] {
			f.Targets = append(f.Targets, site.Target{ID: e.id, Pool: "p", State: site.Ready, Slots: f.Engine.Slots})
		}
	}
	s.decide(f)
}

func (s *sim) clock() time.Time { return s.start.Add(s.now) }

// load adds requests of a class between two times.
func (s *sim) load(c *simClass, from, to time.Duration, rate float64) {
	for at := from; ; {
		at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		sigma := math.Sqrt(math.Log(1 + c.spread*c.spread))
		prompt := min(c.maxPrompt, int(c.prompt*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)))
		output := max(s.declared.Stride, int(c.output*math.Exp(0.6*s.rng.NormFloat64()-0.18)))
		// Callers' estimates are right at the median, and often far off.
		guess := max(s.declared.Stride, int(float64(output)*math.Exp(0.5*s.rng.NormFloat64())))
		j := &simJob{class: c, prompt: max(50, prompt), output: output, guess: guess, arrived: at}
		s.events.add(at, func() { s.arrive(j) })
	}
}

// bursts adds three bursts of 9.5 s, of long, short and long requests, at so many of
// each kind in a second on average.
func (s *sim) bursts(l, m *simClass, shorts, mediums, longs float64) {
	for i, x := range []struct{ short, medium, long float64 }{{0.31, 1.3, 2.8}, {2.4, 0.5, 0.05}, {0.38, 1.3, 2.6}} {
		from, to := time.Duration(i)*9500*time.Millisecond, time.Duration(i+1)*9500*time.Millisecond
		s.load(short(), from, to, shorts*x.short)
		s.load(m, from, to, mediums*x.medium)
		s.load(l, from, to, longs*x.long)
	}
}

func (s *sim) arrive(j *simJob) {
	j.id = fmt.Sprintf("j%05d", len(s.all))
	s.all = append(s.all, j)
	s.jobs[j.id] = j
	c := j.class
	s.decide(Arrive{Ask{
		ID: j.id, Pool: "p", Prompt: j.prompt, Output: j.guess, Aim: c.aim, Whole: c.aim, Pause: c.pause,
		Left: min(c.limit, c.patience()), Gap: c.patience(),
	}})
	s.events.add(s.now+c.patience(), func() {
		if !j.granted && !j.refused {
			j.gone = true
			s.decide(Withdraw{ID: j.id})
		}
	})
}

// decide lets the placer decide and carries its decisions out a millisecond later.
func (s *sim) decide(e Event) {
	for _, d := range s.place.Step(s.clock(), e) {
		switch d := d.(type) {
		case Grant:
			s.events.add(s.now+time.Millisecond, func() { s.send(s.jobs[d.ID], d) })
		case Refuse:
			s.jobs[d.ID].refused = true
		}
	}
}

// send hands a request to its engines.
func (s *sim) send(j *simJob, g Grant) {
	if j.gone {
		s.decide(Withdraw{ID: j.id})
		return
	}
	j.grant, j.granted = g, true
	j.lead = s.engine(g.Lead)
	j.last = s.now
	list := []*simEngine{j.lead}
	for _, h := range g.Helpers {
		list = append(list, s.engine(h))
	}
	j.parts = len(list)
	n := float64(j.prompt)
	each := n / float64(len(list))
	m := j.lead.model
	cost := float64(m.read(j.prompt)) / n
	for _, e := range list {
		e.add(&simPart{job: j, tokens: each, cost: cost, apart: len(list) > 1})
		s.kick(e)
	}
}

// add queues a part: those of prompts that several engines read go ahead of all
// other reads, the newest first.
func (e *simEngine) add(p *simPart) {
	if p.apart {
		e.reads = slices.Insert(e.reads, 0, p)
		return
	}
	e.reads = append(e.reads, p)
}

func (s *sim) engine(id string) *simEngine {
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.id == id })
	return s.engines[i]
}

// kick starts a pass if the engine has work and is idle.
func (s *sim) kick(e *simEngine) {
	if e.busy || s.lost[e.id] || len(e.reads)+len(e.writers) == 0 {
		return
	}
	e.busy = true
	steps := 1
	var took float64
	context := 0.0
	if len(e.writers) > 0 {
		steps = e.model.Stride
		for _, w := range e.writers {
			context += float64(w.prompt)/float64(len(w.grant.Helpers)+1) + float64(w.written)
		}
	}
	step := float64(e.model.Step) + float64(len(e.writers))*float64(e.model.PerAnswer) + context/1000*float64(e.model.PerContext)
	took = float64(steps) * step
	room := float64(steps * e.model.Chunk)
	for room > 0 && len(e.reads) > 0 {
		p := e.reads[0]
		n := math.Min(room, p.tokens)
		took += n * p.cost
		p.tokens -= n
		room -= n
		if p.tokens > 0 {
			break
		}
		e.reads = e.reads[1:]
		e.done = append(e.done, p)
	}
	e.wrote = slices.Clone(e.writers)
	s.events.add(s.now+time.Duration(took*e.pace), func() { s.finish(e) })
}

// finish ends a pass.
func (s *sim) finish(e *simEngine) {
	e.busy = false
	if s.lost[e.id] {
		return
	}
	for _, w := range e.wrote {
		s.event(w)
	}
	done := e.done
	e.done = nil
	for _, p := range done {
		if p.job.parts--; p.job.parts == 0 && !p.job.ended {
			// The pass that reads the last part writes the first event.
			p.job.lead.writers = append(p.job.lead.writers, p.job)
			s.event(p.job)
			s.kick(p.job.lead)
		}
	}
	s.kick(e)
}

// event is one event of an answer at its caller.
func (s *sim) event(j *simJob) {
	if j.ended {
		return
	}
	if j.written == 0 {
		j.first = s.now - j.arrived
		s.decide(Begin{ID: j.id, After: s.now - j.last})
	} else {
		j.gap = max(j.gap, s.now-j.last)
	}
	j.last = s.now
	j.written += j.lead.model.Stride
	if j.written >= j.output {
		s.end(j)
	}
}

func (s *sim) end(j *simJob) {
	j.ended = true
	j.lead.writers = slices.DeleteFunc(j.lead.writers, func(o *simJob) bool { return o == j })
	s.decide(End{ID: j.id})
}

// lose takes an engine out with all that it has.
func (s *sim) lose(e *simEngine) {
	s.lost[e.id] = true
	for _, j := range slices.Concat(e.writers, nil) {
		j.ended, j.gone = true, true
		s.decide(End{ID: j.id, Fault: e.id, Hard: true})
	}
	e.writers, e.reads = nil, nil
	s.fleet()
}

// run plays until the load has ended.
func (s *sim) run(to time.Duration) {
	var tick func()
	tick = func() {
		if s.place.Waiting() > 0 {
			s.decide(Tick{})
		}
		if s.now < to {
			s.events.add(s.now+20*time.Millisecond, tick)
		}
	}
	beat := func() {}
	beat = func() {
		for _, e := range s.engines {
			if !s.lost[e.id] {
				s.decide(Heard{Target: e.id})
			}
		}
		if s.now < to {
			s.events.add(s.now+time.Second, beat)
		}
	}
	s.events.add(0, tick)
	s.events.add(0, beat)
	for {
		e, ok := s.events.take()
		if !ok || e.at > to {
			return
		}
		s.now = e.at
		e.run()
	}
}

// score is what the callers of a class got.
type score struct {
	asked, inTime, late, refused int
	owed, earned                 float64
}

// lateWorth is what a late answer is worth beside one in time.
const lateWorth = 0.25

// scores sums up all requests that arrived in a span.
func (s *sim) scores(from, to time.Duration) (map[string]score, score) {
	out := make(map[string]score)
	var sum score
	for _, j := range s.all {
		if j.arrived < from || j.arrived >= to {
			continue
		}
		c := out[j.class.name]
		c.add(j)
		out[j.class.name] = c
		sum.add(j)
	}
	return out, sum
}

func (c *score) add(j *simJob) {
	size := float64(j.prompt+outputWeight*j.output) / (j.class.prompt + outputWeight*j.class.output)
	worth := j.class.worth * min(4, 0.3+0.7*size)
	c.asked++
	c.owed += worth
	switch {
	case j.refused || !j.ended || j.gone:
		c.refused++
	case j.first <= j.class.aim && j.gap <= j.class.pause:
		c.inTime++
		c.earned += worth
	default:
		c.late++
		c.earned += lateWorth * worth
	}
}

func (c score) share() float64 { return c.earned / max(1, c.owed) }

// The kinds of requests of the sites' sheets.
func short() *simClass {
	return &simClass{
		name: "short", prompt: 5000, spread: 0.9, maxPrompt: 23_800, output: 1300, aim: 300 * time.Millisecond,
		pause: 250 * time.Millisecond, limit: 10 * time.Second, worth: 1.3,
	}
}

func medium() *simClass {
	return &simClass{
		name: "medium", prompt: 45_000, spread: 0.5, maxPrompt: 110_000, output: 780, aim: 1500 * time.Millisecond,
		pause: 600 * time.Millisecond, limit: 10 * time.Second, worth: 3.9,
	}
}

func long() *simClass {
	return &simClass{
		name: "long", prompt: 182_000, spread: 0.55, maxPrompt: 900_000, output: 650, aim: 3 * time.Second,
		pause: time.Second, limit: 15 * time.Second, worth: 24,
	}
}
