package sched

import (
	"context"

	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// cursors contains the position in the stream of cache events of each target, by its name.
// The zero value is ready to use.
type cursors struct {
	byTarget map[string]cursor
}

// cursor contains the numbers of the newest cache event of a target that was applied and of
// the newest that the target has announced.
type cursor struct {
	target, addr    string
	incarnation     uint64
	applied, newest uint64
}

// observe records the newest event that a target announces. A new incarnation starts at
// zero; a leaving target is removed.
func (cs *cursors) observe(a engine.Announcement) {
	if cs.byTarget == nil {
		cs.byTarget = make(map[string]cursor)
	}
	c := cs.byTarget[a.Target.Name]
	if c.incarnation != a.Target.Incarnation {
		c = cursor{target: a.Target.Name, incarnation: a.Target.Incarnation}
	}
	c.addr = a.Target.Addr
	c.newest = max(c.newest, a.Report.Event)
	cs.byTarget[a.Target.Name] = c
	if a.Target.Leaving {
		delete(cs.byTarget, a.Target.Name)
	}
}

// advance records that the events of a target up to a number have been applied.
func (cs *cursors) advance(target string, number uint64) {
	if c, ok := cs.byTarget[target]; ok {
		c.applied = max(c.applied, number)
		cs.byTarget[target] = c
	}
}

// lagging returns the cursors of the targets with events that have not been applied.
func (cs *cursors) lagging() []cursor {
	var out []cursor
	for _, c := range cs.byTarget {
		if c.newest > c.applied {
			out = append(out, c)
		}
	}
	return out
}

// fetchCacheEvents fetches the cache events of a target that have not been applied and
// queues them for run. Events that the target no longer keeps are skipped: they are only
// hints for placement.
func (sc *scheduler) fetchCacheEvents(ctx context.Context, c cursor) {
	ctx, stop := context.WithTimeout(ctx, checkInterval)
	defer stop()
	events, err := sc.Engine.Events(ctx, c.addr, c.applied)
	if err != nil {
		return // The next check retries.
	}
	update := policy.Cached{Target: c.target}
	for _, ev := range events {
		update.Added = append(update.Added, ev.Stored...)
		update.Removed = append(update.Removed, ev.Evicted...)
	}
	number := c.newest
	if n := len(events); n > 0 {
		number = events[n-1].Number
	}
	sc.send(message{event: update, cacheEvent: number})
}
