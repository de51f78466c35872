package hub

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// evacuateMethod has the leader commit a change of the evacuated data centres. A leader of a
	// build that doesn't know evacuations lacks the method, so it commits none.
	evacuateMethod = "hub.evacuate"
	// freshTime is how long after it was read a call may be bound to the list that is in force, and pauseLimit
	// how long it may have waited unread in a process that runs. The caller repeats the call after one second,
	// and may send other changes once that is acknowledged.
	freshTime  = 500 * time.Millisecond
	pauseLimit = 400 * time.Millisecond
	// pauseNoteInterval is how often the instance notes that it runs.
	pauseNoteInterval = 100 * time.Millisecond
	// staleTime is how long after a pause of the process calls may be read that came before its end.
	staleTime = time.Second
	// callerCheckTime is the time in which the end of the connection of a caller that has left is read.
	callerCheckTime = 20 * time.Millisecond
	// voterGrace is how long a new leader waits for the links of voters that it has not heard of.
	// Those that live link within a second. One that is lost must not keep its data centre from
	// being evacuated.
	voterGrace = 2 * time.Second
)

// evacuateResponse is the result of evacuateMethod.
type evacuateResponse struct {
	Changed bool   `cbor:"1,keyasint"`
	Counter uint64 `cbor:"2,keyasint"`
	// Outdated is set if the list has changed since the one that the change was made for.
	Outdated bool `cbor:"3,keyasint,omitempty"`
}

// Evacuate has no more requests sent to the targets of a data centre. It returns once that is
// committed. To repeat it changes nothing.
func (s *Server) Evacuate(ctx context.Context, dataCentre string) error {
	return s.changeEvacuations(ctx, &reg.Evacuate{DataCentre: dataCentre})
}

// EndEvacuation reverts Evacuate, and returns once that is committed.
func (s *Server) EndEvacuation(ctx context.Context, dataCentre string) error {
	return s.changeEvacuations(ctx, &reg.Evacuate{DataCentre: dataCentre, Withdrawn: true})
}

// changeEvacuations has the leader commit a change. A change is idempotent, so one with an unknown
// outcome is tried again until callTimeout. It is bound to the list that was in force when the call was
// read: an attempt that is late on its way to the leader must not revert what the operator has ordered since.
func (s *Server) changeEvacuations(ctx context.Context, e *reg.Evacuate) error {
	if err := e.Check(); err != nil {
		return verd.Wrap(err, verd.NotRun, verd.BadRequest, "invalid evacuation")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := s.commitBound(ctx, e)
	result := "acknowledged"
	if err != nil {
		result = "refused"
	}
	s.counter(meter.Label("hub.evacuation_calls", "result", result)).Inc(1)
	s.Log.Info().Str("data_centre", e.DataCentre).Bool("evacuated", !e.Withdrawn).Bool("changed", r.Changed).Uint64("counter", r.Counter).
		Err(err).Msg("evacuation call handled")
	return err
}

// commitBound binds a change to the list that is in force and has the leader commit it.
func (s *Server) commitBound(ctx context.Context, e *reg.Evacuate) (r evacuateResponse, err error) {
	bindCtx, cancel := context.WithTimeout(ctx, freshTime)
	defer cancel()
	if !timing.Sleep(bindCtx, callerCheckTime) {
		return r, verd.Wrap(bindCtx.Err(), verd.NotRun, verd.Unavailable, "the caller has left, or this instance was paused")
	}
	var reason error
	for {
		if e.After == nil || r.Outdated {
			if e.After, err = s.bindEvacuation(bindCtx); err != nil {
				return r, err
			}
		}
		r, err = s.sendEvacuation(ctx, e)
		switch {
		case err == nil && !r.Outdated:
			return r, nil
		case err == nil:
			continue
		case reason == nil || ctx.Err() == nil:
			// An attempt that the end of the call cuts off says nothing.
			reason = err
		}
		if !timing.Sleep(ctx, retryInterval) {
			return r, reason
		}
	}
}

// bindEvacuation returns the counter of the list that a call is made for, or nil if the leader doesn't tell it.
func (s *Server) bindEvacuation(ctx context.Context) (after *uint64, err error) {
	resp, err := s.readIndex(ctx)
	if err != nil {
		return nil, err
	}
	return resp.Evacuations, s.checkFresh()
}

// checkFresh returns an error if a call that was just read may be an old one: this process was paused, and the call
// may have waited meanwhile. Calls without a version or a number can't be ordered otherwise.
func (s *Server) checkFresh() error {
	s.pauses.Note()
	if pauses, ended := s.pauses.Last(); pauses > 0 && ended < staleTime {
		return verd.New(verd.NotRun, verd.Unavailable, "this control instance was paused until %s ago, and the call may be an old one", ended)
	}
	return nil
}

// sendEvacuation has the leader commit a change, once.
func (s *Server) sendEvacuation(ctx context.Context, e *reg.Evacuate) (r evacuateResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	switch leader, ok := s.replica().Leader(); {
	case !ok:
		err = verd.New(verd.NotRun, verd.Unavailable, "no leader of the control instances is known")
	case leader == s.PeerAddr:
		r, err = s.commitEvacuation(ctx, e)
	default:
		err = s.Calls.Call(ctx, leader, evacuateMethod, e, &r)
	}
	return r, err
}

// handleEvacuate answers evacuateMethod.
func (s *Server) handleEvacuate(ctx context.Context, in any) (any, error) {
	r, err := s.commitEvacuation(ctx, in.(*reg.Evacuate))
	if err != nil {
		return nil, err
	}
	return &r, nil
}

// commitEvacuation commits a change if this instance leads and the voters know the command, which
// they must still do afterwards.
func (s *Server) commitEvacuation(ctx context.Context, e *reg.Evacuate) (evacuateResponse, error) {
	if err := s.checkVoters(); err != nil {
		return evacuateResponse{}, err
	}
	now := s.registry.Evacuations()
	if e.IsOutdated(now) {
		// Replicas of builds that ignore Evacuate.After must not get such a change.
		return evacuateResponse{Counter: now.Counter, Outdated: true}, nil
	}
	if !e.Withdrawn && !now.Has(e.DataCentre) && len(now.DataCentres) >= reg.MaxEvacuations {
		return evacuateResponse{}, verd.New(verd.NotRun, verd.Overloaded, "%d data centres are evacuated, limit is %d", len(now.DataCentres), reg.MaxEvacuations)
	}
	b, err := s.registry.EncodeCommand(reg.Command{Evacuate: e})
	if err != nil {
		return evacuateResponse{}, verd.Wrap(err, verd.NotRun, verd.Internal, "encode registry command")
	}
	value, err := s.replica().ProposeLocal(ctx, b)
	if err != nil {
		return evacuateResponse{}, err
	}
	r, err := reg.DecodeResult(value)
	if err == nil && r.Error != "" {
		err = verd.New(verd.NotRun, verd.Internal, "registry could not apply the command: %s", r.Error)
	}
	if err != nil {
		return evacuateResponse{}, err
	}
	if err := s.checkVoters(); err != nil {
		return evacuateResponse{}, verd.Wrap(err, verd.MayHaveRun, verd.Unavailable, "the voters changed meanwhile")
	}
	return evacuateResponse{Changed: r.Changed, Counter: s.registry.Evacuations().Counter, Outdated: r.Outdated}, nil
}

// checkVoters returns an error unless this instance leads, and all voters have announced that they
// know evacuations. A replica that ignores the command would lose the evacuation with its next
// snapshot. A voter that is silent after voterGrace doesn't count.
func (s *Server) checkVoters() error {
	replicas := s.replica().Status().Config.Replicas
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return verd.New(verd.NotRun, verd.Unavailable, "this control instance doesn't lead")
	}
	for _, r := range replicas {
		if !r.Voter || r.Addr == s.PeerAddr {
			continue
		}
		switch knows, heard := s.knowsEvacuations[r.Addr]; {
		case heard && !knows:
			return verd.New(verd.NotRun, verd.Unavailable, "control instance %s is of a build without evacuations", r.Addr)
		case !heard && time.Since(s.leadingSince) < voterGrace:
			return verd.New(verd.NotRun, verd.Unavailable, "it is not known yet whether control instance %s knows evacuations", r.Addr)
		}
	}
	return nil
}

// noteCapabilityLocked records what a control instance announces. The caller holds s.mu.
func (s *Server) noteCapabilityLocked(h link.Hello) {
	if !h.IsControl {
		return
	}
	if s.knowsEvacuations == nil {
		s.knowsEvacuations = make(map[string]bool)
	}
	if former, heard := s.knowsEvacuations[h.PeerAddr]; !heard || former != h.Evacuates {
		s.Log.Info().Str("peer", h.PeerAddr).Bool("evacuates", h.Evacuates).Msg("capabilities of control instance noted")
	}
	s.knowsEvacuations[h.PeerAddr] = h.Evacuates
}

// addEvacuations adds the evacuated data centres to a message if the instance lacks them.
func (s *Server) addEvacuations(sess *session, m *link.ControlMessage) {
	if e := s.currentEvacuations(); e.Counter > sess.sentEvacuations {
		sess.sentEvacuations = e.Counter
		m.Evacuations = &e
	}
}

// evacuationTracker follows the evacuated data centres on one control instance, whether it leads
// or not.
type evacuationTracker struct {
	mu      sync.Mutex
	current reg.Evacuations
	// endedAt is when evacuations ended, as far as they ended during the life of this process. A
	// data centre that is evacuated again is not in it.
	endedAt map[string]time.Time
}

// update takes over the replicated state. It returns the newest list, and the data centres that
// are evacuated from now on and those that no longer are. A list that is older than the current
// one changes nothing: a replica that replays its log goes through former ones.
func (t *evacuationTracker) update(now time.Time, e reg.Evacuations) (current reg.Evacuations, began, ended []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Counter <= t.current.Counter {
		return t.current, nil, nil
	}
	began, ended = e.Without(t.current), t.current.Without(e)
	t.current = e
	for _, dc := range began {
		delete(t.endedAt, dc)
	}
	for _, dc := range ended {
		if t.endedAt == nil {
			t.endedAt = make(map[string]time.Time)
		}
		t.endedAt[dc] = now
	}
	return e, began, ended
}

// endTime returns when the evacuation of a data centre ended, and false if that is unknown or it is
// evacuated.
func (t *evacuationTracker) endTime(dataCentre string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.endedAt[dataCentre]
	return at, ok
}

// currentEvacuations returns the evacuated data centres, and notes changes of them.
func (s *Server) currentEvacuations() reg.Evacuations {
	e, began, ended := s.evacuations.update(time.Now(), s.registry.Evacuations())
	if len(began)+len(ended) > 0 {
		metrics.GetOrRegisterGauge("hub.evacuated", s.Metrics).Update(int64(len(e.DataCentres)))
		s.Log.Info().Strs("began", began).Strs("ended", ended).Strs("evacuated", e.DataCentres).Uint64("counter", e.Counter).
			Msg("evacuated data centres changed")
	}
	return e
}

// watchEvacuations has the scheduler use each change at once, until ctx ends.
func (s *Server) watchEvacuations(ctx context.Context) error {
	for {
		_, changed := s.registry.Revision()
		s.currentEvacuations()
		s.scheduler.syncEvacuations()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// syncEvacuations passes changes of the evacuated data centres to the cores. All other changes of the registry
// wait for the next message, as a large fleet makes many of them.
func (s *scheduler) syncEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active && s.server.currentEvacuations().Counter != s.evacuated.Counter {
		s.syncFleets()
	}
}

// endEvacuations is called when data centres are no longer evacuated, once the cores have their
// targets as ready and before any of these is granted. Server.evacuations holds the time. The
// caller holds mu.
func (s *scheduler) endEvacuations(dataCentres []string) {
	ready := 0
	for _, t := range s.server.registry.Targets() {
		for _, dc := range dataCentres {
			if t.DataCentre == dc && t.State == site.Ready {
				ready++
			}
		}
	}
	for _, dc := range dataCentres {
		s.markCold(dc)
	}
	s.returned = append(s.returned, dataCentres...)
	select {
	case s.auditWake <- struct{}{}:
	default:
	}
	s.server.Log.Info().Strs("data_centres", dataCentres).Int("targets", ready).Msg("targets are used again after an evacuation")
}

// fleetOf returns the event that passes targets of a pool to its core. Those of evacuated data
// centres count as draining: they get no work, and what they have goes on.
func fleetOf(p *site.Pool, targets []site.Target, e reg.Evacuations) place.Fleet {
	for i := range targets {
		if t := &targets[i]; t.State == site.Ready && e.Has(t.DataCentre) {
			t.State = site.Draining
		}
	}
	return place.Fleet{Engine: *p.Engine, Targets: targets, ColdRate: p.ColdRate}
}
