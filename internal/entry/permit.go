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

// renewEvery is how often the grants in use are renewed.
const renewEvery = policy.LeaseTime / 3

// permit is a grant in use.
type permit struct {
	shard member.Shard
	grant policy.Grant
	ask   policy.Ask
	// useBy is when the grant ends if nothing has been sent by then.
	useBy time.Time

	mu       sync.Mutex
	progress policy.Progress
}

// lead returns the target that answers.
func (p *permit) lead() engine.Target { return p.grant.Targets[0] }

// peers returns the addresses of the further targets.
func (p *permit) peers() []string {
	var out []string
	for _, t := range p.grant.Targets[1:] {
		out = append(out, t.Addr)
	}
	return out
}

// note records how far the stream is.
func (p *permit) note(change func(*policy.Progress)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.progress)
}

func (p *permit) noted() policy.Progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.progress
}

// permits are the grants that this entry uses. The zero value is ready.
type permits struct {
	mu   sync.Mutex
	live map[string]*permit
}

func (ps *permits) add(p *permit) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.live == nil {
		ps.live = make(map[string]*permit)
	}
	ps.live[p.grant.ID] = p
}

func (ps *permits) remove(p *permit) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	delete(ps.live, p.grant.ID)
}

func (ps *permits) renewals() []sched.Renewal {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := make([]sched.Renewal, 0, len(ps.live))
	for id, p := range ps.live {
		out = append(out, sched.Renewal{Shard: p.shard, Grant: id, Progress: p.noted()})
	}
	return out
}

func (ps *permits) find(id string) (sched.LiveGrant, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.live[id]
	if !ok {
		return sched.LiveGrant{}, false
	}
	return sched.LiveGrant{Shard: p.shard, Grant: p.grant, Ask: p.ask}, true
}

// Live returns the grants of a shard that this entry uses.
func (s *Server) Live(sh member.Shard) []sched.LiveGrant {
	s.permits.mu.Lock()
	defer s.permits.mu.Unlock()
	var out []sched.LiveGrant
	for _, p := range s.permits.live {
		if p.shard == sh {
			out = append(out, sched.LiveGrant{Shard: p.shard, Grant: p.grant, Ask: p.ask})
		}
	}
	return out
}

// Run renews the grants in use until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	timing.Every(ctx, renewEvery, func() { s.renew(ctx) })
	return nil
}

// renew renews all grants in use, and tells schedulers of those that they
// don't know.
func (s *Server) renew(ctx context.Context) {
	rs := s.permits.renewals()
	if len(rs) == 0 {
		return
	}
	unknown, err := s.Sched.Renew(ctx, rs)
	if err != nil {
		s.count("renew_failed").Inc(1)
	}
	byShard := make(map[member.Shard][]sched.LiveGrant)
	for _, id := range unknown {
		if g, ok := s.permits.find(id); ok {
			byShard[g.Shard] = append(byShard[g.Shard], g)
		}
	}
	for sh, gs := range byShard {
		if err := s.Sched.Adopt(ctx, sh, gs); err != nil {
			s.count("adopt_failed").Inc(1)
		}
	}
}

// tellFirst tells the scheduler of the first token at once: the engine can
// compute the next prompt.
func (s *Server) tellFirst(p *permit) {
	s.busy.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), policy.LeaseTime)
		defer stop()
		r := sched.Renewal{Shard: p.shard, Grant: p.grant.ID, Progress: p.noted()}
		if _, err := s.Sched.Renew(ctx, []sched.Renewal{r}); err != nil {
			s.count("renew_failed").Inc(1)
		}
	})
}

// release gives a grant back, once; a release that is lost leaves a grant
// that lapses.
func (s *Server) release(p *permit, failed bool) {
	s.permits.remove(p)
	s.busy.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), policy.LeaseTime)
		defer stop()
		call := sched.ReleaseCall{Shard: p.shard, Grant: p.grant.ID, Failed: failed, Progress: p.noted()}
		if err := s.Sched.Release(ctx, call); err != nil {
			s.count("release_failed").Inc(1)
		}
	})
}

// cancel frees what the targets still hold for a grant. It waits for that
// where there are several: those that live may be needed at once again.
func (s *Server) cancel(p *permit) {
	var wg sync.WaitGroup
	for _, t := range p.grant.Targets {
		wg.Add(1)
		s.busy.Go(func() {
			defer wg.Done()
			ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
			defer stop()
			if err := s.Engine.Cancel(ctx, t.Addr, p.grant.ID); err != nil {
				s.count("cancel_failed").Inc(1)
			}
		})
	}
	if len(p.grant.Targets) > 1 {
		wg.Wait()
	}
}
