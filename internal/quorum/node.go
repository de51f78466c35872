package quorum

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// defaultHeartbeatInterval and defaultElection are the Timing of a Node without.
	defaultHeartbeatInterval = 150 * time.Millisecond
	defaultElectionTimeout   = time.Second
	// callTimeoutHeartbeats bounds a call to another replica, in heartbeats.
	callTimeoutHeartbeats = 3
	// ticksPerHeartbeat is how often a node looks at the clock in a heartbeat.
	ticksPerHeartbeat = 3
	// defaultSnapshotBytes is how much log is replayed at most after a start.
	defaultSnapshotBytes = 4 << 20
	// maxCommandBytes bounds a command in bytes.
	maxCommandBytes = 1 << 20
)

// Node is one replica of the log. One goroutine owns its Core, its store and
// its Machine.
type Node struct {
	// Self is the address of this replica for other instances.
	Self string
	// Founders are the addresses of the replicas of a new group. None means
	// that Self founds it alone; without Self this replica waits to be added.
	Founders []string
	// Folder is where FS keeps the log.
	Folder string
	// Join says that the group exists: this replica never founds one.
	Join bool
	// Voters is how many replicas vote. With it, replicas at new addresses are
	// taken in by themselves: they vote while there are fewer, and in the place
	// of a voter that fell silent. 0 leaves the members to the operator.
	Voters  int
	FS      store.FS
	Machine Machine
	Calls   wire.Caller
	Log     *log.Logger
	// Timing is the same for all replicas; the zero value means the default.
	Timing Timing
	// SnapshotBytes is how much log makes a snapshot due.
	SnapshotBytes int
	// Seed draws the jitter of elections; 0 stands for one by chance.
	Seed uint64
	// Clock is the time that the lease is reckoned with. It must go on while the
	// host sleeps; nil means the runtime's, for hosts that don't.
	Clock func() time.Duration

	once   sync.Once
	events eventQueue
	status atomic.Pointer[nodeStatus]
	// diskOpened is closed once the disk has told who this replica is.
	diskOpened chan struct{}

	startedAt    time.Time
	disk         *disk
	core         *Core
	appliedIndex uint64
	waiters      map[uint64]waiter
	pendingReads []readEvent
	transport    transport
	// learnedAddrs are those of replicas that the configuration may not have yet.
	learnedAddrs map[ID]string
}

// nodeStatus is what other goroutines may see.
type nodeStatus struct {
	Status
	// blank says that this replica never had a part of the log.
	blank bool
}

// waiter waits for the entry at an index, if it has the term.
type waiter struct {
	term uint64
	done chan<- result
}

// result is the outcome of a proposal.
type result struct {
	value []byte
	err   error
}

var _ Log = (*Node)(nil)

func (n *Node) setup() {
	n.once.Do(func() {
		n.events.wake = make(chan struct{}, 1)
		n.diskOpened = make(chan struct{})
		if n.Timing == (Timing{}) {
			n.Timing = Timing{Heartbeat: defaultHeartbeatInterval, Election: defaultElectionTimeout}
		}
		if n.SnapshotBytes == 0 {
			n.SnapshotBytes = defaultSnapshotBytes
		}
		n.waiters = make(map[uint64]waiter)
		n.learnedAddrs = make(map[ID]string)
	})
}

// Run serves until ctx ends, when it hands the leadership over. An error
// means that this replica can't go on, for instance because of its disk.
func (n *Node) Run(ctx context.Context) (err error) {
	n.setup()
	n.startedAt = time.Now()
	d, state, err := openDisk(n.FS, n.Folder)
	if err != nil {
		return errors.Wrap(err, "replica")
	}
	n.disk = d
	defer func() { err = errors.CombineErrors(err, d.close()) }()
	if d.tornBytes > 0 {
		n.Log.Warn().Int64("bytes", d.tornBytes).Msg("cut off an unfinished write of the log")
	}
	n.status.Store(&nodeStatus{Status: Status{ID: d.id}, blank: d.uninitialised})
	close(n.diskOpened)
	// Messages are still sent while the leadership is handed over.
	transportCtx, stopTransport := context.WithCancel(context.WithoutCancel(ctx))
	n.transport = transport{ctx: transportCtx, calls: n.Calls, callTimeout: callTimeoutHeartbeats * n.Timing.Heartbeat, self: n.Self, senders: make(map[string]*sender)}
	defer n.transport.wait()
	defer stopTransport()
	if d.uninitialised {
		if state, err = n.bootstrap(ctx); err != nil || ctx.Err() != nil {
			return err
		}
	}
	if err := n.startCore(state); err != nil {
		return err
	}
	defer n.failPending()
	if n.Voters > 0 {
		n.transport.wg.Go(func() { n.rejoinWithoutLeader(transportCtx) })
	}
	if err := n.loop(ctx); err != nil {
		// Its disk has failed. Another replica need not wait to find that out.
		n.send(n.core.Resign(n.now()))
		n.transport.drain(n.Timing.Heartbeat)
		return err
	}
	return nil
}

// startCore starts the core and the machine from what is on the disk.
func (n *Node) startCore(saved PersistentState) error {
	seed := n.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	jitter := rand.New(rand.NewPCG(seed, xxhash.Sum64String(n.Self)))
	core, err := NewCore(n.disk.id, n.Timing, saved, n.now(), jitter)
	if err != nil {
		return errors.Wrap(err, "replica")
	}
	core.TargetVoters = n.Voters
	n.core = core
	if err := n.restore(saved.Snapshot); err != nil {
		return err
	}
	n.publishStatus()
	return nil
}

// restore replaces the machine's state. The first snapshot of a group has no
// data: the machine starts empty.
func (n *Node) restore(s Snapshot) error {
	n.appliedIndex = s.Index
	if len(s.Data) == 0 {
		return nil
	}
	return errors.Wrap(n.Machine.Restore(s.Data), "restore a snapshot")
}

// now is the monotonic time since some moment.
func (n *Node) now() time.Duration {
	if n.Clock != nil {
		return n.Clock()
	}
	return time.Since(n.startedAt)
}

func (n *Node) loop(ctx context.Context) error {
	tick := time.NewTicker(n.Timing.Heartbeat / ticksPerHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return n.handOverLeadership(tick.C)
		case <-tick.C:
		case <-n.events.wake:
		}
		if err := n.processEvents(); err != nil {
			return err
		}
	}
}

// processEvents takes in all that waits, so that one sync serves it.
func (n *Node) processEvents() error {
	n.core.Tick(n.now())
	for _, e := range n.events.popAll() {
		n.handle(e)
	}
	return n.flush()
}

func (n *Node) handle(e event) {
	switch e := e.(type) {
	case stepEvent:
		n.handleStep(e)
	case proposeEvent:
		n.handlePropose(e)
	case readEvent:
		n.pendingReads = append(n.pendingReads, e)
	case changeEvent:
		n.handleChange(e)
	}
}

func (n *Node) handleStep(e stepEvent) {
	if group := n.core.Status().Config.GroupID; group != 0 && e.batch.GroupID != 0 && group != e.batch.GroupID {
		return
	}
	for _, m := range e.batch.Messages {
		n.learnedAddrs[m.From] = e.batch.Addr
		n.core.Step(n.now(), m)
	}
}

func (n *Node) handlePropose(e proposeEvent) {
	index, term, ok := n.core.Propose(e.cmd)
	if !ok {
		e.done <- result{err: notLeaderError()}
		return
	}
	n.waiters[index] = waiter{term: term, done: e.done}
}

func (n *Node) handleChange(e changeEvent) {
	index, term, err := n.core.ProposeChange(e.change)
	if errors.Is(err, ErrRemoveLeader) && n.core.TransferLeadership(n.now()) {
		e.done <- result{err: notLeaderError()}
		return
	}
	if err != nil {
		e.done <- result{err: verd.Wrap(err, verd.NotRun, verd.Unavailable, "change of replicas")}
		return
	}
	if index <= n.appliedIndex {
		e.done <- result{}
		return
	}
	n.waiters[index] = waiter{term: term, done: e.done}
}

func notLeaderError() error {
	return verd.New(verd.NotRun, verd.Unavailable, "this replica does not lead")
}

// flush does what the core asks for, until it asks for nothing.
func (n *Node) flush() error {
	for {
		o := n.core.Take()
		if o.IsEmpty() {
			break
		}
		n.send(o.Immediate)
		if err := n.disk.save(o); err != nil {
			return errors.Wrap(err, "replica")
		}
		n.core.Synced()
		n.send(o.AfterSync)
		if err := n.apply(o); err != nil {
			return err
		}
	}
	n.completeReads()
	n.publishStatus()
	return n.compactIfDue()
}

func (n *Node) apply(o Output) error {
	if o.Restore != nil {
		if err := n.restore(*o.Restore); err != nil {
			return err
		}
		n.failSkippedWaiters()
	}
	for _, e := range o.Committed {
		var value []byte
		if e.Kind == Command {
			value = n.Machine.Apply(e.Index, e.Data)
		}
		n.appliedIndex = e.Index
		n.completeWaiter(e, value)
	}
	return nil
}

// completeWaiter tells the waiter for an entry what became of its own.
func (n *Node) completeWaiter(e Entry, value []byte) {
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		w.done <- result{err: verd.New(verd.NotRun, verd.Unavailable, "the leader changed before the entry was replicated")}
		return
	}
	w.done <- result{value: value}
}

// failSkippedWaiters gives up the waiters whose entries lie in a snapshot.
func (n *Node) failSkippedWaiters() {
	for index, w := range n.waiters {
		if index <= n.appliedIndex {
			w.done <- result{err: unknownOutcomeError()}
			delete(n.waiters, index)
		}
	}
}

func unknownOutcomeError() error {
	return verd.New(verd.MayHaveRun, verd.Unavailable, "this replica lost track of the entry")
}

// completeReads lets those reads go on that the machine has reached.
func (n *Node) completeReads() {
	waiting := n.pendingReads
	n.pendingReads = nil
	for _, r := range waiting {
		if r.ctx.Err() != nil {
			continue
		}
		index, ok := n.core.Read(n.now())
		switch {
		case ok && n.appliedIndex >= index:
			r.done <- nil
		case n.core.Status().Leads:
			n.pendingReads = append(n.pendingReads, r)
		default:
			r.done <- notLeaderError()
		}
	}
}

// compactIfDue takes a snapshot if enough was written since the last.
func (n *Node) compactIfDue() error {
	if n.disk.logBytes < n.SnapshotBytes {
		return nil
	}
	data, err := n.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take a snapshot")
	}
	s := n.core.SnapshotMeta(n.appliedIndex)
	s.Data = data
	if err := n.disk.saveSnapshot(s, false); err != nil {
		return errors.Wrap(err, "replica")
	}
	n.core.Compact(s)
	return nil
}

// publishStatus shows the state to other goroutines, and logs what changed.
func (n *Node) publishStatus() {
	next := &nodeStatus{Status: n.core.Status(), blank: n.disk.uninitialised}
	last := n.status.Swap(next)
	if last.Leader != next.Leader || last.Term != next.Term {
		n.Log.Info().Uint64("term", next.Term).Str("leader", n.replicaAddr(next.Leader)).Msg("control leader")
	}
}

// replicaAddr returns the address of a replica, or "".
func (n *Node) replicaAddr(id ID) string {
	if r, ok := n.core.Status().Config.Find(id); ok {
		return r.Addr
	}
	return n.learnedAddrs[id]
}

// handOverLeadership gives the leadership to another replica, if one is ready soon.
func (n *Node) handOverLeadership(tick <-chan time.Time) error {
	end := n.now() + n.Timing.Election
	for n.now() < end && n.core.Status().Leads && n.core.Status().Config.VoterCount() > 1 {
		if n.core.TransferLeadership(n.now()) {
			break
		}
		select {
		case <-tick:
		case <-n.events.wake:
		}
		if err := n.processEvents(); err != nil {
			return err
		}
	}
	err := n.flush()
	n.transport.drain(n.Timing.Heartbeat)
	return err
}

// failPending answers all that still waits.
func (n *Node) failPending() {
	for _, w := range n.waiters {
		w.done <- result{err: unknownOutcomeError()}
	}
	for _, r := range n.pendingReads {
		r.done <- notLeaderError()
	}
	for _, e := range n.events.close() {
		e.reject(verd.New(verd.NotRun, verd.Unavailable, "this replica is stopping"))
	}
}
