package gate

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/meter"
)

// takeover tries another target while the first one is silent, and leaves the connection to the first
// one open: the retry budget, the scheduler or the other target may refuse, and the first one may go on.
// Whichever sends the next event first continues the answer.
type takeover struct {
	// ctx is the context of the request, and endFirst ends the first attempt.
	ctx      context.Context
	endFirst context.CancelFunc
	// first is the stream of the first attempt, and second that of the others. sends and refusals are those
	// of second before the first of them.
	first, second   *stream
	sends, refusals int
	// attempt is the first attempt; only its target and grant may be read while it goes on.
	attempt *streamAttempt
	// firstDone is closed when the first attempt relays nothing more.
	firstDone chan struct{}

	mu sync.Mutex
	// timer starts a round; it is stopped while an event is written to the caller.
	timer *time.Timer
	// awaiting is set while the first target is waited for: the timer may expire as an event comes.
	awaiting bool
	// silence is how long the first target may be silent before the next round, and sent its send as it was
	// when that time began.
	silence time.Duration
	sent    send
	// received is what the caller had of the first stream when the wait for the next round began.
	received received
	// ended is set once the first attempt relays nothing more: no further round starts.
	ended bool
	// claimed is set once the second stream continues the answer.
	claimed bool
	// left is set if the request ended before the last round.
	left bool
	// round is the current or last round; nil before the first one.
	round *takeoverRound
}

// takeoverRound is a series of attempts while the first target is silent.
type takeoverRound struct {
	cancel context.CancelFunc
	// cancelled is set once the first target has gone on.
	cancelled bool
	// done is closed at the end of the round, after which complete and reason are set as by run.
	done     chan struct{}
	complete bool
	reason   string
}

// Values of the label outcome of the metric gate.takeovers.
const (
	// movedOutcome: another target continued the answer.
	movedOutcome = "moved"
	// keptOutcome: the first target went on before another one did.
	keptOutcome = "kept"
	// endedOutcome: the caller left, or the time limit of the request was reached.
	endedOutcome = "ended"
	// failedOutcome: no other target could be used.
	failedOutcome = "failed"
)

// newTakeover returns the takeover for an attempt that is about to begin. If the stream is itself the second one
// of a takeover, no round starts before it continues the answer.
func newTakeover(ctx context.Context, first *stream, att *streamAttempt, endFirst context.CancelFunc) *takeover {
	x := *first.exchange
	x.sends++
	x.mayHaveRun = false
	x.failedTargets = append(slices.Clone(x.failedTargets), att.target.ID)
	t := &takeover{ctx: ctx, endFirst: endFirst, first: first, attempt: att, sends: x.sends, refusals: first.refusals, firstDone: make(chan struct{})}
	t.second = &stream{exchange: &x, refusals: first.refusals, standby: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, t.run)
	t.timer.Stop()
	if first.standby == nil {
		t.start(first.firstSilence(att))
	}
	return t
}

// firstSilence is how long a target may be silent before its first event, or the head of a whole answer, until another
// one is tried.
func (s *stream) firstSilence(att *streamAttempt) time.Duration {
	if !s.hasEvents() {
		return s.wholeSilence(att.grant)
	}
	return min(s.eventTimeout(), max(time.Duration(firstEventShare*float64(s.eventTimeout())), predictionFactor*s.predicted))
}

// start starts the next round after the time silence without a new event. The caller holds mu.
func (t *takeover) start(silence time.Duration) {
	t.received, t.sent = t.first.received, t.attempt.record()
	t.awaiting, t.silence = true, silence
	t.timer.Reset(silence)
}

// run runs one round.
func (t *takeover) run() {
	t.mu.Lock()
	if t.ended || t.claimed || !t.awaiting {
		t.mu.Unlock()
		return
	}
	if t.round != nil && !t.round.hasEnded() {
		// It was cancelled and is about to end.
		t.timer.Reset(t.silence)
		t.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	r := &takeoverRound{cancel: cancel, done: make(chan struct{})}
	defer t.endRound(r)
	t.round = r
	s := t.second
	s.received = t.received
	silence, sent := t.silence, t.sent
	t.mu.Unlock()
	// After a pause of this process the events that came meanwhile are read first.
	s.server.pauses.await(ctx)
	if ctx.Err() != nil {
		return
	}
	s.server.Log.Info().Str("id", s.call.ID).Str("target", t.attempt.target.ID).Dur("silence", silence).Msg("target is silent, trying another one")
	s.recordSilence(t.attempt)
	s.watchSilence(sent)
	r.complete, r.reason, _ = s.run(ctx)
	t.recordOutcome(r)
}

// recordOutcome logs and counts the outcome of a round.
func (t *takeover) recordOutcome(r *takeoverRound) {
	t.mu.Lock()
	outcome := failedOutcome
	switch {
	case t.claimed:
		outcome = movedOutcome
	case r.cancelled:
		outcome = keptOutcome
	case t.ctx.Err() != nil:
		outcome = endedOutcome
	}
	t.mu.Unlock()
	s := t.second
	metrics.GetOrRegisterCounter(meter.Label("gate.takeovers", "outcome", outcome), s.server.Metrics).Inc(1)
	s.server.Log.Info().Str("id", s.call.ID).Str("target", t.attempt.target.ID).Str("other", s.target).Str("outcome", outcome).Str("reason", r.reason).
		Int("sends", s.sends).Msg("trial of another target ended")
}

// endRound ends a round. Nobody else releases what it holds if the request has ended.
func (t *takeover) endRound(r *takeoverRound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left {
		t.second.fallback.release()
	}
	close(r.done)
}

func (r *takeoverRound) hasEnded() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// goesOn records that the first target goes on, which ends the current round. It returns false if
// another target has already continued the answer. A nil takeover has no other target.
func (t *takeover) goesOn() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.claimed {
		return false
	}
	t.timer.Stop()
	t.awaiting = false
	if t.round != nil {
		t.round.cancelled = true
		t.round.cancel()
	}
	return true
}

// await starts the next round after the time silence without a new event.
func (t *takeover) await(silence time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.claimed {
		t.start(silence)
	}
}

// firstEnds records that the first attempt relays nothing more, and reports whether that is because
// another target continues the answer.
func (t *takeover) firstEnds() (claimed bool) {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.ended = true
		t.timer.Stop()
		close(t.firstDone)
	}
	return t.claimed
}

// hasStarted reports whether a round has started, and so the silence of the first target was recorded, without an event
// of that target since. A nil takeover has no rounds.
func (t *takeover) hasStarted() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.round != nil && !t.round.cancelled
}

// firstHasEnded reports whether the first attempt relays nothing more.
func (t *takeover) firstHasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// claim ends the first attempt, so that the second stream continues the answer. It returns false if the
// first target has gone on, or the request has ended. The parameter ctx is the context of the round.
func (t *takeover) claim(ctx context.Context) bool {
	t.mu.Lock()
	if ctx.Err() != nil {
		t.mu.Unlock()
		return false
	}
	t.claimed = true
	t.timer.Stop()
	t.mu.Unlock()
	t.endFirst()
	<-t.firstDone
	return true
}

// finish returns the result of the request after the first attempt, whose result it gets: if that
// failed, it waits for the current round.
func (t *takeover) finish(done bool, reason string) (bool, string) {
	t.mu.Lock()
	r := t.round
	t.left = r != nil && done && !r.hasEnded()
	t.mu.Unlock()
	if r == nil || t.left {
		return done, reason
	}
	<-r.done
	t.merge()
	if t.claimed || !done && !r.cancelled && t.ctx.Err() == nil {
		reason = r.reason
	}
	return done || r.complete, reason
}

// merge adds to the first stream what the second one did. Both have ended.
func (t *takeover) merge() {
	f, s := t.first, t.second
	sends := f.sends + s.sends - t.sends
	failed := f.failedTargets
	for _, id := range s.failedTargets {
		if !slices.Contains(failed, id) {
			failed = append(failed, id)
		}
	}
	mayHaveRun, crashes := f.mayHaveRun || s.mayHaveRun, max(f.crashes, s.crashes)
	if t.claimed {
		*f.exchange = *s.exchange
		f.received, f.callerLost = s.received, s.callerLost
	}
	f.sends, f.failedTargets, f.mayHaveRun, f.crashes = sends, failed, mayHaveRun, crashes
	f.refusals += s.refusals - t.refusals
	if s.fallback != nil {
		f.keepFallback(s.fallback)
	}
	f.noRetry = cmp.Or(s.noRetry, f.noRetry)
}

// claim makes the stream the one that continues the answer. It returns false if it is the second
// stream of a takeover and the first target has gone on.
func (s *stream) claim(ctx context.Context) bool {
	t := s.standby
	if t == nil {
		return true
	}
	if !t.claim(ctx) {
		return false
	}
	f := t.first
	s.received, s.callerLost = f.received, f.callerLost
	s.status, s.answeredBy = f.status, f.answeredBy
	s.firstEvent, s.maxPause, s.lastEventAt, s.eventCount = f.firstEvent, f.maxPause, f.lastEventAt, f.eventCount
	s.standby = nil
	return true
}

// mayRelay reports whether the target of this stream is the one that continues the answer.
func (s *stream) mayRelay(ctx context.Context) bool { return s.claim(ctx) && s.next.goesOn() }

// mayRespond reports whether the caller can get a whole response from the target of this stream: it has
// no part of an answer yet, and no other target may send one.
func (s *stream) mayRespond(ctx context.Context) bool {
	if s.standby != nil && !s.standby.firstHasEnded() {
		return false
	}
	return s.mayRelay(ctx) && !s.headSent
}
