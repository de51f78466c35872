package hub

import (
	"context"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// session is the link of one other instance.
type session struct {
	*link.Session[link.Up, link.Down]
	hello link.Hello
	// entries are the ready instances that it told of.
	entries []link.Entry
	// have is the revision that was sent to it.
	have uint64
	// listed are the ready instances that were sent to it.
	listed []link.Entry
	// counted is the number of ready instances that was sent to it.
	counted int
}

// helloTimeout bounds the wait for the first message of a link.
const helloTimeout = time.Second

// serve carries the link of one instance.
func (s *Server) serve(ctx context.Context, st *wire.Stream) error {
	x := &session{Session: link.NewSession[link.Up, link.Down](st)}
	timer := time.AfterFunc(helloTimeout, st.Close)
	var first link.Up
	err := st.Receive(&first)
	timer.Stop()
	if err != nil || first.Hello == nil {
		return err
	}
	x.hello = *first.Hello
	x.have = x.hello.Have
	leads := s.isLeader()
	if err := st.Send(s.welcome(x, leads)); err != nil {
		return err
	}
	x.Receive = func(_ context.Context, u *link.Up) error {
		s.take(x, u)
		return nil
	}
	s.add(x)
	defer s.remove(x)
	if leads != s.isLeader() {
		return nil
	}
	s.take(x, &first)
	s.spread()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.feed(ctx, x)
	err = x.Run(ctx)
	s.Log.Debug().Str("peer", x.hello.Name).Err(err).Msg("link ended")
	return nil
}

func (s *Server) welcome(x *session, leads bool) *link.Down {
	d := &link.Down{Welcome: &link.Welcome{Leads: leads}}
	n := s.replica()
	if addr, ok := n.Leader(); ok && !leads && addr != s.Peers {
		d.Welcome.Leader = addr
	}
	for _, r := range n.Status().Config.Replicas {
		d.Welcome.Control = append(d.Welcome.Control, r.Addr)
	}
	s.update(x, d)
	return d
}

// update puts what the instance lacks into a message.
func (s *Server) update(x *session, d *link.Down) {
	if x.hello.Control {
		return
	}
	u, err := s.machine.Since(x.have)
	if err != nil {
		s.Log.Error().Err(err).Str("peer", x.hello.Name).Msg("news not sent")
		return
	}
	if u.Revision <= x.have {
		return
	}
	x.have = u.Revision
	if d.Update == nil {
		d.Update = &u
		return
	}
	merge(d.Update, &u)
}

// merge adds later news to earlier ones.
func merge(a, b *reg.Update) {
	a.Revision = b.Revision
	if b.Packed != nil {
		a.Packed = b.Packed
	}
	a.Targets = append(a.Targets, b.Targets...)
}

// feed sends news as they come.
func (s *Server) feed(ctx context.Context, x *session) {
	for {
		_, changed := s.machine.Revision()
		x.Add(func(d *link.Down) { s.update(x, d) })
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) add(x *session) {
	s.mu.Lock()
	s.sessions[x] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) remove(x *session) {
	s.mu.Lock()
	delete(s.sessions, x)
	s.mu.Unlock()
	s.sched.drop(x)
	s.spread()
}

// take handles a message of an instance.
func (s *Server) take(x *session, u *link.Up) {
	if u.Listed && !slices.Equal(u.Entries, x.entries) {
		s.mu.Lock()
		x.entries = u.Entries
		s.mu.Unlock()
		s.Log.Info().Str("peer", x.hello.Name).Int("entries", len(u.Entries)).Msg("ready instances changed")
		s.spread()
	}
	for _, id := range u.Heard {
		s.noteHeard(id)
	}
	s.sched.take(x, u)
}

// noteHeard notes a sign of life of a target, here or with the leader.
func (s *Server) noteHeard(id string) {
	if s.isLeader() {
		s.sched.heard(id)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[id] = true
}
