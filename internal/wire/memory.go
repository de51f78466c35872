package wire

import (
	"context"
	"sync"
)

// largeDivisor divides the memory for decoding into the size above which a message is large. Of the large
// ones, one at a time is decoded or handled, and it leaves as much to the others.
const largeDivisor = 4

// decodeMemory is the memory of messages that are decoded or handled, which all connections of a server share.
type decodeMemory struct {
	limit int64

	mu sync.Mutex
	// small is what messages that are not large have, and large the size of the large one, or 0.
	small, large int64
	// released is closed when some is released.
	released chan struct{}
}

func newDecodeMemory(limit int64) *decodeMemory {
	return &decodeMemory{limit: limit, released: make(chan struct{})}
}

func (m *decodeMemory) isLarge(bytes int64) bool { return bytes > m.limit/largeDivisor }

// acquire waits until there is memory for a message, or ctx ends.
func (m *decodeMemory) acquire(ctx context.Context, bytes int64) error {
	for {
		ok, released := m.tryAcquire(bytes)
		if ok {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryAcquire acquires memory if there is enough. Otherwise it returns what is closed when some is released.
func (m *decodeMemory) tryAcquire(bytes int64) (ok bool, released <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := m.limit / largeDivisor
	if m.isLarge(bytes) {
		if ok = m.large == 0 && m.small <= share; ok {
			m.large = bytes
		}
		return ok, m.released
	}
	if ok = m.small+bytes+min(m.large, m.limit-share) <= m.limit; ok {
		m.small += bytes
	}
	return ok, m.released
}

// release releases what was acquired for a message.
func (m *decodeMemory) release(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isLarge(bytes) {
		m.large = 0
	} else {
		m.small -= bytes
	}
	close(m.released)
	m.released = make(chan struct{})
}
