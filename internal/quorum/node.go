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
	// defaultHeartbeat and defaultElection are the Timing of a Node without.
	defaultHeartbeat = 150 * time.Millisecond
	defaultElection  = time.Second
	// linkTimeout bounds a call to another replica, in heartbeats.
	linkTimeout = 3
	// ticksPerBeat is how often a node looks at the clock in a heartbeat.
	ticksPerBeat = 3
	// defaultSnapshotBytes is how much log is replayed at most after a start.
	defaultSnapshotBytes = 4 << 20
	// maxCommand bounds a command in bytes.
	maxCommand = 1 << 20
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
	mail   mailbox
	status atomic.Pointer[nodeStatus]
	// opened is closed once the disk has told who this replica is.
	opened chan struct{}

	born    time.Time
	disk    *disk
	core    *Core
	applied uint64
	waiters map[uint64]waiter
	reads   []readEvent
	links   links
	// addrs are those of replicas that the configuration may not have yet.
	addrs map[ID]string
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
		n.mail.wake = make(chan struct{}, 1)
		n.opened = make(chan struct{})
		if n.Timing == (Timing{}) {
			n.Timing = Timing{Heartbeat: defaultHeartbeat, Election: defaultElection}
		}
		if n.SnapshotBytes == 0 {
			n.SnapshotBytes = defaultSnapshotBytes
		}
		n.waiters = make(map[uint64]waiter)
		n.addrs = make(map[ID]string)
	})
}

// Run serves until ctx ends, when it hands the leadership over. An error
// means that this replica can't go on, for instance because of its disk.
func (n *Node) Run(ctx context.Context) (err error) {
	n.setup()
	n.born = time.Now()
	d, state, err := openDisk(n.FS, n.Folder)
	if err != nil {
		return errors.Wrap(err, "replica")
	}
	n.disk = d
	defer func() { err = errors.CombineErrors(err, d.close()) }()
	if d.cut > 0 {
		n.Log.Warn().Int64("bytes", d.cut).Msg("cut off an unfinished write of the log")
	}
	n.status.Store(&nodeStatus{Status: Status{ID: d.id}, blank: d.blank})
	close(n.opened)
	// Messages are still sent while the leadership is handed over.
	lctx, cut := context.WithCancel(context.WithoutCancel(ctx))
	n.links = links{ctx: lctx, calls: n.Calls, timeout: linkTimeout * n.Timing.Heartbeat, self: n.Self, all: make(map[string]*link)}
	defer n.links.wait()
	defer cut()
	if d.blank {
		if state, err = n.found(ctx); err != nil || ctx.Err() != nil {
			return err
		}
	}
	if err := n.load(state); err != nil {
		return err
	}
	defer n.abandon()
	if n.Voters > 0 {
		n.links.wg.Go(func() { n.rejoin(lctx) })
	}
	if err := n.loop(ctx); err != nil {
		// Its disk has failed. Another replica need not wait to find that out.
		n.send(n.core.Resign(n.now()))
		n.links.drain(n.Timing.Heartbeat)
		return err
	}
	return nil
}

// load starts the core and the machine from what is on the disk.
func (n *Node) load(d Durable) error {
	seed := n.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	jitter := rand.New(rand.NewPCG(seed, xxhash.Sum64String(n.Self)))
	core, err := NewCore(n.disk.id, n.Timing, d, n.now(), jitter)
	if err != nil {
		return errors.Wrap(err, "replica")
	}
	core.Voters = n.Voters
	n.core = core
	if err := n.restore(d.Snapshot); err != nil {
		return err
	}
	n.publish()
	return nil
}

// restore replaces the machine's state. The first snapshot of a group has no
// data: the machine starts empty.
func (n *Node) restore(s Snapshot) error {
	n.applied = s.Index
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
	return time.Since(n.born)
}

func (n *Node) loop(ctx context.Context) error {
	tick := time.NewTicker(n.Timing.Heartbeat / ticksPerBeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return n.handOver(tick.C)
		case <-tick.C:
		case <-n.mail.wake:
		}
		if err := n.turn(); err != nil {
			return err
		}
	}
}

// turn takes in all that waits, so that one sync serves it.
func (n *Node) turn() error {
	n.core.Tick(n.now())
	for _, e := range n.mail.take() {
		n.handle(e)
	}
	return n.flush()
}

func (n *Node) handle(e event) {
	switch e := e.(type) {
	case stepEvent:
		n.step(e)
	case proposeEvent:
		n.propose(e)
	case readEvent:
		n.reads = append(n.reads, e)
	case changeEvent:
		n.change(e)
	}
}

func (n *Node) step(e stepEvent) {
	if group := n.core.Status().Config.Group; group != 0 && e.batch.Group != 0 && group != e.batch.Group {
		return
	}
	for _, m := range e.batch.Messages {
		n.addrs[m.From] = e.batch.Addr
		n.core.Step(n.now(), m)
	}
}

func (n *Node) propose(e proposeEvent) {
	index, term, ok := n.core.Propose(e.cmd)
	if !ok {
		e.done <- result{err: notLeading()}
		return
	}
	n.waiters[index] = waiter{term: term, done: e.done}
}

func (n *Node) change(e changeEvent) {
	index, term, err := n.core.Change(e.change)
	if errors.Is(err, ErrLeader) && n.core.Transfer(n.now()) {
		e.done <- result{err: notLeading()}
		return
	}
	if err != nil {
		e.done <- result{err: verd.Wrap(err, verd.NotRun, verd.Unavailable, "change of replicas")}
		return
	}
	if index <= n.applied {
		e.done <- result{}
		return
	}
	n.waiters[index] = waiter{term: term, done: e.done}
}

func notLeading() error {
	return verd.New(verd.NotRun, verd.Unavailable, "this replica does not lead")
}

// flush does what the core asks for, until it asks for nothing.
func (n *Node) flush() error {
	for {
		o := n.core.Take()
		if o.Empty() {
			break
		}
		n.send(o.Early)
		if err := n.disk.save(o); err != nil {
			return errors.Wrap(err, "replica")
		}
		n.core.Synced()
		n.send(o.Late)
		if err := n.apply(o); err != nil {
			return err
		}
	}
	n.answerReads()
	n.publish()
	return n.compact()
}

func (n *Node) apply(o Output) error {
	if o.Restore != nil {
		if err := n.restore(*o.Restore); err != nil {
			return err
		}
		n.skip()
	}
	for _, e := range o.Committed {
		var value []byte
		if e.Kind == Command {
			value = n.Machine.Apply(e.Index, e.Data)
		}
		n.applied = e.Index
		n.answer(e, value)
	}
	return nil
}

// answer tells the waiter for an entry what became of its own.
func (n *Node) answer(e Entry, value []byte) {
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

// skip gives up the waiters whose entries lie in a snapshot.
func (n *Node) skip() {
	for index, w := range n.waiters {
		if index <= n.applied {
			w.done <- result{err: unknown()}
			delete(n.waiters, index)
		}
	}
}

func unknown() error {
	return verd.New(verd.MayHaveRun, verd.Unavailable, "this replica lost track of the entry")
}

// answerReads lets those reads go on that the machine has reached.
func (n *Node) answerReads() {
	waiting := n.reads
	n.reads = nil
	for _, r := range waiting {
		if r.ctx.Err() != nil {
			continue
		}
		index, ok := n.core.Read(n.now())
		switch {
		case ok && n.applied >= index:
			r.done <- nil
		case n.core.Status().Leads:
			n.reads = append(n.reads, r)
		default:
			r.done <- notLeading()
		}
	}
}

// compact takes a snapshot if enough was written since the last.
func (n *Node) compact() error {
	if n.disk.written < n.SnapshotBytes {
		return nil
	}
	data, err := n.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take a snapshot")
	}
	s := n.core.Head(n.applied)
	s.Data = data
	if err := n.disk.snapshot(s, false); err != nil {
		return errors.Wrap(err, "replica")
	}
	n.core.Compact(s)
	return nil
}

// publish shows the state to other goroutines, and logs what changed.
func (n *Node) publish() {
	next := &nodeStatus{Status: n.core.Status(), blank: n.disk.blank}
	last := n.status.Swap(next)
	if last.Leader != next.Leader || last.Term != next.Term {
		n.Log.Info().Uint64("term", next.Term).Str("leader", n.addr(next.Leader)).Msg("control leader")
	}
}

// addr returns the address of a replica, or "".
func (n *Node) addr(id ID) string {
	if r, ok := n.core.Status().Config.Find(id); ok {
		return r.Addr
	}
	return n.addrs[id]
}

// handOver gives the leadership to another replica, if one is ready soon.
func (n *Node) handOver(tick <-chan time.Time) error {
	end := n.now() + n.Timing.Election
	for n.now() < end && n.core.Status().Leads && n.core.Status().Config.Voters() > 1 {
		if n.core.Transfer(n.now()) {
			break
		}
		select {
		case <-tick:
		case <-n.mail.wake:
		}
		if err := n.turn(); err != nil {
			return err
		}
	}
	err := n.flush()
	n.links.drain(n.Timing.Heartbeat)
	return err
}

// abandon answers all that still waits.
func (n *Node) abandon() {
	for _, w := range n.waiters {
		w.done <- result{err: unknown()}
	}
	for _, r := range n.reads {
		r.done <- notLeading()
	}
	for _, e := range n.mail.close() {
		e.refuse(verd.New(verd.NotRun, verd.Unavailable, "this replica is stopping"))
	}
}
