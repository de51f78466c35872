package hub

import (
	"context"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// session is the link to another instance.
type session struct {
	*link.Session[link.FollowerMessage, link.ControlMessage]
	hello link.Hello
	// entries are the ready instances that the other instance reported.
	entries []link.Entry
	// sentRevision is the registry revision that the other instance had, or was last sent.
	sentRevision uint64
	// sentEntries are the ready instances last sent to it.
	sentEntries []link.Entry
	// sentCount is the number of ready instances last sent to it.
	sentCount int
}

// helloTimeout bounds the wait for the first message of a link, which carries the Hello.
const helloTimeout = time.Second

// serveLink serves the link of another instance until it ends. It closes the link if
// leadership changed while it was set up, as the welcome is outdated then.
func (s *Server) serveLink(ctx context.Context, st *wire.Stream) error {
	sess := &session{Session: link.NewSession[link.FollowerMessage, link.ControlMessage](st)}
	timer := time.AfterFunc(helloTimeout, st.Close)
	var first link.FollowerMessage
	err := st.Receive(&first)
	timer.Stop()
	if err != nil || first.Hello == nil {
		return err
	}
	sess.hello = *first.Hello
	sess.sentRevision = sess.hello.Revision
	leading := s.isLeader()
	if err := st.Send(s.newWelcome(sess, leading)); err != nil {
		return err
	}
	sess.OnMessage = func(_ context.Context, m *link.FollowerMessage) error {
		s.handle(sess, m)
		return nil
	}
	s.addSession(sess)
	defer s.removeSession(sess)
	if leading != s.isLeader() {
		return nil
	}
	s.handle(sess, &first)
	s.broadcastEntries()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.pushUpdates(ctx, sess)
	err = sess.Run(ctx)
	s.Log.Debug().Str("peer", sess.hello.Name).Err(err).Msg("link ended")
	return nil
}

// newWelcome returns the first message to another instance. It names the leader and all
// control instances and carries the registry update.
func (s *Server) newWelcome(sess *session, leading bool) *link.ControlMessage {
	m := &link.ControlMessage{Welcome: &link.Welcome{IsLeader: leading}}
	n := s.replica()
	if addr, ok := n.Leader(); ok && !leading && addr != s.PeerAddr {
		m.Welcome.LeaderAddr = addr
	}
	for _, r := range n.Status().Config.Replicas {
		m.Welcome.ControlAddrs = append(m.Welcome.ControlAddrs, r.Addr)
	}
	s.addUpdate(sess, m)
	return m
}

// addUpdate adds the registry changes that an instance lacks to a message. Control
// instances get none, as they replicate the log.
func (s *Server) addUpdate(sess *session, m *link.ControlMessage) {
	if sess.hello.IsControl {
		return
	}
	d, err := s.registry.DeltaSince(sess.sentRevision)
	if err != nil {
		s.Log.Error().Err(err).Str("peer", sess.hello.Name).Msg("registry update not sent")
		return
	}
	if d.Revision <= sess.sentRevision {
		return
	}
	sess.sentRevision = d.Revision
	if m.Update == nil {
		m.Update = &d
		return
	}
	mergeUpdate(m.Update, &d)
}

// mergeUpdate appends update b to the earlier update a.
func mergeUpdate(a, b *reg.Delta) {
	a.Revision = b.Revision
	if b.PackedTables != nil {
		a.PackedTables = b.PackedTables
	}
	a.Targets = append(a.Targets, b.Targets...)
}

// pushUpdates sends every change of the registry until ctx ends.
func (s *Server) pushUpdates(ctx context.Context, sess *session) {
	for {
		_, changed := s.registry.Revision()
		sess.Enqueue(func(m *link.ControlMessage) { s.addUpdate(sess, m) })
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) addSession(sess *session) {
	s.mu.Lock()
	s.sessions[sess] = struct{}{}
	s.mu.Unlock()
}

// removeSession removes a session and withdraws the requests of its instance.
func (s *Server) removeSession(sess *session) {
	s.mu.Lock()
	delete(s.sessions, sess)
	s.mu.Unlock()
	s.scheduler.dropSession(sess)
	s.broadcastEntries()
}

// handle processes a message from another instance.
func (s *Server) handle(sess *session, msg *link.FollowerMessage) {
	if msg.HasEntries && !slices.Equal(msg.Entries, sess.entries) {
		s.mu.Lock()
		sess.entries = msg.Entries
		s.mu.Unlock()
		s.Log.Info().Str("peer", sess.hello.Name).Int("entries", len(msg.Entries)).Msg("ready instances changed")
		s.broadcastEntries()
	}
	for _, id := range msg.Heartbeats {
		s.recordHeartbeat(id)
	}
	for _, d := range msg.Leaving {
		s.drainLeaving(sess.hello.Name, d)
	}
	s.scheduler.handle(sess, msg)
}

// recordHeartbeat records a heartbeat of a target. A follower keeps it for its next message
// to the leader.
func (s *Server) recordHeartbeat(id string) {
	if s.isLeader() {
		s.scheduler.markAlive(id)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingHeartbeats[id] = true
}
