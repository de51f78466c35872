package policy

import (
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// activeGrant is a grant in use.
type activeGrant struct {
	id      string
	org     *organisation
	targets []*target
	// tokensPerTarget is the memory reserved on each target.
	tokensPerTarget int
	// expiry is when the lease ends unless it is renewed.
	expiry    time.Time
	grantedAt time.Time
	// expiryIndex is the index in Core.byExpiry.
	expiryIndex int

	req          Ask
	band         Band
	cachedTokens int
	// wait is the predicted time until the prefill starts, work the time that it takes
	// and prefillDue when it ends.
	wait, work time.Duration
	prefillDue time.Time
	// firstToken is the observed time to first token; 0 before it.
	firstToken time.Duration
	// generated is the number of answer tokens that were reported at generatedAt.
	generated   int
	generatedAt time.Time
	// tightDeadline reports that the answer would be late if a long prompt joined it on
	// the target.
	tightDeadline bool
	// besideLong reports that a long prompt was in prefill on the target when the request
	// was granted.
	besideLong bool
}

// before orders grants by lease expiry, then by ID.
func (g *activeGrant) before(o *activeGrant) bool {
	if !g.expiry.Equal(o.expiry) {
		return g.expiry.Before(o.expiry)
	}
	return g.id < o.id
}

// grant takes a request out of the queue, allocates its placement and returns the grant.
func (c *Core) grant(now time.Time, r *queuedRequest, p placement) Decision {
	c.queue.remove(r)
	g := &activeGrant{
		id: r.req.ID, org: r.org, targets: p.targets, tokensPerTarget: p.tokensPerTarget, expiry: now.Add(LeaseTime), grantedAt: now,
		req: r.req, band: r.band, cachedTokens: p.cachedTokens, wait: p.wait, work: p.work, prefillDue: now.Add(p.wait + p.work),
		besideLong:    p.targets[0].hasLong,
		tightDeadline: now.Add(scale(c.Model.Answer(r.req.Output, true), slowAnswerFactor)).After(r.deadline),
	}
	d := Grant{
		ID: g.id, Priority: c.enginePriority(r), Epoch: c.Epoch, UseBy: UseBy, Lease: LeaseTime, Share: g.tokensPerTarget,
		Targets: make([]engine.Target, 0, len(p.targets)),
	}
	for _, t := range p.targets {
		d.Targets = append(d.Targets, t.Target)
		c.allocate(now, t, g)
	}
	c.grants[g.id] = g
	c.byExpiry.push(g)
	r.org.granted++
	c.charge(r)
	c.prefixes.addAll(p.targets[0], r.req.Prefix)
	c.clearReservation(r)
	return d
}

// charge adds the granted work to the account of the organisation.
func (c *Core) charge(r *queuedRequest) {
	if !c.enabled(Fairness) {
		return
	}
	c.accounts.charge(r.org, r.work)
	c.queue.reorder(r.org)
}

// allocate reserves memory for a grant on one target and adds its prefill.
func (c *Core) allocate(now time.Time, t *target, g *activeGrant) {
	t.usage.observeReserved(now, t.reservedTokens)
	t.reservedTokens += g.tokensPerTarget
	t.usage.observeReserved(now, t.reservedTokens)
	t.grantCount++
	t.tightGrants += boolIndex(g.tightDeadline)
	c.fleet.update(t, func() {
		if g.band.isLong() {
			t.longPrefills++
			t.hasLong = true
		}
		t.addPrefill(now, g.band, g.work)
	})
}

// finishPrefill ends the prefill of a grant and moves the predictions of its targets by
// the difference between the predicted and the actual end.
func (c *Core) finishPrefill(now time.Time, g *activeGrant, p Progress) {
	if g.firstToken > 0 || g.prefillDue.IsZero() {
		return
	}
	g.firstToken = max(p.First, now.Sub(g.grantedAt), 1)
	if p.First > 0 {
		g.firstToken = p.First
	}
	delay := now.Sub(g.prefillDue)
	for _, t := range g.targets {
		c.fleet.update(t, func() {
			if g.band.isLong() {
				t.longPrefills--
				t.hasLong = t.longPrefills > 0
			}
			t.removePrefill(now, g.band, delay)
		})
	}
}

// renew extends the lease of a grant and evaluates its progress.
func (c *Core) renew(now time.Time, e Renew) {
	g := c.grants[e.Grant]
	if g == nil {
		return
	}
	g.expiry = now.Add(LeaseTime)
	c.byExpiry.move(g)
	if e.Progress.First > 0 && g.firstToken == 0 {
		c.finishPrefill(now, g, e.Progress)
		c.updateModels(g, e.Progress)
	}
	g.observeTokens(now, e.Progress.Generated)
}

// observeTokens updates the target's inter-token latency by the tokens generated since
// the last renewal.
func (g *activeGrant) observeTokens(now time.Time, generated int) {
	if fresh := generated - g.generated; fresh > 0 && g.generated > 0 {
		g.targets[0].observeTokenLatency(now.Sub(g.generatedAt) / time.Duration(fresh))
	}
	if generated > 0 {
		g.generated, g.generatedAt = generated, now
	}
}

// updateModels corrects the prefix index, the cost model and the target's slowdown by an
// observed first token.
func (c *Core) updateModels(g *activeGrant, p Progress) {
	c.prefixes.correct(g.targets[0], g.req.Prefix, g.cachedTokens, p.Reused)
	if !c.enabled(Learning) || p.First <= 0 {
		return
	}
	ratio := c.Model.observePrefill(g.req.Prompt, p.Reused, len(g.targets), g.wait, p.First)
	if len(g.targets) == 1 {
		g.targets[0].observeSlowdown(ratio)
	}
}

// release frees what a grant reserved. It ignores a grant that has already been released.
func (c *Core) release(now time.Time, e Release) {
	g := c.grants[e.Grant]
	if g == nil {
		return
	}
	delete(c.grants, g.id)
	c.byExpiry.remove(g)
	if g.firstToken == 0 && e.Progress.First > 0 {
		c.updateModels(g, e.Progress)
	}
	c.finishPrefill(now, g, e.Progress)
	if c.enabled(Learning) && !e.Failed && g.grantedAt.Before(now) {
		c.Model.observeAnswerLength(e.Progress.Generated, g.req.Output)
		c.Model.observeTokenLatency(e.Progress.Generated, now.Sub(g.grantedAt)-g.firstToken, g.besideLong)
	}
	for _, t := range g.targets {
		t.usage.observeReserved(now, t.reservedTokens)
		t.reservedTokens -= g.tokensPerTarget
		t.grantCount--
		t.tightGrants -= boolIndex(g.tightDeadline)
	}
	if g.org != nil {
		g.org.granted--
		c.accounts.deleteIdle(g.org)
	}
	if e.Failed {
		c.suspectTargets(now, g)
	}
}

// adoptGrant takes over a grant of an earlier scheduler.
func (c *Core) adoptGrant(now time.Time, e Adopt) {
	if c.grants[e.Grant.ID] != nil {
		return
	}
	g := &activeGrant{id: e.Grant.ID, tokensPerTarget: e.Share, expiry: now.Add(LeaseTime), grantedAt: now, req: e.Ask, band: BandOf(e.Ask.Prompt)}
	for _, et := range e.Grant.Targets {
		t := c.fleet.byName[et.Name]
		if t == nil {
			// The target gets no new work before it announces itself.
			t = &target{Target: et, firstSeen: now}
			c.fleet.byName[et.Name] = t
		}
		t.reservedTokens += g.tokensPerTarget
		t.grantCount++
		g.targets = append(g.targets, t)
	}
	c.grants[g.id] = g
	c.byExpiry.push(g)
}

// cancelOrphans frees the memory that an engine has reserved for unknown grants, except
// for grants of a later epoch.
func (c *Core) cancelOrphans(h Hold) []Decision {
	t := c.fleet.byName[h.Target]
	if t == nil {
		return nil
	}
	var out []Decision
	for _, holding := range h.Holdings {
		if c.grants[holding.Grant] == nil && holding.Epoch <= c.Epoch {
			out = append(out, Cancel{Target: t.Target, Grant: holding.Grant})
		}
	}
	return out
}

// expireLeases ends the grants whose leases were not renewed and cancels them on their
// targets.
func (c *Core) expireLeases(now time.Time) []Decision {
	var out []Decision
	for c.byExpiry.len() > 0 && now.After(c.byExpiry.first().expiry) {
		g := c.byExpiry.first()
		for _, t := range g.targets {
			out = append(out, Cancel{Target: t.Target, Grant: g.id})
		}
		c.release(now, Release{Grant: g.id, Failed: true})
	}
	return out
}
