package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/lease"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// holdTime is how long a beat without news is held.
	holdTime = time.Second
	// sweepEvery is how often lapsed members are looked for.
	sweepEvery = 250 * time.Millisecond
	// callTimeout bounds calls that wait for nothing but the log.
	callTimeout = 3 * time.Second
	// firstChange is the change id of the tables that a site starts with.
	firstChange = "first"
	// firstOperator is the operator named in that change.
	firstOperator = "settings"
)

// Server is the control instance's side. The leader among the control
// instances grants leases to members and takes changes.
type Server struct {
	// Tables are the tables of a new site.
	Tables table.Tables
	// Self is the process that serves.
	Self    member.Process
	Log     quorum.Log
	Machine *Machine
	Logger  *log.Logger

	mu     sync.Mutex
	reign  uint64
	base   time.Duration
	began  time.Time
	grants *grants
	// told is closed when a floor may have risen.
	told chan struct{}
	// opening is closed when the attempt to open a reign has ended.
	opening chan struct{}
}

// Run sweeps lapsed members until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.sweep(ctx)
	timing.Every(ctx, sweepEvery, func() { s.sweep(ctx) })
	return nil
}

// beat answers a member or a relay with its lease and what it lacks.
func (s *Server) beat(ctx context.Context, b *Beat) (*News, error) {
	arrived := time.Now()
	if unknown := !s.isMember(b.Process); unknown {
		return &News{Unknown: true}, nil
	}
	rostered := s.report(b)
	if b.Left {
		return &News{}, nil
	}
	if b.Hold && rostered {
		s.hold(ctx, b.Have)
	}
	// The reign is checked after the hold: a later leader counts the lease
	// from its own beginning, which is after this moment.
	granted := time.Now()
	if err := s.lead(ctx); err != nil {
		return nil, err
	}
	n := &News{Term: lease.Remaining(granted.Add(lease.Term), arrived), Roster: !rostered}
	n.View, n.Deltas = s.Machine.Since(b.Have)
	if b.Have == 0 && n.View != nil {
		if _, ok := relayOf(n.View, b.Process.Name); ok {
			// Its relay gives it a lease, so that only one counts for it.
			n.Term = 0
			return n, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants.extend(b, n.version(b.Have), lease.Expiry(time.Now(), lease.Term))
	return n, nil
}

func (s *Server) isMember(p member.Process) bool {
	v, _ := s.Machine.View()
	m, ok := v.Member(p.Name)
	return ok && m.Incarnation == p.Incarnation
}

// report takes in a beat and wakes those who wait for floors.
func (s *Server) report(b *Beat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.grants.report(b)
	if s.told != nil {
		close(s.told)
		s.told = nil
	}
	return known
}

// hold waits for a newer view, for a while.
func (s *Server) hold(ctx context.Context, have uint64) {
	v, changed := s.Machine.View()
	if v.Version > have {
		return
	}
	t := time.NewTimer(holdTime)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// sweep drops the members whose lease has surely run out.
func (s *Server) sweep(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if s.lead(ctx) != nil {
		return
	}
	d := s.lapsed()
	if len(d.Processes) == 0 {
		return
	}
	if _, err := s.propose(ctx, d); err != nil {
		return // The next sweep finds them again.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range d.Processes {
		s.grants.forget(p)
		s.Logger.Warn().Str("instance", p.Name).Msg("lease has run out")
	}
}

func (s *Server) lapsed() Drop {
	view, _ := s.Machine.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.grants.prune(now)
	d := Drop{Reign: s.reign}
	for i := range view.Members {
		if p := view.Members[i].Process(); s.grants.lapsed(p, now) {
			d.Processes = append(d.Processes, p)
		}
	}
	return d
}

// join adds a member or changes its state.
func (s *Server) join(ctx context.Context, j *Join) (*Joined, error) {
	p := j.Member.Process()
	if wait := s.predecessor(p); wait > 0 {
		e := verd.New(verd.NotRun, verd.Unavailable, "the lease of the former process %s has not run out", p.Name)
		e.RetryAfter = wait
		return nil, e
	}
	r, err := s.propose(ctx, *j)
	if err != nil {
		return nil, err
	}
	if r.Refused != "" {
		return nil, verd.New(verd.NotRun, verd.Conflict, "join as %s: %s", p.Name, r.Refused)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Member.State == member.Gone {
		s.grants.forget(p)
		return &Joined{Version: r.Version}, nil
	}
	if s.grants.heard[p].IsZero() {
		s.grants.heard[p] = lease.Expiry(time.Now(), lease.Term)
	}
	return &Joined{Version: r.Version}, nil
}

// predecessor returns how long an earlier process of the same name may still
// hold a lease.
func (s *Server) predecessor(p member.Process) time.Duration {
	view, _ := s.Machine.View()
	m, ok := view.Member(p.Name)
	if !ok || m.Incarnation >= p.Incarnation {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.grants.heard[m.Process()])
}
