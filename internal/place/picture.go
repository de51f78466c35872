package place

import "time"

// Picture summarises the state of a pool for logs.
type Picture struct {
	// Engines is the number of known engines, Free that of those taking work, and Idle that
	// of the free ones that decode nothing.
	Engines, Free, Idle int
	// Slots is the number of slots of the free engines, Writers that of the answers in
	// them.
	Slots, Writers int
	// Reads is the number of prompt parts that are not yet read.
	Reads   int
	Waiting int
	// Slow is the number of engines with a slowdown above slowThreshold.
	Slow int
	// Demand is the number of engines that long prompts keep busy.
	Demand float64
}

// Picture returns a summary of the pool's state.
func (c *Core) Picture(now time.Time) Picture {
	p := Picture{Engines: len(c.engines), Waiting: len(c.queue), Demand: c.demand.longEngines(now)}
	for _, e := range c.engines {
		p.Reads += len(e.queued) + len(e.inPass)
		if e.slowdown(now) > slowThreshold {
			p.Slow++
		}
		if !c.available(now, e) {
			continue
		}
		p.Free++
		p.Slots += e.Slots
		p.Writers += e.answers
		if e.answers == 0 {
			p.Idle++
		}
	}
	return p
}

// slowThreshold is the slowdown above which an engine counts as slow.
const slowThreshold = 1.5
