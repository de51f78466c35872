package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/lease"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// heartbeatTimeout bounds one heartbeat, including the long poll, so that a
	// connection without traffic is detected before the lease expires.
	heartbeatTimeout = longPollTime + 500*time.Millisecond
	// heartbeatRetryDelay is the delay after a failed heartbeat.
	heartbeatRetryDelay = 100 * time.Millisecond
	// relayBypassTime is how long heartbeats go to the leader after the relay failed.
	relayBypassTime = 10 * time.Second
)

// Agent runs on every member. It renews the member's lease, keeps the newest view, and
// answers the heartbeats of the members that it is the relay of.
type Agent struct {
	// Control calls the leader.
	Control *Client
	// Calls makes the calls to relays.
	Calls wire.Caller
	Log   *log.Logger

	mu   sync.Mutex
	self member.Member
	view *member.View
	// deltas are the newest deltas of the view, for members with an older one.
	deltas deltas
	lease  lease.Holder
	// ready is closed when the first view arrives.
	ready chan struct{}
	// viewChanged is closed when a newer view arrives, leaseRenewed when the lease is
	// extended.
	viewChanged, leaseRenewed chan struct{}
	// seq is the sequence number of the last heartbeat.
	seq uint64
	// bypassUntil is the time until which heartbeats go to the leader because a relay
	// failed.
	bypassUntil time.Time

	// grantor names the relay that granted the lease, "" for the leader.
	grantor  string
	previous previousGrantor
	// released carries the name of a previous grantor whose lease is no longer used.
	released chan string

	// children are the leases granted to the members that use this one as their relay.
	children *grants
	// reportNow requests a heartbeat without a long poll. It has a buffer of one.
	reportNow chan struct{}
	// acked is the state that the parent has acknowledged.
	acked struct {
		parent     string
		seq        uint64
		minVersion uint64
		subtree    []member.Process
	}
}

// NewAgent returns an agent for the instance self.
func NewAgent(self member.Member, control *Client, caller wire.Caller, l *log.Logger) *Agent {
	return &Agent{
		self: self, Control: control, Calls: caller, Log: l,
		ready:        make(chan struct{}),
		viewChanged:  make(chan struct{}),
		leaseRenewed: make(chan struct{}),
		children:     newGrants(),
		reportNow:    make(chan struct{}, 1),
		released:     make(chan string, 1),
	}
}

// Run joins and renews the lease until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { a.reportSubtree(ctx) })
	a.join(ctx)
	for ctx.Err() == nil {
		if a.heartbeat(ctx, true) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatRetryDelay):
		}
	}
	return nil
}

// Ready returns a channel that is closed when the first view has arrived.
func (a *Agent) Ready() <-chan struct{} { return a.ready }

// View returns the newest view, or nil before the first.
func (a *Agent) View() *member.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// ViewChanged returns a channel that is closed when a newer view arrives.
func (a *Agent) ViewChanged() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.viewChanged
}

// Live reports whether this member has a view and a lease that has not expired.
func (a *Agent) Live() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view != nil && a.lease.Live(time.Now())
}

// SetState announces a new state of this instance to the control plane. It returns when
// the change is committed, or with an error when ctx ends or callTimeout has passed.
func (a *Agent) SetState(ctx context.Context, s member.State) error {
	a.mu.Lock()
	a.self.State = s
	a.mu.Unlock()
	return a.announce(ctx)
}

// ConfirmHandover confirms that this instance issues no more grants under a lease that it has to
// hand over to the next holder.
func (a *Agent) ConfirmHandover(ctx context.Context, l member.Lease) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return a.Control.Call(ctx, yieldMethod, &Yield{Shard: l.Shard, Holder: l.Holder, Epoch: l.Epoch}, &VersionReply{})
}

// join announces this instance until the control plane has accepted it or ctx ends.
func (a *Agent) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.announce(ctx)
		if err == nil {
			return
		}
		wait := max(heartbeatRetryDelay, verd.From(err).RetryAfter)
		a.Log.Debug().Err(err).Msg("join failed; retrying")
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (a *Agent) announce(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	a.mu.Lock()
	m := a.self
	a.mu.Unlock()
	return a.Control.Call(ctx, joinMethod, &Join{Member: m}, &VersionReply{})
}

// heartbeat renews the lease and gets changes of the view, from the relay if there is one
// and from the leader otherwise. It returns false if the caller should wait before the
// next one.
func (a *Agent) heartbeat(ctx context.Context, longPoll bool) bool {
	relay := a.relay()
	hb, sent := a.nextHeartbeat(relay, longPoll)
	reply, err := a.send(ctx, relay, hb)
	if relay != nil && (err != nil || reply.LeaseTerm == 0 && !reply.NeedSubtree && a.leaseEnding()) {
		a.bypassRelay()
		return ctx.Err() == nil
	}
	if err != nil {
		return false
	}
	if reply.MustJoin {
		a.join(ctx)
		return false
	}
	a.recordAck(relay, hb, reply)
	if relay != nil && reply.LeaseTerm == 0 {
		return reply.NeedSubtree
	}
	a.trackGrantor(relay, sent.Add(reply.LeaseTerm))
	if err := a.applyReply(reply, sent); err != nil {
		a.Log.Error().Err(err).Msg("heartbeat reply does not apply to the current view")
		return false
	}
	if !a.inView() {
		a.join(ctx)
	}
	return true
}

func (a *Agent) send(ctx context.Context, relay *member.Member, hb *Heartbeat) (*HeartbeatReply, error) {
	ctx, stop := context.WithTimeout(ctx, heartbeatTimeout)
	defer stop()
	var reply HeartbeatReply
	if relay != nil {
		return &reply, a.Calls.Call(ctx, relay.PeerAddr, relayMethod, hb, &reply)
	}
	return &reply, a.Control.callRound(ctx, heartbeatMethod, hb, &reply)
}

// leaseEnding reports whether the lease may expire before the relay can renew it.
func (a *Agent) leaseEnding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lease.Live(time.Now().Add(2 * heartbeatTimeout))
}

// inView reports whether the view has this process. A process that was removed while a
// relay still answered it has to join again.
func (a *Agent) inView() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.view.Member(a.self.Name)
	return ok && m.Incarnation == a.self.Incarnation
}

// relay returns the member to send heartbeats to, or nil for the leader.
func (a *Agent) relay() *member.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.view == nil {
		return nil
	}
	if time.Now().Before(a.bypassUntil) {
		return nil
	}
	m, ok := relayOf(a.view, a.self.Name)
	if !ok {
		return nil
	}
	return m
}

// bypassRelay sends the heartbeats of the next relayBypassTime to the leader.
func (a *Agent) bypassRelay() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bypassUntil = time.Now().Add(relayBypassTime)
}

// nextHeartbeat builds a heartbeat and returns the time before it is sent, from which the
// lease is counted.
func (a *Agent) nextHeartbeat(relay *member.Member, longPoll bool) (*Heartbeat, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.seq++
	hb := &Heartbeat{Process: a.self.Process(), LongPoll: longPoll, Seq: a.seq}
	if a.view != nil {
		hb.ViewVersion = a.view.Version
	}
	hb.MinVersion = a.children.minVersion(now, hb.ViewVersion)
	subtree := a.subtree(now)
	if a.acked.parent != parentName(relay) || !slices.Equal(subtree, a.acked.subtree) {
		hb.Subtree = subtree
	}
	return hb, now
}

// subtree lists this process and its descendants in the relay tree, sorted.
func (a *Agent) subtree(now time.Time) []member.Process {
	out := append(a.children.processes(now), a.self.Process())
	slices.SortFunc(out, member.Process.Compare)
	return slices.Compact(out)
}

func parentName(relay *member.Member) string {
	if relay == nil {
		return ""
	}
	return relay.Name
}

// recordAck records what the parent has acknowledged. The reply to a heartbeat that a
// later one overtook is ignored, as the parent ignored the content of that heartbeat.
func (a *Agent) recordAck(relay *member.Member, hb *Heartbeat, reply *HeartbeatReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if hb.Seq < a.acked.seq {
		return
	}
	a.acked.seq, a.acked.minVersion = hb.Seq, hb.MinVersion
	if hb.Subtree != nil {
		a.acked.parent, a.acked.subtree = parentName(relay), hb.Subtree
	}
	if reply.NeedSubtree {
		a.acked.subtree = nil
	}
}

// applyReply applies the reply to a heartbeat. The lease counts from the time before the
// heartbeat was sent. The lease and the view are applied together: a reply whose view
// does not apply does not extend the lease.
func (a *Agent) applyReply(reply *HeartbeatReply, sent time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, err := a.nextView(reply)
	if err != nil {
		return err
	}
	if v == nil {
		return verd.New(verd.NotRun, verd.Unavailable, "the reply has no view and no earlier view is known")
	}
	if v != a.view {
		a.setView(v)
	}
	before := a.lease.Until()
	a.lease.Extend(sent, reply.LeaseTerm)
	if a.lease.Until().After(before) {
		close(a.leaseRenewed)
		a.leaseRenewed = make(chan struct{})
	}
	return nil
}

// setView sets the newest view and notifies waiting goroutines.
func (a *Agent) setView(v *member.View) {
	if a.view == nil {
		close(a.ready)
	}
	if a.view == nil || v.Revision != a.view.Revision {
		a.Log.Info().Uint64("revision", v.Revision).Msg("new tables in force")
	}
	a.view = v
	close(a.viewChanged)
	a.viewChanged = make(chan struct{})
}

// nextView returns the view after the changes in a reply, which is the current one if
// there are none. Older versions are ignored, as a relay may lag behind.
func (a *Agent) nextView(reply *HeartbeatReply) (*member.View, error) {
	v := a.view
	if reply.View != nil && (v == nil || reply.View.Version > v.Version) {
		return reply.View, nil
	}
	for i := range reply.Deltas {
		d := &reply.Deltas[i]
		if v == nil || d.To <= v.Version {
			continue
		}
		next, err := v.Apply(d)
		if err != nil {
			return nil, err
		}
		a.deltas.add(*d)
		v = next
	}
	return v, nil
}
