package hub

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// callTimeout bounds a call of the public methods; their callers wait one second.
	callTimeout = 900 * time.Millisecond
	// heartbeatWait is how long a heartbeat waits for a link to the leader, and linkPollInterval how often
	// it looks for one. If a whole fleet were refused at once, each target would call all control
	// instances in turn, with a connection to each.
	heartbeatWait    = 600 * time.Millisecond
	linkPollInterval = 100 * time.Millisecond
	// attemptTimeout bounds one attempt to reach the leader within a call.
	attemptTimeout = 400 * time.Millisecond
	// retryInterval is the pause between attempts.
	retryInterval = 30 * time.Millisecond
	// readIndexMethod requests the read index from the leader: the lowest registry revision
	// at which a read is linearizable.
	readIndexMethod = "hub.read"
)

// errNoReplica is returned for a call of a log method that the current replica of this
// instance does not have, for example because it is not ready yet.
var errNoReplica = verd.New(verd.NotRun, verd.Unavailable, "the log replica of this instance is not ready for calls")

// readIndexRequest is the empty request of readIndexMethod.
type readIndexRequest struct{}

// readIndexResponse carries the read index.
type readIndexResponse struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Evacuations is the counter of the evacuated data centres; nil from leaders of builds that don't send it.
	Evacuations *uint64 `cbor:"2,keyasint,omitempty"`
}

// Publish replaces the tables and returns once the change is committed. Tables whose
// version is not higher than the current one change nothing.
func (s *Server) Publish(ctx context.Context, t *site.Tables, source []byte) error {
	if err := t.Check(); err != nil {
		return verd.Wrap(err, verd.NotRun, verd.BadRequest, "invalid tables")
	}
	began := time.Now()
	r, err := s.propose(ctx, reg.Command{Publish: &reg.Publish{Tables: *t, Source: source}})
	meter.Times("hub.publish", s.Metrics).Update(int64(time.Since(began)))
	s.Log.Info().Int64("version", t.Version).Int("routes", len(t.Routes)).Bool("changed", r.Changed).
		Uint64("revision", r.Revision).Err(err).Msg("publish of tables handled")
	return err
}

// TablesSource returns the source document of the newest committed tables. The read is
// linearizable: it fails if the leader does not confirm which revision is the newest.
func (s *Server) TablesSource(ctx context.Context) ([]byte, error) {
	if err := s.awaitNewest(ctx); err != nil {
		return nil, err
	}
	_, source := s.registry.Tables()
	if source == nil {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "no tables have been published")
	}
	return source, nil
}

// HasPublished reports whether source is the document of the newest committed tables or of one of the last before
// them. It fails like TablesSource, but not before the first tables.
func (s *Server) HasPublished(ctx context.Context, source []byte) (bool, error) {
	if err := s.awaitNewest(ctx); err != nil {
		return false, err
	}
	return s.registry.HasPublished(source), nil
}

// awaitNewest waits until the registry of this instance has the newest committed revision, at most callTimeout.
// It fails if the leader does not confirm which one that is.
func (s *Server) awaitNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	index, err := s.readIndex(ctx)
	if err != nil {
		return err
	}
	for {
		revision, changed := s.registry.Revision()
		if revision >= index.Revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verd.New(verd.NotRun, verd.Unavailable, "registry of this instance is at revision %d, the read needs %d", revision, index.Revision)
		}
	}
}

// readIndex returns the read index, the lowest revision at which a read is linearizable. It
// requests the index from the leader, and tries again until ctx ends.
func (s *Server) readIndex(ctx context.Context) (readIndexResponse, error) {
	n := s.replica()
	for {
		actx, cancel := context.WithTimeout(ctx, attemptTimeout)
		var resp readIndexResponse
		var err error
		switch addr, ok := n.Leader(); {
		case !ok:
			err = verd.New(verd.NotRun, verd.Unavailable, "the control instances have no known leader")
		case addr == s.PeerAddr:
			resp, err = s.localReadIndex(actx)
		default:
			err = s.Calls.Call(actx, addr, readIndexMethod, &readIndexRequest{}, &resp)
		}
		cancel()
		if err == nil {
			return resp, nil
		}
		if !timing.Sleep(ctx, retryInterval) {
			return readIndexResponse{}, err
		}
	}
}

// localReadIndex returns the current revision as the read index, after a barrier that fails
// unless this instance leads.
func (s *Server) localReadIndex(ctx context.Context) (readIndexResponse, error) {
	if err := s.replica().Barrier(ctx); err != nil {
		return readIndexResponse{}, err
	}
	revision, _ := s.registry.Revision()
	counter := s.registry.Evacuations().Counter
	return readIndexResponse{Revision: revision, Evacuations: &counter}, nil
}

// handleReadIndex answers readIndexMethod.
func (s *Server) handleReadIndex(ctx context.Context, _ any) (any, error) {
	resp, err := s.localReadIndex(ctx)
	if err != nil {
		return nil, err
	}
	return &resp, nil
}

// Announce registers or updates a target. A change is committed before Announce returns;
// an announcement without a change only counts as a heartbeat.
func (s *Server) Announce(ctx context.Context, t site.Target) error {
	if err := t.Check(); err != nil {
		return verd.Wrap(err, verd.NotRun, verd.BadRequest, "invalid announcement")
	}
	if tables, _ := s.registry.Tables(); tables != nil && !hasPool(tables, t.Pool) {
		return verd.New(verd.NotRun, verd.BadRequest, "announcement of target %q names unknown pool %q", t.ID, t.Pool)
	}
	if tables, _ := s.registry.Tables(); tables != nil && s.coldPool(t.Pool).ColdRate == 0 {
		t.Cold = 0 // It has no meaning for the pool, so the registry doesn't keep it.
	}
	if t.Cold > 0 {
		t.ColdUntilMs = time.Now().Add(t.Cold).UnixMilli()
	}
	if known, ok := s.registry.Target(t.ID); ok && isRefresh(known, t) {
		s.recordCold(t)
		if !s.awaitLeader(ctx) {
			// The heartbeat could not be forwarded, so the leader would remove the target.
			return verd.New(verd.NotRun, verd.Unavailable, "heartbeat of target %q not accepted: no link to the leader", t.ID)
		}
		s.recordHeartbeat(t.ID)
		return nil
	}
	received := time.Now()
	r, err := s.propose(ctx, reg.Command{Announce: &t, ReceivedMs: received.UnixMilli()})
	if err == nil && r.Outdated {
		err = verd.New(verd.NotRun, verd.Unavailable, "target %q drains in a process that started before the one that is used", t.ID)
	}
	if err == nil && r.HasLeft {
		// Its record must state so for replicas of builds that don't remember the departure. The target may announce
		// itself again, as a departure without a start time may be that of another process.
		_, err = s.propose(ctx, reg.Command{Deregister: &reg.Deregister{ID: t.ID, StartedMs: t.StartedMs, TimedOut: true}})
	}
	if err == nil {
		s.recordHeartbeat(t.ID)
		// Without the time of the commit, each late one would extend the time at all entries.
		t.Cold = max(0, t.Cold-time.Since(received))
		s.recordCold(t)
	}
	s.Log.Info().Str("target", t.ID).Str("pool", t.Pool).Str("address", t.Address).Str("state", t.State.String()).
		Uint64("seq", t.Sequence).Int64("born", t.StartedMs).Bool("changed", r.Changed).Bool("left", r.HasLeft).Err(err).Msg("announcement of target handled")
	return err
}

// awaitLeader waits until heartbeats reach the leader, at most heartbeatWait. It reports whether they do.
func (s *Server) awaitLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatWait)
	defer cancel()
	for !s.isLeader() && !s.client.IsLinkedToLeader() {
		if !timing.Sleep(ctx, linkPollInterval) {
			return false
		}
	}
	return true
}

// HeartbeatAddr returns the address of this instance for a target in its data centre, and ""
// for others. Once a target has found a control instance nearby, its heartbeats cause no
// traffic between data centres.
func (s *Server) HeartbeatAddr(t site.Target) string {
	if t.DataCentre != s.DataCentre {
		return ""
	}
	return s.ControlAddr
}

// drainLeaving marks a target as draining that has told another instance that it is about to
// shut down. It returns before the change is committed. Instances repeat the report until
// they see the change.
func (s *Server) drainLeaving(reporter string, d link.Departure) {
	t, ok := s.registry.Target(d.ID)
	if !ok || t.State != site.Ready || t.StartedMs != d.StartedMs || t.Sequence == math.MaxUint64 {
		return // No number is higher than the last one, and no change would be newer.
	}
	s.mu.Lock()
	pending := s.pendingDrains[d]
	s.pendingDrains[d] = true
	s.mu.Unlock()
	if pending {
		return
	}
	go func() {
		// The next number orders the change after the announcement that it is based on.
		t.State, t.Sequence = site.Draining, t.Sequence+1
		r, err := s.propose(context.Background(), reg.Command{Announce: &t})
		s.mu.Lock()
		delete(s.pendingDrains, d)
		s.mu.Unlock()
		s.Log.Info().Str("target", d.ID).Str("peer", reporter).Int64("born", d.StartedMs).Bool("changed", r.Changed).Err(err).
			Msg("target reported as leaving")
	}()
}

// hasPool reports whether the tables declare a pool.
func hasPool(t *site.Tables, name string) bool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return true
		}
	}
	return false
}

// isRefresh reports whether an announcement only counts as a heartbeat: it changes nothing
// but the sequence number and the time for which the target is cold, or it is outdated. An outdated one that gives a ready target
// another state is no refresh.
func isRefresh(known, t site.Target) bool {
	if t.StartedMs == known.StartedMs {
		if t.Sequence <= known.Sequence {
			return known.State != site.Ready || t.State == known.State
		}
		if known.State == site.Draining && t.State == site.Ready {
			return true // Drained on the report of an instance, which binds until a restart.
		}
	}
	return t.IsSameAs(known)
}

// Deregister marks a target as gone and returns once the change is committed. The parameter
// startedMs identifies the process that left by its start time in Unix milliseconds; 0 means
// the current one.
func (s *Server) Deregister(ctx context.Context, id string, startedMs int64) error {
	d := &reg.Deregister{ID: id, StartedMs: startedMs}
	if err := d.Check(); err != nil {
		return verd.Wrap(err, verd.NotRun, verd.BadRequest, "invalid deregistration")
	}
	if startedMs == 0 {
		// An old call could remove the next process under the ID.
		if err := s.checkFresh(); err != nil {
			return err
		}
	}
	r, err := s.propose(ctx, reg.Command{Deregister: d, ReceivedMs: time.Now().UnixMilli()})
	earlier := err == nil && r.Earlier != nil
	if earlier {
		r, err = s.propose(ctx, reg.Command{Deregister: &reg.Deregister{ID: id, StartedMs: *r.Earlier}})
	}
	s.Log.Info().Str("target", id).Int64("born", startedMs).Bool("changed", r.Changed).Bool("earlier", earlier).Err(err).Msg("deregistration of target handled")
	return err
}

// propose commits a command to the log. Commands are idempotent, so a command with an
// unknown outcome is proposed again until callTimeout.
func (s *Server) propose(ctx context.Context, c reg.Command) (reg.Result, error) {
	b, err := s.registry.EncodeCommand(c)
	if err != nil {
		reason := verd.Internal
		if errors.Is(err, reg.ErrUndecodable) {
			reason = verd.BadRequest
		}
		return reg.Result{}, verd.Wrap(err, verd.NotRun, reason, "encode registry command")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		actx, cancelAttempt := context.WithTimeout(ctx, attemptTimeout)
		reply, err := s.commit(actx, c, b)
		cancelAttempt()
		if err == nil {
			r, err := reg.DecodeResult(reply)
			if err == nil && r.Error != "" {
				err = verd.New(verd.NotRun, verd.Internal, "registry could not apply the command: %s", r.Error)
			}
			return r, err
		}
		if verd.From(err).Reason == verd.TooLarge || !timing.Sleep(ctx, retryInterval) {
			return reg.Result{}, err
		}
	}
}
