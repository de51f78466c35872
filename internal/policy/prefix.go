package policy

import (
	"slices"
	"sort"
)

const (
	// maxTargetsPerBlock bounds the targets remembered for one block.
	maxTargetsPerBlock = 8
	// maxBlocks bounds the blocks remembered.
	maxBlocks = 200_000
	// blockTokens is the length of a prefix cache block.
	blockTokens = 256
)

// prefixIndex records which targets are expected to cache which blocks.
type prefixIndex struct {
	// targets lists the targets that cache a block, by the block's chained hash.
	targets map[uint64][]*target
	// ring holds the blocks in the order of their arrival; the oldest is at next once it
	// is full.
	ring []uint64
	next int
}

// addAll records that a target will cache the blocks of a prompt.
func (p *prefixIndex) addAll(t *target, blocks []uint64) {
	for _, h := range blocks {
		p.add(t, h)
	}
}

// add records that a target caches a block. It evicts the oldest target beyond
// maxTargetsPerBlock.
func (p *prefixIndex) add(t *target, h uint64) {
	if p.targets == nil {
		p.targets = make(map[uint64][]*target)
	}
	ts, known := p.targets[h]
	if slices.Contains(ts, t) {
		return
	}
	if len(ts) >= maxTargetsPerBlock {
		ts = ts[1:]
	}
	p.targets[h] = append(ts, t)
	if !known {
		p.track(h)
	}
}

// track adds a block to the ring and, if the ring is full, deletes the oldest block.
func (p *prefixIndex) track(h uint64) {
	if len(p.ring) < maxBlocks {
		p.ring = append(p.ring, h)
		return
	}
	delete(p.targets, p.ring[p.next])
	p.ring[p.next] = h
	p.next = (p.next + 1) % maxBlocks
}

// remove records that a target no longer caches a block.
func (p *prefixIndex) remove(t *target, h uint64) {
	ts := p.targets[h]
	if i := slices.Index(ts, t); i >= 0 {
		p.targets[h] = slices.Delete(slices.Clone(ts), i, i+1)
	}
}

// longestMatch returns the targets that cache the longest prefix of a prompt, and the
// number of blocks of that prefix.
func (p *prefixIndex) longestMatch(blocks []uint64) ([]*target, int) {
	n := sort.Search(len(blocks), func(i int) bool { return len(p.targets[blocks[i]]) == 0 })
	if n == 0 {
		return nil, 0
	}
	return p.targets[blocks[n-1]], n
}

// correct removes the blocks that a target turned out not to cache, if it reused less
// than half of the expected tokens. The target caches all blocks of the prompt
// afterwards.
func (p *prefixIndex) correct(t *target, blocks []uint64, expected, reused int) {
	if reused >= expected/2 || expected == 0 {
		return
	}
	for _, h := range blocks[min(reused/blockTokens, len(blocks)):] {
		p.remove(t, h)
	}
	p.addAll(t, blocks)
}

// removeTarget deletes a target from all blocks.
func (p *prefixIndex) removeTarget(t *target) {
	for h, ts := range p.targets {
		if slices.Contains(ts, t) {
			p.remove(t, h)
		}
	}
}

// updatePrefixes applies changes of a target's prefix cache.
func (c *Core) updatePrefixes(e Cached) {
	t := c.fleet.byName[e.Target]
	if t == nil {
		return
	}
	for _, h := range e.Removed {
		c.prefixes.remove(t, h)
	}
	for _, h := range e.Added {
		c.prefixes.add(t, h)
	}
}
