package place

import (
	"math"
	"slices"
	"time"
)

func (j *job) isLong() bool { return j.ask.Whole >= longAim }

// risk is how likely a time is to be over its limit.
func risk(t, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	r := float64(t) / float64(limit)
	return math.Min(1, math.Max(0, (r-onTime)/(tooLate-onTime)))
}

// late is what a request loses by a first event after some time: by being late,
// and by its caller giving up.
func (c *Core) late(now time.Time, j *job, first time.Duration) float64 {
	sum := (1 - lateShare) * j.value * risk(first, j.arrived.Add(j.ask.Left).Sub(now))
	if !j.spoilt {
		sum += lateShare * j.value * risk(first, j.due.Sub(now))
	}
	return sum
}

// tardy is what a request loses by a delay as such.
func (j *job) tardy(by time.Duration) float64 { return tardyCost * by.Seconds() * j.value }

// first predicts when an engine has read a part and written the first event: the
// pass in progress ends, and the event comes at the end of the pass that reads
// the part.
func (c *Core) first(now time.Time, e *engine, tokens float64, part time.Duration) time.Duration {
	c.advance(now, e)
	length, passes := c.next(e, tokens, part)
	return network + e.rest(now) + scale(time.Duration(passes)*length, e.speed(now))
}

// harm is what the work of an engine loses by a further part of a prompt.
func (c *Core) harm(now time.Time, e *engine, tokens float64, part time.Duration) float64 {
	c.advance(now, e)
	old, _ := c.next(e, 0, 0)
	next, _ := c.next(e, tokens, part)
	old, next = scale(old, e.speed(now)), scale(next, e.speed(now))
	sum := 0.0
	if next >= scale(e.shortest(), onTime) {
		for _, o := range e.jobs {
			// What is read, or in the pass in progress, is written in the next one.
			if o.lead == e && (o.begun || !e.waits(o)) {
				sum += o.pausing(next) - o.pausing(old)
			}
		}
	}
	for _, p := range e.reads {
		if o := p.job; !o.begun {
			t := o.first.Sub(now)
			then := max(t, p.finish.Sub(now)+next-old)
			sum += c.late(now, o, then) - c.late(now, o, t) + o.tardy(then-t)
		}
	}
	return sum
}

// pausing is what an answer that is written loses by a pause: by being late, and
// by its caller giving up.
func (j *job) pausing(pause time.Duration) float64 {
	sum := (1 - lateShare) * j.value * risk(pause, j.ask.Gap)
	if !j.spoilt {
		sum += lateShare * j.value * risk(pause, j.ask.Pause)
	}
	return sum
}

// work is the time of engines that a request takes.
func (c *Core) work(j *job) time.Duration {
	slots := max(1, c.model.Slots)
	share := float64(slots) * fill
	return c.model.read(j.ask.Prompt) + scale(c.model.write(j.ask.Output, slots, 0), 1/share)
}

// occupy is what it costs to bind engines for long, while demand may flip. Where
// nobody else wants them it costs nothing.
func (c *Core) occupy(now time.Time, j *job, p *plan) float64 {
	over := p.part - bindFree
	if over <= 0 {
		return 0
	}
	others := c.demand.others(now, j, c.work(j)) / (calm * float64(len(c.engines)))
	return min(1, others) * bindCost * c.demand.density(now) * over.Seconds() * float64(len(p.helpers)+1)
}

// block is what short prompts to come lose while engines read the parts of a long
// one: those that find no engine free to read them come late.
func (c *Core) block(now time.Time, p *plan) float64 {
	busy := p.part - blockFree
	if busy <= 0 {
		return 0
	}
	used := 0
	open := 0
	for _, e := range c.engines {
		used += e.shorts
		if c.free(now, e) && e.backlog(now) < blockFree && e != p.lead && !slices.Contains(p.helpers, e) {
			open++
		}
	}
	need := float64(used)/(fill*float64(c.model.Slots)) + 1
	lack := math.Max(0, need-float64(open)) / need
	return lateShare * lack * c.demand.shorts(now) * busy.Seconds()
}

// writing is what it costs to write an answer on an engine, where idle engines are
// scarce or not.
func (c *Core) writing(j *job, e *engine, scarce bool) float64 {
	if c.Alone {
		return 0
	}
	v := j.value
	if j.isLong() {
		// A slot is a slot: it costs no more because the answer is worth more.
		v = min(v, c.worth.least())
	}
	cost := packCost * float64(e.Slots-e.writers) / float64(e.Slots)
	if e.writers == 0 && scarce {
		cost += openCost
	}
	return cost * v
}

// isScarce says whether long prompts want about as many engines as write nothing.
func (c *Core) isScarce(now time.Time) bool {
	return c.idle(now) <= c.demand.engines(now)+1
}

// idle is how many engines write nothing.
func (c *Core) idle(now time.Time) float64 {
	n := 0.0
	for _, o := range c.engines {
		if o.writers == 0 && c.free(now, o) {
			n++
		}
	}
	return n
}
