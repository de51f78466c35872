package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// drainAcceptPeriod is how long a draining instance still accepts requests that may
	// last longer than itself: until most callers have looked up others.
	drainAcceptPeriod = 2500 * time.Millisecond
	// unknownNeed is the part of the drain that is kept for an answer if no other of its kind tells what it takes.
	unknownNeed = 0.5
	// turnTime is how long a request waits for a grant after the notice that it is queued if it takes one at once or none:
	// the scheduler queues some for its next round only.
	turnTime = 100 * time.Millisecond
	// lateFactor is how many times the delay of timers an instance ends earlier: it was late to learn of its stop, and will
	// be late to write its last responses. A drain keeps minDrainShare of its time.
	lateFactor    = 2
	minDrainShare = 0.5
)

// shutdownReason is why requests end that are in progress at the end of a drain, and why a draining
// instance refuses requests.
const shutdownReason = "this instance is shutting down"

// errShuttingDown reports that a request can't be answered any more before this instance ends.
var errShuttingDown = errors.New(shutdownReason)

// Drain starts to drain the instance: callers are no longer sent here.
func (s *Server) Drain() {
	late := min(lateFactor*time.Duration(s.delay.mean.Load()), scale(s.DrainTime, 1-minDrainShare))
	s.drainLate.CompareAndSwap(0, int64(late))
	if s.drainStart.CompareAndSwap(0, int64(time.Since(s.startedAt))+1) {
		s.startDraining()
	}
}

// DrainLimit returns how long after Drain the requests in progress have to end; 0 if there is no limit.
func (s *Server) DrainLimit() time.Duration {
	return max(0, s.DrainTime-time.Duration(s.drainLate.Load()))
}

// EndRequests ends the requests in progress at the end of a drain. Their callers get a response, as long as they have no
// part of one, which says whether the request may have run.
func (s *Server) EndRequests() { s.stopServing() }

// drainingFor returns how long the instance has been draining; 0 while it serves.
func (s *Server) drainingFor() time.Duration {
	at := s.drainStart.Load()
	if at == 0 {
		return 0
	}
	return max(1, time.Since(s.startedAt)-time.Duration(at))
}

// drainLeft returns the time until the requests in progress end, if the instance is draining and knows when it ends.
func (s *Server) drainLeft() (left time.Duration, ok bool) {
	d := s.drainingFor()
	return s.DrainLimit() - d, d > 0 && s.DrainTime > 0
}

// untilDrainedFor returns a context that ends, with errShuttingDown as its cause, once this instance has been draining for
// a time.
func (s *Server) untilDrainedFor(ctx context.Context, after time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.draining, func() {
		if s.DrainTime > 0 && timing.Sleep(ctx, after-s.drainingFor()) {
			cancel(errShuttingDown)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// outlastsInstance reports whether another instance has to serve a new request, because its answer isn't expected to end
// before this instance does. If nothing tells what it takes, and once most callers know other instances, its time limit
// decides.
func (x *exchange) outlastsInstance() bool {
	s := x.server
	if s.serving.Err() != nil {
		return true
	}
	limit := time.Until(x.deadline)
	left, ok := s.drainLeft()
	if !ok || s.drainingFor() > drainAcceptPeriod {
		return s.drainingFor() > drainAcceptPeriod && limit > left
	}
	if _, known := x.expectedTime(); known {
		return limit > left && x.takesTooLong()
	}
	return limit > left
}

// takesTooLong reports whether an answer is expected to end later than this instance.
func (x *exchange) takesTooLong() bool {
	need, known := x.expectedTime()
	left, ok := x.server.drainLeft()
	return known && ok && need > left
}

// expectedTime returns the time that the answer to a request is expected to take once it is sent to a target. It returns
// false if there is nothing to go by.
func (x *exchange) expectedTime() (need time.Duration, known bool) {
	a, known := x.server.answers.expected(x.kind())
	return a.took, known
}

// acquireInTime is placer.acquire for as long as the answer could end before this instance does. While it drains, a request
// doesn't wait for engines, as its caller could go to another instance at once.
func (s *stream) acquireInTime(ctx context.Context, req *place.Request) (place.Grant, error) {
	need, known := s.expectedTime()
	if s.headSent {
		// A part of the answer is there.
		need, known = 0, false
	}
	longestWait := s.server.DrainLimit()
	if req.NoQueue = s.server.drainingFor() > 0; !req.NoQueue {
		if !known {
			need = time.Duration(unknownNeed * float64(longestWait))
		}
		longestWait -= need
	}
	ctx, cancel := s.server.untilDrainedFor(ctx, longestWait)
	defer cancel()
	g, err := s.server.placer.acquire(ctx, req)
	if err == nil {
		if left, ok := s.server.drainLeft(); ok && s.outlasts(g, left) {
			s.server.placer.release(place.End{ID: g.ID})
			err = errShuttingDown
		}
	}
	if errors.Is(err, errShuttingDown) || err != nil && errors.Is(context.Cause(ctx), errShuttingDown) {
		err = &refusedError{place.Refuse{Reason: shutdownReason}}
	}
	return g, err
}

// outlasts reports whether the answer of the engines of a grant isn't expected to end in the time left. If a part of it is
// there, its caller is better off with as much as comes.
func (s *stream) outlasts(g place.Grant, left time.Duration) bool {
	need, known := s.expectedTimeWith(g)
	s.need = need
	return g.PredictedTTFT > left || !s.headSent && known && need > left
}
