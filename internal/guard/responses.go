package guard

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

// ErrResponsesFull reports that there is no memory for what has come of a response.
var ErrResponsesFull = errors.New("the responses of targets exceed the memory for them")

// Responses bounds the memory of what is held of all responses of targets: their heads, and events that are incomplete or
// not passed on. Where there is none left, the response makes room that has made no progress for longest, if that is
// stallTime or more. Nil bounds nothing.
type Responses struct {
	Bodies
	Log     *log.Logger
	Metrics metrics.Registry

	incidentMu sync.Mutex
	// isFull is set while the limit is reached, as logged at loggedAt.
	isFull   bool
	loggedAt time.Time
}

// Response is what is held of a response. It must be released. Nil counts nothing.
type Response struct {
	responses *Responses
	body      *Body
	// head is the memory of the complete head, and cost that of all.
	head, cost int64
}

// NewResponse returns a response of which nothing has come. A call of interrupt ends a blocked read of it, so that it can
// make room.
func (r *Responses) NewResponse(interrupt func()) *Response {
	if r == nil {
		return nil
	}
	x := &Response{responses: r}
	x.body = r.New(-1, 0, func() {
		r.noteFull()
		interrupt()
	})
	return x
}

// HoldHead counts a piece of a head. It returns ErrResponsesFull if there is no memory for it.
func (x *Response) HoldHead(b []byte) error {
	if x == nil {
		return nil
	}
	return x.hold(x.cost+headCost(b), len(b))
}

// EndHead corrects what was counted for a head to its cost now that it is parsed: what was counted before may have been
// a part of the body.
func (x *Response) EndHead(h http.Header) error {
	if x == nil {
		return nil
	}
	x.head = fieldsCost(h)
	return x.hold(x.head, progressBytes)
}

// HoldEvent counts the buffer of an event instead of the former one, now that n more bytes have come. It returns
// ErrResponsesFull if there is no memory for it.
func (x *Response) HoldEvent(size, n int) error {
	if x == nil {
		return nil
	}
	return x.hold(x.head+int64(size), n)
}

// EndEvent notes that an event was passed on.
func (x *Response) EndEvent() error { return x.HoldEvent(0, progressBytes) }

// hold changes the memory of the response, of which n more bytes have come.
func (x *Response) hold(cost int64, n int) error {
	former := x.cost
	x.cost = cost
	if max(former, cost) <= freeHeadBytes {
		return nil
	}
	if former <= freeHeadBytes {
		n = progressBytes
	}
	if err := x.Err(); err != nil {
		return err
	}
	x.body.noteBytes(n)
	change := max(freeHeadBytes, cost) - max(freeHeadBytes, former)
	switch {
	case change < 0:
		x.body.give(-change)
	case change > 0 && !x.body.acquire(change):
		x.responses.noteFull()
		return ErrResponsesFull
	}
	return nil
}

// Err returns ErrResponsesFull if the response has lost its memory, and otherwise nil.
func (x *Response) Err() error {
	if x != nil && x.body.isEvicted() {
		return ErrResponsesFull
	}
	return nil
}

// Release returns the memory of the response.
func (x *Response) Release() {
	if x == nil {
		return
	}
	x.body.Release()
	x.responses.noteRoom()
}

// noteFull counts a response that ended for lack of memory.
func (r *Responses) noteFull() {
	metrics.GetOrRegisterCounter("guard.responses_closed", r.Metrics).Inc(1)
	now := time.Now()
	r.incidentMu.Lock()
	defer r.incidentMu.Unlock()
	if r.isFull || now.Sub(r.loggedAt) < logInterval {
		return
	}
	r.isFull, r.loggedAt = true, now
	r.Log.Warn().Int64("limit", r.Limit).Msg("limit of memory for responses of targets reached")
}

// noteRoom notes that the limit is left.
func (r *Responses) noteRoom() {
	hasRoom := float64(r.Used()) < relaxedShare*float64(r.Limit)
	now := time.Now()
	r.incidentMu.Lock()
	defer r.incidentMu.Unlock()
	if !r.isFull || !hasRoom || now.Sub(r.loggedAt) < logInterval {
		return
	}
	r.isFull, r.loggedAt = false, now
	r.Log.Info().Int64("limit", r.Limit).Msg("limit of memory for responses of targets left")
}
