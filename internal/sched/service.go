// Package sched runs a scheduler for each shard whose lease this instance holds, and
// provides the client that calls the schedulers of all instances. An entry is the part of
// an instance that serves callers and requests grants for their prompts.
package sched

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// GrantSource lists the grants of a shard that the entry of this instance is using.
type GrantSource interface {
	Live(sh member.Shard) []LiveGrant
}

// Service runs the schedulers of this instance and serves calls to them.
type Service struct {
	// Self is the name of this instance.
	Self    string
	Members member.ViewSource
	Calls   wire.Caller
	Engine  engine.Engine
	Holder  GrantSource
	Log     *log.Logger
	// Metrics receives the gauges of the shards; nil disables them.
	Metrics metrics.Registry
	// Yield confirms to the control plane that this instance no longer uses a lease that
	// is being handed over.
	Yield func(context.Context, member.Lease) error
	// Changed returns a channel that closes when a newer view arrives. If it is nil, the
	// view is only checked every tickInterval.
	Changed func() <-chan struct{}

	mu         sync.Mutex
	schedulers map[member.Shard]*scheduler
	// stopping contains, by shard, a channel that closes when the scheduler stopped last
	// has ended.
	stopping map[member.Shard]<-chan struct{}
}

// Methods returns the RPC methods that other instances call.
func (s *Service) Methods() []wire.Method {
	return []wire.Method{
		{Name: askMethod, New: func() any { return new(AskCall) }, Run: s.handleAsk},
		{Name: withdrawMethod, New: func() any { return new(WithdrawCall) }, Run: s.handleWithdraw},
		{Name: renewMethod, New: func() any { return new(RenewCall) }, Run: s.handleRenew},
		{Name: adoptMethod, New: func() any { return new(AdoptCall) }, Run: s.handleAdopt},
		{Name: releaseMethod, New: func() any { return new(ReleaseCall) }, Run: s.handleRelease},
		{Name: announceMethod, New: func() any { return new(AnnounceCall) }, Run: s.handleAnnounce},
		s.statusHandler(),
		{Name: liveMethod, New: func() any { return new(LiveGrantsCall) }, Run: s.handleLive},
	}
}

// Run starts and stops schedulers as this instance gains and loses leases, until ctx
// ends.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var changed <-chan struct{}
		if s.Changed != nil {
			changed = s.Changed()
		}
		s.syncLeases(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

// syncLeases stops the schedulers whose lease is lost, has a new epoch or is to be handed
// over, and starts those of new leases.
func (s *Service) syncLeases(ctx context.Context, wg *sync.WaitGroup) {
	v := s.Members.View()
	if v == nil {
		return
	}
	epochs := make(map[member.Shard]uint64)
	var handovers []member.Lease
	for _, l := range v.Leases {
		switch {
		case l.Holder != s.Self || !s.Members.Live():
		case l.NextHolder != "":
			handovers = append(handovers, l)
		default:
			epochs[l.Shard] = l.Epoch
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.yieldLeases(ctx, wg, handovers) }()
	if s.stopping == nil {
		s.stopping = make(map[member.Shard]<-chan struct{})
	}
	for sh, sc := range s.schedulers {
		if epochs[sh] != sc.epoch {
			sc.stop()
			delete(s.schedulers, sh)
			s.stopping[sh] = sc.done
		}
	}
	if s.schedulers == nil {
		s.schedulers = make(map[member.Shard]*scheduler)
	}
	for sh, epoch := range epochs {
		if s.schedulers[sh] != nil {
			continue
		}
		runCtx, stop := context.WithCancel(ctx)
		sc := newScheduler(s, sh, epoch, stop)
		s.schedulers[sh] = sc
		wg.Go(func() { sc.run(runCtx) })
	}
}

// yieldLeases confirms the leases that are to be handed over, each once its scheduler has
// ended. A call that fails is repeated by the next syncLeases, as the view still has the
// handover.
func (s *Service) yieldLeases(ctx context.Context, wg *sync.WaitGroup, leases []member.Lease) {
	for _, l := range leases {
		done := s.stopping[l.Shard]
		wg.Go(func() {
			if done != nil {
				<-done
			}
			_ = s.Yield(ctx, l)
		})
	}
}

// schedulerOf returns the scheduler of a shard, or an error with the reason Moved if this
// instance does not have it.
func (s *Service) schedulerOf(sh member.Shard) (*scheduler, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sc := s.schedulers[sh]
	if sc == nil {
		return nil, verd.New(verd.NotRun, verd.Moved, "instance %s does not schedule shard %s", s.Self, sh)
	}
	return sc, nil
}

func (s *Service) handleAsk(ctx context.Context, in any) (any, error) {
	c := in.(*AskCall)
	sc, err := s.schedulerOf(c.Shard)
	if err != nil {
		return nil, err
	}
	return sc.pollGrant(ctx, c.Ask)
}

func (s *Service) handleWithdraw(_ context.Context, in any) (any, error) {
	c := in.(*WithdrawCall)
	sc, err := s.schedulerOf(c.Shard)
	if err != nil {
		return nil, err
	}
	sc.post(policy.Withdraw{ID: c.ID})
	sc.post(policy.Release{Grant: c.ID})
	return &EmptyReply{}, nil
}

func (s *Service) handleRenew(ctx context.Context, in any) (any, error) {
	var rep RenewReply
	byShard := make(map[member.Shard][]Renewal)
	for _, r := range in.(*RenewCall).Renewals {
		byShard[r.Shard] = append(byShard[r.Shard], r)
	}
	for sh, rs := range byShard {
		sc, err := s.schedulerOf(sh)
		if err != nil {
			continue // The entry renews with the new scheduler next time.
		}
		unknown, err := sc.renew(ctx, rs)
		if err != nil {
			continue
		}
		rep.Unknown = append(rep.Unknown, unknown...)
	}
	return &rep, nil
}

func (s *Service) handleAdopt(_ context.Context, in any) (any, error) {
	for _, g := range in.(*AdoptCall).Grants {
		sc, err := s.schedulerOf(g.Shard)
		if err != nil {
			return nil, err
		}
		sc.post(g.adoptEvent())
	}
	return &EmptyReply{}, nil
}

func (s *Service) handleRelease(_ context.Context, in any) (any, error) {
	c := in.(*ReleaseCall)
	sc, err := s.schedulerOf(c.Shard)
	if err != nil {
		return nil, err
	}
	sc.post(policy.Release{Grant: c.Grant, Failed: c.Failed, Progress: c.Progress})
	return &EmptyReply{}, nil
}

func (s *Service) handleAnnounce(_ context.Context, in any) (any, error) {
	c := in.(*AnnounceCall)
	sc, err := s.schedulerOf(c.Shard)
	if err != nil {
		return nil, err
	}
	_, outOfService := slices.BinarySearch(s.Members.View().OutOfService, c.Announcement.Target.Name)
	sc.post(policy.Announce{News: c.Announcement, Out: outOfService})
	return &EmptyReply{}, nil
}

func (s *Service) handleLive(_ context.Context, in any) (any, error) {
	return &LiveGrantsReply{Grants: s.Holder.Live(in.(*LiveGrantsCall).Shard)}, nil
}

// adoptEvent returns the event that makes the policy adopt the grant.
func (g *LiveGrant) adoptEvent() policy.Adopt {
	return policy.Adopt{Grant: g.Grant, Ask: g.Ask, Share: g.Grant.Share}
}
