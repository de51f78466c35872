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
	// defaultBufferBytes bounds all buffered responses together, and all buffered requests, if
	// Server.BufferBytes is 0.
	defaultBufferBytes = 64 << 20
	// firstChunkBytes and chunkBytes are the sizes of the pieces in which a body is buffered.
	// Most bodies fit in the first one, which isn't counted.
	firstChunkBytes = 4 << 10
	chunkBytes      = 64 << 10
)

// errResponseTooLarge and errBuffersFull report that a response can't be buffered.
var (
	errResponseTooLarge = errors.New("response exceeds 32 MiB")
	errBuffersFull      = errors.New("buffered responses exceed the memory for them")
)

// bodyBuffers bounds the memory of all buffered responses, so that targets that send without end
// can't exhaust it.
type bodyBuffers struct {
	limit int64
	used  atomic.Int64
}

// acquire counts one more chunk of a body, of which counted bytes are counted already. If there is
// no memory for it, it returns false and releases the whole body at once: bodies that grow in step
// must leave room for each other.
func (b *bodyBuffers) acquire(counted *int64) bool {
	for {
		used := b.used.Load()
		hasRoom := used+chunkBytes <= b.limit
		change := int64(chunkBytes)
		if !hasRoom {
			change = -*counted
		}
		if b.used.CompareAndSwap(used, used+change) {
			*counted += change
			return hasRoom
		}
	}
}

// body is a buffered response body.
type body struct {
	chunks [][]byte
	length int
	// counted is how many bytes are counted in the buffers.
	counted int64
	buffers *bodyBuffers
}

// release returns the memory of the body.
func (b *body) release() {
	b.buffers.used.Add(-b.counted)
	b.counted, b.chunks = 0, nil
}

// read reads a complete body, which must be released. It returns an error rather than a
// truncated one: that of r, errResponseTooLarge or errBuffersFull.
func (b *bodyBuffers) read(r io.Reader) (*body, error) {
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
		if !b.acquire(&out.counted) {
			return nil, errBuffersFull
		}
		chunk = make([]byte, 0, chunkBytes)
	}
}
