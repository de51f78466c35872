package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// fleet takes in which engines there are.
func (c *Core) fleet(now time.Time, f Fleet) {
	c.model = model{f.Engine}
	for _, e := range c.byID {
		e.State = site.Gone
	}
	for _, t := range f.Targets {
		e := c.byID[t.ID]
		switch {
		case e == nil && t.State == site.Gone:
			continue
		case e == nil:
			e = &engine{pace: 1, heard: now}
			c.byID[t.ID] = e
		case e.Born != t.Born:
			// A new process under the same ID has none of the old one's work.
			e.pace, e.failures, e.heard, e.shadow = 1, 0, now, shadow{}
			e.strange, e.strangers = 0, 0
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

// audit takes in what an engine says of its work: what is more than its grants is work
// that nobody told of.
func (c *Core) audit(now time.Time, a Audit) {
	e := c.byID[a.Target]
	if e == nil {
		return
	}
	e.strange, e.strangers = 0, 0
	// Reports lag behind grants, so that answers alone say nothing.
	if over := a.Load.Used - e.held; over > memoryMargin {
		e.strange, e.strangers = over, max(0, a.Load.Running-e.writers)
	}
	if a.Load.Pace > 1 {
		e.pace, e.seen = min(maxPace, a.Load.Pace), now
	}
}

// Strange returns the memory of an engine, in tokens, that no grant accounts for.
func (c *Core) Strange(id string) int {
	if e := c.byID[id]; e != nil {
		return e.strange
	}
	return 0
}

func (c *Core) heard(now time.Time, id string) {
	if e := c.byID[id]; e != nil {
		e.heard = now
	}
}
