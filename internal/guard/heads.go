package guard

import (
	"bytes"
	"sync/atomic"
)

const (
	// fieldBytes is the memory that a field of a head takes besides its bytes.
	fieldBytes = 256
	// freeHeadBytes is the memory that each head may take without counting.
	freeHeadBytes = 16 << 10
)

// Heads bounds the memory of all large heads of requests in progress. The zero value admits none.
type Heads struct {
	Limit int64

	used atomic.Int64
}

// acquire reserves n bytes. It returns false if there is no room.
func (h *Heads) acquire(n int64) bool {
	if h.used.Add(n) <= h.Limit {
		return true
	}
	h.used.Add(-n)
	return false
}

func (h *Heads) release(n int64) { h.used.Add(-n) }

// headCost returns the memory that a piece of a head takes once it is parsed.
func headCost(b []byte) int64 {
	return int64(len(b)) + fieldBytes*int64(bytes.Count(b, []byte{'\n'}))
}
