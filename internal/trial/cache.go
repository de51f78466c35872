package trial

import "container/list"

// blockTokens is the size of a block of the prefix cache in tokens.
const blockTokens = 256

// cache is a prefix cache of whole blocks that evicts the least recently used ones.
type cache struct {
	lru    list.List
	blocks map[uint64]*list.Element
}

// match returns the number of leading blocks of a prompt that are cached.
func (c *cache) match(prefix []uint64) int {
	for i, h := range prefix {
		e := c.blocks[h]
		if e == nil {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(prefix)
}

// add caches the blocks of a prompt and returns those that were not cached.
func (c *cache) add(prefix []uint64) []uint64 {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	var added []uint64
	for _, h := range prefix {
		if e := c.blocks[h]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
		added = append(added, h)
	}
	return added
}

// trim evicts blocks until the cache holds at most capacity tokens and returns them.
func (c *cache) trim(capacity int) []uint64 {
	var evicted []uint64
	for c.lru.Len()*blockTokens > capacity {
		e := c.lru.Back()
		h := e.Value.(uint64)
		c.lru.Remove(e)
		delete(c.blocks, h)
		evicted = append(evicted, h)
	}
	return evicted
}
