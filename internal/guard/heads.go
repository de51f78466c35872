package guard

import (
	"bytes"
	"net/http"
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

// headCost returns the memory that a piece of a head takes once it is parsed. What follows the head in the piece doesn't
// count.
func headCost(b []byte) int64 {
	b, _, _ = bytes.Cut(b, []byte("\r\n\r\n"))
	return int64(len(b)) + fieldBytes*int64(bytes.Count(b, []byte{'\n'}))
}

// fieldsCost returns the memory that parsed fields take.
func fieldsCost(h http.Header) int64 {
	cost := int64(0)
	for name, values := range h {
		for _, v := range values {
			cost += fieldBytes + int64(len(name)+len(v))
		}
	}
	return cost
}
