package trial

import (
	"container/heap"
	"time"
)

// loop is a discrete-event loop: it runs events in the order of their virtual time.
// Events at the same time run in the order in which they were added.
type loop struct {
	now    time.Duration
	events eventHeap
	seq    uint64
}

// event is a function that is due at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// after schedules f to run d from now.
func (l *loop) after(d time.Duration, f func()) {
	l.at(l.now+d, f)
}

// at schedules f to run at time t, or now if t has passed.
func (l *loop) at(t time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: max(t, l.now), seq: l.seq, run: f})
}

// run runs events up to the given time or until none is left.
func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

// eventHeap implements heap.Interface by time and sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
