package ctrl

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/lease"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// barrierTimeout bounds the wait for the leader's lease in the replicated log. It is
// shorter than the timeouts of all callers, so that they get an answer and know that the
// instance is reachable.
const barrierTimeout = 500 * time.Millisecond

// ensureLeader returns nil if this instance is the leader. A new leader starts its term
// first.
func (s *Server) ensureLeader(ctx context.Context) error {
	bctx, stop := context.WithTimeout(ctx, barrierTimeout)
	defer stop()
	if err := s.Replicated.Barrier(bctx); err != nil {
		if bctx.Err() != nil && ctx.Err() == nil {
			// The caller has time left to retry here or with another instance.
			return verd.Wrap(err, verd.NotRun, verd.Unavailable, "the control leader got no lease within %v", barrierTimeout)
		}
		return err
	}
	for !s.ownsTerm() {
		starting, claimed := s.claimTermStart()
		if claimed {
			defer s.endTermStart()
			return s.startTerm(ctx)
		}
		select {
		case <-starting:
		case <-bctx.Done():
			return verd.Wrap(bctx.Err(), verd.NotRun, verd.Unavailable, "the new control leader has not started its term yet")
		}
	}
	return nil
}

// ownsTerm reports whether the newest leader's term is this instance's.
func (s *Server) ownsTerm() bool {
	newest, _ := s.Machine.LeaderTerm()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term == newest && newest != 0
}

// claimTermStart makes the caller responsible for starting the term, unless another call
// already is. The channel is closed when that call is done.
func (s *Server) claimTermStart() (starting <-chan struct{}, claimed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.termStarting != nil {
		return s.termStarting, false
	}
	s.termStarting = make(chan struct{})
	return s.termStarting, true
}

func (s *Server) endTermStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.termStarting)
	s.termStarting = nil
}

// startTerm starts a leader's term. The leases that earlier leaders granted are not
// known, so every member is assumed to hold one. None of them lasts longer than one
// granted now.
func (s *Server) startTerm(ctx context.Context) error {
	_, now := s.Machine.LeaderTerm()
	r, err := s.commit(ctx, now, Lead{Process: s.Self})
	if err != nil {
		return err
	}
	start := time.Now()
	view, _ := s.Machine.View()
	if view.Revision == 0 && len(s.Tables.Pools) > 0 {
		initial := Change{ID: initialChangeID, Operator: initialOperator, Tables: s.Tables}
		if _, err := s.commit(ctx, now, initial); err != nil {
			return err
		}
	}
	g := newGrants()
	until := lease.Expiry(start, lease.Term)
	for i := range view.Members {
		g.assume(view.Members[i].Process(), until)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.logTimeAtStart, s.termStart, s.grants = r.LeaderTerm, now, start, g
	s.Log.Info().Uint64("reign", s.term).Int("members", len(view.Members)).Msg("became the control leader")
	return nil
}

// logTime returns the time of the log's clock, which stops while there is no leader.
func (s *Server) logTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logTimeAtStart + time.Since(s.termStart)
}

// propose commits a command with the current time of the log's clock.
func (s *Server) propose(ctx context.Context, c Command) (Result, error) {
	return s.commit(ctx, s.logTime(), c)
}

func (s *Server) commit(ctx context.Context, now time.Duration, c Command) (Result, error) {
	cmd, err := encode(now, c)
	if err != nil {
		return Result{}, verd.Wrap(err, verd.NotRun, verd.Internal, "propose a command")
	}
	b, err := s.Replicated.Propose(ctx, cmd)
	if err != nil {
		return Result{}, err
	}
	return decodeResult(b)
}

func (s *Server) currentTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}
