package place

import (
	"math"
	"slices"
	"time"
)

// IsLong reports whether the prompt counts as long, by the target for its first event.
func (r *Request) IsLong() bool { return r.TTFTTarget >= longTarget }

func (j *job) isLong() bool { return j.request.IsLong() }

// missRisk returns the risk, from 0 to 1, that a predicted time t exceeds its limit.
func missRisk(t, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	r := float64(t) / float64(limit)
	return math.Min(1, math.Max(0, (r-riskStart)/(riskEnd-riskStart)))
}

// lateLoss returns the value that a request loses if its first event comes after ttft: by
// missing its target, and by its caller giving up.
func (c *Core) lateLoss(now time.Time, j *job, ttft time.Duration) float64 {
	sum := (1 - latePenalty) * j.value * missRisk(ttft, j.arrived.Add(j.request.TimeLeft).Sub(now))
	if !j.late {
		sum += latePenalty * j.value * missRisk(ttft, j.due.Sub(now))
	}
	return sum
}

// delayLoss returns the value that a request loses by a delay, whether or not it is late.
func (j *job) delayLoss(by time.Duration) float64 { return delayCost * by.Seconds() * j.value }

// predictTTFT predicts the time until an engine has prefilled a part and sent the first event:
// the pass in progress ends, and the event comes at the end of the pass that finishes the
// part.
func (c *Core) predictTTFT(now time.Time, e *engine, tokens float64, partTime time.Duration) time.Duration {
	c.advance(now, e)
	pass := c.joinPass(now, e, 0)
	length, passes := c.passWith(e, pass.tokens+tokens, pass.prefill+partTime)
	return networkDelay + pass.wait + scale(time.Duration(passes)*length, e.slowdown(now))
}

// othersLoss returns the value that the other requests of an engine lose if it prefills a
// further part. It is the mean over the errors that the predicted end of a pass may have: with
// them, the part is prefilled together with parts of another pass than predicted.
func (c *Core) othersLoss(now time.Time, e *engine, tokens float64, partTime time.Duration) float64 {
	c.advance(now, e)
	if len(e.jobs) == 0 {
		return 0
	}
	loss := c.passLoss(now, e, c.joinPass(now, e, 0), tokens, partTime)
	if len(e.queued)+len(e.inPass) == 0 {
		// All passes are the same.
		return loss
	}
	sum := (1 - 2*shiftWeight) * loss
	for _, shift := range [...]time.Duration{-passShift, passShift} {
		sum += shiftWeight * c.passLoss(now, e, c.joinPass(now, e, shift), tokens, partTime)
	}
	return sum
}

// passLoss returns the value that the other requests of an engine lose if a pass prefills a
// further part.
func (c *Core) passLoss(now time.Time, e *engine, pass joinedPass, tokens float64, partTime time.Duration) float64 {
	oldPass, _ := c.passWith(e, pass.tokens, pass.prefill)
	newPass, _ := c.passWith(e, pass.tokens+tokens, pass.prefill+partTime)
	oldPass, newPass = scale(oldPass, e.slowdown(now)), scale(newPass, e.slowdown(now))
	sum := 0.0
	if newPass >= scale(e.shortestPause(), riskStart) {
		for _, o := range e.jobs {
			if o.lead == e && e.isDecoded(o, pass) {
				sum += o.pauseLoss(newPass) - o.pauseLoss(oldPass)
			}
		}
	}
	for _, p := range e.queued {
		if o := p.job; !o.started {
			t := o.firstEventAt.Sub(now)
			delayed := max(t, p.finish.Sub(now)+newPass-oldPass)
			sum += c.lateLoss(now, o, delayed) - c.lateLoss(now, o, t) + o.delayLoss(delayed-t)
		}
	}
	return sum
}

// isDecoded reports whether a pass decodes the answer of a job: if its prompt is prefilled, or will
// be by the pass before.
func (e *engine) isDecoded(j *job, pass joinedPass) bool {
	return j.started || j.prefilled || !pass.current && !e.hasQueued(j)
}

// pauseLoss returns the value that an answer loses by a pause during decoding: by missing its
// target, and by its caller giving up.
func (j *job) pauseLoss(pause time.Duration) float64 {
	sum := (1 - latePenalty) * j.value * missRisk(pause, j.request.PauseTimeout)
	if !j.late {
		sum += latePenalty * j.value * missRisk(pause, j.request.MaxPause)
	}
	return sum
}

// engineTime returns the engine time that a request takes.
func (c *Core) engineTime(j *job) time.Duration {
	slots := max(1, c.model.Slots)
	usable := float64(slots) * targetFill
	return c.model.prefillTime(j.request.Prompt) + scale(c.model.decodeTime(j.request.Output, slots, 0), 1/usable)
}

// occupancyCost returns the cost of occupying engines for long while demand may change. It
// is zero if no other request needs them.
func (c *Core) occupancyCost(now time.Time, j *job, p *plan) float64 {
	excess := p.partTime - freeOccupancy
	if excess <= 0 {
		return 0
	}
	others := c.demand.loadWithout(now, j, c.engineTime(j)) / (lowLoad * float64(len(c.engines)))
	return min(1, others) * occupancyWeight * c.demand.valueDensity(now) * excess.Seconds() * float64(len(p.helpers)+1)
}

// blockingLoss returns the value that future short prompts lose while engines prefill the
// parts of a long one: those for which no engine is free are late.
func (c *Core) blockingLoss(now time.Time, p *plan) float64 {
	excess := p.partTime - maxShortDelay
	if excess <= 0 {
		return 0
	}
	shortAnswers := 0
	free := 0
	for _, e := range c.engines {
		shortAnswers += e.shortAnswers
		if c.available(now, e) && e.backlog(now) < maxShortDelay && e != p.lead && !slices.Contains(p.helpers, e) {
			free++
		}
	}
	needed := float64(shortAnswers)/(targetFill*float64(c.model.Slots)) + 1
	shortage := math.Max(0, needed-float64(free)) / needed
	return latePenalty * shortage * c.demand.shortValueRate(now) * excess.Seconds()
}

// decodeCost returns the cost of decoding an answer on an engine. It is higher on engines
// with few answers, and higher still on an idle engine while idle ones are scarce. It is
// zero for a standalone core.
func (c *Core) decodeCost(j *job, e *engine, scarce bool) float64 {
	if c.Standalone {
		return 0
	}
	v := j.value
	if j.isLong() {
		// Any answer takes one slot, so a more valuable one costs no more.
		v = min(v, c.values.lowestMean()*j.weight)
	}
	cost := packingCost * float64(e.Slots-e.answers) / float64(e.Slots)
	if e.answers == 0 && scarce {
		cost += idleEngineCost
	}
	return cost * v
}

// idleScarce reports whether long prompts need about as many engines as are idle.
func (c *Core) idleScarce(now time.Time) bool {
	return c.idleEngines(now) <= c.demand.longEngines(now)+1
}

// idleEngines returns the number of available engines that decode no answer.
func (c *Core) idleEngines(now time.Time) float64 {
	n := 0.0
	for _, o := range c.engines {
		if o.answers == 0 && c.available(now, o) {
			n++
		}
	}
	return n
}
