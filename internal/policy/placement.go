package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// maxServiceCalls bounds the calls in flight to one target of the kind service.
	maxServiceCalls = 64
	// longPromptPenalty is added to the score of a target with a long prompt in prefill:
	// its steps are long, which delays first tokens and answers.
	longPromptPenalty = 500 * time.Millisecond
	// mediumPromptPenalty is added to the score of a target with a prompt of another band
	// than Short in prefill.
	mediumPromptPenalty = 30 * time.Millisecond
	// fullMemoryPenalty is added to the score of a target whose memory is full, and in
	// proportion if it is partly full: a step reads all of it.
	fullMemoryPenalty = 100 * time.Millisecond
	// maxShortWait is the longest wait in an engine with which a prompt of the Short band
	// is granted.
	maxShortWait = 100 * time.Millisecond
	// slowedAnswerPenalty is added to the score of a long prompt for each request that it
	// would slow down.
	slowedAnswerPenalty = 100 * time.Millisecond
	// slowAnswerFactor multiplies the predicted time of an answer beside a long prompt as
	// a safety margin.
	slowAnswerFactor = 1.5
	// minRetryAfter is the shortest retry-after time of a refusal.
	minRetryAfter = time.Second
)

// placement is a choice of targets for a request, with the predicted times.
type placement struct {
	// primary is the target that generates the answer; targets are all that are used.
	primary *target
	targets []*target
	// tokensPerTarget is the memory to reserve on each target; cachedTokens is the part
	// of the prompt in the prefix cache.
	tokensPerTarget int
	cachedTokens    int
	// wait is the time until the prefill starts, work the time that it takes.
	wait, work time.Duration
	// score orders placements; the lowest is the best.
	score time.Duration
}

// before orders placements by score, then by the memory reserved on the primary target,
// then by its name.
func (p *placement) before(o *placement) bool {
	if p.score != o.score {
		return p.score < o.score
	}
	x, y := p.primary, o.primary
	if x.reservedTokens != y.reservedTokens {
		return x.reservedTokens < y.reservedTokens
	}
	return x.Name < y.Name
}

// place returns a grant or a refusal, or nil if the request must wait.
func (c *Core) place(now time.Time, r *queuedRequest) Decision {
	if c.fleet.activeWithout(r.req.Avoid) == 0 {
		return c.refuse(r, verd.Unavailable, "no target serves the pool", minRetryAfter)
	}
	if c.fleet.active[0].Kind == table.Service {
		return c.placeService(now, r)
	}
	tokens := r.req.Prompt + r.req.Output
	if tokens > c.fleet.totalMemory {
		return c.refuse(r, verd.TooLarge, "prompt and answer exceed the KV cache memory of the pool's engines", 0)
	}
	k := (tokens + c.fleet.maxMemory - 1) / c.fleet.maxMemory
	p := c.placeOn(now, r, max(k, 1))
	if p != nil {
		return c.grant(now, r, *p)
	}
	return nil
}

// placeOn returns the best placement on k targets, or nil if there is none now.
func (c *Core) placeOn(now time.Time, r *queuedRequest, k int) *placement {
	tokens := r.req.Prompt + r.req.Output
	share := (tokens + k - 1) / k
	if k == 1 {
		return c.placeOnOne(now, r, share)
	}
	return c.placeOnMany(now, r, k, share)
}

// placeService grants the request on the service target with the fewest calls in flight,
// or returns nil if all have too many.
func (c *Core) placeService(now time.Time, r *queuedRequest) Decision {
	var best *target
	for _, t := range c.fleet.active {
		if slices.Contains(r.req.Avoid, t.Name) {
			continue
		}
		if best == nil || t.grantCount < best.grantCount {
			best = t
		}
	}
	if best.grantCount >= maxServiceCalls {
		return nil
	}
	return c.grant(now, r, placement{primary: best, targets: []*target{best}})
}

// placeOnOne returns the placement on one target with the lowest score, or nil if there
// is none now.
func (c *Core) placeOnOne(now time.Time, r *queuedRequest, share int) *placement {
	var best placement
	consider := func(t *target, cached int) {
		p, ok := c.evaluate(now, r, t, share, cached)
		if ok && (best.primary == nil || p.before(&best)) {
			best = p
		}
	}
	if c.enabled(Affinity) {
		ts, blocks := c.prefixes.longestMatch(r.req.Prefix)
		for _, t := range ts {
			if t.available {
				consider(t, blocks*blockTokens)
			}
		}
	}
	c.fleet.visitSoonest(r.band, func(t *target) { consider(t, 0) })
	if best.primary == nil {
		return nil
	}
	best.targets = []*target{best.primary}
	return &best
}

// evaluate returns the placement on one target; ok is false if the target can't accept
// the request now.
func (c *Core) evaluate(now time.Time, r *queuedRequest, t *target, share, cached int) (p placement, ok bool) {
	if !c.canAccept(now, r, t, share) {
		return placement{}, false
	}
	cached = min(cached, r.req.Prompt-1)
	p = placement{primary: t, tokensPerTarget: share, cachedTokens: max(cached, 0)}
	p.wait = t.wait(now, r.band)
	p.work = scale(c.Model.Prefill(r.req.Prompt, p.cachedTokens), t.slowdown())
	p.score = p.wait + p.work + scale(fullMemoryPenalty, float64(t.reservedTokens)/float64(t.Memory))
	switch {
	case r.band.isLong():
		p.score += time.Duration(t.grantCount) * slowedAnswerPenalty
	case t.hasLong:
		p.score += longPromptPenalty
	case t.prefillCount() > t.prefills[Short]:
		p.score += mediumPromptPenalty
	}
	if t.hasLong && !r.band.isLong() && c.Model.trained() && now.Add(p.wait+p.work+c.answerTimeBesideLong(t, r)).After(r.deadline) {
		return placement{}, false
	}
	return p, true
}

// answerTimeBesideLong predicts the time to generate an answer beside a long prompt.
func (c *Core) answerTimeBesideLong(t *target, r *queuedRequest) time.Duration {
	return scale(max(c.Model.Answer(r.req.Output, true), time.Duration(r.req.Output)*t.tokenLatency), slowAnswerFactor)
}

// canAccept reports whether a target can accept its part of a request now.
func (c *Core) canAccept(now time.Time, r *queuedRequest, t *target, share int) bool {
	if t.freeTokens() < share || !t.slowStartAllows(now) || slices.Contains(r.req.Avoid, t.Name) {
		return false
	}
	if t.reservedFor != nil && t.reservedFor != r && r.band != Short {
		return false
	}
	if r.band == Short {
		return t.wait(now, Short) <= maxShortWait
	}
	if c.enabled(LateBinding) && t.prefillCount() > 0 {
		return false
	}
	if !r.band.isLong() {
		return true
	}
	return (t.hasLong || c.mayStartLong()) && (t.tightGrants == 0 || c.mayDelayAnswers(now, r))
}

// mayDelayAnswers reports whether a long prompt may start on a target with answers that
// it is predicted to make late. A request of the Huge band may do so only close to its
// grant deadline; until then it waits for another target.
func (c *Core) mayDelayAnswers(now time.Time, r *queuedRequest) bool {
	return r.band < Huge || r.grantDeadline.Sub(now) < scale(r.deadline.Sub(r.arrived), reservationSlack)
}

// placeOnMany returns a placement on k targets, or nil if there is none now.
func (c *Core) placeOnMany(now time.Time, r *queuedRequest, k, share int) *placement {
	var candidates []*target
	c.fleet.visitSoonest(r.band, func(t *target) {
		if c.canAccept(now, r, t, share) {
			candidates = append(candidates, t)
		}
	})
	if len(candidates) < k {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.tightGrants, b.tightGrants), cmp.Compare(a.grantCount, b.grantCount), compareNames(a, b))
	})
	p := &placement{primary: candidates[0], targets: candidates[:k], tokensPerTarget: share}
	for _, t := range p.targets {
		p.wait = max(p.wait, t.wait(now, r.band))
	}
	p.work = c.Model.Prefill(r.req.Prompt, 0) / time.Duration(k)
	return p
}

// enginePriority orders requests inside an engine; the lowest goes first.
func (c *Core) enginePriority(r *queuedRequest) int {
	if !c.enabled(Priority) {
		return 0
	}
	return r.req.Class.Rank()*int(NumBands) + int(r.band)
}
