package hub

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// callTimeout bounds a call from outside: callers wait a second.
	callTimeout = 900 * time.Millisecond
	// tryTimeout bounds one attempt at the leader within a call.
	tryTimeout = 400 * time.Millisecond
	// againEvery is the pause between attempts.
	againEvery = 30 * time.Millisecond
	// readMethod asks the leader which revision a read must have.
	readMethod = "hub.read"
)

// errNoReplica says that this instance has no replica at the moment.
var errNoReplica = verd.New(verd.NotRun, verd.Unavailable, "the replica of this instance is starting")

type readAsk struct{}

// readMark is the revision that a read must have reached.
type readMark struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Publish puts tables in force and returns once they are committed. Tables that
// are not newer than those in force change nothing.
func (s *Server) Publish(ctx context.Context, t *site.Tables, source []byte) error {
	if err := t.Check(); err != nil {
		return verd.Wrap(err, verd.NotRun, verd.BadRequest, "tables")
	}
	began := time.Now()
	r, err := s.propose(ctx, reg.Command{Publish: &reg.Publish{Tables: *t, Source: source}})
	meter.Times("hub.publish", s.Metrics).Update(int64(time.Since(began)))
	s.Log.Info().Int64("version", t.Version).Int("routes", len(t.Routes)).Bool("changed", r.Changed).
		Uint64("revision", r.Revision).Err(err).Msg("tables published")
	return err
}

// Current returns the source of the newest tables, or an error if this instance
// can't be sure which those are.
func (s *Server) Current(ctx context.Context) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	mark, err := s.mark(ctx)
	if err != nil {
		return nil, err
	}
	for {
		have, changed := s.machine.Revision()
		if have >= mark {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, verd.New(verd.NotRun, verd.Unavailable, "revision %d is behind %d", have, mark)
		}
	}
	_, source := s.machine.Tables()
	if source == nil {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "no tables yet")
	}
	return source, nil
}

// mark asks the leader for the revision of a read.
func (s *Server) mark(ctx context.Context) (uint64, error) {
	n := s.replica()
	for {
		tctx, stop := context.WithTimeout(ctx, tryTimeout)
		var m readMark
		var err error
		switch addr, ok := n.Leader(); {
		case !ok:
			err = verd.New(verd.NotRun, verd.Unavailable, "no leader is known")
		case addr == s.Peers:
			m, err = s.readHere(tctx)
		default:
			err = s.Pool.Call(tctx, addr, readMethod, &readAsk{}, &m)
		}
		stop()
		if err == nil {
			return m.Revision, nil
		}
		if !timing.Sleep(ctx, againEvery) {
			return 0, err
		}
	}
}

func (s *Server) readHere(ctx context.Context) (readMark, error) {
	if err := s.replica().Barrier(ctx); err != nil {
		return readMark{}, err
	}
	revision, _ := s.machine.Revision()
	return readMark{Revision: revision}, nil
}

func (s *Server) onRead(ctx context.Context, _ any) (any, error) {
	m, err := s.readHere(ctx)
	if err != nil {
		return nil, err
	}
	return &m, nil
}

// Announce takes in what a target says of itself. It returns once a change is
// committed; what changes nothing is only noted as a sign of life.
func (s *Server) Announce(ctx context.Context, t site.Target) error {
	if err := t.Check(); err != nil {
		return verd.Wrap(err, verd.NotRun, verd.BadRequest, "announcement")
	}
	if tables, _ := s.machine.Tables(); tables != nil && !hasPool(tables, t.Pool) {
		return verd.New(verd.NotRun, verd.BadRequest, "unknown pool %q", t.Pool)
	}
	if known, ok := s.machine.Target(t.ID); ok && isSame(known, t) {
		if !s.isLeader() && !s.client.IsLinked() {
			// The leader would not hear of it and take the target for silent.
			return verd.New(verd.NotRun, verd.Unavailable, "the leader is out of reach")
		}
		s.noteHeard(t.ID)
		return nil
	}
	r, err := s.propose(ctx, reg.Command{Announce: &t})
	if err == nil {
		s.noteHeard(t.ID)
	}
	s.Log.Info().Str("target", t.ID).Str("pool", t.Pool).Str("address", t.Address).Str("state", t.State.String()).
		Uint64("seq", t.Seq).Int64("born", t.Born).Bool("changed", r.Changed).Err(err).Msg("target announced")
	return err
}

func hasPool(t *site.Tables, name string) bool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return true
		}
	}
	return false
}

// isSame says whether an announcement tells nothing but that the target lives.
func isSame(known, t site.Target) bool {
	if t.Seq <= known.Seq && t.Born == known.Born {
		return known.State != site.Ready || t.State == known.State
	}
	t.Seq = known.Seq
	return t == known
}

// Depart takes in that a target has left, and returns once that is committed.
func (s *Server) Depart(ctx context.Context, id string, born int64) error {
	r, err := s.propose(ctx, reg.Command{Depart: &reg.Depart{ID: id, Born: born}})
	s.Log.Info().Str("target", id).Bool("changed", r.Changed).Err(err).Msg("target left")
	return err
}

// propose commits a command. Commands are idempotent, so that one with an
// unknown outcome is tried again.
func (s *Server) propose(ctx context.Context, c reg.Command) (reg.Result, error) {
	b, err := reg.Encode(c)
	if err != nil {
		return reg.Result{}, verd.Wrap(err, verd.NotRun, verd.Internal, "encode")
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	for {
		tctx, cancel := context.WithTimeout(ctx, tryTimeout)
		value, err := s.replica().Propose(tctx, b)
		cancel()
		if err == nil {
			r, err := reg.Decode(value)
			if err == nil && r.Fault != "" {
				err = verd.New(verd.NotRun, verd.Internal, "%s", r.Fault)
			}
			return r, err
		}
		if verd.From(err).Reason == verd.TooLarge || !timing.Sleep(ctx, againEvery) {
			return reg.Result{}, err
		}
	}
}
