package link

import "sync"

// outbox collects everything to be sent in one message.
type outbox[M any] struct {
	mu   sync.Mutex
	next M
	// pending is set if next has anything to send.
	pending bool
	// wake receives a value when something was added.
	wake chan struct{}
}

func newOutbox[M any]() *outbox[M] { return &outbox[M]{wake: make(chan struct{}, 1)} }

// add calls change at once, which adds to the next message.
func (o *outbox[M]) add(change func(m *M)) {
	o.mu.Lock()
	change(&o.next)
	o.pending = true
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the next message, and whether anything was added to it.
func (o *outbox[M]) take() (m M, pending bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, pending = o.next, o.pending
	var empty M
	o.next, o.pending = empty, false
	return m, pending
}
