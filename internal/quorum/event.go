package quorum

import (
	"context"
	"sync"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// maxQueuedEvents bounds the events that wait for the goroutine that owns the Core.
const maxQueuedEvents = 8192

// maxQueuedBytes bounds the estimated size of the messages from other replicas among them. Those beyond it are
// lost, as on the network.
const maxQueuedBytes = 32 << 20

// event is a request or a batch of messages for the goroutine that owns the Core.
type event interface {
	// reject answers the event's sender with err if the event was not queued.
	reject(err error)
}

// stepEvent carries messages from another replica.
type stepEvent struct{ batch *Batch }

// proposeEvent requests that a command be committed.
type proposeEvent struct {
	cmd  []byte
	done chan<- result
}

// readEvent requests permission to read the local state machine.
type readEvent struct {
	ctx  context.Context
	done chan<- error
}

// changeEvent requests a membership change.
type changeEvent struct {
	change ConfigChange
	done   chan<- result
}

func (stepEvent) reject(error)          {}
func (e proposeEvent) reject(err error) { e.done <- result{err: err} }
func (e readEvent) reject(err error)    { e.done <- err }
func (e changeEvent) reject(err error)  { e.done <- result{err: err} }

// eventQueue is a bounded first-in, first-out queue of events.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	// bytes is the estimated size of the queued messages from other replicas.
	bytes  int
	closed bool
	wake   chan struct{}
}

// push queues an event, or rejects it if the queue is full or closed.
func (q *eventQueue) push(e event) {
	q.mu.Lock()
	rejected := q.closed || len(q.events) >= maxQueuedEvents
	if step, ok := e.(stepEvent); ok && !rejected {
		size := step.batch.size()
		rejected = q.bytes > 0 && q.bytes+size > maxQueuedBytes
		if !rejected {
			q.bytes += size
		}
	}
	if !rejected {
		q.events = append(q.events, e)
	}
	q.mu.Unlock()
	if rejected {
		e.reject(verd.New(verd.NotRun, verd.Overloaded,
			"this replica is stopping or already has %d queued requests", maxQueuedEvents))
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// popAll removes and returns all queued events.
func (q *eventQueue) popAll() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.events
	q.events, q.bytes = nil, 0
	return out
}

// close makes the queue reject all later events, and returns those still queued.
func (q *eventQueue) close() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	out := q.events
	q.events = nil
	return out
}
