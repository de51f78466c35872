package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// An engine moves to a pool with at least highLoad, from one with at most lowLoad.
	highLoad, lowLoad = 0.85, 0.4
	// minShortage is how long a pool must be short of engines before one moves to it.
	minShortage = time.Minute
	// cooldown is how long a pool takes part in no other move after a move to or from it.
	cooldown = 5 * time.Minute
)

// Pool is the demand on a pool and its engines.
type Pool struct {
	Name string
	// Model is the model that its engines serve.
	Model string
	// Load is the fraction of the pool's memory that requests have reserved or wait for.
	Load    float64
	Targets []engine.Target
}

// Move is the decision to move an engine from one pool to another.
type Move struct {
	Target   engine.Target
	From, To string
	// Size is the number of engines in From.
	Size  int
	Order engine.Order
}

// Balancer decides which engines move. It does no input or output and gets the time from
// its caller. The zero value is ready to use.
type Balancer struct {
	// shortSince is the time since which a pool has been short of engines, by pool name.
	shortSince map[string]time.Time
	// cooldownUntil is the time until which a pool takes part in no move, by pool name.
	cooldownUntil map[string]time.Time
}

// Step evaluates the load of the pools and returns at most one move. Shortages must last
// and pools cool down after a move, so that engines do not move on every small change of
// demand. Engines in outOfService are not moved.
func (b *Balancer) Step(now time.Time, pools []Pool, outOfService []string) (Move, bool) {
	if b.shortSince == nil {
		b.shortSince, b.cooldownUntil = make(map[string]time.Time), make(map[string]time.Time)
	}
	b.trackShortages(now, pools)
	to := b.mostLoaded(now, pools)
	if to == nil {
		return Move{}, false
	}
	from := b.leastLoaded(now, pools, to)
	if from == nil {
		return Move{}, false
	}
	t, ok := firstInService(from, outOfService)
	if !ok {
		return Move{}, false
	}
	delete(b.shortSince, to.Name)
	b.cooldownUntil[to.Name], b.cooldownUntil[from.Name] = now.Add(cooldown), now.Add(cooldown)
	return Move{
		Target: t, From: from.Name, To: to.Name, Size: len(from.Targets),
		Order: engine.LoadModel{Model: to.Model, Pool: to.Name},
	}, true
}

// trackShortages records which pools are short of engines and since when.
func (b *Balancer) trackShortages(now time.Time, pools []Pool) {
	seen := make(map[string]bool, len(pools))
	for _, p := range pools {
		seen[p.Name] = true
		if p.Load < highLoad {
			delete(b.shortSince, p.Name)
		} else if _, ok := b.shortSince[p.Name]; !ok {
			b.shortSince[p.Name] = now
		}
	}
	for name := range b.shortSince {
		if !seen[name] {
			delete(b.shortSince, name)
		}
	}
}

// mostLoaded returns the pool with the highest load among those that have been short of
// engines for minShortage, are not cooling down and have a known model. It returns nil if
// there is none.
func (b *Balancer) mostLoaded(now time.Time, pools []Pool) *Pool {
	var best *Pool
	for i := range pools {
		p := &pools[i]
		since, short := b.shortSince[p.Name]
		if !short || now.Sub(since) < minShortage || now.Before(b.cooldownUntil[p.Name]) || p.Model == "" {
			continue
		}
		if best == nil || p.Load > best.Load {
			best = p
		}
	}
	return best
}

// leastLoaded returns the pool with the lowest load, up to lowLoad, that can spare an
// engine: its load stays below highLoad without it. It returns nil if there is none.
func (b *Balancer) leastLoaded(now time.Time, pools []Pool, to *Pool) *Pool {
	var best *Pool
	for i := range pools {
		p := &pools[i]
		n := float64(len(p.Targets))
		if p.Name == to.Name || n < 2 || p.Load > lowLoad || now.Before(b.cooldownUntil[p.Name]) {
			continue
		}
		if p.Load*n/(n-1) >= highLoad {
			continue
		}
		if best == nil || p.Load < best.Load {
			best = p
		}
	}
	return best
}

// firstInService returns the first engine of a pool, by name, that is in service.
func firstInService(p *Pool, outOfService []string) (engine.Target, bool) {
	list := slices.Clone(p.Targets)
	slices.SortFunc(list, func(a, b engine.Target) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range list {
		if !t.Leaving && !slices.Contains(outOfService, t.Name) {
			return t, true
		}
	}
	return engine.Target{}, false
}
