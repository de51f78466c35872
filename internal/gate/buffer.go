package gate

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes bounds the response of a plain service, which is buffered
	// completely before the caller gets any of it.
	maxResponseBytes = 32 << 20
	// defaultBufferBytes bounds all buffered responses together if Server.BufferBytes is 0.
	defaultBufferBytes = 64 << 20
	// firstChunkBytes and chunkBytes are the sizes of the pieces in which a response is
	// buffered. Most responses fit in the first one, which isn't counted.
	firstChunkBytes = 4 << 10
	chunkBytes      = 64 << 10
)

// errResponseTooLarge and errBuffersFull report that a response can't be buffered.
var (
	errResponseTooLarge = errors.New("response exceeds 32 MiB")
	errBuffersFull      = errors.New("buffered responses exceed the memory for them")
)

// responseBuffers bounds the memory of all buffered responses, so that targets that send
// without end can't exhaust it.
type responseBuffers struct {
	limit int64
	used  atomic.Int64
}

// acquire counts n more bytes. It returns false if they would exceed the limit.
func (b *responseBuffers) acquire(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// body is a buffered response body.
type body struct {
	chunks [][]byte
	length int
	// counted is how many bytes are counted in the buffers.
	counted int64
	buffers *responseBuffers
}

// release returns the memory of the body.
func (b *body) release() {
	b.buffers.used.Add(-b.counted)
	b.counted, b.chunks = 0, nil
}

// read reads a complete body, which must be released. It returns an error rather than a
// truncated one: that of r, errResponseTooLarge or errBuffersFull.
func (b *responseBuffers) read(r io.Reader) (*body, error) {
	out := &body{buffers: b}
	chunk := make([]byte, 0, firstChunkBytes)
	for {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		out.length += n
		if out.length > maxResponseBytes {
			err = errResponseTooLarge
		}
		if err != nil {
			out.chunks = append(out.chunks, chunk)
			if errors.Is(err, io.EOF) {
				return out, nil
			}
			out.release()
			return nil, err
		}
		if len(chunk) < cap(chunk) {
			continue
		}
		out.chunks = append(out.chunks, chunk)
		if !b.acquire(chunkBytes) {
			out.release()
			return nil, errBuffersFull
		}
		out.counted += chunkBytes
		chunk = make([]byte, 0, chunkBytes)
	}
}
