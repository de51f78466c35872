package place

import "time"

// Picture sums up a pool for logs.
type Picture struct {
	// Engines are known, Free take work, Idle of them write nothing.
	Engines, Free, Idle int
	// Slots are those of the free engines, and Writers the answers in them.
	Slots, Writers int
	// Reads are the parts of prompts not yet read.
	Reads   int
	Waiting int
	// Slow is the number of engines that are taken for slow.
	Slow int
	// Demand is how many engines long prompts keep busy.
	Demand float64
}

// Picture returns the state of the pool.
func (c *Core) Picture(now time.Time) Picture {
	p := Picture{Engines: len(c.engines), Waiting: len(c.queue), Demand: c.demand.engines(now)}
	for _, e := range c.engines {
		p.Reads += len(e.reads) + len(e.reading)
		if e.speed(now) > slowPace {
			p.Slow++
		}
		if !c.free(now, e) {
			continue
		}
		p.Free++
		p.Slots += e.Slots
		p.Writers += e.writers
		if e.writers == 0 {
			p.Idle++
		}
	}
	return p
}

// slowPace is the pace from which an engine is called slow.
const slowPace = 1.5
