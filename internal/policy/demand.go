package policy

import (
	"math"
	"time"
)

const (
	// demandDecay is the time constant with which recorded demand decays.
	demandDecay = 30 * time.Second
	// minShareChange is how far the wanted number of targets for long prompts must be
	// from the present one to change it, so that targets don't switch sides all the time.
	minShareChange = 0.75
	// shortWeight weighs the prefill work of short prompts against that of long ones when
	// targets are divided between them. Core.Blocking adds up to blockingWeight to it.
	shortWeight    = 0.7
	blockingWeight = 0.3
)

// demand is the prefill work that has arrived lately, with exponential decay.
type demand struct {
	// work is in seconds: index 0 is for short prompts, index 1 for long ones.
	work [2]float64
	// updated is when work was last decayed.
	updated time.Time
	// longTargets is the number of targets that may prefill long prompts at a time.
	longTargets int
}

// add records the prefill work of a new request.
func (d *demand) add(now time.Time, work time.Duration, long bool) {
	d.decay(now)
	d.work[boolIndex(long)] += work.Seconds()
}

// decay reduces the recorded work by the time since the last call.
func (d *demand) decay(now time.Time) {
	if !d.updated.IsZero() {
		factor := math.Exp(-now.Sub(d.updated).Seconds() / demandDecay.Seconds())
		d.work[0] *= factor
		d.work[1] *= factor
	}
	d.updated = now
}

// updateLongTargets sets how many targets may prefill long prompts at a time according to
// demand. The others stay free of long prompts.
func (c *Core) updateLongTargets(now time.Time) {
	n := len(c.fleet.active)
	if n == 0 {
		return
	}
	c.demand.decay(now)
	c.demand.longTargets = c.demand.targetsForLong(n, c.demand.longTargets, c.Blocking)
}

// targetsForLong returns how many of n targets may prefill long prompts at a time;
// current is the present number, 0 if it is not set yet.
func (d *demand) targetsForLong(n, current int, blocking float64) int {
	short := d.work[0] * (shortWeight + blockingWeight*blocking)
	wanted := float64(n) / 2
	if sum := short + d.work[1]; sum > 0 {
		wanted = float64(n) * d.work[1] / sum
	}
	if current == 0 || math.Abs(wanted-float64(current)) >= minShareChange {
		current = int(math.Round(wanted))
	}
	return min(max(current, 1), max(n-1, 1))
}

// mayStartLong reports whether a long prompt may start on a target that has none.
func (c *Core) mayStartLong() bool {
	return !c.enabled(Partition) || len(c.fleet.withLong[0]) < max(c.demand.longTargets, 1)
}
