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
	// longPollTime is the longest delay of a heartbeat's reply while nothing changes.
	longPollTime = time.Second
	// sweepInterval is the interval of checks for expired leases.
	sweepInterval = 250 * time.Millisecond
	// callTimeout bounds calls that wait only for the replicated log.
	callTimeout = 3 * time.Second
	// initialChangeID is the id of the change with the initial tables of a site.
	initialChangeID = "first"
	// initialOperator is the operator of that change.
	initialOperator = "settings"
)

// Server runs on every control instance. The leader among them grants leases to members
// and commits changes of the tables.
type Server struct {
	// Tables are the initial tables of a new site.
	Tables table.Tables
	// Self is the process that this server runs in.
	Self       member.Process
	Replicated quorum.ReplicatedLog
	Machine    *Machine
	Log        *log.Logger

	mu sync.Mutex
	// term is the last term that this instance started as the leader.
	term uint64
	// logTimeAtStart is the time of the log's clock at termStart, when that term started.
	logTimeAtStart time.Duration
	termStart      time.Time
	grants         *grants
	// heartbeatSeen is closed on the next heartbeat, which may raise the lowest view
	// version in use.
	heartbeatSeen chan struct{}
	// termStarting is closed when the attempt to start a term has ended.
	termStarting chan struct{}
}

// Run removes members with expired leases until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.removeExpired(ctx)
	timing.Every(ctx, sweepInterval, func() { s.removeExpired(ctx) })
	return nil
}

// heartbeat replies to a member with a lease and the changes of the view.
func (s *Server) heartbeat(ctx context.Context, hb *Heartbeat) (*HeartbeatReply, error) {
	arrived := time.Now()
	if unknown := !s.isMember(hb.Process); unknown {
		return &HeartbeatReply{MustJoin: true}, nil
	}
	known := s.recordHeartbeat(hb)
	if hb.Released {
		return &HeartbeatReply{}, nil
	}
	if hb.LongPoll && known {
		s.waitForChange(ctx, hb.ViewVersion)
	}
	// The term is checked after the long poll: a later leader assumes leases granted at the
	// start of its own term, which is after this moment.
	granted := time.Now()
	if err := s.ensureLeader(ctx); err != nil {
		return nil, err
	}
	reply := &HeartbeatReply{LeaseTerm: lease.Remaining(granted.Add(lease.Term), arrived), NeedSubtree: !known}
	reply.View, reply.Deltas = s.Machine.ChangesSince(hb.ViewVersion)
	if hb.ViewVersion == 0 && reply.View != nil {
		if _, ok := relayOf(reply.View, hb.Process.Name); ok {
			// The member gets its lease from its relay, so that only one grantor counts it.
			reply.LeaseTerm = 0
			return reply, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants.extend(hb, reply.versionAfter(hb.ViewVersion), lease.Expiry(time.Now(), lease.Term))
	return reply, nil
}

func (s *Server) isMember(p member.Process) bool {
	v, _ := s.Machine.View()
	m, ok := v.Member(p.Name)
	return ok && m.Incarnation == p.Incarnation
}

// recordHeartbeat records a heartbeat and notifies the calls that wait for a change to be
// in force.
func (s *Server) recordHeartbeat(hb *Heartbeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.grants.record(hb)
	if s.heartbeatSeen != nil {
		close(s.heartbeatSeen)
		s.heartbeatSeen = nil
	}
	return known
}

// waitForChange waits for a view newer than the version have, for at most longPollTime.
func (s *Server) waitForChange(ctx context.Context, have uint64) {
	v, changed := s.Machine.View()
	if v.Version > have {
		return
	}
	t := time.NewTimer(longPollTime)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// removeExpired removes the members whose lease has certainly expired.
func (s *Server) removeExpired(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if s.ensureLeader(ctx) != nil {
		return
	}
	d := s.expiredMembers()
	if len(d.Processes) == 0 {
		return
	}
	if _, err := s.propose(ctx, d); err != nil {
		return // The next run tries again.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range d.Processes {
		s.grants.remove(p)
		s.Log.Warn().Str("instance", p.Name).Msg("lease expired; instance removed")
	}
}

// expiredMembers returns the command that removes the members with expired leases.
func (s *Server) expiredMembers() Drop {
	view, _ := s.Machine.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.grants.prune(now)
	d := Drop{LeaderTerm: s.term}
	for i := range view.Members {
		if p := view.Members[i].Process(); s.grants.expired(p, now) {
			d.Processes = append(d.Processes, p)
		}
	}
	return d
}

// join adds a member or changes its state.
func (s *Server) join(ctx context.Context, j *Join) (*VersionReply, error) {
	p := j.Member.Process()
	if wait := s.previousLease(p); wait > 0 {
		e := verd.New(verd.NotRun, verd.Unavailable, "the lease of the previous process of instance %s has not expired", p.Name)
		e.RetryAfter = wait
		return nil, e
	}
	r, err := s.propose(ctx, *j)
	if err != nil {
		return nil, err
	}
	if r.RejectReason != "" {
		return nil, verd.New(verd.NotRun, verd.Conflict, "join as instance %s: %s", p.Name, r.RejectReason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Member.State == member.Gone {
		s.grants.remove(p)
		return &VersionReply{Version: r.Version}, nil
	}
	if s.grants.expiry[p].IsZero() {
		s.grants.expiry[p] = lease.Expiry(time.Now(), lease.Term)
	}
	return &VersionReply{Version: r.Version}, nil
}

// previousLease returns how long an earlier process of the same instance may still hold a
// lease. It is not positive if there is none.
func (s *Server) previousLease(p member.Process) time.Duration {
	view, _ := s.Machine.View()
	m, ok := view.Member(p.Name)
	if !ok || m.Incarnation >= p.Incarnation {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.grants.expiry[m.Process()])
}
