package ctrl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// apply commits a change and returns its outcome when it is in force.
func (s *Server) apply(ctx context.Context, c *Change) (*Outcome, error) {
	if err := c.Tables.Check(); err != nil {
		return nil, invalidTables(err)
	}
	r, err := s.propose(ctx, *c)
	if err != nil {
		return nil, err
	}
	if r.Outcome == nil {
		return nil, verd.New(verd.MayHaveRun, verd.Internal, "change %q was committed without an outcome: %s", c.ID, r.RejectReason)
	}
	if r.Outcome.Revision == 0 {
		return r.Outcome, nil
	}
	// The client repeats the call with the same id until the change is in force.
	ctx, stop := context.WithTimeout(ctx, longPollTime)
	defer stop()
	return r.Outcome, s.waitInForce(ctx, r.Outcome.Version)
}

func invalidTables(err error) *verd.Error {
	e := verd.Wrap(err, verd.NotRun, verd.BadRequest, "tables")
	var fe *table.FieldError
	if errors.As(err, &fe) {
		e.Field = fe.Field
	}
	return e
}

// waitInForce waits until every process with a live lease uses the version or a later
// one. A process that does not update delays it until its lease expires.
func (s *Server) waitInForce(ctx context.Context, version uint64) error {
	term := s.currentTerm()
	for {
		wait, heartbeatSeen := s.nextCheck(version)
		if heartbeatSeen == nil {
			return nil
		}
		t := time.NewTimer(wait)
		select {
		case <-heartbeatSeen:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return verd.New(verd.MayHaveRun, verd.Unavailable, "the change was accepted but not all instances have applied it yet")
		}
		t.Stop()
		if err := s.ensureLeader(ctx); err != nil {
			return verd.Wrap(err, verd.MayHaveRun, verd.Unavailable, "the change was accepted but not all instances have applied it yet")
		}
		if s.currentTerm() != term {
			return verd.New(verd.MayHaveRun, verd.Unavailable, "the control leader changed before the change was in force everywhere")
		}
	}
}

// nextCheck returns the time until the next lease on an older version expires, and a
// channel that is closed on the next heartbeat. The channel is nil if no lease uses an
// older version.
func (s *Server) nextCheck(version uint64) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.grants.minVersion(now, version) >= version {
		return 0, nil
	}
	if s.heartbeatSeen == nil {
		s.heartbeatSeen = make(chan struct{})
	}
	return s.grants.nextExpiry(now, version).Sub(now), s.heartbeatSeen
}
