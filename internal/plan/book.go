// Package plan moves engines between pools. One planner decides which engines change the
// model that they serve, drains them and sends them their orders, a few at a time.
package plan

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// maxConcurrentLoads bounds the engines that load from the weight store at a time.
	maxConcurrentLoads = 4
	// maxOutDivisor bounds the engines of a pool that are out of service for loading: 1 in
	// 5, but at least one.
	maxOutDivisor = 5
)

// Permit is an open order. It lets the planner carry the order out, and keeps the engine
// out of service until it is closed.
type Permit struct {
	// Target and Addr are the ID and the address of the engine.
	Target string `json:"target" cbor:"1,keyasint"`
	Addr   string `json:"addr" cbor:"2,keyasint"`
	// Fencing is set if the engine refuses outdated fencing numbers.
	Fencing bool `json:"fencing,omitempty" cbor:"3,keyasint,omitempty"`
	// Pool is the pool that the engine leaves, Size the number of engines in it.
	Pool string `json:"pool" cbor:"4,keyasint"`
	Size int    `json:"size" cbor:"5,keyasint"`
	// Command is the order; its ID identifies the permit.
	Command engine.Command `json:"command" cbor:"6,keyasint"`
}

// Check returns an error if a field is missing or impossible.
func (p *Permit) Check() error {
	if p.Target == "" || p.Addr == "" || p.Pool == "" || p.Size <= 0 {
		return fmt.Errorf("permit for target %q at address %q in pool %q of %d engines: target, address and pool must be set, and the number of engines positive",
			p.Target, p.Addr, p.Pool, p.Size)
	}
	return p.Command.Check()
}

// Book lists the open orders, sorted by ID. It is part of the replicated state, so that a
// new planner resumes the open orders of its predecessor.
type Book struct {
	Permits []Permit `cbor:"1,keyasint,omitempty"`
}

// Open adds a permit for the planner with the fencing number fence. It returns the reason
// of a refusal, or "" if the permit is open. Opening an open permit again succeeds.
func (b *Book) Open(p Permit, fence uint64) string {
	if p.Command.Fence != fence {
		return fmt.Sprintf("fencing number %d does not match the planner's %d", p.Command.Fence, fence)
	}
	i, found := b.find(p.Command.ID)
	if found {
		if b.Permits[i].Target != p.Target {
			return fmt.Sprintf("order %s is already open for engine %s", p.Command.ID, b.Permits[i].Target)
		}
		return ""
	}
	out := 0
	for _, q := range b.Permits {
		if q.Target == p.Target {
			return fmt.Sprintf("order %s is already open for engine %s", q.Command.ID, q.Target)
		}
		if q.Pool == p.Pool {
			out++
		}
	}
	if len(b.Permits) >= maxConcurrentLoads {
		return fmt.Sprintf("%d engines are already loading, the limit is %d", len(b.Permits), maxConcurrentLoads)
	}
	if out >= maxOut(p.Size) {
		return fmt.Sprintf("%d of %d engines of pool %s are already out of service, the limit is %d", out, p.Size, p.Pool, maxOut(p.Size))
	}
	b.Permits = slices.Insert(slices.Clone(b.Permits), i, p)
	return ""
}

// Close removes a permit if held, the caller's fencing number, matches fence, that of the
// current planner. It returns the reason of a refusal, or "". Closing it again succeeds.
func (b *Book) Close(id string, held, fence uint64) string {
	if held != fence {
		return fmt.Sprintf("fencing number %d does not match the planner's %d", held, fence)
	}
	if i, found := b.find(id); found {
		b.Permits = slices.Delete(slices.Clone(b.Permits), i, i+1)
	}
	return ""
}

// Targets returns the engines that are out of service, sorted.
func (b *Book) Targets() []string {
	var out []string
	for _, p := range b.Permits {
		out = append(out, p.Target)
	}
	slices.Sort(out)
	return out
}

// find returns the index of a permit, or where to insert it, and whether it exists.
func (b *Book) find(id string) (int, bool) {
	return slices.BinarySearchFunc(b.Permits, id, func(p Permit, id string) int { return cmp.Compare(p.Command.ID, id) })
}

// maxOut returns how many engines of a pool of this size may be out of service at a time.
func maxOut(size int) int { return max(size/maxOutDivisor, 1) }
