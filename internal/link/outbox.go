package link

import "sync"

// outbox merges what waits to be sent, so that one message carries all of it.
type outbox[M any] struct {
	mu      sync.Mutex
	next    M
	pending bool
	wake    chan struct{}
}

func newOutbox[M any]() *outbox[M] { return &outbox[M]{wake: make(chan struct{}, 1)} }

// add changes the next message.
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

// take returns the next message and whether there is anything in it.
func (o *outbox[M]) take() (m M, some bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, some = o.next, o.pending
	var empty M
	o.next, o.pending = empty, false
	return m, some
}
