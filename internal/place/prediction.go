package place

import (
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// prediction simulates the passes of an engine by the declared model. A pass is Stride decode
// steps (one step if nothing is decoded) together with the prompt tokens that are prefilled
// in them.
type prediction struct {
	// queued are the parts that wait for a pass, inPass those that the pass in progress
	// finishes.
	queued, inPass []*promptPart
	// queuedTime and queuedTokens are the sums over queued.
	queuedTime   time.Duration
	queuedTokens float64
	// decoding is the number of answers that passes decode.
	decoding int
	// passStart and passEnd bound the pass in progress; passEnd is zero while the engine is
	// idle.
	passStart, passEnd time.Time
}

// promptPart is the part of a prompt that one engine prefills.
type promptPart struct {
	job    *job
	tokens float64
	// perToken is the prefill time of a token, in nanoseconds.
	perToken float64
	// arrives is when the part is at the engine: only passes that begin later prefill it.
	arrives time.Time
	// inPass is how many tokens of it the pass in progress prefills.
	inPass float64
	// split is set if other engines prefill parts of the same prompt.
	split bool
	// finish is when the pass that finishes the part is predicted to end.
	finish time.Time
}

// duration returns the prefill time of what is left of the part.
func (p *promptPart) duration() time.Duration { return time.Duration(p.tokens * p.perToken) }

// addPart queues a part on an engine. Engines prefill parts of split prompts before all other
// prompts, the newest first.
func (c *Core) addPart(now time.Time, e *engine, p *promptPart) {
	c.advance(now, e)
	p.setFinish(now.Add(c.predictTTFT(now, e, p.tokens, p.duration())))
	for _, o := range e.queued {
		// The pass that finishes o also prefills some of the new part, or is delayed by it.
		o.setFinish(o.finish.Add(scale(p.duration(), e.slowdown(now))))
	}
	if p.split {
		e.queued = slices.Insert(e.queued, 0, p)
	} else {
		e.queued = append(e.queued, p)
	}
	e.queuedTime += p.duration()
	e.queuedTokens += p.tokens
	c.startPass(now, e)
}

// setFinish sets when the part is predicted to be prefilled. The first event comes with the
// last part.
func (p *promptPart) setFinish(at time.Time) {
	p.finish = at
	if at.After(p.job.firstEventAt) {
		p.job.firstEventAt = at
	}
}

// advance ends the passes whose predicted end is not after now.
func (c *Core) advance(now time.Time, e *engine) {
	for !e.passEnd.IsZero() && !e.passEnd.After(now) {
		c.endPass(e.passEnd, e)
	}
}

// endPass ends the pass in progress and starts the next.
func (c *Core) endPass(at time.Time, e *engine) {
	e.passEnd = time.Time{}
	done := e.inPass
	e.inPass = nil
	for _, p := range done {
		c.finishPart(at, p)
	}
	c.startPass(at, e)
}

// finishPart marks a part as prefilled. After the last part of a prompt, its answer is
// decoded.
func (c *Core) finishPart(at time.Time, p *promptPart) {
	j := p.job
	if j.prefilled || j.ended {
		return
	}
	if j.pendingParts--; j.pendingParts > 0 {
		return
	}
	j.prefilled = true
	j.lead.decoding++
	j.lead.invalidatePause()
	c.startPass(at, j.lead)
}

// startPass starts a pass if the engine is idle and has work.
func (c *Core) startPass(at time.Time, e *engine) {
	if !e.passEnd.IsZero() || e.decoding <= 0 && len(e.queued) == 0 {
		return
	}
	steps := 1
	if e.decoding > 0 {
		steps = c.model.Stride
	} else {
		at = e.firstArrival(at)
	}
	length := time.Duration(steps) * c.model.stepTime(e.decoding, e.contextTokens)
	capacity := float64(steps * c.model.Chunk)
	kept := e.queued[:0]
	for _, p := range e.queued {
		p.inPass = 0
		if capacity <= 0 || p.arrives.After(at) {
			kept = append(kept, p)
			continue
		}
		n := min(capacity, p.tokens)
		p.inPass = n
		capacity -= n
		length += time.Duration(n * p.perToken)
		e.queuedTime -= time.Duration(n * p.perToken)
		e.queuedTokens -= n
		if p.tokens -= n; p.tokens > 0 {
			kept = append(kept, p)
			continue
		}
		e.inPass = append(e.inPass, p)
	}
	clear(e.queued[len(kept):])
	e.queued = kept
	if len(e.queued) == 0 {
		e.queuedTime, e.queuedTokens = 0, 0
	}
	// Tables of a build that checks less may declare passes that take no time: no end of one would come
	// after the present.
	length = min(max(length, site.MinStep), maxPass)
	e.passStart, e.passEnd = at, at.Add(scale(length, e.slowdown(at)))
}

// maxPass bounds the predicted time of a pass with prefill.
const maxPass = 24 * time.Hour

// firstArrival returns when an engine that decodes nothing can start its next pass, at the earliest
// at the given time.
func (e *engine) firstArrival(at time.Time) time.Time {
	first := e.queued[0].arrives
	for _, p := range e.queued[1:] {
		if p.arrives.Before(first) {
			first = p.arrives
		}
	}
	if first.Before(at) {
		return at
	}
	return first
}

// syncPassEnd corrects the prediction when an event shows that a pass ended at a given time.
func (c *Core) syncPassEnd(at time.Time, e *engine) {
	if e.passEnd.IsZero() {
		return
	}
	length := e.passEnd.Sub(e.passStart)
	if at.Sub(e.passStart) < length/2 {
		// By the prediction this pass has just started, so the one that ended is the one
		// before.
		e.passStart, e.passEnd = at, at.Add(length)
		return
	}
	c.endPass(at, e)
}

// removeParts removes the queued parts of a job.
func (e *engine) removeParts(j *job) {
	e.queued = slices.DeleteFunc(e.queued, func(p *promptPart) bool {
		if p.job != j {
			return false
		}
		e.queuedTime -= p.duration()
		e.queuedTokens -= p.tokens
		return true
	})
	if len(e.queued) == 0 {
		e.queuedTime, e.queuedTokens = 0, 0
	}
}

// hasQueued reports whether a part of a job is queued.
func (e *engine) hasQueued(j *job) bool {
	return slices.ContainsFunc(e.queued, func(p *promptPart) bool { return p.job == j })
}

// passRemaining returns the time left of the pass in progress.
func (e *engine) passRemaining(now time.Time) time.Duration {
	if e.passEnd.IsZero() {
		return 0
	}
	return max(0, e.passEnd.Sub(now))
}

// backlog returns the prefill time of the prompts that come before a new one.
func (e *engine) backlog(now time.Time) time.Duration {
	if len(e.inPass) == 0 {
		return e.queuedTime
	}
	return e.queuedTime + e.passRemaining(now)
}

// joinedPass is the pass in which an engine begins to prefill a new part.
type joinedPass struct {
	// current is set if it is the pass in progress, which starts later than predicted.
	current bool
	// start is when the pass in progress starts. Parts that arrive later are not in it.
	start time.Time
	// wait is the time until the pass begins.
	wait time.Duration
	// tokens and prefill are the sums over the parts that it prefills besides the new one.
	tokens  float64
	prefill time.Duration
}

// joinPass returns the pass that a part granted now joins if the pass in progress starts and
// ends later than predicted by a shift, which may be negative.
func (c *Core) joinPass(now time.Time, e *engine, shift time.Duration) joinedPass {
	pass := joinedPass{tokens: e.queuedTokens, prefill: e.queuedTime}
	if e.passEnd.IsZero() {
		pass.wait = transitTime - networkDelay
		return pass
	}
	arrives, end := now.Add(transitTime), e.passEnd.Add(shift)
	pass.start = e.passStart.Add(shift)
	pass.wait = max(0, end.Sub(now))
	if arrives.After(end) {
		// The next pass begins without the part.
		missed := float64(0)
		for _, p := range e.queued {
			if p.arrives.After(end) {
				missed += p.tokens
			}
		}
		joined := min(pass.tokens-missed, c.model.passTokens())
		length, _ := c.passWith(e, joined, scale(pass.prefill, joined/max(1, pass.tokens)))
		pass.wait += scale(length, e.slowdown(now))
		pass.prefill = scale(pass.prefill, 1-joined/max(1, pass.tokens))
		pass.tokens -= joined
		return pass
	}
	pass.current = arrives.Before(pass.start)
	for _, list := range [...][]*promptPart{e.inPass, e.queued} {
		for _, p := range list {
			if pass.current || p.arrives.After(pass.start) {
				pass.tokens += p.inPass
				pass.prefill += time.Duration(p.inPass * p.perToken)
			}
		}
	}
	if pass.current {
		pass.wait = pass.start.Sub(now)
	}
	return pass
}

// passWith returns the length of a pass that prefills parts of that many tokens and prefill time,
// at an engine that is not slow, and the number of such passes until all of them are prefilled.
func (c *Core) passWith(e *engine, tokens float64, prefill time.Duration) (length time.Duration, passes int) {
	if e.answers == 0 {
		return c.model.stepTime(0, 0) + prefill, 1
	}
	base := c.model.passTime(e.answers, e.contextTokens)
	capacity := c.model.passTokens()
	if tokens <= capacity {
		return base + prefill, 1
	}
	return base + scale(prefill, capacity/tokens), int(tokens/capacity) + 1
}
