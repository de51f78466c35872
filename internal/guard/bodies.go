package guard

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstBytes is the size of the first buffer of a body. Most bodies fit in it, and it isn't counted.
	firstBytes = 4 << 10
	// growth is the factor between the sizes of two buffers of a body.
	growth = 2
	// secondBytes is the size of the second buffer.
	secondBytes = 64 << 10
	// stallTime is how long the body of a request in progress keeps its memory without progress if others need it.
	stallTime = time.Second
	// progressBytes is how much of a body has to come within stallTime for it to make progress.
	progressBytes = 16 << 10
)

// ErrBodiesFull reports that there is no memory for the body of a request.
var ErrBodiesFull = errors.New("the bodies of requests exceed the memory for them")

// Bodies bounds the memory of all bodies of requests. Where there is none left, the body in progress that has made
// no progress for longest makes room, if that is stallTime or more.
type Bodies struct {
	// Limit is the memory in bytes.
	Limit int64
	// Weight is how many bytes of memory count for each byte of a body; 0 means 1.
	Weight int64

	mu   sync.Mutex
	used int64
	// inProgress holds the incomplete bodies that have memory.
	inProgress map[*Body]struct{}
}

// Body is the body of a request. It must be released.
type Body struct {
	// Data is the body once it is complete.
	Data []byte

	bodies *Bodies
	// maxLength is the length that the client stated, or else the largest allowed.
	maxLength int64
	// interrupt ends a blocked read.
	interrupt func()
	// stallTime is how long it keeps its memory without progress if others need it, and progressBytes how much has to come
	// within it.
	stallTime     time.Duration
	progressBytes int
	// unnoted is how much has come since progressAt.
	unnoted int

	// The fields below are guarded by Bodies.mu.
	counted    int64
	progressAt time.Time
	evicted    bool
}

// Used returns the memory that is in use, in bytes.
func (b *Bodies) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// MaxLength returns the length of the longest body that has room.
func (b *Bodies) MaxLength() int64 { return b.Limit/b.weight() - 1 }

func (b *Bodies) weight() int64 { return max(1, b.Weight) }

// New returns an empty body. The client has stated a length of at most maxLength, or -1; interrupt ends a blocked
// read of the body, so that it can make room.
func (b *Bodies) New(length, maxLength int64, interrupt func()) *Body {
	if length >= 0 {
		maxLength = min(length, maxLength)
	}
	return &Body{bodies: b, maxLength: maxLength, interrupt: interrupt, stallTime: stallTime, progressBytes: progressBytes, progressAt: time.Now()}
}

// ReadFrom reads the whole body from r. It returns the error of r, or ErrBodiesFull.
func (x *Body) ReadFrom(r io.Reader) (int64, error) {
	for {
		done, err := x.readSome(r)
		if done || err != nil {
			return int64(len(x.Data)), err
		}
	}
}

// readSome reads a piece of the body. It returns true at the end.
func (x *Body) readSome(r io.Reader) (done bool, err error) {
	if len(x.Data) == cap(x.Data) {
		if err := x.grow(); err != nil {
			return false, err
		}
	}
	n, err := r.Read(x.Data[len(x.Data):cap(x.Data)])
	x.Data = x.Data[:len(x.Data)+n]
	x.noteBytes(n)
	if err == nil {
		return false, nil
	}
	if x.finish() {
		return false, ErrBodiesFull
	}
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// grow moves the body to a larger buffer.
func (x *Body) grow() error {
	if x.Data == nil {
		// One byte more, so that the end shows without another buffer.
		x.Data = make([]byte, 0, min(firstBytes, x.maxLength+1))
		return nil
	}
	size := max(secondBytes, int64(cap(x.Data))*growth)
	if x.maxLength >= int64(len(x.Data)) {
		size = min(size, x.maxLength+1)
	}
	if !x.acquire(size, true) {
		return ErrBodiesFull
	}
	former := int64(cap(x.Data))
	x.Data = append(make([]byte, 0, size), x.Data...)
	if former > firstBytes {
		x.give(former)
	}
	return nil
}

// noteBytes notes that n more bytes have come.
func (x *Body) noteBytes(n int) {
	if x.unnoted += n; x.unnoted < x.progressBytes {
		return
	}
	x.unnoted = 0
	x.bodies.mu.Lock()
	defer x.bodies.mu.Unlock()
	x.progressAt = time.Now()
}

// acquire counts a buffer of size bytes. If there is no memory for it, it returns false and releases the whole
// body at once: bodies that grow in step must leave room for each other. With isCopy the buffer takes the place of a
// former one.
func (x *Body) acquire(size int64, isCopy bool) bool {
	b := x.bodies
	size *= b.weight()
	b.mu.Lock()
	defer b.mu.Unlock()
	for !x.evicted && !b.hasRoom(x, size, isCopy) {
		if stalled, ok := pickStalledBody(b.inProgress, x, time.Now()); ok {
			b.remove(stalled)
			stalled.evicted = true
			stalled.interrupt()
			continue
		}
		b.remove(x)
		x.evicted = true
	}
	if x.evicted {
		x.Data = nil
		return false
	}
	if b.inProgress == nil {
		b.inProgress = make(map[*Body]struct{})
	}
	b.inProgress[x] = struct{}{}
	b.used += size
	x.counted += size
	return true
}

// hasRoom reports whether there is memory for a buffer of a body. One that is alone needs it for the new buffer
// only if that is a copy, so that each body of up to MaxLength is read where nothing else is. The caller holds b.mu.
func (b *Bodies) hasRoom(x *Body, size int64, isCopy bool) bool {
	return b.used+size <= b.Limit || isCopy && b.used == x.counted && size <= b.Limit
}

// pickStalledBody returns the body other than own that has made no progress for longest, and for its stallTime at
// least. It returns false if there is none.
func pickStalledBody(list map[*Body]struct{}, own *Body, now time.Time) (stalled *Body, ok bool) {
	for x := range list {
		if x != own && now.Sub(x.progressAt) >= x.stallTime && (!ok || x.progressAt.Before(stalled.progressAt)) {
			stalled, ok = x, true
		}
	}
	return stalled, ok
}

// remove releases the memory of a body. The caller holds b.mu.
func (b *Bodies) remove(x *Body) {
	delete(b.inProgress, x)
	b.used -= x.counted
	x.counted = 0
}

// give releases the memory of a former buffer.
func (x *Body) give(size int64) {
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	if !x.evicted {
		b.used -= size * b.weight()
		x.counted -= size * b.weight()
	}
}

// isEvicted reports whether the body has lost its memory.
func (x *Body) isEvicted() bool {
	x.bodies.mu.Lock()
	defer x.bodies.mu.Unlock()
	return x.evicted
}

// finish ends the reading of the body. It reports whether the body has lost its memory before.
func (x *Body) finish() (evicted bool) {
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inProgress, x)
	return x.evicted
}

// Reserve counts n more bytes of memory, in which a complete body is decoded, until it is released. It returns false if
// there is no room.
func (x *Body) Reserve(n int64) bool {
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.used+n > b.Limit {
		stalled, ok := pickStalledBody(b.inProgress, x, time.Now())
		if !ok {
			return false
		}
		b.remove(stalled)
		stalled.evicted = true
		stalled.interrupt()
	}
	b.used += n
	x.counted += n
	return true
}

// Release returns the memory of the body. A nil body has none.
func (x *Body) Release() {
	if x == nil {
		return
	}
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(x)
	x.Data = nil
}
