package quorum

import (
	"context"
	"sync"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// maxQueuedEvents bounds the events that wait for the owner of a core.
const maxQueuedEvents = 8192

// event is something for the goroutine that owns the core.
type event interface {
	// reject answers an event that was not taken in.
	reject(err error)
}

// stepEvent brings messages of another replica.
type stepEvent struct{ batch *Batch }

// proposeEvent asks for a command to be committed.
type proposeEvent struct {
	cmd  []byte
	done chan<- result
}

// readEvent asks whether the local machine may be read.
type readEvent struct {
	ctx  context.Context
	done chan<- error
}

// changeEvent asks for a change of the members.
type changeEvent struct {
	change ConfigChange
	done   chan<- result
}

func (stepEvent) reject(error)          {}
func (e proposeEvent) reject(err error) { e.done <- result{err: err} }
func (e readEvent) reject(err error)    { e.done <- err }
func (e changeEvent) reject(err error)  { e.done <- result{err: err} }

// eventQueue holds events in order.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	closed bool
	wake   chan struct{}
}

// push adds an event, or refuses it if there are too many.
func (q *eventQueue) push(e event) {
	q.mu.Lock()
	rejected := q.closed || len(q.events) >= maxQueuedEvents
	if !rejected {
		q.events = append(q.events, e)
	}
	q.mu.Unlock()
	if rejected {
		e.reject(verd.New(verd.NotRun, verd.Overloaded, "this replica takes no more"))
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// popAll returns the events that wait.
func (q *eventQueue) popAll() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.events
	q.events = nil
	return out
}

// close refuses all later events and returns those that wait.
func (q *eventQueue) close() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	out := q.events
	q.events = nil
	return out
}
