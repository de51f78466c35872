package policy

import (
	"slices"
	"time"
)

const (
	// silenceTimeout is how long a target may be silent before it gets no more work.
	silenceTimeout = 3 * time.Second
	// forgetTimeout is how long a silent target without grants is remembered.
	forgetTimeout = 5 * time.Minute
	// ejectSlowdown is the slowdown, relative to the median of the targets, from which a
	// target is ejected.
	ejectSlowdown = 2.5
	// minEjectSamples is the number of observations without which a target is not
	// ejected.
	minEjectSamples = 8
	// ejectDuration is how long a slow target stays ejected.
	ejectDuration = 20 * time.Second
	// maxEjectedShare bounds the share of targets that are ejected at a time; one always
	// may be.
	maxEjectedShare = 0.2
	// suspectDuration is subtracted from the time at which a target was last seen when
	// its connection broke, so that it gets no work until it is seen again.
	suspectDuration = silenceTimeout
)

// announce applies an announcement of a target. An incarnation that has announced that it
// is leaving stays so: an announcement to the contrary is an older one that was delayed.
func (c *Core) announce(now time.Time, e Announce) {
	n := e.News
	t := c.fleet.byName[n.Target.Name]
	if t == nil {
		t = &target{firstSeen: now}
		c.fleet.byName[n.Target.Name] = t
	}
	if n.Target.Incarnation < t.Incarnation {
		return
	}
	if n.Target.Incarnation > t.Incarnation && t.Incarnation > 0 {
		t.firstSeen, t.logSlowdown, t.samples = now, 0, 0
		t.departed = false
	}
	if n.Target.Memory != t.Memory {
		c.fleet.deactivate(t)
	}
	t.departed = t.departed || n.Target.Leaving
	t.Target, t.lastSeen, t.probeSent, t.announced = n.Target, now, false, true
	t.Leaving = t.departed || e.Out
	t.usage.observeReserved(now, t.reservedTokens)
	t.usage.observeReport(n.Report.Used)
	c.updateAvailability(now, t)
}

// probeAnswered records that a silent target has answered a probe. It ignores the answer
// of a target that has never announced itself to this scheduler, as that target may be
// leaving.
func (c *Core) probeAnswered(now time.Time, name string) {
	if t := c.fleet.byName[name]; t != nil && t.announced {
		t.lastSeen, t.probeSent = now, false
		c.updateAvailability(now, t)
	}
}

// markDeparted stops new work for a target at once.
func (c *Core) markDeparted(name string) {
	if t := c.fleet.byName[name]; t != nil {
		t.Leaving, t.departed = true, true
		c.fleet.deactivate(t)
		c.cancelReservationOn(t)
	}
}

// suspectTargets stops new work for the targets of a failed grant until they are seen
// again. Targets seen within the last second are not affected.
func (c *Core) suspectTargets(now time.Time, g *activeGrant) {
	for _, t := range g.targets {
		if now.Sub(t.lastSeen) > time.Second {
			t.lastSeen = t.lastSeen.Add(-suspectDuration)
			c.updateAvailability(now, t)
		}
	}
}

// updateAvailability activates or deactivates a target according to its state.
func (c *Core) updateAvailability(now time.Time, t *target) {
	if t.Leaving || now.Sub(t.lastSeen) > silenceTimeout || now.Before(t.ejectedUntil) {
		c.fleet.deactivate(t)
		c.cancelReservationOn(t)
		return
	}
	c.fleet.activate(t)
}

// checkTargets ejects slow targets, probes silent ones and deletes those silent for long.
// It runs at most twice a second.
func (c *Core) checkTargets(now time.Time) []Decision {
	if now.Sub(c.lastCheck) < time.Second/2 {
		return nil
	}
	c.lastCheck = now
	known := make([]*target, 0, len(c.fleet.byName))
	for _, t := range c.fleet.byName {
		known = append(known, t)
	}
	slices.SortFunc(known, compareNames)
	c.ejectSlow(now, known)
	var out []Decision
	for _, t := range known {
		c.updateAvailability(now, t)
		switch quiet := now.Sub(t.lastSeen); {
		case quiet > forgetTimeout && t.grantCount == 0:
			c.prefixes.removeTarget(t)
			delete(c.fleet.byName, t.Name)
		case quiet > silenceTimeout && !t.probeSent && !t.Leaving && t.announced:
			t.probeSent = true
			out = append(out, Probe{Target: t.Target})
		}
	}
	return out
}

// ejectSlow ejects the targets that are much slower than the median, up to a share of
// all.
func (c *Core) ejectSlow(now time.Time, known []*target) {
	if !c.enabled(Ejection) || len(known) < 3 {
		return
	}
	slowdowns := make([]float64, 0, len(known))
	ejected := 0
	for _, t := range known {
		slowdowns = append(slowdowns, t.slowdown())
		if now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	slices.Sort(slowdowns)
	median := slowdowns[len(slowdowns)/2]
	for _, t := range known {
		if float64(ejected+1) > maxEjectedShare*float64(len(known)) && ejected > 0 {
			return
		}
		if now.Before(t.ejectedUntil) || t.samples < minEjectSamples || t.slowdown() < ejectSlowdown*median {
			continue
		}
		t.ejectedUntil = now.Add(ejectDuration)
		t.firstSeen = t.ejectedUntil
		t.samples, t.logSlowdown = 0, 0
		ejected++
	}
}
