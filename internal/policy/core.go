package policy

import (
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// UseBy is the time after a grant within which its target must receive the request.
	UseBy = 2 * time.Second
	// LeaseTime is how long a grant lasts without renewal.
	LeaseTime = 6 * time.Second
)

// Core is the scheduler state of one shard. The zero value is ready to use.
type Core struct {
	// Epoch is the epoch of the scheduler's lease; every grant carries it.
	Epoch uint64
	// Blocking weighs head-of-line blocking of short prompts against their time to first
	// token, from 0 to 1. A higher value leaves more targets free of long prompts.
	Blocking float64
	// Off is the set of disabled mechanisms.
	Off Mechanism
	// Model is the initial cost model. The zero value means DefaultModel.
	Model Model

	fleet    fleet
	queue    *queue
	accounts accounts
	// grants holds the active grants by ID, byExpiry the same in the order of lease
	// expiry.
	grants   map[string]*activeGrant
	byExpiry indexedHeap[*activeGrant]
	prefixes prefixIndex
	demand   demand
	// reservation keeps targets for a queued request; nil if there is none.
	reservation *reservation
	// lastCheck is when checkTargets last ran.
	lastCheck time.Time
}

// initialise prepares the zero value on first use.
func (c *Core) initialise() {
	if c.queue != nil {
		return
	}
	c.queue = newQueue()
	c.fleet.byName = make(map[string]*target)
	c.accounts.byName = make(map[string]*organisation)
	c.grants = make(map[string]*activeGrant)
	c.byExpiry = indexedHeap[*activeGrant]{less: (*activeGrant).before, index: func(g *activeGrant) *int { return &g.expiryIndex }}
	if c.Model == (Model{}) {
		c.Model = DefaultModel()
	}
}

// Step applies an event that happened at the time now and returns the decisions that
// follow.
func (c *Core) Step(now time.Time, e Event) []Decision {
	c.initialise()
	return append(c.apply(now, e), c.schedule(now)...)
}

// apply updates the state for an event. Requests that can be granted as a result are left
// to schedule.
func (c *Core) apply(now time.Time, e Event) []Decision {
	switch e := e.(type) {
	case Arrive:
		return c.enqueue(now, e.Ask)
	case Withdraw:
		c.withdraw(e.ID)
	case Renew:
		c.renew(now, e)
	case Adopt:
		c.adoptGrant(now, e)
	case Hold:
		return c.cancelOrphans(e)
	case Release:
		c.release(now, e)
	case Announce:
		c.announce(now, e)
	case Heard:
		c.probeAnswered(now, e.Target)
	case Cached:
		c.updatePrefixes(e)
	case Depart:
		c.markDeparted(e.Target)
	case Tick:
		return c.tick(now)
	}
	return nil
}

// tick expires leases, checks targets and updates the number of targets for long prompts.
func (c *Core) tick(now time.Time) []Decision {
	out := c.expireLeases(now)
	out = append(out, c.checkTargets(now)...)
	c.updateLongTargets(now)
	return out
}

// Waiting returns the number of queued requests.
func (c *Core) Waiting() int {
	if c.queue == nil {
		return 0
	}
	return c.queue.len()
}

// Granted returns the number of active grants.
func (c *Core) Granted() int { return len(c.grants) }

// Reserved returns the KV cache memory that is reserved on all targets, in tokens.
func (c *Core) Reserved() int {
	n := 0
	for _, t := range c.fleet.byName {
		n += t.reservedTokens
	}
	return n
}

// Targets returns all known targets, sorted by name.
func (c *Core) Targets() []engine.Target {
	var known []*target
	for _, t := range c.fleet.byName {
		known = append(known, t)
	}
	slices.SortFunc(known, compareNames)
	out := make([]engine.Target, len(known))
	for i, t := range known {
		out[i] = t.Target
	}
	return out
}
