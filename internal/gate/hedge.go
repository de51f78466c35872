package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// errAnsweredElsewhere and errGivenUp are the causes with which the send to a silent target is cancelled.
var (
	errAnsweredElsewhere = errors.New("another target has answered")
	errGivenUp           = errors.New("the target was silent for too long")
)

// hedge sends a request to another target while the first one is silent, and leaves the connection to
// the first one open: the retry budget and the other targets may refuse, and the first one may go on.
type hedge struct {
	// ctx is the context of the request, and endFirst cancels the send to the first target.
	ctx      context.Context
	endFirst context.CancelCauseFunc
	// second is the state of the further sends: a copy of the first one's. sends is its number of
	// sends before them.
	second *exchange
	sends  int
	// first is the send to the first target.
	first send

	mu sync.Mutex
	// timer starts the further sends.
	timer *time.Timer
	// cancel ends them, and done is closed after that; nil before they start. Then result is set.
	cancel context.CancelFunc
	done   chan struct{}
	result plainResult
	// ended is set once the send to the first target has ended, and unwanted if it brought the
	// response.
	ended, unwanted bool
}

// newHedge returns the hedge for a request that is about to be sent to the target t. The send must use
// the context that newHedge returns, too.
func (x *exchange) newHedge(ctx context.Context, t site.Target) (*hedge, context.Context) {
	y := *x
	y.sends++
	y.mayHaveRun = false
	y.failedTargets = append(slices.Clone(x.failedTargets), t.ID)
	h := &hedge{ctx: ctx, second: &y, sends: y.sends, first: send{target: t, at: time.Now()}}
	ctx, h.endFirst = context.WithCancelCause(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	// If the response is lost, half of the remaining time is left for another target.
	h.timer = time.AfterFunc(min(max(latencyFactor*x.route.Aim, minHeadTimeout), x.timeLeft()/2), h.run)
	return h, ctx
}

// await gives the first target the time limit from now on. A nil hedge has no other target.
func (h *hedge) await(limit time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done == nil {
		h.timer.Reset(limit)
	}
}

// run makes the further sends.
func (h *hedge) run() {
	h.mu.Lock()
	if h.ended || h.done != nil {
		h.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	h.cancel, h.done = cancel, make(chan struct{})
	h.mu.Unlock()
	defer close(h.done)
	// Requests that come meanwhile are sent elsewhere.
	h.second.server.health.recordFailure(h.first.target.ID)
	h.second.watchSilence(h.first)
	r := h.second.runPlain(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unwanted {
		r.response.release()
		return
	}
	h.result = r
	if r.delivered {
		h.endFirst(errAnsweredElsewhere)
	} else if !h.ended {
		// No other target could be used. The caller can try again in the time that is left then.
		h.timer = time.AfterFunc(h.second.timeLeft()/2, func() { h.endFirst(errGivenUp) })
	}
}

// finish returns the result of the request after the send to the first target, whose result it gets.
func (h *hedge) finish(x *exchange, resp *response, o outcome) (*response, outcome) {
	defer h.endFirst(nil)
	_, delivers := o.(delivered)
	h.mu.Lock()
	h.ended, h.unwanted = true, delivers
	h.timer.Stop()
	done := h.done
	if done != nil && delivers {
		h.cancel()
		h.result.response.release()
	}
	h.mu.Unlock()
	if done == nil || delivers {
		return resp, o
	}
	<-done
	h.merge(x)
	switch r := h.result; {
	case r.delivered:
		resp.release()
		return r.response, delivered{}
	case r.response == nil:
		return resp, o
	default:
		resp.release()
		return r.response, serverError{}
	}
}

// merge adds to the state of the request what the further sends did. They have ended, as has the first.
func (h *hedge) merge(x *exchange) {
	first, second := *x, h.second
	if h.result.delivered {
		*x = *second
	}
	x.sends = first.sends + second.sends - h.sends
	x.mayHaveRun = first.mayHaveRun || second.mayHaveRun
	x.crashes = max(first.crashes, second.crashes)
	x.failedTargets = first.failedTargets
	for _, id := range second.failedTargets {
		if !slices.Contains(x.failedTargets, id) {
			x.failedTargets = append(x.failedTargets, id)
		}
	}
}

// hasStarted reports whether further sends were made, and so the silence of the first target recorded. A nil
// hedge makes none.
func (h *hedge) hasStarted() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done != nil
}

// sendError returns the error of a send whose context is ctx: silence since the time sentAt if
// it was cancelled because of that, and err otherwise.
func sendError(ctx context.Context, err error, sentAt time.Time) error {
	if cause := context.Cause(ctx); errors.Is(cause, errAnsweredElsewhere) || errors.Is(cause, errGivenUp) {
		return &engine.Silent{After: time.Since(sentAt)}
	}
	return err
}
