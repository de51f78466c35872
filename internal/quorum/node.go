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
	// defaultHeartbeatInterval and defaultElectionTimeout are used if Node.Timing is
	// zero.
	defaultHeartbeatInterval = 150 * time.Millisecond
	defaultElectionTimeout   = time.Second
	// callTimeoutHeartbeats bounds a call to another replica, in heartbeat intervals.
	callTimeoutHeartbeats = 3
	// ticksPerHeartbeat is the number of Core ticks in a heartbeat interval.
	ticksPerHeartbeat = 3
	// defaultSnapshotBytes bounds the log to replay at a start if Node.SnapshotBytes is
	// zero.
	defaultSnapshotBytes = 4 << 20
	// maxCommandBytes bounds one command.
	maxCommandBytes = 1 << 20
)

// Node runs one replica of the log. One goroutine owns its Core, its disk and its
// StateMachine.
type Node struct {
	// Addr is the peer address of this replica.
	Addr string
	// InitialMembers are the peer addresses of the replicas that create a new group. If the
	// list is empty, this replica creates a group of its own; if it lacks Addr, this
	// replica waits until it is added to an existing group.
	InitialMembers []string
	// DataDir is the folder in FS that holds the replica's data.
	DataDir string
	// JoinExisting prevents this replica from creating a group: it waits until it is added to
	// one. A replica that was an initial member when it started before remains one until it has
	// data.
	JoinExisting bool
	// TargetVoters is the number of voters that the group maintains. If it is set, replicas at
	// new addresses are added automatically, and become voters while there are too few or
	// when a voter has been silent for too long. With 0 an operator manages the members.
	TargetVoters int
	FS           store.FS
	Machine      StateMachine
	Calls        wire.Caller
	Log          *log.Logger
	// Timing must be the same on all replicas; zero means the defaults.
	Timing Timing
	// SnapshotBytes is the size of the log that triggers a snapshot; zero means the
	// default.
	SnapshotBytes int
	// Seed seeds the random election jitter; 0 means a random seed.
	Seed uint64
	// Clock returns the monotonic time for elections and the lease. It must keep running
	// while the host is suspended; nil means the Go runtime's clock, for hosts that are
	// never suspended.
	Clock func() time.Duration

	once   sync.Once
	events eventQueue
	status atomic.Pointer[nodeStatus]
	// diskOpened is closed once the replica's ID has been read from disk.
	diskOpened chan struct{}

	startedAt    time.Time
	disk         *disk
	founder      *founder
	core         *Core
	appliedIndex uint64
	waiters      map[uint64]waiter
	pendingReads []readEvent
	transport    transport
	// learnedAddrs holds the sender addresses of replicas that may not be in the
	// configuration yet.
	learnedAddrs map[ID]string
	// contact is the address of the member of a group that last sent to this replica while it had no data.
	contact atomic.Pointer[string]
}

// nodeStatus is the status that other goroutines read.
type nodeStatus struct {
	Status
	// uninitialised is set while this replica has never had a snapshot or a log entry.
	uninitialised bool
	// hasAllApplied is Core.hasAllApplied.
	hasAllApplied bool
}

// waiter is the proposer of the entry with the given term at an index.
type waiter struct {
	term uint64
	done chan<- result
}

// result is the outcome of a proposal or a membership change.
type result struct {
	value []byte
	err   error
}

var _ ReplicatedLog = (*Node)(nil)

func (n *Node) setup() {
	n.once.Do(func() {
		n.events.wake = make(chan struct{}, 1)
		n.diskOpened = make(chan struct{})
		if n.Timing == (Timing{}) {
			n.Timing = Timing{HeartbeatInterval: defaultHeartbeatInterval, ElectionTimeout: defaultElectionTimeout}
		}
		if n.SnapshotBytes == 0 {
			n.SnapshotBytes = defaultSnapshotBytes
		}
		n.waiters = make(map[uint64]waiter)
		n.learnedAddrs = make(map[ID]string)
	})
}

// Run runs the replica until ctx ends, and then transfers leadership if it leads. It
// returns an error if the replica can't continue, for instance because its disk failed.
func (n *Node) Run(ctx context.Context) (err error) {
	n.setup()
	n.startedAt = time.Now()
	d, state, err := openDisk(n.FS, n.DataDir, n.foundingMembers())
	if err != nil {
		return errors.Wrap(err, "open replica data")
	}
	n.disk, n.founder = d, newFounder(d)
	defer func() { err = errors.CombineErrors(err, d.close()) }()
	if d.tornBytes > 0 {
		n.Log.Warn().Int64("bytes", d.tornBytes).Msg("truncated an incomplete write at the end of the replicated log")
	}
	n.status.Store(&nodeStatus{Status: Status{ID: d.id}, uninitialised: d.uninitialised})
	close(n.diskOpened)
	// Messages must still be sent during the leadership transfer after ctx ends.
	transportCtx, stopTransport := context.WithCancel(context.WithoutCancel(ctx))
	n.transport = transport{
		ctx: transportCtx, calls: n.Calls, callTimeout: callTimeoutHeartbeats * n.Timing.HeartbeatInterval,
		self: n.Addr, senders: make(map[string]*sender),
	}
	defer n.transport.wait()
	defer stopTransport()
	if d.uninitialised {
		if state, err = n.bootstrap(ctx); err != nil || ctx.Err() != nil {
			return err
		}
	}
	n.founder.close()
	if err := n.startCore(state); err != nil {
		return err
	}
	defer n.failPending()
	if n.TargetVoters > 0 {
		n.transport.wg.Go(func() { n.rejoinWithoutLeader(transportCtx) })
	}
	if err := n.loop(ctx); err != nil {
		// The disk has failed. Resigning spares the other replicas the election timeout.
		n.send(n.core.Resign(n.now()))
		n.transport.drain(n.Timing.HeartbeatInterval)
		return err
	}
	return nil
}

// startCore creates the Core and restores the StateMachine from the state on disk.
func (n *Node) startCore(saved PersistentState) error {
	seed := n.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	jitter := rand.New(rand.NewPCG(seed, xxhash.Sum64String(n.Addr)))
	core, err := NewCore(n.disk.id, n.Timing, saved, n.now(), jitter)
	if err != nil {
		return errors.Wrap(err, "start replica")
	}
	core.TargetVoters = n.TargetVoters
	n.core = core
	if err := n.restore(saved.Snapshot); err != nil {
		return err
	}
	n.publishStatus()
	return nil
}

// restore loads a snapshot into the StateMachine. The first snapshot of a group has no data:
// the StateMachine starts empty.
func (n *Node) restore(s Snapshot) error {
	n.appliedIndex = s.Index
	if len(s.Data) == 0 {
		return nil
	}
	return errors.Wrap(n.Machine.Restore(s.Data), "restore state machine from snapshot")
}

// now returns the monotonic time since an arbitrary start.
func (n *Node) now() time.Duration {
	if n.Clock != nil {
		return n.Clock()
	}
	return time.Since(n.startedAt)
}

func (n *Node) loop(ctx context.Context) error {
	tick := time.NewTicker(n.Timing.HeartbeatInterval / ticksPerHeartbeat)
	defer tick.Stop()
	// What is known to be committed is applied before the first tick.
	if err := n.processEvents(); err != nil {
		return err
	}
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

// processEvents handles all queued events together, so that one sync covers them.
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
	if n.disk.uninitialised && e.batch.GroupID != 0 {
		n.contact.Store(&e.batch.Addr)
	}
	for _, m := range e.batch.Messages {
		n.learnAddr(m.From, e.batch.Addr)
		n.core.Step(n.now(), m)
	}
}

// learnAddr notes the address of a replica. If there are too many, it forgets that of any other one.
func (n *Node) learnAddr(id ID, addr string) {
	if _, ok := n.learnedAddrs[id]; !ok && len(n.learnedAddrs) >= maxLearned {
		for other := range n.learnedAddrs {
			delete(n.learnedAddrs, other)
			break
		}
	}
	n.learnedAddrs[id] = addr
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
		e.done <- result{err: verd.Wrap(err, verd.NotRun, verd.Unavailable, "membership change %T %+v was not started", e.change, e.change)}
		return
	}
	if index <= n.appliedIndex {
		e.done <- result{}
		return
	}
	n.waiters[index] = waiter{term: term, done: e.done}
}

func notLeaderError() error {
	return verd.New(verd.NotRun, verd.Unavailable, "this replica is not the leader")
}

// flush carries out the Core's output until there is none left. It then completes reads,
// publishes the status and takes a snapshot if one is due.
func (n *Node) flush() error {
	for {
		o := n.core.Take()
		if o.IsEmpty() {
			break
		}
		n.send(o.Immediate)
		if err := n.disk.save(o); err != nil {
			return errors.Wrap(err, "write replica data")
		}
		n.core.Synced()
		// What is acknowledged may be committed at once, and the status must not be older than that.
		n.publishStatus()
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

// completeWaiter sends the result to the proposer that waits for the entry's index. It
// gets an error if an entry of another term took the place of its own.
func (n *Node) completeWaiter(e Entry, value []byte) {
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		w.done <- result{err: verd.New(verd.NotRun, verd.Unavailable,
			"another leader replaced the log entry before it was committed")}
		return
	}
	w.done <- result{value: value}
}

// failSkippedWaiters fails the proposers whose entries a snapshot replaced: whether these
// entries were committed is unknown.
func (n *Node) failSkippedWaiters() {
	for index, w := range n.waiters {
		if index <= n.appliedIndex {
			w.done <- result{err: unknownOutcomeError()}
			delete(n.waiters, index)
		}
	}
}

func unknownOutcomeError() error {
	return verd.New(verd.MayHaveRun, verd.Unavailable, "unknown whether the log entry was committed")
}

// completeReads completes the reads whose index the StateMachine has reached. The others keep
// waiting while this replica leads, and fail if it does not.
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
		case n.core.Status().IsLeader:
			n.pendingReads = append(n.pendingReads, r)
		default:
			r.done <- notLeaderError()
		}
	}
}

// compactIfDue takes a snapshot if SnapshotBytes of log were written since the last one.
func (n *Node) compactIfDue() error {
	if n.disk.logBytes < n.SnapshotBytes {
		return nil
	}
	data, err := n.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take state machine snapshot")
	}
	s := n.core.SnapshotMeta(n.appliedIndex)
	s.Data = data
	if err := n.disk.saveSnapshot(s, false); err != nil {
		return errors.Wrap(err, "write replica snapshot")
	}
	n.core.Compact(s)
	return nil
}

// publishStatus makes the current status visible to other goroutines, and logs a change
// of leader or term.
func (n *Node) publishStatus() {
	next := &nodeStatus{
		Status: n.core.Status(), uninitialised: n.disk.uninitialised, hasAllApplied: n.core.hasAllApplied(n.appliedIndex),
	}
	last := n.status.Swap(next)
	if last.Leader != next.Leader || last.Term != next.Term {
		n.Log.Info().Uint64("term", next.Term).Str("leader", n.replicaAddr(next.Leader)).Msg("control leader or term changed")
	}
}

// replicaAddr returns the peer address of a replica, or "" if it is unknown.
func (n *Node) replicaAddr(id ID) string {
	if r, ok := n.core.Status().Config.Find(id); ok {
		return r.Addr
	}
	return n.learnedAddrs[id]
}

// handOverLeadership transfers leadership to another replica if one is up to date within
// an election timeout, and drains the outgoing messages.
func (n *Node) handOverLeadership(tick <-chan time.Time) error {
	end := n.now() + n.Timing.ElectionTimeout
	for n.now() < end && n.core.Status().IsLeader && n.core.Status().Config.VoterCount() > 1 {
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
	n.transport.drain(n.Timing.HeartbeatInterval)
	return err
}

// failPending fails all pending proposals, reads and queued events.
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
