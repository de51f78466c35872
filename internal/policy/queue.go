package policy

import (
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// numClasses is the number of request classes.
const numClasses = 3

// laneID is the index of a lane in the queue: by class, then by band.
type laneID int

func laneOf(class table.Class, b Band) laneID { return laneID(class.Rank()*int(NumBands) + int(b)) }

func (l laneID) band() Band { return Band(int(l) % int(NumBands)) }

// queuedRequest is a request that waits for a grant.
type queuedRequest struct {
	req      Ask
	band     Band
	lane     laneID
	arrived  time.Time
	deadline time.Time
	// grantDeadline is when the request must be granted to end within its time limit.
	grantDeadline time.Time
	// work is the predicted time to prefill the prompt on one target.
	work time.Duration
	seq  uint64

	org *organisation
	// backlogIndex is the index in backlog.requests, deadlineIndex that in
	// queue.byDeadline.
	backlogIndex, deadlineIndex int
}

// before orders requests by grant deadline, then by arrival.
func (r *queuedRequest) before(o *queuedRequest) bool {
	if !r.grantDeadline.Equal(o.grantDeadline) {
		return r.grantDeadline.Before(o.grantDeadline)
	}
	return r.seq < o.seq
}

// backlog holds the queued requests of one organisation in one lane.
type backlog struct {
	org      *organisation
	requests indexedHeap[*queuedRequest]
	// laneIndex is the index in lane.backlogs.
	laneIndex int
}

// lane holds the queued requests of one class and band.
type lane struct {
	backlogs indexedHeap[*backlog]
	// work is the sum over the requests in the lane.
	work     time.Duration
	requests int
}

// queue holds the queued requests of a shard.
type queue struct {
	lanes [numClasses * int(NumBands)]lane
	byID  map[string]*queuedRequest
	// byDeadline holds all requests, the earliest grant deadline first.
	byDeadline indexedHeap[*queuedRequest]
	seq        uint64
}

func newQueue() *queue {
	q := &queue{byID: make(map[string]*queuedRequest)}
	q.byDeadline = indexedHeap[*queuedRequest]{less: (*queuedRequest).before, index: func(r *queuedRequest) *int { return &r.deadlineIndex }}
	for i := range q.lanes {
		q.lanes[i].backlogs = indexedHeap[*backlog]{less: (*backlog).before, index: func(b *backlog) *int { return &b.laneIndex }}
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

// push adds a request, which must have its organisation set.
func (q *queue) push(r *queuedRequest) {
	q.seq++
	r.seq = q.seq
	q.byID[r.req.ID] = r
	q.byDeadline.push(r)
	l := &q.lanes[r.lane]
	l.work += r.work
	l.requests++
	b := r.org.backlog(r.lane)
	b.requests.push(r)
	if b.laneIndex == notInHeap {
		l.backlogs.push(b)
	} else {
		l.backlogs.move(b)
	}
	r.org.queued++
}

// remove removes a request.
func (q *queue) remove(r *queuedRequest) {
	delete(q.byID, r.req.ID)
	q.byDeadline.remove(r)
	l := &q.lanes[r.lane]
	l.work -= r.work
	l.requests--
	b := r.org.backlog(r.lane)
	b.requests.remove(r)
	if b.requests.len() == 0 {
		l.backlogs.remove(b)
	} else {
		l.backlogs.move(b)
	}
	r.org.queued--
}

// head returns the next request of a lane, or nil.
func (l *lane) head() *queuedRequest {
	if l.backlogs.len() == 0 {
		return nil
	}
	return l.backlogs.first().requests.first()
}

// reorder restores the order of the lanes after the virtual time of an organisation has
// changed.
func (q *queue) reorder(o *organisation) {
	for id, b := range o.backlogs {
		if b != nil {
			q.lanes[id].backlogs.move(b)
		}
	}
}
