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
	// openTimeout bounds the wait for a connection and its first message.
	openTimeout = 700 * time.Millisecond
	// retryEvery is the pause after a round in which nobody answered.
	retryEvery = 100 * time.Millisecond
	// leaderPause is how long a leader out of reach is left alone, while another
	// control instance is followed.
	leaderPause = 500 * time.Millisecond
	// lookEvery is how often an instance that follows one that does not lead
	// looks for the leader.
	lookEvery = 300 * time.Millisecond
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
	// Idle says that no link is wanted, as this instance leads itself; nil means
	// that one always is.
	Idle func() bool
	Log  *log.Logger

	mu      sync.Mutex
	seeds   []string
	control []string
	leader  string
	// failed is when the leader was last out of reach.
	failed  time.Time
	session *Session[Down, Up]
	leads   bool
	// heard is when something last came down.
	heard time.Time
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
	s, leads := c.session, c.leads
	c.mu.Unlock()
	if s == nil || !leads {
		return false
	}
	s.Add(change)
	return true
}

// IsLinked says whether an instance that leads is linked.
func (c *Client) IsLinked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil && c.leads
}

// Quiet is how long nothing has come down; a link that works is quiet for PulseEvery at
// most.
func (c *Client) Quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.heard)
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
		addrs := c.candidates(i)
		if len(addrs) == 0 || c.Idle != nil && c.Idle() {
			timing.Sleep(ctx, retryEvery)
			continue
		}
		for _, addr := range addrs {
			if c.follow(ctx, addr) || ctx.Err() != nil {
				break
			}
		}
		timing.Sleep(ctx, retryEvery)
	}
	return nil
}

// candidates lists the addresses to try: the leader first, and the others from
// a place that moves on with each round.
func (c *Client) candidates(round int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	add := func(a string) {
		if a != "" && a != c.Self.Peers && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	add(c.leader)
	all := slices.Concat(c.seeds, c.control)
	for i := range all {
		add(all[(i+round)%len(all)])
	}
	return out
}

// follow keeps a link to one address for as long as it is useful. It returns
// whether there was one.
func (c *Client) follow(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, s, err := c.open(ctx, addr)
	if err != nil {
		c.Log.Debug().Str("peer", addr).Err(err).Msg("no link")
		c.forget(addr)
		return false
	}
	defer s.Stream.Close()
	if !w.Leads && w.Leader != "" && w.Leader != addr && c.setLeader(w.Leader) {
		// The leader is tried next.
		return true
	}
	c.attach(s, w, addr)
	c.Log.Info().Str("peer", addr).Bool("leads", w.Leads).Uint64("revision", c.Follower.Have()).Msg("link to control gained")
	if !w.Leads {
		// It is left when a leader is known.
		time.AfterFunc(lookEvery, cancel)
	}
	err = s.Run(ctx)
	c.detach(s)
	c.Log.Info().Str("peer", addr).Err(err).Msg("link to control lost")
	if w.Leads {
		c.forget(addr)
	}
	return true
}

// setLeader notes where the leader is; false means that it is not to be tried.
func (c *Client) setLeader(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.Self.Peers || time.Since(c.failed) < leaderPause {
		return false
	}
	c.leader = addr
	return true
}

// forget drops a leader that does not answer.
func (c *Client) forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == addr {
		c.leader, c.failed = "", time.Now()
	}
}

// open connects and reads the welcome.
func (c *Client) open(ctx context.Context, addr string) (*Welcome, *Session[Down, Up], error) {
	octx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	st, err := c.dial(octx, ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(octx, st.Close)
	defer stop()
	hello := c.Self
	hello.Have = c.Follower.Have()
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
		return nil, nil, ErrSilent
	}
	s := NewSession[Down, Up](st)
	s.Receive = c.receive
	s.Pulse = c.Follower.Pulse
	c.take(&d)
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
	c.heard = time.Now()
	c.mu.Unlock()
	c.take(d)
	return nil
}

// take hands what came down to the follower.
func (c *Client) take(d *Down) {
	if d.Welcome != nil {
		c.mu.Lock()
		c.control = d.Welcome.Control
		c.mu.Unlock()
	}
	if d.Update != nil {
		c.Follower.Update(d.Update)
	}
	if d.Listed {
		c.Follower.Listed(d.Entries)
	}
	if d.Count > 0 {
		c.Follower.Counted(d.Count)
	}
	for _, g := range d.Grants {
		c.Follower.Granted(g)
	}
	for _, r := range d.Refusals {
		c.Follower.Refused(r)
	}
	for _, id := range d.Waiting {
		c.Follower.Waiting(id)
	}
}

// attach makes a session the one to send by, and tells a leader which grants are in use.
func (c *Client) attach(s *Session[Down, Up], w *Welcome, addr string) {
	c.mu.Lock()
	c.session, c.leads, c.heard = s, w.Leads, time.Now()
	if w.Leads {
		c.leader = addr
	}
	c.mu.Unlock()
	if w.Leads {
		// Only now, as what ends from now on is told behind it.
		s.Add(func(u *Up) { u.Held = c.Follower.Holdings() })
	}
}

func (c *Client) detach(s *Session[Down, Up]) {
	c.mu.Lock()
	if c.session == s {
		c.session, c.leads = nil, false
	}
	c.mu.Unlock()
	c.Follower.Lost()
}
