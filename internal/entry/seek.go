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
	// seekPause is how long a request waits before it asks again for a
	// scheduler that has moved.
	seekPause = 200 * time.Millisecond
	// seekTimeout bounds the wait for any scheduler: a lease that runs out
	// and a take-over fit in.
	seekTimeout = 12 * time.Second
	// distance is what a request loses on its way to another data centre.
	distance = 2 * time.Millisecond
	// retryAfter is what callers are told to wait when nothing schedules.
	retryAfter = time.Second
)

// seeker looks for a grant among the shards of a pool, the near ones first.
type seeker struct {
	x      *exchange
	ask    policy.Ask
	shards []member.Shard
	// at is the index of the shard to ask, tried the number of those that
	// have turned the request away since the last pause.
	at, tried int
	// moved says that one of them lacks a scheduler; refusal is the answer of
	// the others.
	moved   bool
	refusal *verd.Error
	// spilt are the shards whose queue the request has left.
	spilt []member.Shard
	until time.Time
}

// seek waits for a grant within the deadline of the request.
func (x *exchange) seek(rt *table.Route, req *prompt.Request, attempt int, avoid []string) (*permit, error) {
	id := x.id
	if attempt > 0 {
		id = fmt.Sprintf("%s.%d", x.id, attempt)
	}
	k := &seeker{
		x: x,
		ask: policy.Ask{
			ID: id, Organisation: x.org, Class: rt.Class,
			Prompt: req.Tokens, Output: req.Output, Prefix: req.Prefix, Avoid: avoid,
		},
		shards: x.s.shards(rt.Pool),
		until:  time.Now().Add(seekTimeout),
	}
	if len(k.shards) == 0 {
		e := verd.New(verd.NotRun, verd.Unavailable, "nobody schedules pool %s", rt.Pool)
		e.RetryAfter = retryAfter
		return nil, e
	}
	ctx, span := x.s.Tracer.Start(x.ctx, "grant", trace.WithAttributes(attribute.String("pool", rt.Pool)))
	defer span.End()
	k.choose()
	p, err := k.run(ctx)
	if err != nil {
		k.withdraw()
		return nil, err
	}
	span.SetAttributes(attribute.String("shard", p.shard.String()))
	return p, nil
}

// run asks one shard after another until there is a grant or a refusal.
func (k *seeker) run(ctx context.Context) (*permit, error) {
	for {
		k.ask.Left = k.x.left()
		if ctx.Err() != nil || k.ask.Left <= 0 {
			e := verd.New(verd.NotRun, verd.Timeout, "time limit reached before a grant came")
			e.RetryAfter = retryAfter
			return nil, e
		}
		asked := time.Now()
		rep, err := k.x.s.Sched.Ask(ctx, k.shards[k.at], k.ask)
		switch {
		case err == nil && rep.Grant != nil:
			k.x.s.digests.put(k.shards[k.at], rep.Digest)
			return k.permit(rep.Grant, asked), nil
		case err == nil:
			k.x.s.digests.put(k.shards[k.at], rep.Digest)
			k.spill(rep.Digest)
		default:
			if err := k.next(ctx, err); err != nil {
				return nil, err
			}
		}
	}
}

// permit puts a grant to use. Its time runs from before it was asked for.
func (k *seeker) permit(g *policy.Grant, asked time.Time) *permit {
	p := &permit{shard: k.shards[k.at], grant: *g, ask: k.ask, useBy: asked.Add(g.UseBy)}
	k.x.s.permits.add(p)
	return p
}

// next goes on to another shard after a refusal. It returns the refusal if
// asking on is of no use.
func (k *seeker) next(ctx context.Context, err error) error {
	e := verd.From(err)
	moved := sched.Moved(e)
	if !moved && !ofShard(e.Reason) {
		return e
	}
	k.moved = k.moved || moved
	if e.Reason == verd.Overloaded || k.refusal == nil {
		k.refusal = e
	}
	k.at = (k.at + 1) % len(k.shards)
	k.tried++
	if k.tried < len(k.shards) {
		return nil
	}
	return k.again(ctx)
}

// ofShard says whether a refusal concerns one shard and not the request.
func ofShard(r verd.Reason) bool {
	return r == verd.Unavailable || r == verd.Overloaded || r == verd.TooLarge
}

// again starts another round after all shards have turned the request away,
// if one of them only lacks a scheduler and none is overloaded.
func (k *seeker) again(ctx context.Context) error {
	if !k.moved || k.refusal.Reason == verd.Overloaded {
		return k.refusal
	}
	if time.Now().After(k.until) {
		out := verd.Wrap(k.refusal, verd.NotRun, verd.Unavailable, "no scheduler answers")
		out.RetryAfter = retryAfter
		return out
	}
	k.tried, k.moved, k.refusal = 0, false, nil
	if sh := k.x.s.shards(k.shards[0].Pool); len(sh) > 0 {
		k.shards, k.at = sh, 0
	}
	timing.Sleep(ctx, seekPause)
	return nil
}

// spill leaves a queue for a shard where requests wait less.
func (k *seeker) spill(here policy.Digest) {
	for i, sh := range k.shards {
		if i == k.at || slices.Contains(k.spilt, sh) {
			continue
		}
		there, known := k.x.s.digests.get(sh)
		if known && !there.Better(here, k.ask, distance) {
			continue
		}
		k.withdraw()
		k.spilt = append(k.spilt, k.shards[k.at])
		k.at = i
		k.x.s.count("spilt").Inc(1)
		return
	}
}

// choose starts at the near shard, unless another one is known to be better.
func (k *seeker) choose() {
	best, known := k.x.s.digests.get(k.shards[0])
	if !known {
		return
	}
	for i, sh := range k.shards[1:] {
		if there, ok := k.x.s.digests.get(sh); ok && there.Better(best, k.ask, distance) {
			k.at, best = i+1, there
		}
	}
}

// withdraw takes the ask back from the shard that was asked last.
func (k *seeker) withdraw() {
	s, sh, id := k.x.s, k.shards[k.at], k.ask.ID
	s.busy.Go(func() {
		// An ask that can't be withdrawn ends when it is not polled for.
		if err := s.Sched.Withdraw(context.Background(), sh, id); err != nil {
			s.count("withdraw_failed").Inc(1)
		}
	})
}

// shards lists the shards of a pool: the one of this data centre first, the
// others in random order.
func (s *Server) shards(pool string) []member.Shard {
	v := s.Members.View()
	var here string
	if m, ok := v.Member(s.Self); ok {
		here = m.DataCentre
	}
	var out []member.Shard
	for _, i := range rand.Perm(len(v.Leases)) {
		sh := v.Leases[i].Shard
		switch {
		case sh.Pool != pool:
		case sh.DataCentre == here:
			out = slices.Insert(out, 0, sh)
		default:
			out = append(out, sh)
		}
	}
	return out
}
