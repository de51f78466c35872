package link

import (
	"context"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// connectTimeout bounds the wait for a connection and the welcome on it. It doubles with
	// each round in which no address answered, up to maxConnectTimeout: a leader that is
	// busy with the links of a whole fleet must not be called again by those it is about to
	// answer.
	connectTimeout    = 700 * time.Millisecond
	maxConnectTimeout = 2800 * time.Millisecond
	// retryInterval is the mean pause after a link ended or no address answered. It doubles
	// with each round in which none did, up to maxRetryInterval. Jitter spreads the links of
	// a fleet.
	retryInterval    = 100 * time.Millisecond
	maxRetryInterval = 800 * time.Millisecond
	// leaderBackoff is the time after a failed link to the leader in which the client keeps
	// its link to another control instance, even if that one names a leader.
	leaderBackoff = 500 * time.Millisecond
	// followerLink is how long a link to a control instance that does not lead is kept. It
	// doubles with each such link in a row, up to maxFollowerLink. The peer names the leader
	// as soon as it knows it, but one that is cut off from the others never does, and its
	// registry falls behind. Of five control instances two may be cut off and be asked one after the
	// other; with 1 s each, tables were in force later than 2 s after they were accepted.
	followerLink    = 300 * time.Millisecond
	maxFollowerLink = 600 * time.Millisecond
)

// Follower handles what a Client receives, and supplies what it sends.
type Follower interface {
	// Revision returns the registry revision that the follower has, or NoUpdates.
	Revision() uint64
	// ApplyUpdate applies changes of the registry.
	ApplyUpdate(d *reg.Delta)
	// ApplyEvacuations receives the data centres that are evacuated, before updates of the
	// same message are applied.
	ApplyEvacuations(e reg.Evacuations)
	// HandleGrant, HandleRefusal and HandleQueued report the state of a placement request:
	// granted, refused or queued.
	HandleGrant(g place.Grant)
	HandleRefusal(r place.Refuse)
	HandleQueued(id string)
	// ActiveGrants returns the grants in use, which are reported to a new leader.
	ActiveGrants() []place.ActiveGrant
	// ApplyBlocks applies changes of the requests that must not be sent to targets, and
	// ApplyLimits those of the limits that targets name, and ApplyCold those of the targets that
	// are cold. FillHandover fills in what a new leader needs to go on with all of them.
	ApplyBlocks(blocks []poison.Block)
	ApplyLimits(limits []place.Limit)
	ApplyCold(list []place.Cold)
	FillHandover(m *FollowerMessage)
	// ApplyLoads receives the loads of the pools' engines.
	ApplyLoads(loads []place.PoolLoad)
	// UnreportedGrants returns grants made without a scheduler while there was no link, for a
	// control instance that doesn't lead.
	UnreportedGrants() []place.ActiveGrant
	// SetEntries receives the ready instances for this follower, and SetEntryCount the number
	// of all ready instances.
	SetEntries(entries []Entry)
	SetEntryCount(n int)
	// SetSpreads receives the data centres from which look-ups send callers to others.
	SetSpreads(spreads []Spread)
	// SetRelays receives the instances of other data centres that may relay for this follower.
	SetRelays(relays []Entry)
	// HandleLinkLost is called when a link has ended.
	HandleLinkLost()
	// HandleConfirmed is called when the registry updates received so far are known to be no
	// older than what a majority of the control instances had when the follower started.
	HandleConfirmed()
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

	// entries are the ready instances as last received. Only the goroutine that handles messages
	// uses them.
	entries []Entry

	mu           sync.Mutex
	seeds        []string
	controlAddrs []string
	leaderAddr   string
	// failedLeader is the address of the leader to which a link last failed, and
	// leaderFailedAt when it did.
	failedLeader   string
	leaderFailedAt time.Time
	session        *Session[ControlMessage, FollowerMessage]
	peerLeads      bool
	// lastReceived is when the last message was received, and lastFromLeader when the last
	// one of a leader was; that is the time of the start before there was one.
	lastReceived   time.Time
	lastFromLeader time.Time
	// heard holds the Welcome.Voters of the control instances that have named any since the start,
	// until confirmed is set.
	heard     map[string][]string
	confirmed bool
	// notLeading is when each control instance last answered without leading.
	notLeading map[string]time.Time
	// deposed holds the term in which each control instance last answered that it doesn't lead.
	deposed map[string]uint64
	// followerLinks counts the links to instances that don't lead since the last one that did.
	followerLinks int
	// cancelSession ends the session.
	cancelSession context.CancelFunc
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

// SendToAny is like Send, but also uses a link to a control instance that does not lead.
func (c *Client) SendToAny(change func(m *FollowerMessage)) bool {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s == nil {
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

// SinceLeader returns the time since the last message of a leader, or since the start if there
// was none.
func (c *Client) SinceLeader() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastFromLeader)
}

// IsLinked reports whether there is a link to any control instance.
func (c *Client) IsLinked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil
}

// Run opens a link, and opens another one whenever it ends, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.lastFromLeader = time.Now()
	c.mu.Unlock()
	failures := 0
	for i := 0; ctx.Err() == nil; i++ {
		addrs := c.dialOrder(i)
		if len(addrs) > 0 && (c.Suspended == nil || !c.Suspended()) {
			failures++
			for _, addr := range addrs {
				if c.runLink(ctx, addr, backoff(connectTimeout, failures-1, maxConnectTimeout)) {
					failures = 0
				}
				if failures == 0 || ctx.Err() != nil {
					break
				}
			}
		}
		timing.Sleep(ctx, c.jitter(backoff(retryInterval, failures, maxRetryInterval), i))
	}
	return nil
}

// backoff returns d, doubled for each failure up to limit.
func backoff(d time.Duration, failures int, limit time.Duration) time.Duration {
	return min(limit, d<<min(failures, maxBackoffDoublings))
}

// maxBackoffDoublings bounds the shift in backoff, so that it can't overflow.
const maxBackoffDoublings = 8

// jitter returns a duration from half of d to one and a half times d. It differs between the
// instances of a fleet and between rounds, but is the same in every run of a test.
func (c *Client) jitter(d time.Duration, round int) time.Duration {
	h := xxhash.Sum64String(c.Self.Name + "/" + strconv.Itoa(round))
	return d/2 + time.Duration(float64(d)*float64(h)/math.MaxUint64)
}

// dialOrder returns the addresses to try: that of the leader first, then the others, rotated
// by the number of the round, from a start that differs between the instances of a fleet. Those
// that have answered without leading come last, the latest of them at the end: they may be cut off
// from the others and know no better.
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
	first, start := len(out), xxhash.Sum64String(c.Self.Name)+uint64(round)
	for i := range all {
		add(all[(start+uint64(i))%uint64(len(all))])
	}
	maps.DeleteFunc(c.notLeading, func(a string, _ time.Time) bool { return !slices.Contains(out, a) })
	maps.DeleteFunc(c.deposed, func(a string, _ uint64) bool { return !slices.Contains(out, a) })
	slices.SortStableFunc(out[first:], func(a, b string) int { return c.notLeading[a].Compare(c.notLeading[b]) })
	return out
}

// runLink opens a link to an address and serves it until it ends. It returns false if the
// link could not be opened.
func (c *Client) runLink(ctx context.Context, addr string, timeout time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, s, err := c.connect(ctx, addr, timeout)
	if err != nil {
		c.Log.Debug().Str("peer", addr).Err(err).Msg("opening a link to a control instance failed")
		c.dropLeader(addr)
		return false
	}
	defer s.Stream.Close()
	c.noteLeading(addr, w)
	if c.Suspended != nil && c.Suspended() {
		return true
	}
	confirmed := c.confirm(addr, w)
	if !w.IsLeader && w.LeaderAddr != "" && w.LeaderAddr != addr {
		if c.isOutdated(w) {
			// The peer is behind, and perhaps cut off. The next round asks another one.
			return true
		}
		if c.setLeader(w.LeaderAddr) {
			// The next round tries the leader first.
			return true
		}
	}
	if !confirmed {
		// The registry of one control instance without a leader may be outdated, so the
		// next round asks another one.
		return true
	}
	c.attach(s, w, addr, cancel)
	c.logRevision(c.Log.Info().Str("peer", addr).Bool("leads", w.IsLeader)).Msg("linked to control instance")
	if !w.IsLeader {
		// End the link after a while, to try the leader again.
		time.AfterFunc(backoff(followerLink, c.countFollowerLink(), maxFollowerLink), cancel)
	}
	err = s.Run(ctx)
	c.detach(s)
	c.Log.Info().Str("peer", addr).Err(err).Msg("link to control instance ended")
	switch {
	case w.IsLeader:
		c.dropLeader(addr)
	case errors.Is(err, io.EOF):
		// Control instances close their links when they begin to lead, so the next round tries
		// this one first.
		c.setLeader(addr)
	}
	return true
}

// noteLeading notes whether a control instance leads. One that doesn't is no longer taken for the
// leader.
func (c *Client) noteLeading(addr string, w *Welcome) {
	c.mu.Lock()
	if c.notLeading == nil {
		c.notLeading, c.deposed = make(map[string]time.Time), make(map[string]uint64)
	}
	delete(c.notLeading, addr)
	delete(c.deposed, addr)
	if !w.IsLeader {
		c.notLeading[addr], c.deposed[addr] = time.Now(), w.Term
	}
	c.mu.Unlock()
	if !w.IsLeader {
		c.dropLeader(addr)
	}
}

// isOutdated reports whether a Welcome names a leader that has itself answered that it doesn't lead in
// that term: who has lost its leadership never leads again in the same term.
func (c *Client) isOutdated(w *Welcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.Term > 0 && w.Term <= c.deposed[w.LeaderAddr]
}

// countFollowerLink counts a link to an instance that does not lead, and returns how many came
// before it.
func (c *Client) countFollowerLink() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followerLinks++
	return c.followerLinks - 1
}

// confirm notes that a control instance has sent its registry, and reports whether the updates
// received so far are confirmed: by the leader, or by a majority of the voting control instances.
// Each committed change is in the log of at least one voter of any majority. An instance doesn't count
// if it has lost its disk, or if its registry lacks a part of its log, as after a restart. Instances
// that name different voters count only if they are a majority for each of them.
func (c *Client) confirm(addr string, w *Welcome) bool {
	c.mu.Lock()
	if c.confirmed {
		c.mu.Unlock()
		return true
	}
	if c.heard == nil {
		c.heard = make(map[string][]string)
	}
	if len(w.Voters) > 0 {
		c.heard[addr] = w.Voters
	}
	c.confirmed = w.IsLeader || c.hasHeardMajorityLocked()
	confirmed, heard := c.confirmed, len(c.heard)
	c.mu.Unlock()
	if confirmed {
		c.logRevision(c.Log.Info().Str("peer", addr).Bool("leads", w.IsLeader).Int("heard", heard)).Msg("registry confirmed")
		c.Follower.HandleConfirmed()
	}
	return confirmed
}

// hasHeardMajorityLocked reports whether the instances in heard are a majority of the voters that each of
// them names. The caller holds mu.
func (c *Client) hasHeardMajorityLocked() bool {
	for _, voters := range c.heard {
		count := 0
		for _, v := range voters {
			if c.heard[v] != nil {
				count++
			}
		}
		if 2*count <= len(voters) {
			return false
		}
	}
	return len(c.heard) > 0
}

// Reset ends the link, so that another one brings what the follower has missed.
func (c *Client) Reset() {
	c.mu.Lock()
	cancel := c.cancelSession
	c.session, c.peerLeads, c.cancelSession = nil, false, nil
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// logRevision adds the follower's revision to a log line, unless it requests no updates.
func (c *Client) logRevision(e *log.Entry) *log.Entry {
	if r := c.Follower.Revision(); r != NoUpdates {
		e = e.Uint64("revision", r)
	}
	return e
}

// setLeader records the address of the leader. It returns false, and records nothing, if that
// is this instance or failed within the last leaderBackoff.
func (c *Client) setLeader(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.Self.PeerAddr || addr == c.failedLeader && time.Since(c.leaderFailedAt) < leaderBackoff {
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
		c.leaderAddr, c.failedLeader, c.leaderFailedAt = "", addr, time.Now()
	}
}

// connect opens a stream, sends the Hello and receives the welcome within the timeout.
func (c *Client) connect(ctx context.Context, addr string, timeout time.Duration) (*Welcome, *Session[ControlMessage, FollowerMessage], error) {
	connectCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	st, err := c.dial(connectCtx, ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(connectCtx, st.Close)
	defer stop()
	hello := c.Self
	hello.Revision, hello.Compact = c.Follower.Revision(), true
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
	if c.peerLeads {
		c.lastFromLeader = c.lastReceived
	}
	c.mu.Unlock()
	c.dispatch(m)
	if w := m.Welcome; w != nil && !w.IsLeader && w.LeaderAddr != "" && !c.isOutdated(w) && c.setLeader(w.LeaderAddr) {
		return errLeaderKnown
	}
	return nil
}

// errLeaderKnown ends a link to a control instance that has learnt of a leader.
var errLeaderKnown = errors.New("the peer names a leader to link to")

// dispatch passes the contents of a message to the follower.
func (c *Client) dispatch(m *ControlMessage) {
	if m.Welcome != nil {
		c.mu.Lock()
		c.controlAddrs = m.Welcome.ControlAddrs
		c.mu.Unlock()
	}
	// Targets must not count as ready before it is known that they are evacuated.
	if m.Evacuations != nil {
		c.Follower.ApplyEvacuations(*m.Evacuations)
	}
	if m.Update != nil {
		c.Follower.ApplyUpdate(m.Update)
	}
	if list, changed := m.applyEntries(c.entries); changed {
		c.entries = list
		c.Follower.SetEntries(list)
	}
	if m.HasSpreads {
		c.Follower.SetSpreads(m.Spreads)
	}
	if m.HasRelays {
		c.Follower.SetRelays(m.Relays)
	}
	if m.EntryCount > 0 {
		c.Follower.SetEntryCount(m.EntryCount)
	}
	// Grants are checked against the blocks, so these come first.
	if len(m.Blocks) > 0 {
		c.Follower.ApplyBlocks(m.Blocks)
	}
	if len(m.Limits) > 0 {
		c.Follower.ApplyLimits(m.Limits)
	}
	if len(m.Cold) > 0 {
		c.Follower.ApplyCold(m.Cold)
	}
	if len(m.Loads) > 0 {
		c.Follower.ApplyLoads(m.Loads)
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

// attach makes a session the one that Send uses and Reset cancels, and reports the grants in
// use to a leader.
func (c *Client) attach(s *Session[ControlMessage, FollowerMessage], w *Welcome, addr string, cancel context.CancelFunc) {
	c.mu.Lock()
	c.session, c.peerLeads, c.lastReceived, c.cancelSession = s, w.IsLeader, time.Now(), cancel
	if w.IsLeader {
		c.leaderAddr, c.lastFromLeader, c.followerLinks = addr, c.lastReceived, 0
	}
	c.mu.Unlock()
	if w.IsLeader {
		// Grants that end from now on are reported by Send, so the leader sees their end
		// after this list. A list taken earlier could name grants that had ended before.
		s.Enqueue(func(m *FollowerMessage) {
			m.ActiveGrants = c.Follower.ActiveGrants()
			c.Follower.FillHandover(m)
		})
	} else if grants := c.Follower.UnreportedGrants(); len(grants) > 0 {
		s.Enqueue(func(m *FollowerMessage) { m.ActiveGrants = append(m.ActiveGrants, grants...) })
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
