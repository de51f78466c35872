package link

import "sync"

// maxWaitingBytes bounds what a link keeps to be sent: its receiver takes no longer message.
const maxWaitingBytes = 4 << 20

// outbox collects everything to be sent in one message.
type outbox[M any] struct {
	mu   sync.Mutex
	next M
	// pending is set if next has anything to send.
	pending bool
	// bytes is what is known of the size of next. Once it exceeds maxWaitingBytes, isFull is set for good.
	bytes  int
	isFull bool
	// wake receives a value when something was added.
	wake chan struct{}
}

func newOutbox[M any]() *outbox[M] { return &outbox[M]{wake: make(chan struct{}, 1)} }

// add calls change at once, which adds at least that many bytes to the next message. It returns true if this made
// the message too long; then and later, nothing is added.
func (o *outbox[M]) add(bytes int, change func(m *M)) (overflows bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isFull {
		return false
	}
	if o.bytes += bytes; o.bytes > maxWaitingBytes {
		var empty M
		o.next, o.isFull = empty, true
		return true
	}
	change(&o.next)
	o.pending = true
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return false
}

// take removes and returns the next message, and whether anything was added to it.
func (o *outbox[M]) take() (m M, pending bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, pending = o.next, o.pending
	var empty M
	o.next, o.pending, o.bytes = empty, false, 0
	return m, pending
}
