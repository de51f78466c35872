package place

import "time"

// Summary describes the state of a pool for logs.
type Summary struct {
	// Engines is the number of known engines, Available that of those taking
	// work, and Idle that of the available ones that decode nothing.
	Engines, Available, Idle int
	// Slots is the number of slots of the available engines, Answers that of the answers
	// in them.
	Slots, Answers int
	// PendingParts is the number of prompt parts that are not yet prefilled.
	PendingParts int
	Waiting      int
	// Slow is the number of engines with a slowdown above slowThreshold.
	Slow int
	// LongDemand is the number of engines that long prompts keep busy.
	LongDemand float64
}

// Summary summarises the pool's state.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Engines: len(c.engines), Waiting: len(c.queue), LongDemand: c.demand.longEngines(now)}
	for _, e := range c.engines {
		s.PendingParts += len(e.queued) + len(e.inPass)
		if e.slowdown(now) > slowThreshold {
			s.Slow++
		}
		if !c.available(now, e) {
			continue
		}
		s.Available++
		s.Slots += e.Slots
		s.Answers += e.answers
		if e.answers == 0 {
			s.Idle++
		}
	}
	return s
}

// slowThreshold is the slowdown above which an engine counts as slow.
const slowThreshold = 1.5
