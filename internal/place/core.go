package place

import (
	"cmp"
	"slices"
	"time"
)

// Core places the requests of one pool. Start it with a Fleet event.
type Core struct {
	// Alone says that this core sees only a part of the pool's requests, so that
	// it neither queues nor refuses.
	Alone bool

	model   model
	engines []*engine
	byID    map[string]*engine
	jobs    map[string]*job
	queue   []*job
	demand  demand
	worth   worth
	// refused counts refusals, to spread those who come back.
	refused int
}

// Step takes in one event and returns what follows from it.
func (c *Core) Step(now time.Time, e Event) []Decision {
	if c.byID == nil {
		c.byID = make(map[string]*engine)
		c.jobs = make(map[string]*job)
	}
	switch e := e.(type) {
	case Arrive:
		return c.arrive(now, e.Ask)
	case Withdraw:
		c.withdraw(now, e.ID)
	case Begin:
		c.begin(now, e)
	case End:
		c.end(now, e)
	case Adopt:
		c.adopt(now, e.Holding)
	case Fleet:
		c.fleet(now, e)
	case Heard:
		c.heard(now, e.Target)
	case Audit:
		c.audit(now, e)
	case Tick:
		c.tick(now)
		return c.schedule(now)
	}
	return nil
}

// Waiting returns the number of requests without a grant.
func (c *Core) Waiting() int { return len(c.queue) }

// Granted returns the number of grants in use.
func (c *Core) Granted() int { return len(c.jobs) - len(c.queue) }

func (c *Core) arrive(now time.Time, a Ask) []Decision {
	if c.jobs[a.ID] != nil {
		return nil
	}
	j := &job{ask: a, arrived: now, due: now.Add(a.Aim), value: c.worth.of(a)}
	j.spoilt = a.Aim <= c.least(j, maxParts)
	c.demand.arrive(now, j, c.model.read(a.Prompt), c.work(j))
	c.jobs[a.ID] = j
	if d := c.try(now, j); d != nil {
		return []Decision{d}
	}
	if len(c.queue) >= maxWaiting && !a.Resumed {
		return []Decision{c.refuse(j, "too many requests wait", c.comeBack(a.Left))}
	}
	c.enqueue(j)
	return nil
}

// maxWaiting bounds the requests that wait: more could not be served within their
// callers' patience, and a tick looks at all of them.
const maxWaiting = 2000

// maxLooks bounds the waiting requests that one tick looks at.
const maxLooks = 64

// enqueue keeps the queue in the order of what is left until the due time.
func (c *Core) enqueue(j *job) {
	i, _ := slices.BinarySearchFunc(c.queue, j, before)
	c.queue = slices.Insert(c.queue, i, j)
}

func before(a, b *job) int {
	if a.spoilt != b.spoilt {
		if a.spoilt {
			return 1
		}
		return -1
	}
	return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.ask.Rank, b.ask.Rank), cmp.Compare(a.ask.ID, b.ask.ID))
}

// schedule grants what can be granted now. A request that waits for one kind of
// engine doesn't block another kind, so all are looked at, up to maxLooks; what
// stands behind them has no prospect now.
func (c *Core) schedule(now time.Time) []Decision {
	var out []Decision
	kept := c.queue[:0]
	for i, j := range c.queue {
		if i >= maxLooks {
			kept = append(kept, c.queue[i:]...)
			break
		}
		if d := c.try(now, j); d != nil {
			out = append(out, d)
			continue
		}
		kept = append(kept, j)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	return out
}

func (c *Core) withdraw(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if j.lead != nil {
		c.release(now, j)
		return
	}
	delete(c.jobs, id)
	c.queue = slices.DeleteFunc(c.queue, func(o *job) bool { return o == j })
}

// begin takes in that an answer has started.
func (c *Core) begin(now time.Time, b Begin) {
	j := c.jobs[b.ID]
	if j == nil || j.lead == nil || j.begun {
		return
	}
	j.begun = true
	j.spoilt = j.spoilt || now.After(j.due)
	j.lead.Worked()
	// An answer is a sign of life, also while announcements don't come.
	j.lead.heard = now
	if len(j.helpers) == 0 {
		j.lead.observe(now, j.first.Sub(j.granted), b.After)
	}
	c.wasRead(now, j)
	c.sync(now, j.lead)
}

// wasRead takes in that a prompt has been read, whatever the shadows say.
func (c *Core) wasRead(now time.Time, j *job) {
	c.advance(now, j.lead)
	if j.read {
		return
	}
	j.read, j.parts = true, 0
	for _, e := range j.engines() {
		e.forget(j)
	}
	j.lead.live++
	j.lead.changed()
}

func (c *Core) end(now time.Time, e End) {
	j := c.jobs[e.ID]
	if j == nil {
		return
	}
	if t := c.byID[e.Fault]; t != nil {
		t.failed(now, e.Hard)
	} else if j.begun {
		j.lead.heard = now
		c.sync(now, j.lead)
	}
	c.withdraw(now, e.ID)
}

// reserve takes what a grant needs of its engines.
func (c *Core) reserve(now time.Time, j *job, p plan) {
	j.lead, j.helpers, j.memory, j.part = p.lead, p.helpers, p.memory, p.part
	j.granted, j.first = now, now.Add(p.first)
	p.lead.held += j.kept()
	p.lead.writers++
	p.lead.context += j.share()
	if !j.isLong() {
		p.lead.shorts++
	}
	list := j.engines()
	j.parts = len(list)
	tokens := float64(j.ask.Prompt) / float64(len(list))
	for i, e := range list {
		if i > 0 {
			e.helping++
			e.held += j.heldBy(i - 1)
		}
		e.jobs = append(e.jobs, j)
		e.changed()
		c.give(now, e, &part{job: j, tokens: tokens, cost: float64(p.part) / max(1, tokens), apart: len(list) > 1})
	}
}

// release frees what a grant took.
func (c *Core) release(now time.Time, j *job) {
	delete(c.jobs, j.ask.ID)
	j.ended = true
	list := j.engines()
	for i, e := range list {
		c.advance(now, e)
		e.forget(j)
		if i > 0 {
			e.helping--
			e.held -= j.heldBy(i - 1)
		}
		e.jobs = slices.DeleteFunc(e.jobs, func(o *job) bool { return o == j })
		e.changed()
	}
	if j.read {
		j.lead.live--
	}
	j.lead.held -= j.kept()
	j.lead.writers--
	j.lead.context -= j.share()
	if !j.isLong() {
		j.lead.shorts--
	}
}

// adopt takes over a grant that an entry has from another scheduler.
func (c *Core) adopt(now time.Time, h Holding) {
	lead := c.byID[h.Lead]
	if lead == nil || c.jobs[h.Ask.ID] != nil {
		return
	}
	j := &job{
		ask: h.Ask, arrived: now.Add(-h.Age), due: now.Add(h.Ask.Aim - h.Age), value: c.worth.of(h.Ask),
	}
	j.spoilt = !h.Begun && j.due.Before(now)
	p := plan{lead: lead}
	for i, id := range h.Helpers {
		if e := c.byID[id]; e != nil {
			p.helpers = append(p.helpers, e)
			if i < len(h.Memory) {
				p.memory = append(p.memory, h.Memory[i])
			}
		}
	}
	if !h.Begun {
		p.part = max(0, c.model.read(h.Ask.Prompt)/time.Duration(len(p.helpers)+1)-h.Age)
		p.first = p.part
	}
	c.jobs[h.Ask.ID] = j
	c.reserve(now, j, p)
	for _, e := range j.engines() {
		e.blurred = now.Add(blurTime)
	}
	if j.begun = h.Begun; j.begun {
		c.wasRead(now, j)
	}
}

// tick marks what is late, as its delay costs no more, and what can't come in
// time any more, which then waits behind what can.
func (c *Core) tick(now time.Time) {
	for _, j := range c.jobs {
		if !j.begun && now.After(j.due) {
			j.spoilt = true
		}
	}
	for _, j := range c.queue {
		j.spoilt = j.spoilt || j.due.Sub(now) < c.least(j, maxParts)
		if j.spoilt && j.gone.IsZero() {
			j.gone = now
		}
	}
	slices.SortStableFunc(c.queue, before)
}
