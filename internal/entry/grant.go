package entry

import (
	"context"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/sched"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// renewInterval is the time between two renewals of the grants in use.
const renewInterval = policy.LeaseTime / 3

// activeGrant is a grant that this entry uses for a request.
type activeGrant struct {
	shard   member.Shard
	grant   policy.Grant
	request policy.Ask
	// useBy is the deadline for sending the request under the grant.
	useBy time.Time

	mu       sync.Mutex
	progress policy.Progress
}

// primary returns the target that the request is sent to.
func (g *activeGrant) primary() engine.Target { return g.grant.Targets[0] }

// peers returns the addresses of the other targets of the grant.
func (g *activeGrant) peers() []string {
	var out []string
	for _, t := range g.grant.Targets[1:] {
		out = append(out, t.Addr)
	}
	return out
}

// updateProgress calls change with the progress of the stream, under the lock.
func (g *activeGrant) updateProgress(change func(*policy.Progress)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.progress)
}

// progressSnapshot returns a copy of the progress.
func (g *activeGrant) progressSnapshot() policy.Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progress
}

// activeGrants is the set of grants that this entry uses. The zero value is ready to use.
type activeGrants struct {
	mu   sync.Mutex
	byID map[string]*activeGrant
}

func (gs *activeGrants) add(g *activeGrant) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.byID == nil {
		gs.byID = make(map[string]*activeGrant)
	}
	gs.byID[g.grant.ID] = g
}

func (gs *activeGrants) remove(g *activeGrant) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	delete(gs.byID, g.grant.ID)
}

// renewals returns the renewals of all grants, with their progress.
func (gs *activeGrants) renewals() []sched.Renewal {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	out := make([]sched.Renewal, 0, len(gs.byID))
	for id, g := range gs.byID {
		out = append(out, sched.Renewal{Shard: g.shard, Grant: id, Progress: g.progressSnapshot()})
	}
	return out
}

// find returns the grant with the id, if it is in use.
func (gs *activeGrants) find(id string) (sched.LiveGrant, bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	g, ok := gs.byID[id]
	if !ok {
		return sched.LiveGrant{}, false
	}
	return sched.LiveGrant{Shard: g.shard, Grant: g.grant, Ask: g.request}, true
}

// Live returns the grants of the shard that this entry uses.
func (s *Server) Live(sh member.Shard) []sched.LiveGrant {
	s.grants.mu.Lock()
	defer s.grants.mu.Unlock()
	var out []sched.LiveGrant
	for _, g := range s.grants.byID {
		if g.shard == sh {
			out = append(out, sched.LiveGrant{Shard: g.shard, Grant: g.grant, Ask: g.request})
		}
	}
	return out
}

// Run renews the grants in use until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	timing.Every(ctx, renewInterval, func() { s.renew(ctx) })
	return nil
}

// renew renews all grants in use. Grants that their scheduler doesn't know, as after a
// takeover, are registered with it.
func (s *Server) renew(ctx context.Context) {
	rs := s.grants.renewals()
	if len(rs) == 0 {
		return
	}
	unknown, err := s.Sched.Renew(ctx, rs)
	if err != nil {
		s.counter("renew_failed").Inc(1)
	}
	byShard := make(map[member.Shard][]sched.LiveGrant)
	for _, id := range unknown {
		if g, ok := s.grants.find(id); ok {
			byShard[g.Shard] = append(byShard[g.Shard], g)
		}
	}
	for sh, gs := range byShard {
		if err := s.Sched.Adopt(ctx, sh, gs); err != nil {
			s.counter("adopt_failed").Inc(1)
		}
	}
}

// reportFirstToken renews the grant at once after the first token, because the engine can
// then start the prefill of another prompt.
func (s *Server) reportFirstToken(g *activeGrant) {
	s.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), policy.LeaseTime)
		defer cancel()
		r := sched.Renewal{Shard: g.shard, Grant: g.grant.ID, Progress: g.progressSnapshot()}
		if _, err := s.Sched.Renew(ctx, []sched.Renewal{r}); err != nil {
			s.counter("renew_failed").Inc(1)
		}
	})
}

// release returns a grant to its scheduler in the background. If the call fails, the grant
// ends when its lease expires.
func (s *Server) release(g *activeGrant, failed bool) {
	s.grants.remove(g)
	s.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), policy.LeaseTime)
		defer cancel()
		call := sched.ReleaseCall{Shard: g.shard, Grant: g.grant.ID, Failed: failed, Progress: g.progressSnapshot()}
		if err := s.Sched.Release(ctx, call); err != nil {
			s.counter("release_failed").Inc(1)
		}
	})
}

// cancel cancels the request of a grant at all of its targets. With more than one target
// it waits for all of them, since the healthy ones may be needed for the next attempt.
func (s *Server) cancel(g *activeGrant) {
	var wg sync.WaitGroup
	for _, t := range g.grant.Targets {
		wg.Add(1)
		s.inFlight.Go(func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			if err := s.Engine.Cancel(ctx, t.Addr, g.grant.ID); err != nil {
				s.counter("cancel_failed").Inc(1)
			}
		})
	}
	if len(g.grant.Targets) > 1 {
		wg.Wait()
	}
}
