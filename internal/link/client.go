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
	// leaderBackoff is how long an unreachable leader is not tried again when another
	// control instance names it. That other instance is followed meanwhile.
	leaderBackoff = 500 * time.Millisecond
	// maxFollowerLink is how long a link to an instance that does not lead is kept before
	// the leader is looked for again.
	maxFollowerLink = 300 * time.Millisecond
)

// Follower handles what a Client receives, and supplies what it sends.
type Follower interface {
	// Have returns the registry revision that the follower has.
	Have() uint64
	// Update applies changes of the registry.
	Update(u *reg.Update)
	// Granted, Refused and Waiting report the state of a placement request: it got an
	// engine, was turned away, or is queued.
	Granted(g place.Grant)
	Refused(r place.Refuse)
	Waiting(id string)
	// Holdings returns the grants in use, which a new leader must learn of.
	Holdings() []place.ActiveGrant
	// Listed receives the ready instances, and Counted the number of all of them.
	Listed(entries []Entry)
	Counted(n int)
	// Lost is called when a link has ended.
	Lost()
	// Pulse fills in what the follower reports with every heartbeat.
	Pulse(u *Up)
}

// Client keeps a link to the leader, or to another control instance while the leader is
// unknown or unreachable.
type Client struct {
	// Self is the Hello that the links are opened with.
	Self  Hello
	Calls *wire.Pool
	// Follower handles what is received.
	Follower Follower
	// Suspended reports whether no link is wanted because this instance leads; nil means
	// never.
	Suspended func() bool
	Log       *log.Logger

	mu           sync.Mutex
	seeds        []string
	controlAddrs []string
	leaderAddr   string
	// leaderFailedAt is when the link to the leader last failed.
	leaderFailedAt time.Time
	session        *Session[Down, Up]
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

// Send calls change on the next message to the leader. It returns false, without calling
// change, if there is no link to the leader.
func (c *Client) Send(change func(u *Up)) bool {
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

// Quiet returns the time since the last message was received. On a working link it is at most
// PulseEvery.
func (c *Client) Quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastReceived)
}

// IsAttached reports whether there is a link to any control instance.
func (c *Client) IsAttached() bool {
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

// dialOrder returns the addresses to try: the leader first, then the others, which start at
// another one in each round.
func (c *Client) dialOrder(round int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	add := func(a string) {
		if a != "" && a != c.Self.Peers && !slices.Contains(out, a) {
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
	c.Log.Info().Str("peer", addr).Bool("leads", w.IsLeader).Uint64("revision", c.Follower.Have()).Msg("linked to control instance")
	if !w.IsLeader {
		// End the link after a while, to look for the leader again.
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
	if addr == c.Self.Peers || time.Since(c.leaderFailedAt) < leaderBackoff {
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
func (c *Client) connect(ctx context.Context, addr string) (*Welcome, *Session[Down, Up], error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	st, err := c.dial(connectCtx, ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(connectCtx, st.Close)
	defer stop()
	hello := c.Self
	hello.Revision = c.Follower.Have()
	up := Up{Hello: &hello}
	c.Follower.Pulse(&up)
	if err := st.Send(&up); err != nil {
		st.Close()
		return nil, nil, err
	}
	var d Down
	if err := st.Receive(&d); err != nil {
		st.Close()
		return nil, nil, err
	}
	if d.Welcome == nil {
		st.Close()
		return nil, nil, ErrPeerTimeout
	}
	s := NewSession[Down, Up](st)
	s.OnMessage = c.receive
	s.FillHeartbeat = c.Follower.Pulse
	c.dispatch(&d)
	return d.Welcome, s, nil
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
func (c *Client) receive(_ context.Context, d *Down) error {
	c.mu.Lock()
	c.lastReceived = time.Now()
	c.mu.Unlock()
	c.dispatch(d)
	return nil
}

// dispatch passes the parts of a message to the follower.
func (c *Client) dispatch(d *Down) {
	if d.Welcome != nil {
		c.mu.Lock()
		c.controlAddrs = d.Welcome.ControlAddrs
		c.mu.Unlock()
	}
	if d.Update != nil {
		c.Follower.Update(d.Update)
	}
	if d.HasEntries {
		c.Follower.Listed(d.Entries)
	}
	if d.EntryCount > 0 {
		c.Follower.Counted(d.EntryCount)
	}
	for _, g := range d.Grants {
		c.Follower.Granted(g)
	}
	for _, r := range d.Refusals {
		c.Follower.Refused(r)
	}
	for _, id := range d.Queued {
		c.Follower.Waiting(id)
	}
}

// attach makes a session the one that Send uses, and reports the grants in use to a leader.
func (c *Client) attach(s *Session[Down, Up], w *Welcome, addr string) {
	c.mu.Lock()
	c.session, c.peerLeads, c.lastReceived = s, w.IsLeader, time.Now()
	if w.IsLeader {
		c.leaderAddr = addr
	}
	c.mu.Unlock()
	if w.IsLeader {
		// Grants that end from now on are reported by Send, so the leader sees their end
		// after this list. A list taken earlier could name grants that had ended before.
		s.Enqueue(func(u *Up) { u.Held = c.Follower.Holdings() })
	}
}

// detach ends the use of a session by Send and notifies the follower.
func (c *Client) detach(s *Session[Down, Up]) {
	c.mu.Lock()
	if c.session == s {
		c.session, c.peerLeads = nil, false
	}
	c.mu.Unlock()
	c.Follower.Lost()
}
