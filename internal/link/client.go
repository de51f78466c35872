package link

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// connectTimeout bounds the wait for a connection and the welcome on it.
	connectTimeout = 700 * time.Millisecond
	// retryInterval is the pause after a link ended or no address answered.
	retryInterval = 100 * time.Millisecond
	// leaderBackoff is the time after a failed link to the leader in which the client keeps
	// its link to another control instance, even if that one names a leader.
	leaderBackoff = 500 * time.Millisecond
	// maxFollowerLink is how long a link to a control instance that does not lead is kept.
	// After that the client tries to link to the leader again.
	maxFollowerLink = 300 * time.Millisecond
)

// Follower handles what a Client receives, and supplies what it sends.
type Follower interface {
	// Revision returns the registry revision that the follower has.
	Revision() uint64
	// ApplyUpdate applies changes of the registry.
	ApplyUpdate(d *reg.Delta)
	// HandleGrant, HandleRefusal and HandleQueued report the state of a placement request:
	// granted, refused or queued.
	HandleGrant(g place.Grant)
	HandleRefusal(r place.Refuse)
	HandleQueued(id string)
	// ActiveGrants returns the grants in use, which are reported to a new leader.
	ActiveGrants() []place.ActiveGrant
	// SetEntries receives the ready instances for this follower, and SetEntryCount the number
	// of all ready instances.
	SetEntries(entries []Entry)
	SetEntryCount(n int)
	// HandleLinkLost is called when a link has ended.
	HandleLinkLost()
	// FillHeartbeat fills in what the follower reports with every heartbeat.
	FillHeartbeat(m *FollowerMessage)
}

// Client keeps a link to the leader, or to another control instance while the leader is
// unknown or unreachable.
type Client struct {
	// Self is the Hello that the links are opened with.
	Self  Hello
	Calls *wire.Pool
	// Follower handles what is received.
	Follower Follower
	// Suspended reports whether this instance leads, so that no link must be opened; nil
	// means that it never leads.
	Suspended func() bool
	Log       *log.Logger

	mu           sync.Mutex
	seeds        []string
	controlAddrs []string
	leaderAddr   string
	// leaderFailedAt is when the link to the leader last failed.
	leaderFailedAt time.Time
	session        *Session[ControlMessage, FollowerMessage]
	peerLeads      bool
	// lastReceived is when the last message was received.
	lastReceived time.Time
}

// SetSeeds replaces the addresses of the control instances to contact first.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Send adds to the next message to the leader by calling change on it at once. It returns
// false, without calling change, if there is no link to the leader.
func (c *Client) Send(change func(m *FollowerMessage)) bool {
	c.mu.Lock()
	s, peerLeads := c.session, c.peerLeads
	c.mu.Unlock()
	if s == nil || !peerLeads {
		return false
	}
	s.Enqueue(change)
	return true
}

// IsLinkedToLeader reports whether there is a link to the leader.
func (c *Client) IsLinkedToLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil && c.peerLeads
}

// SinceLastReceived returns the time since the last message was received. On a working
// link it is at most HeartbeatInterval.
func (c *Client) SinceLastReceived() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastReceived)
}

// IsLinked reports whether there is a link to any control instance.
func (c *Client) IsLinked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil
}

// Run opens a link, and opens another one whenever it ends, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		addrs := c.dialOrder(i)
		if len(addrs) == 0 || c.Suspended != nil && c.Suspended() {
			timing.Sleep(ctx, retryInterval)
			continue
		}
		for _, addr := range addrs {
			if c.runLink(ctx, addr) || ctx.Err() != nil {
				break
			}
		}
		timing.Sleep(ctx, retryInterval)
	}
	return nil
}

// dialOrder returns the addresses to try: that of the leader first, then the others, rotated
// by the number of the round.
func (c *Client) dialOrder(round int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	add := func(a string) {
		if a != "" && a != c.Self.PeerAddr && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	add(c.leaderAddr)
	all := slices.Concat(c.seeds, c.controlAddrs)
	for i := range all {
		add(all[(i+round)%len(all)])
	}
	return out
}

// runLink opens a link to an address and serves it until it ends. It returns false if the
// link could not be opened.
func (c *Client) runLink(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, s, err := c.connect(ctx, addr)
	if err != nil {
		c.Log.Debug().Str("peer", addr).Err(err).Msg("opening a link to a control instance failed")
		c.dropLeader(addr)
		return false
	}
	defer s.Stream.Close()
	if !w.IsLeader && w.LeaderAddr != "" && w.LeaderAddr != addr && c.setLeader(w.LeaderAddr) {
		// The next round tries the leader first.
		return true
	}
	c.attach(s, w, addr)
	c.Log.Info().Str("peer", addr).Bool("leads", w.IsLeader).Uint64("revision", c.Follower.Revision()).Msg("linked to control instance")
	if !w.IsLeader {
		// End the link after a while, to try the leader again.
		time.AfterFunc(maxFollowerLink, cancel)
	}
	err = s.Run(ctx)
	c.detach(s)
	c.Log.Info().Str("peer", addr).Err(err).Msg("link to control instance ended")
	if w.IsLeader {
		c.dropLeader(addr)
	}
	return true
}

// setLeader records the address of the leader. It returns false, and records nothing, if that
// is this instance or a leader failed within the last leaderBackoff.
func (c *Client) setLeader(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.Self.PeerAddr || time.Since(c.leaderFailedAt) < leaderBackoff {
		return false
	}
	c.leaderAddr = addr
	return true
}

// dropLeader forgets the leader if it has the address, and starts leaderBackoff.
func (c *Client) dropLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddr == addr {
		c.leaderAddr, c.leaderFailedAt = "", time.Now()
	}
}

// connect opens a stream, sends the Hello and receives the welcome.
func (c *Client) connect(ctx context.Context, addr string) (*Welcome, *Session[ControlMessage, FollowerMessage], error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	st, err := c.dial(connectCtx, ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(connectCtx, st.Close)
	defer stop()
	hello := c.Self
	hello.Revision = c.Follower.Revision()
	first := FollowerMessage{Hello: &hello}
	c.Follower.FillHeartbeat(&first)
	if err := st.Send(&first); err != nil {
		st.Close()
		return nil, nil, err
	}
	var reply ControlMessage
	if err := st.Receive(&reply); err != nil {
		st.Close()
		return nil, nil, err
	}
	if reply.Welcome == nil {
		st.Close()
		return nil, nil, ErrPeerTimeout
	}
	s := NewSession[ControlMessage, FollowerMessage](st)
	s.OnMessage = c.receive
	s.FillHeartbeat = c.Follower.FillHeartbeat
	c.dispatch(&reply)
	return reply.Welcome, s, nil
}

// dial opens a stream that lives until ctx ends. connectCtx bounds only the wait for it.
func (c *Client) dial(connectCtx, ctx context.Context, addr string) (*wire.Stream, error) {
	type opened struct {
		st  *wire.Stream
		err error
	}
	done := make(chan opened, 1)
	go func() {
		st, err := c.Calls.Open(ctx, addr, Method)
		done <- opened{st, err}
	}()
	select {
	case o := <-done:
		return o.st, o.err
	case <-connectCtx.Done():
		go func() {
			if o := <-done; o.st != nil {
				o.st.Close()
			}
		}()
		return nil, connectCtx.Err()
	}
}

// receive handles one message of the link.
func (c *Client) receive(_ context.Context, m *ControlMessage) error {
	c.mu.Lock()
	c.lastReceived = time.Now()
	c.mu.Unlock()
	c.dispatch(m)
	return nil
}

// dispatch passes the contents of a message to the follower.
func (c *Client) dispatch(m *ControlMessage) {
	if m.Welcome != nil {
		c.mu.Lock()
		c.controlAddrs = m.Welcome.ControlAddrs
		c.mu.Unlock()
	}
	if m.Update != nil {
		c.Follower.ApplyUpdate(m.Update)
	}
	if m.HasEntries {
		c.Follower.SetEntries(m.Entries)
	}
	if m.EntryCount > 0 {
		c.Follower.SetEntryCount(m.EntryCount)
	}
	for _, g := range m.Grants {
		c.Follower.HandleGrant(g)
	}
	for _, r := range m.Refusals {
		c.Follower.HandleRefusal(r)
	}
	for _, id := range m.Queued {
		c.Follower.HandleQueued(id)
	}
}

// attach makes a session the one that Send uses, and reports the grants in use to a leader.
func (c *Client) attach(s *Session[ControlMessage, FollowerMessage], w *Welcome, addr string) {
	c.mu.Lock()
	c.session, c.peerLeads, c.lastReceived = s, w.IsLeader, time.Now()
	if w.IsLeader {
		c.leaderAddr = addr
	}
	c.mu.Unlock()
	if w.IsLeader {
		// Grants that end from now on are reported by Send, so the leader sees their end
		// after this list. A list taken earlier could name grants that had ended before.
		s.Enqueue(func(m *FollowerMessage) { m.ActiveGrants = c.Follower.ActiveGrants() })
	}
}

// detach ends the use of a session by Send and notifies the follower.
func (c *Client) detach(s *Session[ControlMessage, FollowerMessage]) {
	c.mu.Lock()
	if c.session == s {
		c.session, c.peerLeads = nil, false
	}
	c.mu.Unlock()
	c.Follower.HandleLinkLost()
}
