package sched

import (
	"context"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// tickInterval is how often leases and deadlines are checked.
	tickInterval = 200 * time.Millisecond
	// cancelTimeout bounds a call that cancels a grant on an engine.
	cancelTimeout = 5 * time.Second
	// inboxSize bounds the messages queued for a scheduler.
	inboxSize = 1024
)

// scheduler runs the scheduling policy of one shard. Only the goroutine of run touches
// its state; others send it messages.
type scheduler struct {
	*Service
	shard member.Shard
	epoch uint64
	stop  context.CancelFunc

	inbox chan message
	done  chan struct{}
	// background counts the goroutines that make calls for run.
	background sync.WaitGroup
	core       policy.Core
	// pending lists the requests without a grant, issued the grants in use. Both are keyed
	// by the ID of the request, which is also that of its grant.
	pending map[string]*pendingRequest
	issued  map[string]issuedGrant
	// cursors track which cache events of each target have been applied.
	cursors cursors
	// ready is set when the takeover has ended and granting starts. readySince is the
	// time at which it was set.
	ready      bool
	readySince time.Time
}

// pendingRequest is a request without a grant. A refused one is kept until it expires, so
// that later polls get the same refusal.
type pendingRequest struct {
	ask      policy.Ask
	arrived  time.Time
	lastPoll time.Time
	// result receives the result of the newest poll and has a buffer of one; nil if no
	// poll is waiting.
	result  chan pollResult
	refusal *verd.Error
}

// issuedGrant is a grant and the time when it was issued or adopted.
type issuedGrant struct {
	grant    policy.Grant
	issuedAt time.Time
}

// pollResult is the outcome of one poll.
type pollResult struct {
	reply AskReply
	err   error
}

// message is sent to the goroutine of run. It carries one of: an event (with cacheEvent),
// a poll (ask and result), renewals (with unknownGrants), takeoverDone, or inspect.
type message struct {
	// cacheEvent is the number of the newest cache event if event is a policy.Cached.
	cacheEvent uint64

	event         policy.Event
	ask           *policy.Ask
	result        chan pollResult
	renewals      []Renewal
	unknownGrants chan []string
	takeoverDone  bool
	// inspect reads the state. It must not retain the pointer.
	inspect func(*policy.Core)
}

func newScheduler(s *Service, sh member.Shard, epoch uint64, stop context.CancelFunc) *scheduler {
	return &scheduler{
		Service: s,
		shard:   sh,
		epoch:   epoch,
		stop:    stop,
		inbox:   make(chan message, inboxSize),
		done:    make(chan struct{}),
		core:    policy.Core{Epoch: epoch},
		pending: make(map[string]*pendingRequest),
		issued:  make(map[string]issuedGrant),
	}
}

// run owns the state of the shard until ctx ends.
func (sc *scheduler) run(ctx context.Context) {
	defer sc.background.Wait()
	defer close(sc.done)
	defer sc.unregisterGauges()
	sc.Log.Info().Str("shard", sc.shard.String()).Uint64("epoch", sc.epoch).Msg("started scheduling shard")
	defer func() {
		sc.Log.Info().Str("shard", sc.shard.String()).Uint64("epoch", sc.epoch).Msg("stopped scheduling shard")
	}()
	sc.background.Go(func() { sc.takeOver(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-sc.inbox:
			sc.handle(ctx, m)
		case <-tick.C:
			sc.updateBlocking()
			sc.expirePending(ctx)
			sc.step(ctx, policy.Tick{})
		case <-check.C:
			sc.updateGauges()
			sc.checkTargets(ctx)
		}
	}
}

// updateBlocking copies the pool's weight of head-of-line blocking from the current
// tables.
func (sc *scheduler) updateBlocking() {
	v := sc.Members.View()
	if v == nil {
		return
	}
	if p, ok := v.Tables.Pool(sc.shard.Pool); ok {
		sc.core.Blocking = p.Blocking
	}
}

// handle processes one message.
func (sc *scheduler) handle(ctx context.Context, m message) {
	switch {
	case m.inspect != nil:
		m.inspect(&sc.core)
	case m.takeoverDone:
		sc.start(ctx)
	case m.ask != nil:
		sc.handlePoll(ctx, *m.ask, m.result)
	case m.unknownGrants != nil:
		m.unknownGrants <- sc.renewGrants(ctx, m.renewals)
	default:
		if c, ok := m.event.(policy.Cached); ok {
			sc.cursors.advance(c.Target, m.cacheEvent)
		}
		sc.step(ctx, m.event)
	}
}

// start ends the takeover and submits the requests that arrived during it.
func (sc *scheduler) start(ctx context.Context) {
	sc.ready, sc.readySince = true, time.Now()
	for _, p := range sc.pending {
		sc.submit(ctx, p)
	}
}

// handlePoll replies to a poll if there is a grant or a refusal, and otherwise keeps it
// until there is one or pollTimeout has passed. A new request is submitted, or kept until
// the takeover has ended.
func (sc *scheduler) handlePoll(ctx context.Context, a policy.Ask, result chan pollResult) {
	now := time.Now()
	if g, ok := sc.issued[a.ID]; ok {
		result <- sc.grantResult(g)
		return
	}
	p := sc.pending[a.ID]
	if p == nil {
		p = &pendingRequest{ask: a, arrived: now}
		sc.pending[a.ID] = p
		p.lastPoll, p.result = now, result
		if sc.ready {
			sc.submit(ctx, p)
		}
		return
	}
	p.lastPoll, p.result = now, result
	if p.refusal != nil {
		sc.reply(a.ID, pollResult{err: p.refusal})
	}
}

// submit passes a request to the policy, with the remaining time limit.
func (sc *scheduler) submit(ctx context.Context, p *pendingRequest) {
	a := p.ask
	a.Left -= time.Since(p.arrived)
	sc.step(ctx, policy.Arrive{Ask: a})
}

// expirePending replies to the polls that have waited for pollTimeout, and drops the
// requests that have not been polled for pendingTTL.
func (sc *scheduler) expirePending(ctx context.Context) {
	for id, p := range sc.pending {
		idle := time.Since(p.lastPoll)
		if p.result != nil && idle >= pollTimeout {
			sc.reply(id, pollResult{reply: AskReply{Digest: sc.digest()}})
		}
		if idle <= pendingTTL {
			continue
		}
		delete(sc.pending, id)
		if p.refusal == nil {
			sc.step(ctx, policy.Withdraw{ID: id})
		}
	}
}

// renewGrants renews grants and returns the IDs of those that are unknown.
func (sc *scheduler) renewGrants(ctx context.Context, rs []Renewal) []string {
	var unknown []string
	for _, r := range rs {
		if _, ok := sc.issued[r.Grant]; !ok {
			unknown = append(unknown, r.Grant)
			continue
		}
		sc.step(ctx, policy.Renew{Grant: r.Grant, Progress: r.Progress})
	}
	return unknown
}

// step applies one event to the policy and executes its decisions.
func (sc *scheduler) step(ctx context.Context, e policy.Event) {
	switch e := e.(type) {
	case policy.Withdraw:
		delete(sc.pending, e.ID)
	case policy.Release:
		delete(sc.issued, e.Grant)
	case policy.Announce:
		sc.cursors.observe(e.News)
	case policy.Adopt:
		sc.issued[e.Grant.ID] = issuedGrant{grant: e.Grant, issuedAt: time.Now()}
	}
	for _, dec := range sc.core.Step(time.Now(), e) {
		sc.execute(ctx, dec)
	}
}

// execute carries out one decision of the policy.
func (sc *scheduler) execute(ctx context.Context, dec policy.Decision) {
	switch dec := dec.(type) {
	case policy.Grant:
		g := issuedGrant{grant: dec, issuedAt: time.Now()}
		sc.issued[dec.ID] = g
		sc.reply(dec.ID, sc.grantResult(g))
	case policy.Refuse:
		e := verd.New(verd.NotRun, dec.Reason, "%s", dec.Message)
		e.RetryAfter = dec.RetryAfter
		sc.reply(dec.ID, pollResult{err: e})
		if p := sc.pending[dec.ID]; p != nil {
			p.refusal = e
		}
	case policy.Cancel:
		delete(sc.issued, dec.Grant)
		if dec.Target.Kind == table.Engine {
			sc.background.Go(func() { sc.cancelOnEngine(ctx, dec) })
		}
	case policy.Probe:
		if dec.Target.Kind == table.Engine {
			sc.background.Go(func() { sc.probe(ctx, dec.Target) })
		}
	}
}

// probe checks on a fresh connection whether an engine that has stopped announcing itself
// still responds. If it does, only its announcements are being lost.
func (sc *scheduler) probe(ctx context.Context, t engine.Target) {
	ctx, stop := context.WithTimeout(ctx, checkInterval)
	defer stop()
	if _, err := sc.Engine.Holdings(ctx, t.Addr); err == nil {
		sc.post(policy.Heard{Target: t.Name})
	}
}

// grantResult returns a poll result that carries a grant and the time left to use it.
func (sc *scheduler) grantResult(g issuedGrant) pollResult {
	out := g.grant
	out.UseBy -= time.Since(g.issuedAt)
	return pollResult{reply: AskReply{Grant: &out, Digest: sc.digest()}}
}

// reply replies to the waiting poll of a request, if there is one. A request that gets a
// grant is no longer pending.
func (sc *scheduler) reply(id string, r pollResult) {
	p := sc.pending[id]
	if p == nil {
		return
	}
	if p.result != nil {
		p.result <- r // Does not block: the channel has a buffer of one.
		p.result = nil
	}
	if r.reply.Grant != nil {
		delete(sc.pending, id)
	}
}

// digest returns the load of the shard; zero until the takeover has ended.
func (sc *scheduler) digest() policy.Digest {
	if !sc.ready {
		return policy.Digest{}
	}
	return sc.core.Digest(time.Now())
}

// cancelOnEngine frees the memory that an engine has reserved for an expired grant.
func (sc *scheduler) cancelOnEngine(ctx context.Context, c policy.Cancel) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if err := sc.Engine.Cancel(ctx, c.Target.Addr, c.Grant); err != nil {
		sc.Log.Warn().Str("target", c.Target.Name).Str("grant", c.Grant).Err(err).Msg("could not cancel grant on engine")
	}
}
