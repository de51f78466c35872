package place

import (
	"math"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// firstOut is how long a target that failed hard gets no work; it doubles
	// with each further failure, up to maxOut.
	firstOut = 500 * time.Millisecond
	maxOut   = 8 * time.Second
	// softPart is the part of that time for a target that only refused.
	softPart = 4
	// maxSilence is how long a target may say nothing of itself before it gets no
	// more work: three and a half of the usual intervals of 1.2 s.
	maxSilence = 4200 * time.Millisecond
	// paceShare is the weight of a new observation in a target's pace.
	paceShare = 0.6
	// paceFade is how fast a learnt pace is forgotten.
	paceFade = 10 * time.Second
	// blurTime is how long work that another scheduler has granted, or an entry by its own
	// view, makes predictions unsure: prompts are read within seconds.
	blurTime = 3 * time.Second
	// paceNoise is the delay that says nothing of an engine's pace: a pass or two.
	paceNoise = 100 * time.Millisecond
	// maxPace bounds what a target's pace is learnt to be.
	maxPace = 12
)

// engine is one target of the pool, the work that it has, and a shadow of what
// it does with it by the declared model.
type engine struct {
	site.Target
	// jobs are those that it leads or helps, in the order of their grants: sums over
	// them must not differ from run to run.
	jobs []*job
	// held is the memory that its answers take, in tokens.
	held int
	// writers is how many answers it writes, or will write, and shorts how many of
	// them are short.
	writers, shorts int
	// strange is the memory in use that no grant accounts for, as an audit found, and
	// strangers the answers.
	strange, strangers int
	// context is the sum of their contexts in tokens.
	context int
	// helping is how many prompts of other engines it reads parts of.
	helping int

	shadow

	// pause is the shortest pause that one of its answers may have, if known.
	pause time.Duration
	known bool

	// pace is how much slower than declared it was when that was last seen.
	pace float64
	seen time.Time

	// Backoff leaves it out after failures.
	Backoff
	heard time.Time
	// blurred is until when it may do work that this core knows little of, so that what
	// takes longer than predicted says nothing of its pace.
	blurred time.Time
}

// free says whether an engine takes work. A core that stands alone hears nothing
// of targets, so their silence tells it nothing.
func (c *Core) free(now time.Time, e *engine) bool {
	return e.State == site.Ready && !e.IsOut(now) && (c.Alone || now.Sub(e.heard) < maxSilence)
}

// used is the memory that is not free, in tokens.
func (e *engine) used() int { return e.held + e.strange }

// hasSlot says whether one more answer can be written.
func (e *engine) hasSlot() bool { return e.writers+e.strangers < e.Slots }

// changed says that the work of the engine is not what it was.
func (e *engine) changed() { e.known = false }

// shortest returns the shortest pause that one of its answers, begun or not, may
// have.
func (e *engine) shortest() time.Duration {
	if e.known {
		return e.pause
	}
	e.pause, e.known = math.MaxInt64, true
	for _, j := range e.jobs {
		if j.lead == e {
			e.pause = min(e.pause, j.ask.Pause)
		}
	}
	return e.pause
}

// failed takes an engine out for a while.
func (e *engine) failed(now time.Time, hard bool) {
	first := firstOut
	if !hard {
		first /= softPart
	}
	e.Fail(now, first, maxOut)
}

// observe learns the pace from a predicted and an observed time.
func (e *engine) observe(now time.Time, expect, took time.Duration) {
	if expect <= 0 || took <= 0 || now.Before(e.blurred) {
		return
	}
	was := e.speed(now)
	ratio := was * float64(took) / float64(expect)
	if took-expect < paceNoise {
		ratio = min(ratio, 1)
	}
	e.pace = min(maxPace, max(1, was*(1-paceShare)+ratio*paceShare))
	e.seen = now
}

// speed is the pace that is reckoned with: what was learnt fades, so that an
// engine that was slow gets work again.
func (e *engine) speed(now time.Time) float64 {
	if e.pace <= 1 {
		return 1
	}
	age := now.Sub(e.seen)
	return 1 + (e.pace-1)*math.Exp(-float64(age)/float64(paceFade))
}

// model is what the operator declared of the engines, in use.
type model struct{ site.Engine }

// read is the time to read a prompt on one engine.
func (m model) read(prompt int) time.Duration {
	n := float64(prompt)
	plain := n / m.Rate * float64(time.Second)
	const million = 1e6
	return time.Duration(plain + n*n/2/million*float64(m.Pairs))
}

// step is the time of one token step of so many answers.
func (m model) step(writers, context int) time.Duration {
	return m.Step + time.Duration(writers)*m.PerAnswer + time.Duration(context/1000)*m.PerContext
}

// pass is the time of a pass in which answers are written and nothing is read.
func (m model) pass(writers, context int) time.Duration {
	return time.Duration(m.Stride) * m.step(writers, context)
}

// room is how many prompt tokens a pass with answers reads at most.
func (m model) room() float64 { return float64(m.Stride * m.Chunk) }

// write is the time to write an answer of some tokens.
func (m model) write(output, writers, context int) time.Duration {
	return m.pass(writers, context) * time.Duration(max(1, output/m.Stride))
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
