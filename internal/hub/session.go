package hub

import (
	"context"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// session is the link to another instance.
type session struct {
	*link.Session[link.FollowerMessage, link.ControlMessage]
	hello link.Hello
	// entries are the ready instances that the other instance reported.
	entries []link.Entry
	// load is how busy the other instance is; nil if it has not said so.
	load *link.Load
	// sentSpreads are the spreads last sent to it.
	sentSpreads []link.Spread
	// sentRevision is the registry revision that the other instance had, or was last sent.
	sentRevision uint64
	// sentEntries are the ready instances last sent to it.
	sentEntries []link.Entry
	// sentRelays are the instances that may relay for it, as last sent to it.
	sentRelays []link.Entry
	// toldLeader is the peer address of the leader that it was last told.
	toldLeader string
	// sentCount is the number of ready instances last sent to it.
	sentCount int
	// sentEvacuations is the counter of the evacuations last sent to it.
	sentEvacuations uint64
	// loadsDue is when it may be sent the loads of the pools again. Only fill uses it, and only the
	// goroutine that sends calls that.
	loadsDue time.Time
	// requests is the number of its requests at the scheduler, whose mu guards it.
	requests int
}

// helloTimeout bounds the wait for the first message of a link, which carries the Hello.
const helloTimeout = time.Second

// serveLink serves the link of another instance until it ends. It closes the link if
// leadership changed while it was set up, as the welcome is outdated then.
func (s *Server) serveLink(ctx context.Context, st *wire.Stream) error {
	sess := &session{Session: link.NewSession[link.FollowerMessage, link.ControlMessage](st)}
	var first link.FollowerMessage
	err := st.ReceiveWithin(helloTimeout, &first)
	if err != nil || first.Hello == nil {
		return err
	}
	sess.hello = *first.Hello
	sess.sentRevision = sess.hello.Revision
	leading := s.isLeader()
	welcome := s.newWelcome(sess, leading)
	sess.OnMessage = func(_ context.Context, m *link.FollowerMessage) error {
		s.handle(sess, m)
		return nil
	}
	s.addSession(sess)
	defer s.removeSession(sess)
	if leading != s.isLeader() {
		return nil
	}
	if blocks, limits, cold := s.blocker.current(), s.scheduler.currentLimits(), s.scheduler.currentCold(); len(blocks)+len(limits)+len(cold) > 0 {
		sess.Enqueue(func(m *link.ControlMessage) {
			m.Blocks, m.Limits = append(m.Blocks, blocks...), append(m.Limits, limits...)
			addCold(m, cold)
		})
	}
	sess.FillHeartbeat = func(m *link.ControlMessage) { s.loads.fill(sess, m) }
	// The first message is not kept while the other instance takes its time to read.
	s.handle(sess, &first)
	if err := st.SendWithin(link.SendTimeout, welcome); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.pushUpdates(ctx, sess)
	err = sess.Run(ctx)
	s.Log.Debug().Str("peer", sess.hello.Name).Err(err).Msg("link ended")
	return nil
}

// newWelcome returns the first message to another instance. It names the leader and all
// control instances and carries the registry update and the loads of the pools.
func (s *Server) newWelcome(sess *session, leading bool) *link.ControlMessage {
	m := &link.ControlMessage{Welcome: s.describeControl(leading)}
	sess.toldLeader = m.Welcome.LeaderAddr
	n := s.replica()
	voters := n.CompleteVoters()
	// The registry is emptied when the replica is replaced.
	if s.addUpdate(sess, m) && n == s.replica() {
		m.Welcome.Voters = voters
	}
	s.loads.fill(sess, m)
	return m
}

// describeControl returns a Welcome with the leader and all control instances.
func (s *Server) describeControl(leading bool) *link.Welcome {
	w := &link.Welcome{IsLeader: leading}
	n := s.replica()
	st := n.Status()
	if addr, ok := n.Leader(); ok && !leading && addr != s.PeerAddr {
		w.LeaderAddr = addr
	}
	// A replica that was elected leads before this instance does.
	if !leading && !st.IsLeader {
		w.Term = st.Term
	}
	for _, r := range n.Status().Config.Replicas {
		w.ControlAddrs = append(w.ControlAddrs, r.Addr)
	}
	return w
}

// nameLeader tells the linked instances of a leader that they have not been told of.
func (s *Server) nameLeader() {
	w := s.describeControl(false)
	if w.LeaderAddr == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading {
		return
	}
	for sess := range s.sessions {
		if sess.toldLeader != w.LeaderAddr {
			sess.toldLeader = w.LeaderAddr
			sess.Enqueue(func(m *link.ControlMessage) { m.Welcome = w })
		}
	}
}

// addUpdate adds the registry changes that an instance lacks to a message. Control
// instances get none, as they replicate the log. It returns false if they could not be encoded.
func (s *Server) addUpdate(sess *session, m *link.ControlMessage) bool {
	if sess.hello.IsControl {
		return true
	}
	s.addEvacuations(sess, m)
	if m.Update == nil {
		m.Since = sess.sentRevision
	}
	d, err := s.registry.DeltaSince(m.Since, sess.hello.Compact)
	if err != nil {
		s.Log.Error().Err(err).Str("peer", sess.hello.Name).Msg("registry update not sent")
		return false
	}
	if d.Revision > sess.sentRevision {
		sess.sentRevision = d.Revision
		m.Update = &d
	}
	return true
}

// minPushInterval is the shortest time between two registry updates to an instance. When a
// whole fleet of targets announces itself, one message carries many changes. It grows by
// pushIntervalPerLink with each linked instance, which bounds the messages of a leader.
const (
	minPushInterval     = 20 * time.Millisecond
	pushIntervalPerLink = 500 * time.Microsecond
)

// pushInterval returns the time between two registry updates to an instance.
func (s *Server) pushInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minPushInterval, time.Duration(len(s.sessions))*pushIntervalPerLink)
}

// pushUpdates sends every change of the registry until ctx ends.
func (s *Server) pushUpdates(ctx context.Context, sess *session) {
	for {
		_, changed := s.registry.Revision()
		sess.Enqueue(func(m *link.ControlMessage) { s.addUpdate(sess, m) })
		if !timing.Sleep(ctx, s.pushInterval()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sendAll adds to the next message to each linked instance.
func (s *Server) sendAll(change func(m *link.ControlMessage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.Enqueue(change)
	}
}

func (s *Server) addSession(sess *session) {
	s.mu.Lock()
	s.sessions[sess] = struct{}{}
	s.noteCapabilityLocked(sess.hello)
	s.changeEntriesLocked()
	s.mu.Unlock()
}

// removeSession removes a session and withdraws the requests of its instance.
func (s *Server) removeSession(sess *session) {
	s.mu.Lock()
	delete(s.sessions, sess)
	s.changeEntriesLocked()
	s.mu.Unlock()
	s.scheduler.dropSession(sess)
}

// handle processes a message from another instance.
func (s *Server) handle(sess *session, msg *link.FollowerMessage) {
	if entries := boundEntries(sess.hello, msg.Entries); msg.HasEntries && !slices.Equal(entries, sess.entries) {
		s.mu.Lock()
		sess.entries = slices.Clone(entries)
		s.changeEntriesLocked()
		s.mu.Unlock()
	}
	if msg.Load != nil {
		s.mu.Lock()
		sess.load = msg.Load
		s.mu.Unlock()
	}
	for _, id := range msg.Heartbeats {
		s.recordHeartbeat(id)
	}
	for _, d := range msg.Leaving {
		s.drainLeaving(sess.hello.Name, d)
	}
	if !s.isLeader() && len(msg.ActiveGrants) > 0 {
		s.loads.pass(sess, msg.ActiveGrants)
	}
	if !s.isLeader() && len(msg.Cold) > 0 {
		s.forwardCold(msg.Cold)
	}
	s.blocker.handle(msg)
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
	if s.pendingHeartbeats[id] || s.mayKeep(id, len(s.pendingHeartbeats)) {
		s.pendingHeartbeats[id] = true
	}
}
