package place

import (
	"math"
	"time"
)

// try grants or refuses a request, or returns nil if it is to wait.
func (c *Core) try(now time.Time, j *job) Decision {
	left := j.arrived.Add(j.ask.Left).Sub(now)
	if left < hopeless {
		return c.refuse(j, "its time is nearly over", time.Second)
	}
	if j.spoilt && !j.ask.Resumed && !c.Alone && c.crowded(now) {
		return c.refuse(j, "no engine can answer in time", c.comeBack(left))
	}
	p, ok := c.best(now, j)
	if !ok || !c.Alone && (p.harm+p.own > c.limit(now, j) || !j.ask.Resumed && !c.pays(now, j, &p)) {
		if !c.Alone && !j.ask.Resumed && !j.gone.IsZero() && now.Sub(j.gone) > lateWait {
			return c.refuse(j, "the engines have more urgent work", c.comeBack(left))
		}
		return nil
	}
	c.reserve(now, j, p)
	g := Grant{ID: j.ask.ID, Lead: p.lead.ID, Urgency: j.urgency(), Expect: p.first, Waited: now.Sub(j.arrived)}
	g.Loss = Loss{Own: p.own / j.value, Others: p.harm / j.value}
	for _, h := range p.helpers {
		g.Helpers = append(g.Helpers, h.ID)
	}
	g.Memory = p.memory
	return g
}

// crowded says whether so much of the fleet is in use that an answer that comes
// late would make others late.
func (c *Core) crowded(now time.Time) bool {
	slots, used := 0, 0
	for _, e := range c.engines {
		if c.free(now, e) {
			slots += e.Slots
			used += min(e.writers, e.Slots)
		}
	}
	return float64(used) >= crowdedShare*float64(slots)
}

// pays says whether a request earns what its engines could earn otherwise.
func (c *Core) pays(now time.Time, j *job, p *plan) bool {
	gain := j.value
	if j.spoilt {
		gain *= 1 - lateShare
	}
	return gain-p.own-p.harm >= c.demand.price(now, len(c.engines))*c.work(j).Seconds()
}

// comeBack is when a refused caller may find room: it spreads the callers over
// the time in which the answers that are written now end.
func (c *Core) comeBack(left time.Duration) time.Duration {
	c.refused++
	step := time.Duration(c.refused%comeBackSteps) * comeBackStep
	return min(comeBackLeast+step, left/3)
}

// least is the shortest time in which a request can get its first event when so
// many engines read it.
func (c *Core) least(j *job, parts int) time.Duration {
	if !j.isLong() {
		parts = 1
	}
	parts = max(1, min(parts, len(c.engines)))
	return network + c.model.pass(1, 0) + c.model.read(j.ask.Prompt)/time.Duration(parts)
}

func (c *Core) refuse(j *job, reason string, retry time.Duration) Decision {
	delete(c.jobs, j.ask.ID)
	return Refuse{ID: j.ask.ID, Reason: reason, Retry: retry}
}

// limit is how much may be lost by placing a request now. It rises with the
// wait: what can't come in time in any case takes what harms others least.
func (c *Core) limit(now time.Time, j *job) float64 {
	waited := now.Sub(j.arrived)
	if j.ask.Resumed {
		return j.value
	}
	if j.spoilt {
		return j.value * (1 - lateShare)
	}
	slack := j.due.Sub(j.arrived) - scale(c.least(j, usualParts), leastMargin)
	if slack <= 0 {
		return lateShare * j.value
	}
	u := math.Min(1, float64(waited)/float64(slack))
	return j.value * (patience + (lateShare-patience)*u*u*u)
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
	for _, parts := range [...]int{1, 2, 3, 4, 6, 8, 11, maxParts} {
		part := read / time.Duration(parts)
		if parts > 1 && (part < minPart || parts > len(c.engines)) {
			break
		}
		if c.Alone && parts > aloneParts && found {
			break
		}
		p, ok := c.spread(now, j, parts, part)
		if ok && (!found || p.total() < best.total()) {
			best, found = p, true
		}
	}
	return best, found
}
