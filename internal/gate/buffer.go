package gate

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/guard"
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

// errResponseTooLarge reports that a response can't be buffered.
var errResponseTooLarge = errors.New("response exceeds 32 MiB")

// bodyBuffers bounds the memory of all buffered responses, so that targets that send without end
// can't exhaust it.
type bodyBuffers struct{ memory guard.Responses }

// body is a buffered response body.
type body struct {
	chunks [][]byte
	length int
	held   *guard.Response
	// mu guards chunks until the body is complete.
	mu sync.Mutex
}

// release returns the memory of the body.
func (b *body) release() {
	b.held.Release()
	b.drop()
}

// drop frees the chunks.
func (b *body) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks = nil
}

// add adds a chunk.
func (b *body) add(chunk []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks = append(b.chunks, chunk)
}

// read reads a complete body, which must be released. It returns an error rather than a
// truncated one: that of r, errResponseTooLarge or one of guard.Response. A call of interrupt ends a
// blocked read.
func (b *bodyBuffers) read(r io.Reader, interrupt func()) (*body, error) {
	out := &body{}
	out.held = b.memory.NewResponse(func() {
		// The reader may take a while to notice.
		out.drop()
		interrupt()
	})
	err := out.readFrom(r)
	if lost := out.held.Finish(); lost != nil {
		err = lost
	}
	if err != nil {
		out.release()
		return nil, err
	}
	return out, nil
}

// readFrom reads until the end of r.
func (b *body) readFrom(r io.Reader) error {
	chunk := make([]byte, 0, firstChunkBytes)
	size := 0
	for {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if b.length += n; b.length > maxResponseBytes {
			err = errResponseTooLarge
		}
		if err != nil {
			b.add(chunk)
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		isFull := len(chunk) == cap(chunk)
		if isFull {
			size += chunkBytes
		}
		if err := b.held.Hold(size, n); err != nil {
			return err
		}
		if isFull {
			b.add(chunk)
			chunk = make([]byte, 0, chunkBytes)
		}
	}
}
