package place

import (
	"slices"
	"time"
)

// shadow follows an engine through its passes: what it reads and writes in the
// one in progress, and what waits for the next.
type shadow struct {
	// reads wait for a pass, reading are read in the one in progress.
	reads, reading []*part
	// pending and tokens are the time and the tokens of reads.
	pending time.Duration
	tokens  float64
	// live is how many answers are written in passes.
	live int
	// began and ends are the times of the pass in progress; ends is zero when the
	// engine is idle.
	began, ends time.Time
}

// part is what one engine reads of a prompt.
type part struct {
	job    *job
	tokens float64
	// cost is the time of a token in nanoseconds.
	cost float64
	// apart says that other engines read parts of the same prompt.
	apart bool
	// finish is when the pass that reads it is predicted to end.
	finish time.Time
}

func (p *part) time() time.Duration { return time.Duration(p.tokens * p.cost) }

// give adds a part to an engine's work. Engines read parts of prompts that are
// read apart ahead of all else, the newest first.
func (c *Core) give(now time.Time, e *engine, p *part) {
	c.advance(now, e)
	p.put(now.Add(c.first(now, e, p.tokens, p.time())))
	for _, o := range e.reads {
		// The pass that reads it reads the new part too, or comes later.
		o.put(o.finish.Add(scale(p.time(), e.speed(now))))
	}
	if p.apart {
		e.reads = slices.Insert(e.reads, 0, p)
	} else {
		e.reads = append(e.reads, p)
	}
	e.pending += p.time()
	e.tokens += p.tokens
	c.begins(now, e)
}

// put sets when a part is read, and with the last one the first event comes.
func (p *part) put(at time.Time) {
	p.finish = at
	if at.After(p.job.first) {
		p.job.first = at
	}
}

// advance lets the passes end that have ended by now.
func (c *Core) advance(now time.Time, e *engine) {
	for !e.ends.IsZero() && !e.ends.After(now) {
		c.endPass(e.ends, e)
	}
}

// endPass ends the pass in progress and begins the next.
func (c *Core) endPass(at time.Time, e *engine) {
	e.ends = time.Time{}
	done := e.reading
	e.reading = nil
	for _, p := range done {
		c.partRead(at, p)
	}
	c.begins(at, e)
}

// partRead notes that a part is read; with the last one the answer is written.
func (c *Core) partRead(at time.Time, p *part) {
	j := p.job
	if j.read || j.ended {
		return
	}
	if j.parts--; j.parts > 0 {
		return
	}
	j.read = true
	j.lead.live++
	j.lead.changed()
	c.begins(at, j.lead)
}

// begins starts a pass of an idle engine that has work.
func (c *Core) begins(at time.Time, e *engine) {
	if !e.ends.IsZero() || e.live <= 0 && len(e.reads) == 0 {
		return
	}
	steps := 1
	if e.live > 0 {
		steps = c.model.Stride
	}
	took := time.Duration(steps) * c.model.step(e.live, e.context)
	room := float64(steps * c.model.Chunk)
	for room > 0 && len(e.reads) > 0 {
		p := e.reads[0]
		n := min(room, p.tokens)
		room -= n
		took += time.Duration(n * p.cost)
		e.pending -= time.Duration(n * p.cost)
		e.tokens -= n
		if p.tokens -= n; p.tokens > 0 {
			break
		}
		e.reads = e.reads[1:]
		e.reading = append(e.reading, p)
	}
	if len(e.reads) == 0 {
		e.pending, e.tokens = 0, 0
	}
	e.began, e.ends = at, at.Add(scale(took, e.speed(at)))
}

// sync takes in that a pass of the engine has really ended at a time.
func (c *Core) sync(at time.Time, e *engine) {
	if e.ends.IsZero() {
		return
	}
	length := e.ends.Sub(e.began)
	if at.Sub(e.began) < length/2 {
		// The pass that ended is the one before, by the shadow.
		e.began, e.ends = at, at.Add(length)
		return
	}
	c.endPass(at, e)
}

// forget takes the parts of a job out of an engine's work.
func (e *engine) forget(j *job) {
	e.reads = slices.DeleteFunc(e.reads, func(p *part) bool {
		if p.job != j {
			return false
		}
		e.pending -= p.time()
		e.tokens -= p.tokens
		return true
	})
	if len(e.reads) == 0 {
		e.pending, e.tokens = 0, 0
	}
}

// waits says whether a part of a job waits to be read.
func (e *engine) waits(j *job) bool {
	return slices.ContainsFunc(e.reads, func(p *part) bool { return p.job == j })
}

// rest is what is left of the pass in progress.
func (e *engine) rest(now time.Time) time.Duration {
	if e.ends.IsZero() {
		return 0
	}
	return max(0, e.ends.Sub(now))
}

// backlog is the time until a prompt that comes now would begin to be read, as
// far as other prompts hold it up.
func (e *engine) backlog(now time.Time) time.Duration {
	if len(e.reading) == 0 {
		return e.pending
	}
	return e.pending + e.rest(now)
}

// next is the length of the next pass with a further part, and the number of
// passes until that part is read.
func (c *Core) next(e *engine, tokens float64, part time.Duration) (length time.Duration, passes int) {
	if e.writers == 0 {
		return c.model.step(0, 0) + e.pending + part, 1
	}
	base := c.model.pass(e.writers, e.context)
	all, whole := e.tokens+tokens, e.pending+part
	room := c.model.room()
	if all <= room {
		return base + whole, 1
	}
	return base + scale(whole, room/all), int(all/room) + 1
}
