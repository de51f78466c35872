package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// updateFleet replaces the cost model and the set of engines.
func (c *Core) updateFleet(now time.Time, f Fleet) {
	c.model = costModel{f.Engine}
	c.setColdRate(now, f.ColdRate)
	for _, e := range c.byID {
		e.State = site.Gone
	}
	for _, t := range f.Targets {
		e := c.byID[t.ID]
		switch {
		case e == nil && t.State == site.Gone:
			continue
		case e == nil:
			e = &engine{lastSlowdown: 1, lastHeartbeat: now}
			c.byID[t.ID] = e
			c.announceCold(now, e, t)
		case e.StartedMs != t.StartedMs:
			// A new process under the same ID has none of the old one's work.
			e.lastSlowdown, e.failures, e.lastHeartbeat, e.prediction = 1, 0, now, prediction{}
			e.unaccounted, e.unaccountedAnswers, e.pausedUntil, e.others = 0, 0, nil, otherLoad{}
			e.limiter.Clear()
			c.announceCold(now, e, t)
		}
		e.Target = t
	}
	c.engines = c.engines[:0]
	for id, e := range c.byID {
		if e.State == site.Gone && len(e.jobs) == 0 {
			delete(c.byID, id)
			continue
		}
		c.engines = append(c.engines, e)
	}
	slices.SortFunc(c.engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// recordLoad compares the load that an engine reports with its grants. Any excess belongs to
// requests that this core does not know.
func (c *Core) recordLoad(now time.Time, r LoadReport) {
	e := c.byID[r.Target]
	if e == nil {
		return
	}
	e.unaccounted, e.unaccountedAnswers = 0, 0
	// Reports lag behind grants, so the number of answers alone proves nothing.
	if excess := r.Load.KVUsed - e.reserved; excess > memoryMargin {
		e.unaccounted, e.unaccountedAnswers = excess, max(0, r.Load.Running-e.answers)
	}
	if r.Load.Slowdown > 1 {
		e.lastSlowdown, e.lastSlowdownAt = min(maxSlowdown, r.Load.Slowdown), now
	}
}

// UnaccountedMemory returns the KV cache in use on an engine, in tokens, that no grant
// accounts for.
func (c *Core) UnaccountedMemory(id string) int {
	if e := c.byID[id]; e != nil {
		return e.unaccounted
	}
	return 0
}

// setLimit sets or removes the limit of an engine.
func (c *Core) setLimit(now time.Time, l Limit) {
	e := c.byID[l.Target]
	switch {
	case e == nil || e.StartedMs != l.StartedMs:
	case l.Named && c.Shares > 1:
		e.limiter.Set(now, l.PerSecond, c.Shares, l.Phase)
	case l.Named:
		// It has just got a request.
		e.limiter.Set(now, l.PerSecond, 1, 1)
	default:
		e.limiter.Clear()
	}
}

// recordHeartbeat notes that a target is alive.
func (c *Core) recordHeartbeat(now time.Time, id string) {
	if e := c.byID[id]; e != nil {
		e.lastHeartbeat = now
	}
}
