package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/internal/sched"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// schedulerRetryInterval is the pause before another round over the shards of a pool
	// after one of them had no reachable scheduler.
	schedulerRetryInterval = 200 * time.Millisecond
	// schedulerTimeout bounds the wait for a reachable scheduler. It covers the expiry of
	// a lease and the takeover by another instance.
	schedulerTimeout = 12 * time.Second
	// remoteLatency is the added latency of a request to another data centre.
	remoteLatency = 2 * time.Millisecond
	// retryAfter is the Retry-After of errors that may pass, such as a missing scheduler.
	retryAfter = time.Second
)

// grantRequest requests a grant from the schedulers of a pool's shards, starting with the
// shard of this data centre.
type grantRequest struct {
	x       *exchange
	request policy.Ask
	shards  []member.Shard
	// current is the index of the shard that is tried next. tried is the number of shards
	// that have rejected the request in this round.
	current, tried int
	// noScheduler means that a shard had no reachable scheduler in this round.
	noScheduler bool
	// rejection is the error to return if no shard grants the request. An Overloaded error
	// takes precedence over others.
	rejection *verd.Error
	// spilled lists the shards whose queue the request has left for another.
	spilled []member.Shard
	// deadline ends the wait for a scheduler.
	deadline time.Time
}

// acquireGrant waits for a grant for the given attempt, within the deadline of the request.
// excluded names targets that must not be used.
func (x *exchange) acquireGrant(rt *table.Route, req *prompt.Request, attempt int, excluded []string) (*activeGrant, error) {
	id := x.id
	if attempt > 0 {
		id = fmt.Sprintf("%s.%d", x.id, attempt)
	}
	r := &grantRequest{
		x: x,
		request: policy.Ask{
			ID: id, Organisation: x.org, Class: rt.Class,
			Prompt: req.Tokens, Output: req.Output, Prefix: req.Prefix, Avoid: excluded,
		},
		shards:   x.s.poolShards(rt.Pool),
		deadline: time.Now().Add(schedulerTimeout),
	}
	if len(r.shards) == 0 {
		e := verd.New(verd.NotRun, verd.Unavailable, "pool %q has no scheduler", rt.Pool)
		e.RetryAfter = retryAfter
		return nil, e
	}
	ctx, span := x.s.Tracer.Start(x.ctx, "grant", trace.WithAttributes(attribute.String("pool", rt.Pool)))
	defer span.End()
	r.chooseShard()
	g, err := r.run(ctx)
	if err != nil {
		r.withdraw()
		return nil, err
	}
	span.SetAttributes(attribute.String("shard", g.shard.String()))
	return g, nil
}

// run tries the shards until one grants the request or the request is rejected.
func (r *grantRequest) run(ctx context.Context) (*activeGrant, error) {
	for {
		r.request.Left = r.x.timeLeft()
		if ctx.Err() != nil || r.request.Left <= 0 {
			e := verd.New(verd.NotRun, verd.Timeout, "time limit reached while waiting for a grant")
			e.RetryAfter = retryAfter
			return nil, e
		}
		requestedAt := time.Now()
		reply, err := r.x.s.Sched.Ask(ctx, r.shards[r.current], r.request)
		switch {
		case err == nil && reply.Grant != nil:
			r.x.s.digests.set(r.shards[r.current], reply.Digest)
			return r.activate(reply.Grant, requestedAt), nil
		case err == nil:
			r.x.s.digests.set(r.shards[r.current], reply.Digest)
			r.spill(reply.Digest)
		default:
			if err := r.tryNextShard(ctx, err); err != nil {
				return nil, err
			}
		}
	}
}

// activate registers the grant as in use. Its useBy counts from requestedAt, the time before
// the call to the scheduler, so that it is not later than the scheduler's.
func (r *grantRequest) activate(g *policy.Grant, requestedAt time.Time) *activeGrant {
	active := &activeGrant{shard: r.shards[r.current], grant: *g, request: r.request, useBy: requestedAt.Add(g.UseBy)}
	r.x.s.grants.add(active)
	return active
}

// tryNextShard moves on to the next shard after err. It returns an error if no other shard
// may accept the request.
func (r *grantRequest) tryNextShard(ctx context.Context, err error) error {
	e := verd.From(err)
	noScheduler := sched.Moved(e)
	if !noScheduler && !isShardError(e.Reason) {
		return e
	}
	r.noScheduler = r.noScheduler || noScheduler
	if e.Reason == verd.Overloaded || r.rejection == nil {
		r.rejection = e
	}
	r.current = (r.current + 1) % len(r.shards)
	r.tried++
	if r.tried < len(r.shards) {
		return nil
	}
	return r.startRound(ctx)
}

// isShardError reports whether another shard may accept a request rejected for reason r.
func isShardError(r verd.Reason) bool {
	return r == verd.Unavailable || r == verd.Overloaded || r == verd.TooLarge
}

// startRound pauses and starts another round after all shards have rejected the request.
// It returns the rejection if a shard was overloaded or every shard had a scheduler, and
// an error once the deadline for reaching a scheduler has passed.
func (r *grantRequest) startRound(ctx context.Context) error {
	if !r.noScheduler || r.rejection.Reason == verd.Overloaded {
		return r.rejection
	}
	if time.Now().After(r.deadline) {
		out := verd.Wrap(r.rejection, verd.NotRun, verd.Unavailable, "no scheduler of pool %q could be reached", r.shards[0].Pool)
		out.RetryAfter = retryAfter
		return out
	}
	r.tried, r.noScheduler, r.rejection = 0, false, nil
	if sh := r.x.s.poolShards(r.shards[0].Pool); len(sh) > 0 {
		r.shards, r.current = sh, 0
	}
	timing.Sleep(ctx, schedulerRetryInterval)
	return nil
}

// spill moves the request to the first shard that has a shorter expected wait than the
// current one, or whose load is not known.
func (r *grantRequest) spill(local policy.Digest) {
	for i, sh := range r.shards {
		if i == r.current || slices.Contains(r.spilled, sh) {
			continue
		}
		remote, known := r.x.s.digests.get(sh)
		if known && !remote.Better(local, r.request, remoteLatency) {
			continue
		}
		r.withdraw()
		r.spilled = append(r.spilled, r.shards[r.current])
		r.current = i
		r.x.s.counter("spilt").Inc(1)
		return
	}
}

// chooseShard sets the first shard to try: the one of this data centre, unless the digest
// of another shard shows that it is better.
func (r *grantRequest) chooseShard() {
	best, known := r.x.s.digests.get(r.shards[0])
	if !known {
		return
	}
	for i, sh := range r.shards[1:] {
		if remote, ok := r.x.s.digests.get(sh); ok && remote.Better(best, r.request, remoteLatency) {
			r.current, best = i+1, remote
		}
	}
}

// withdraw removes the request from the queue of the current shard, in the background.
func (r *grantRequest) withdraw() {
	s, sh, id := r.x.s, r.shards[r.current], r.request.ID
	s.inFlight.Go(func() {
		// If this fails, the scheduler drops the request once it is no longer polled.
		if err := s.Sched.Withdraw(context.Background(), sh, id); err != nil {
			s.counter("withdraw_failed").Inc(1)
		}
	})
}

// poolShards returns the shards of a pool, that of this data centre first and the others
// in random order.
func (s *Server) poolShards(pool string) []member.Shard {
	v := s.Members.View()
	var local string
	if m, ok := v.Member(s.Self); ok {
		local = m.DataCentre
	}
	var out []member.Shard
	for _, i := range rand.Perm(len(v.Leases)) {
		sh := v.Leases[i].Shard
		switch {
		case sh.Pool != pool:
		case sh.DataCentre == local:
			out = slices.Insert(out, 0, sh)
		default:
			out = append(out, sh)
		}
	}
	return out
}
