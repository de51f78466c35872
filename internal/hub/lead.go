package hub

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// leadEvery is how often the leader's lease is looked at.
	leadEvery = 100 * time.Millisecond
	// leadTimeout bounds that look: a replica that waits for its disk does not
	// lead.
	leadTimeout = 300 * time.Millisecond
)

// watchLead follows whether this instance leads.
func (s *Server) watchLead(ctx context.Context) error {
	s.setLeads(ctx, s.checkLead(ctx))
	timing.Every(ctx, leadEvery, func() { s.setLeads(ctx, s.checkLead(ctx)) })
	s.setLeads(ctx, false)
	s.audits.Wait()
	return nil
}

// checkLead says whether the lease of the leader holds here.
func (s *Server) checkLead(ctx context.Context) bool {
	n := s.replica()
	if !n.Status().Leads {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, leadTimeout)
	defer stop()
	return n.Barrier(ctx) == nil
}

// setLeads notes a change. The links to an instance that leads no more end, so
// that the others look for the next leader.
func (s *Server) setLeads(ctx context.Context, leads bool) {
	s.mu.Lock()
	changed := s.leads != leads
	s.leads = leads
	var ended []*session
	if changed {
		for x := range s.sessions {
			ended = append(ended, x)
		}
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	revision, _ := s.machine.Revision()
	s.counter("hub.leadership_changes").Inc(1)
	s.Log.Info().Bool("leads", leads).Uint64("revision", revision).Msg("leadership")
	if leads {
		s.sched.start()
		ctx, s.unaudit = context.WithCancel(ctx)
		s.audits.Go(func() { s.audit(ctx) })
	} else {
		s.sched.stop()
		s.unaudit()
	}
	for _, x := range ended {
		x.Stream.Close()
	}
}

func (s *Server) isLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads
}
