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
	// connectTimeout bounds the wait for a connection and its first message.
	connectTimeout = 700 * time.Millisecond
	// retryInterval is the pause after a round in which nobody answered.
	retryInterval = 100 * time.Millisecond
	// leaderBackoff is how long a leader out of reach is left alone, while another
	// control instance is followed.
	leaderBackoff = 500 * time.Millisecond
	// maxFollowerLink is how often an instance that follows one that does not lead
	// looks for the leader.
	maxFollowerLink = 300 * time.Millisecond
)

// Follower is what a Client serves.
type Follower interface {
	// Have returns the revision that the follower has.
	Have() uint64
	// Update takes in news of the registry.
	Update(u *reg.Update)
	// Granted, Refused and Waiting answer asks.
	Granted(g place.Grant)
	Refused(r place.Refuse)
	Waiting(id string)
	// Holdings are the grants in use, for a new leader.
	Holdings() []place.Holding
	// Listed takes in all ready instances, and Counted their number.
	Listed(entries []Entry)
	Counted(n int)
	// Lost says that the link was lost.
	Lost()
	// Pulse fills in what the follower tells with each sign of life.
	Pulse(u *Up)
}

// Client keeps a link to the leading instance, or to another control instance
// while none leads.
type Client struct {
	// Self introduces this instance.
	Self  Hello
	Calls *wire.Pool
	// Follower gets what comes down.
	Follower Follower
	// Suspended says that no link is wanted, as this instance leads itself; nil means
	// that one always is.
	Suspended func() bool
	Log       *log.Logger

	mu           sync.Mutex
	seeds        []string
	controlAddrs []string
	leaderAddr   string
	// leaderFailedAt is when the leader was last out of reach.
	leaderFailedAt time.Time
	session        *Session[Down, Up]
	peerLeads      bool
	// lastReceived is when something last came down.
	lastReceived time.Time
}

// SetSeeds replaces the control instances to begin with.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Send changes the next message that goes up. It returns false if no instance
// that leads is linked.
func (c *Client) Send(change func(u *Up)) bool {
	c.mu.Lock()
	s, leads := c.session, c.peerLeads
	c.mu.Unlock()
	if s == nil || !leads {
		return false
	}
	s.Enqueue(change)
	return true
}

// IsLinkedToLeader says whether an instance that leads is linked.
func (c *Client) IsLinkedToLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil && c.peerLeads
}

// Quiet is how long nothing has come down; a link that works is quiet for PulseEvery at
// most.
func (c *Client) Quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastReceived)
}

// IsAttached says whether any control instance is linked.
func (c *Client) IsAttached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil
}

// Run keeps a link until ctx ends.
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

// dialOrder lists the addresses to try: the leader first, and the others from
// a place that moves on with each round.
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

// runLink keeps a link to one address for as long as it is useful. It returns
// whether there was one.
func (c *Client) runLink(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, s, err := c.connect(ctx, addr)
	if err != nil {
		c.Log.Debug().Str("peer", addr).Err(err).Msg("no link")
		c.dropLeader(addr)
		return false
	}
	defer s.Stream.Close()
	if !w.IsLeader && w.LeaderAddr != "" && w.LeaderAddr != addr && c.setLeader(w.LeaderAddr) {
		// The leader is tried next.
		return true
	}
	c.attach(s, w, addr)
	c.Log.Info().Str("peer", addr).Bool("leads", w.IsLeader).Uint64("revision", c.Follower.Have()).Msg("link to control gained")
	if !w.IsLeader {
		// It is left when a leader is known.
		time.AfterFunc(maxFollowerLink, cancel)
	}
	err = s.Run(ctx)
	c.detach(s)
	c.Log.Info().Str("peer", addr).Err(err).Msg("link to control lost")
	if w.IsLeader {
		c.dropLeader(addr)
	}
	return true
}

// setLeader notes where the leader is; false means that it is not to be tried.
func (c *Client) setLeader(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.Self.Peers || time.Since(c.leaderFailedAt) < leaderBackoff {
		return false
	}
	c.leaderAddr = addr
	return true
}

// dropLeader drops a leader that does not answer.
func (c *Client) dropLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddr == addr {
		c.leaderAddr, c.leaderFailedAt = "", time.Now()
	}
}

// connect connects and reads the welcome.
func (c *Client) connect(ctx context.Context, addr string) (*Welcome, *Session[Down, Up], error) {
	octx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	st, err := c.dial(octx, ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(octx, st.Close)
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

// dial bounds the wait for the connection by octx and the stream by ctx.
func (c *Client) dial(octx, ctx context.Context, addr string) (*wire.Stream, error) {
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
	case <-octx.Done():
		go func() {
			if o := <-done; o.st != nil {
				o.st.Close()
			}
		}()
		return nil, octx.Err()
	}
}

func (c *Client) receive(_ context.Context, d *Down) error {
	c.mu.Lock()
	c.lastReceived = time.Now()
	c.mu.Unlock()
	c.dispatch(d)
	return nil
}

// dispatch hands what came down to the follower.
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

// attach makes a session the one to send by, and tells a leader which grants are in use.
func (c *Client) attach(s *Session[Down, Up], w *Welcome, addr string) {
	c.mu.Lock()
	c.session, c.peerLeads, c.lastReceived = s, w.IsLeader, time.Now()
	if w.IsLeader {
		c.leaderAddr = addr
	}
	c.mu.Unlock()
	if w.IsLeader {
		// Only now, as what ends from now on is told behind it.
		s.Enqueue(func(u *Up) { u.Held = c.Follower.Holdings() })
	}
}

func (c *Client) detach(s *Session[Down, Up]) {
	c.mu.Lock()
	if c.session == s {
		c.session, c.peerLeads = nil, false
	}
	c.mu.Unlock()
	c.Follower.Lost()
}
