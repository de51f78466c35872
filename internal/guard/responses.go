package guard

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/meter"
)

// responseStallTime is stallTime of a response, and responseProgress its progressBytes. Targets are near and send what they have
// at once; and the callers of one that stops may return each second.
const (
	responseStallTime = 100 * time.Millisecond
	responseProgress  = 1 << 10
)

// ErrResponsesFull reports that there is no memory for what has come of a response, and ErrResponseStalled that it has
// made room for others.
var (
	ErrResponsesFull   = errors.New("the responses of targets exceed the memory for them")
	ErrResponseStalled = errors.New("the response stood still while others needed its memory")
)

// Responses bounds the memory of what is held of all responses of targets, such as heads and incomplete events. Where there
// is none left, the response makes room that has made no progress for longest, if that is responseStallTime or more. Nil
// bounds nothing.
type Responses struct {
	Bodies
	// Name is what is held, in logs and metrics.
	Name string
	// Free is the memory that each response may take without counting.
	Free    int64
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
	stalled   atomic.Bool
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
		x.stalled.Store(true)
		r.noteFull()
		interrupt()
	})
	x.body.stallTime, x.body.progressBytes = responseStallTime, responseProgress
	return x
}

// HoldHead counts a piece of a head. It returns ErrResponsesFull or ErrResponseStalled if there is
// no memory for it.
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

// Hold counts size bytes for what is held besides the head, now that n more bytes have come, instead of what was
// counted before. It returns ErrResponsesFull or ErrResponseStalled if there is no memory for it.
func (x *Response) Hold(size, n int) error {
	if x == nil {
		return nil
	}
	return x.hold(x.head+int64(size), n)
}

// EndEvent notes that an event was passed on.
func (x *Response) EndEvent() error { return x.Hold(0, progressBytes) }

// Finish notes that the response is complete, so that it keeps its memory until it is released. It returns an error if
// the response has lost it.
func (x *Response) Finish() error {
	x.body.finish()
	return x.Err()
}

// hold changes the memory of the response, of which n more bytes have come.
func (x *Response) hold(cost int64, n int) error {
	former := x.cost
	x.cost = cost
	free := x.responses.Free
	if max(former, cost) <= free {
		return nil
	}
	if former <= free {
		n = progressBytes
	}
	if err := x.Err(); err != nil {
		return err
	}
	x.body.noteBytes(n)
	change := max(free, cost) - max(free, former)
	switch {
	case change < 0:
		x.body.give(-change)
	case change > 0 && !x.body.acquire(change, false):
		x.responses.noteFull()
		return ErrResponsesFull
	}
	return nil
}

// Err returns ErrResponsesFull or ErrResponseStalled if the response has lost its memory, and otherwise nil.
func (x *Response) Err() error {
	switch {
	case x == nil || !x.body.isEvicted():
		return nil
	case x.stalled.Load():
		return ErrResponseStalled
	default:
		return ErrResponsesFull
	}
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
	metrics.GetOrRegisterCounter(meter.Label("guard.responses_closed", "part", r.Name), r.Metrics).Inc(1)
	now := time.Now()
	r.incidentMu.Lock()
	defer r.incidentMu.Unlock()
	if r.isFull || now.Sub(r.loggedAt) < logInterval {
		return
	}
	r.isFull, r.loggedAt = true, now
	r.Log.Warn().Str("part", r.Name).Int64("limit", r.Limit).Msg("limit of memory for responses of targets reached")
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
	r.Log.Info().Str("part", r.Name).Int64("limit", r.Limit).Msg("limit of memory for responses of targets left")
}
