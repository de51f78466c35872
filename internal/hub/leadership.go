package hub

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// leaseCheckInterval is how often an instance checks whether it holds the leader's
	// lease.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseCheckTimeout bounds one check: a replica that is blocked on its disk counts as
	// not leading.
	leaseCheckTimeout = 300 * time.Millisecond
)

// watchLeadership keeps s.leading up to date. When ctx ends, it stops the leader's work and
// waits for the audit.
func (s *Server) watchLeadership(ctx context.Context) error {
	s.setLeading(ctx, s.holdsLease(ctx))
	timing.Every(ctx, leaseCheckInterval, func() {
		s.setLeading(ctx, s.holdsLease(ctx))
		s.nameLeader()
	})
	s.setLeading(ctx, false)
	s.auditGroup.Wait()
	return nil
}

// holdsLease reports whether this instance holds the leader's lease.
func (s *Server) holdsLease(ctx context.Context) bool {
	n := s.replica()
	if !n.Status().IsLeader {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCheckTimeout)
	defer cancel()
	return n.Barrier(ctx) == nil
}

// setLeading starts or stops the leader's work when leadership changes. Every change closes
// all links, so that the linked instances connect to the current leader.
func (s *Server) setLeading(ctx context.Context, leading bool) {
	s.mu.Lock()
	changed := s.leading != leading
	s.leading = leading
	var open []*session
	if changed {
		s.knowsEvacuations, s.leadingSince = nil, time.Now()
		for sess := range s.sessions {
			open = append(open, sess)
		}
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	revision, _ := s.registry.Revision()
	s.coldQueue.clear()
	s.counter("hub.leadership_changes").Inc(1)
	s.Log.Info().Bool("leads", leading).Uint64("revision", revision).Msg("leadership changed")
	if leading {
		// The instance at the other end would report the entries linked here back to here.
		s.client.Reset()
		s.scheduler.start()
		s.blocker.start()
		ctx, s.cancelAudit = context.WithCancel(ctx)
		s.auditGroup.Go(func() { s.audit(ctx) })
	} else {
		s.scheduler.stop()
		s.blocker.stop()
		s.cancelAudit()
	}
	for _, sess := range open {
		sess.Stream.Close()
	}
}

func (s *Server) isLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading
}
