package place

import (
	"math"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// decide grants or refuses a request, or returns nil if the request should wait.
func (c *Core) decide(now time.Time, j *job) Decision {
	left := j.arrived.Add(j.request.TimeLeft).Sub(now)
	if left < minTimeLeft {
		return c.refuse(now, j, "its time is nearly over", time.Second)
	}
	if wait, closed := c.closedFor(now, j, left); closed && !j.request.Resumed {
		return c.refuse(now, j, "no engine takes the request", wait)
	}
	if j.late && !j.request.Resumed && !c.Standalone && c.isCrowded(now, j) {
		return c.refuse(now, j, "no engine can answer in time", c.retryAfter(now, j))
	}
	p, ok := c.bestPlan(now, j)
	if !ok || !c.Standalone && (p.othersLoss+p.ownLoss > c.lossLimit(now, j) || !j.request.Resumed && !c.coversPrice(now, j, &p)) {
		if !c.Standalone && !j.request.Resumed && !j.lateSince.IsZero() && now.Sub(j.lateSince) > maxLateWait {
			return c.refuse(now, j, "the engines have more urgent work", c.retryAfter(now, j))
		}
		return nil
	}
	c.reserve(now, j, p)
	c.takeTurn(now, p.lead)
	if c.sharesFairly() {
		c.admission.grant(now, j)
	}
	g := Grant{ID: j.request.ID, Lead: p.lead.ID, Urgency: j.urgency(), PredictedTTFT: p.ttft, Waited: now.Sub(j.arrived)}
	g.Loss = Loss{Own: p.ownLoss / j.value, Others: p.othersLoss / j.value}
	for _, h := range p.helpers {
		g.Helpers = append(g.Helpers, h.ID)
	}
	g.Memory = p.memory
	return g
}

// closedFor reports whether every ready engine is closed to a request, or by its limit for longer
// than the time left, so that it can't be served however long it waits, and how long it takes
// until the first of them opens again.
func (c *Core) closedFor(now time.Time, j *job, timeLeft time.Duration) (wait time.Duration, closed bool) {
	for _, e := range c.engines {
		if e.State != site.Ready || !c.allows(e, j) {
			continue
		}
		left := c.limitWait(now, e)
		if !e.isClosed(now, j) && left < timeLeft {
			return 0, false
		}
		left = max(left, e.pausedUntil[j.request.Instance].Sub(now))
		if left <= 0 {
			// It failed this request, and may serve the next one.
			left = closedRetryAfter
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	if wait == 0 {
		wait = closedRetryAfter
	}
	return wait, true
}

// isCrowded reports whether so many slots are in use that a late answer would make others
// late. An engine that accepts no request now because of its limit, or that is in a region to which
// the request is not bound, has none to offer; without a request all regions count.
func (c *Core) isCrowded(now time.Time, j *job) bool {
	slots, used := 0, 0
	for _, e := range c.engines {
		if c.available(now, e) && (j == nil || c.allows(e, j)) && c.limitWait(now, e) == 0 {
			limit := e.slotLimit(now)
			slots += limit
			used += min(e.answers, limit)
		}
	}
	return float64(used) >= crowdedLoad*float64(slots)
}

// sharesFairly reports whether the core shares the engines fairly, for which it must see all requests.
func (c *Core) sharesFairly() bool { return c.Fair && !c.Standalone }

// isContended reports whether the pool is crowded and more is wanted than it can do.
func (c *Core) isContended(now time.Time) bool {
	return c.sharesFairly() && c.isCrowded(now, nil) && c.admission.excess(now, c.availableEngines(now)) > 1
}

// availableEngines returns the number of engines that take work.
func (c *Core) availableEngines(now time.Time) float64 {
	n := 0.0
	for _, e := range c.engines {
		if c.available(now, e) {
			n++
		}
	}
	return n
}

// coversPrice reports whether what a request gains covers the price of its engine time. While all engines are
// idle that time costs nothing, as it would be lost.
func (c *Core) coversPrice(now time.Time, j *job, p *plan) bool {
	if c.isIdle(now) {
		return true
	}
	gain := j.value
	if j.late {
		gain *= 1 - latePenalty
	}
	return gain-p.ownLoss-p.othersLoss >= c.demand.price(now, len(c.engines), j.isLong())*c.engineTime(j).Seconds()
}

// isIdle reports whether no available engine has a request.
func (c *Core) isIdle(now time.Time) bool {
	return !slices.ContainsFunc(c.engines, func(e *engine) bool { return c.available(now, e) && len(e.jobs) > 0 })
}

// retryAfter returns how long a refused caller should wait before it tries again. It spreads
// the retries over the time in which the answers being decoded now end, and further if more is
// wanted than the engines can do: what comes back too soon is refused again.
func (c *Core) retryAfter(now time.Time, j *job) time.Duration {
	c.refusals++
	left := j.arrived.Add(j.request.TimeLeft).Sub(now)
	excess := c.admission.excess(now, c.availableEngines(now)) - 1
	if excess <= 0 || j.request.CallerLeft <= 0 {
		step := time.Duration(c.refusals%retryAfterSteps) * retryAfterStep
		return min(minRetryAfter+step, left/3)
	}
	_, part := math.Modf(float64(c.refusals) * goldenRatio)
	// Without engines the excess is beyond all bounds.
	spread := min(maxRetrySpread, scale(excessRetrySpread, min(excess, 1)))
	// Callers wait for a third of the time that they have left.
	most := j.arrived.Add(j.request.CallerLeft).Sub(now) / 3
	return min(minRetryAfter, most) + scale(max(0, min(spread, most-minRetryAfter)), part)
}

// minTTFT returns the shortest possible time to the first event when that many engines
// prefill the prompt. Short prompts are prefilled by one engine.
func (c *Core) minTTFT(j *job, parts int) time.Duration {
	if !j.isLong() {
		parts = 1
	}
	parts = max(1, min(parts, len(c.engines)))
	return networkDelay + c.model.passTime(1, 0) + c.model.prefillTime(j.request.Prompt)/time.Duration(parts)
}

// refuse drops a request and returns the refusal.
func (c *Core) refuse(now time.Time, j *job, reason string, retry time.Duration) Decision {
	delete(c.jobs, j.request.ID)
	return Refuse{
		ID: j.request.ID, Reason: reason, RetryAfter: retry, Request: j.request,
		Work: c.engineTime(j), Left: j.arrived.Add(j.request.TimeLeft).Sub(now),
	}
}

// lossLimit returns how much value a placement may cost now. For a request that can be on
// time the limit rises with the wait. A late request may cost up to the value it has left,
// so it takes the placement that costs others least.
func (c *Core) lossLimit(now time.Time, j *job) float64 {
	waited := now.Sub(j.arrived)
	if j.request.Resumed {
		return j.value
	}
	if j.late {
		return j.value * (1 - latePenalty)
	}
	slack := j.due.Sub(j.arrived) - scale(c.minTTFT(j, typicalParts), ttftMargin)
	if slack <= 0 {
		return latePenalty * j.value
	}
	u := math.Min(1, float64(waited)/float64(slack))
	return j.value * (initialLossLimit + (latePenalty-initialLossLimit)*u*u*u)
}

// urgency returns the priority of a request in the engine, from 0, the first, to 9.
func (j *job) urgency() int {
	if j.isLong() {
		return longUrgency
	}
	return shortUrgency
}

// bestPlan returns the plan with the lowest cost, or false if none is possible.
func (c *Core) bestPlan(now time.Time, j *job) (plan, bool) {
	prefill := c.model.prefillTime(j.request.Prompt)
	var best plan
	found := false
	for _, parts := range [...]int{1, 2, 3, 4, 6, 8, 11, maxParts} {
		partTime := prefill / time.Duration(parts)
		if parts > 1 && (partTime < minPartTime || parts > len(c.engines)) {
			break
		}
		if c.Standalone && parts > standaloneParts && found {
			break
		}
		p, ok := c.planParts(now, j, parts, partTime)
		if ok && (!found || p.cost() < best.cost()) {
			best, found = p, true
		}
	}
	return best, found
}
