package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lateShare is the part of an answer's value that is lost when it is late.
	lateShare = 0.75
	// onTime and tooLate are the parts of a time limit between which the risk of
	// missing it rises from none to all.
	onTime  = 0.8
	tooLate = 1.05
	// network is the time that a request and its first event are on their way.
	network = 4 * time.Millisecond
	// passWait is the part of a pass that a new prompt waits for on average.
	passWait = 0.6
	// longAim is the wanted time to the first event from which a prompt counts as
	// long: it may wait for engines that write no short answers.
	longAim = time.Second
	// maxParts is the number of engines that read one prompt at most.
	maxParts = 16
	// minPart is the shortest part of a prompt worth a further engine.
	minPart = 25 * time.Millisecond
	// openCost is what it costs to write a short answer on an engine that is kept
	// free for long prompts, in parts of the answer's value.
	openCost = 0.3
	// besideCost is what it costs to read beside short answers, which delays the
	// next short prompt there, in parts of a short prompt's value.
	besideCost = 0.5
	// partCost is the cost of each further engine, in parts of the value.
	partCost = 0.002
	// patience is the part of the value that may be lost at once, before waiting.
	patience = 0.03
	// hopeless is what is left of a caller's time when its request is refused.
	hopeless = 50 * time.Millisecond
)

// plan is a way to place a request.
type plan struct {
	lead    *engine
	helpers []*engine
	part    time.Duration
	// first is the predicted time to the first event.
	first time.Duration
	// own is what the request itself loses, harm what others lose, in tokens.
	own, harm float64
}

func (j *job) isLong() bool { return j.ask.Whole >= longAim }

// risk is how likely a time is to be over its limit.
func risk(t, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	r := float64(t) / float64(limit)
	return math.Min(1, math.Max(0, (r-onTime)/(tooLate-onTime)))
}

// try grants or refuses a request, or returns nil if it is to wait.
func (c *Core) try(now time.Time, j *job) Decision {
	left := j.arrived.Add(j.ask.Left).Sub(now)
	if left < hopeless {
		return c.refuse(j, "its time is nearly over", time.Second)
	}
	p, ok := c.best(now, j)
	if !ok {
		return nil
	}
	if !c.Alone && p.harm+p.own > c.limit(now, j) {
		return nil
	}
	c.reserve(now, j, p)
	g := Grant{ID: j.ask.ID, Lead: p.lead.ID, Urgency: j.urgency(), Expect: p.first, Waited: now.Sub(j.arrived)}
	for _, h := range p.helpers {
		g.Helpers = append(g.Helpers, h.ID)
	}
	return g
}

func (c *Core) refuse(j *job, reason string, retry time.Duration) Decision {
	delete(c.jobs, j.ask.ID)
	return Refuse{ID: j.ask.ID, Reason: reason, Retry: retry}
}

// limit is how much may be lost by placing a request now. It rises with the
// wait: what can't come in time in any case takes what harms others least.
func (c *Core) limit(now time.Time, j *job) float64 {
	waited := now.Sub(j.arrived)
	if j.spoilt {
		rest := 1 - lateShare
		return j.value * rest * (0.2 + waited.Seconds())
	}
	slack := j.ask.Aim/2 - c.model.read(j.ask.Prompt)/4
	if slack <= 0 {
		return j.value
	}
	u := float64(waited) / float64(slack)
	return j.value * (patience + u*u)
}

func (j *job) urgency() int {
	if j.isLong() {
		return 6
	}
	return 3
}

// best returns the plan with the least loss.
func (c *Core) best(now time.Time, j *job) (plan, bool) {
	read := c.model.read(j.ask.Prompt)
	var best plan
	found := false
	for parts := 1; parts <= maxParts; parts++ {
		part := read / time.Duration(parts)
		if parts > 1 && (part < minPart || parts > len(c.engines)) {
			break
		}
		p, ok := c.spread(now, j, parts, part)
		if ok && (!found || p.own+p.harm < best.own+best.harm) {
			best, found = p, true
		}
	}
	return best, found
}

// option is an engine that could read a part.
type option struct {
	e     *engine
	harm  float64
	first time.Duration
	lead  bool
}

// spread returns the best plan with a number of parts.
func (c *Core) spread(now time.Time, j *job, parts int, part time.Duration) (plan, bool) {
	var opts []option
	for _, e := range c.engines {
		if !e.free(now) || slices.Contains(j.ask.Avoid, e.ID) {
			continue
		}
		canLead := e.writers < e.Slots && e.held+j.size() <= c.model.Memory
		if !canLead && (parts == 1 || e.helping >= e.Slots) {
			continue
		}
		opts = append(opts, option{e: e, harm: c.harm(now, j, e, scale(part, e.pace)), first: c.first(now, e, part), lead: canLead})
	}
	if len(opts) < parts {
		return plan{}, false
	}
	slices.SortFunc(opts, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.score(j), b.score(j)), cmp.Compare(a.e.ID, b.e.ID))
	})
	lead := slices.IndexFunc(opts, func(o option) bool { return o.lead })
	if lead < 0 {
		return plan{}, false
	}
	p := plan{lead: opts[lead].e, part: part, first: opts[lead].first, harm: opts[lead].harm + c.writing(now, j, opts[lead].e)}
	for i, o := range opts {
		if len(p.helpers) == parts-1 {
			break
		}
		if i == lead || o.e.helping >= o.e.Slots {
			continue
		}
		p.helpers = append(p.helpers, o.e)
		p.harm += o.harm
		p.first = max(p.first, o.first)
	}
	if len(p.helpers) < parts-1 {
		return plan{}, false
	}
	p.own = partCost * float64(parts-1) * j.value
	if !j.spoilt {
		p.own += lateShare * j.value * risk(p.first, j.due.Sub(now))
	}
	return p, true
}

// score orders engines for a part: by the harm done there and by the request's
// own delay.
func (o *option) score(j *job) float64 {
	own := 0.0
	if !j.spoilt {
		own = lateShare * j.value * risk(o.first, j.ask.Aim)
	}
	return o.harm + own + 1e-3*o.first.Seconds()*j.value
}

// first predicts when an engine has read a part and written the first event.
func (c *Core) first(now time.Time, e *engine, part time.Duration) time.Duration {
	pass := c.model.pass(e.writers+1, e.context)
	wait := e.backlog(now)
	if e.writers > 0 {
		wait += scale(pass, passWait)
	}
	return network + wait + scale(part+pass, e.pace)
}

// harm is what the work of an engine loses by a further part of a prompt.
func (c *Core) harm(now time.Time, j *job, e *engine, part time.Duration) float64 {
	pass := scale(c.model.pass(e.writers, e.context), e.pace)
	old := pass + e.backlog(now)
	next := old + part
	sum := 0.0
	short := 0
	for _, o := range e.jobs {
		if o.begun && o.lead == e {
			if !o.isLong() {
				short++
			}
			if !o.spoilt && o.ends.After(now) {
				sum += lateShare * o.value * (risk(next, o.ask.Pause) - risk(old, o.ask.Pause))
			}
			continue
		}
		if o.begun || o.spoilt {
			continue
		}
		limit := o.due.Sub(now)
		t := o.first.Sub(now)
		sum += lateShare * o.value * (risk(t+part, limit) - risk(t, limit))
	}
	if j.isLong() && short > 0 {
		sum += besideCost * j.value * part.Seconds() * float64(short) / float64(e.Slots)
	}
	return sum
}

// writing is what it costs to write an answer on an engine.
func (c *Core) writing(now time.Time, j *job, e *engine) float64 {
	if j.isLong() || e.writers > 0 {
		return 0
	}
	free := 0
	for _, o := range c.engines {
		if o.writers == 0 && o.free(now) {
			free++
		}
	}
	if float64(free) > c.demand.engines(now)+1 {
		return openCost / 10 * j.value
	}
	return openCost * j.value
}
