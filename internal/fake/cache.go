package fake

import (
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// maxEvents is the number of cache events that are kept for readers.
const maxEvents = 64

// cache is a prefix cache with LRU eviction. The least recently used block comes first.
type cache struct {
	blocks []uint64
	events []engine.CacheEvent
	// lastEvent is the number of the last event.
	lastEvent uint64
}

// match returns the number of prompt tokens that need no prefill. The last token always
// needs it.
func (c *cache) match(prefix []uint64, tokens int) int {
	blocks := 0
	for _, h := range prefix {
		if !slices.Contains(c.blocks, h) {
			break
		}
		blocks++
	}
	return max(0, min(blocks*prompt.BlockTokens, tokens-1))
}

// add stores the blocks of a prompt and shrinks the cache to capacity tokens.
func (c *cache) add(prefix []uint64, capacity int) {
	if len(prefix) == 0 {
		return
	}
	c.blocks = slices.DeleteFunc(c.blocks, func(h uint64) bool { return slices.Contains(prefix, h) })
	c.blocks = append(c.blocks, prefix...)
	c.publish(engine.CacheEvent{Stored: prefix})
	c.shrink(capacity)
}

// shrink evicts the least recently used blocks until the rest fits in capacity tokens.
func (c *cache) shrink(capacity int) {
	excess := len(c.blocks) - max(0, capacity)/prompt.BlockTokens
	if excess <= 0 {
		return
	}
	c.publish(engine.CacheEvent{Evicted: slices.Clone(c.blocks[:excess])})
	c.blocks = slices.Clone(c.blocks[excess:])
}

// publish numbers an event and keeps it for readers.
func (c *cache) publish(ev engine.CacheEvent) {
	c.lastEvent++
	ev.Number = c.lastEvent
	c.events = append(c.events, ev)
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after a number that are still kept.
func (c *cache) since(number uint64) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, ev := range c.events {
		if ev.Number > number {
			out = append(out, ev)
		}
	}
	return out
}
