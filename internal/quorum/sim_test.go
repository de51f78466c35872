package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// fault is a deliberate fault, to show that the checks of the simulation detect it.
type fault uint8

const (
	noFault fault = iota
	// ackBeforeSync sends acknowledgements before the sync that they depend on.
	ackBeforeSync
	// readWithoutLease serves reads on any replica in the leader role, without a valid lease.
	readWithoutLease
	// reuseID lets a replica that lost its disk return under its old ID.
	reuseID
	// voteAfterRestart lets a restarted replica vote while a leader may hold a lease that
	// relies on it.
	voteAfterRestart
	// restartMajority lets a replica start an election once a majority of the voters, not all, has
	// restarted.
	restartMajority
)

// errNoProgress means that the group did not recover after the faults had ended.
var errNoProgress = errors.New("no progress")

// simulation runs a group of Cores with simulated clocks, network and disks, which fail
// at random.
type simulation struct {
	rand     *rand.Rand
	fault    fault
	now      time.Duration
	nodes    []*simNode
	inFlight []inFlightMessage
	// blocked holds the directions, from and to, in which all messages are lost.
	blocked map[[2]int]bool
	timing  Timing
	nextID  ID
	// reliable stops faults of the network and crashes, noProposals stops proposals.
	reliable, noProposals bool

	leaders       map[uint64]ID
	committed     []Entry
	proposedCount int
	readCount     int
	maxTerm       uint64
}

// inFlightMessage is a message that has been sent and not yet delivered.
type inFlightMessage struct {
	deliverAt time.Duration
	from      int
	message   Message
}

// simNode is a simulated replica with its disk and clock.
type simNode struct {
	index int
	id    ID
	disk  PersistentState
	core  *Core
	// clockRate and clockOffset make its clock differ from those of the others.
	clockRate, clockOffset float64
	resumeAt               time.Duration
	diskLost               bool
	appliedIndex           uint64
}

func (n *simNode) addr() string { return fmt.Sprint("node-", n.index) }

func newSimulation(seed uint64, size int, f fault) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), fault: f, blocked: map[[2]int]bool{}, leaders: map[uint64]ID{},
		timing: Timing{HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: time.Second}, nextID: ID(size + 1),
	}
	var rs []Replica
	for i := range size {
		rs = append(rs, Replica{ID: ID(i + 1), Addr: fmt.Sprint("node-", i)})
	}
	cfg := NewConfig(rs...)
	for i := range size {
		n := &simNode{
			index: i, id: ID(i + 1), disk: PersistentState{Snapshot: Snapshot{Config: cfg}},
			clockRate: 0.97 + 0.06*s.rand.Float64(), clockOffset: float64(s.rand.IntN(1e12)),
		}
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *simulation) clock(n *simNode) time.Duration {
	return time.Duration(n.clockOffset + n.clockRate*float64(s.now))
}

// run injects random faults for the given number of steps. It then stops the faults and
// returns errNoProgress if the group does not recover.
func (s *simulation) run(steps int) error {
	for range steps {
		if err := s.step(); err != nil {
			return err
		}
		s.injectFault()
	}
	s.reliable = true
	clear(s.blocked)
	for range 4000 {
		if err := s.step(); err != nil {
			return err
		}
		if s.converged() {
			return nil
		}
	}
	return errors.Wrapf(errNoProgress, "end of schedule: membership restored %v, %d committed, max term %d%s",
		s.membershipRestored(), len(s.committed), s.maxTerm, s)
}

// String returns the state of every running replica.
func (s *simulation) String() string {
	out := ""
	for _, n := range s.nodes {
		if n.core != nil {
			out += fmt.Sprintf("\napplied %d: %+v", n.appliedIndex, n.core.Status())
		}
	}
	return out
}

// step advances the simulation by 10 ms.
func (s *simulation) step() error {
	s.now += 10 * time.Millisecond
	for _, n := range s.nodes {
		if s.now < n.resumeAt {
			continue
		}
		if n.core == nil {
			if err := s.start(n); err != nil {
				return err
			}
		}
		if err := s.checkRead(n); err != nil {
			return err
		}
		s.deliver(n)
		if s.fault == restartMajority && len(n.core.restart.restarted) >= n.core.config.Quorum() && n.core.restart.pending && n.core.role == follower {
			n.core.campaign(afterRestart)
		}
		n.core.Tick(s.clock(n))
		s.propose(n)
		if err := s.flush(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) start(n *simNode) error {
	core, err := NewCore(n.id, s.timing, n.disk, s.clock(n), s.rand)
	if err != nil {
		return err
	}
	if s.fault == voteAfterRestart {
		core.lastLeaderContact = distantPast
	}
	n.core, n.appliedIndex = core, n.disk.Snapshot.Index
	return nil
}

// deliver delivers the messages that are due, in random order while the network is
// unreliable.
func (s *simulation) deliver(n *simNode) {
	var due []inFlightMessage
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool {
		if f.deliverAt > s.now || f.message.To != n.id {
			return false
		}
		due = append(due, f)
		return true
	})
	if !s.reliable {
		s.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, f := range due {
		if !s.blocked[[2]int{f.from, n.index}] {
			n.core.Step(s.clock(n), f.message)
		}
	}
}

func (s *simulation) send(n *simNode, ms []Message) {
	for _, m := range ms {
		if !s.reliable && s.rand.IntN(10) == 0 {
			continue
		}
		copies := 1
		if !s.reliable && s.rand.IntN(15) == 0 {
			copies = 2
		}
		for range copies {
			delay := time.Duration(s.rand.IntN(20)) * time.Millisecond
			if !s.reliable && s.rand.IntN(20) == 0 {
				delay = time.Duration(s.rand.IntN(3000)) * time.Millisecond
			}
			s.inFlight = append(s.inFlight, inFlightMessage{deliverAt: s.now + delay, from: n.index, message: m})
		}
	}
}

// propose proposes commands on a leader. It also adds replicas that lost their disk under
// their new IDs.
func (s *simulation) propose(n *simNode) {
	if !n.core.Status().IsLeader {
		return
	}
	for range s.rand.IntN(3) {
		if s.noProposals {
			break
		}
		s.proposedCount++
		n.core.Propose(fmt.Append(nil, s.proposedCount))
	}
	if !s.reliable && s.rand.IntN(300) == 0 {
		n.core.TransferLeadership(s.clock(n))
	}
	for _, o := range s.nodes {
		if _, ok := n.core.config.Find(o.id); o.diskLost && !ok {
			_, _, _ = n.core.ProposeChange(AddReplica{Replica{ID: o.id, Addr: o.addr()}})
		}
	}
}

// flush carries out the output as Node does. It may crash the replica during a write.
func (s *simulation) flush(n *simNode) error {
	for {
		o := n.core.Take()
		if o.IsEmpty() {
			return s.checkLeader(n)
		}
		s.send(n, o.Immediate)
		if s.fault == ackBeforeSync {
			s.send(n, o.AfterSync)
		}
		if !s.reliable && s.rand.IntN(400) == 0 {
			s.tearWrite(n, o)
			s.crash(n)
			return nil
		}
		n.save(o, len(o.Entries))
		n.core.Synced()
		if s.fault != ackBeforeSync {
			s.send(n, o.AfterSync)
		}
		if err := s.applyAndCheck(n, o); err != nil {
			return err
		}
		s.compact(n)
	}
}

// tearWrite writes a part of the output, as a crash before the sync may.
func (s *simulation) tearWrite(n *simNode, o Output) {
	if s.rand.IntN(2) == 0 {
		return
	}
	if o.Snapshot != nil {
		// The hard state is written before the snapshot.
		n.save(Output{HardState: o.HardState}, 0)
		return
	}
	n.save(o, s.rand.IntN(len(o.Entries)+1))
}

func (s *simulation) crash(n *simNode) {
	n.core = nil
	maxPauseMs := 50
	if s.rand.IntN(2) == 0 {
		maxPauseMs = 1500
	}
	n.resumeAt = s.now + time.Duration(s.rand.IntN(maxPauseMs))*time.Millisecond
}

// save writes the output with only the first count of its entries.
func (n *simNode) save(o Output, count int) {
	if o.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries = *o.Snapshot, nil
	}
	if o.HardState != nil {
		n.disk.HardState = *o.HardState
	}
	if count == 0 {
		return
	}
	keep := o.Entries[0].Index - n.disk.Snapshot.Index - 1
	n.disk.Entries = append(slices.Clone(n.disk.Entries[:keep]), o.Entries[:count]...)
}

// compact takes a snapshot at random times.
func (s *simulation) compact(n *simNode) {
	if n.appliedIndex-n.disk.Snapshot.Index < 40 || s.rand.IntN(20) > 0 {
		return
	}
	snap := n.core.SnapshotMeta(n.appliedIndex)
	snap.Data = make([]byte, 1000)
	n.disk.Entries = slices.Clone(n.disk.Entries[n.appliedIndex-n.disk.Snapshot.Index:])
	n.disk.Snapshot = snap
	n.core.Compact(snap)
	n.core.log.compact(n.appliedIndex)
}

// applyAndCheck applies committed entries and checks that all replicas apply the same
// ones in the same order.
func (s *simulation) applyAndCheck(n *simNode, o Output) error {
	if o.Restore != nil {
		n.appliedIndex = o.Restore.Index
		if int(n.appliedIndex) > len(s.committed) {
			return errors.Newf("replica %d restored a snapshot of entries that were never committed", n.id)
		}
	}
	for _, e := range o.Committed {
		if e.Index != n.appliedIndex+1 {
			return errors.Newf("replica %d applies entry %d after entry %d", n.id, e.Index, n.appliedIndex)
		}
		n.appliedIndex = e.Index
		if int(e.Index) > len(s.committed) {
			s.committed = append(s.committed, e)
			continue
		}
		if c := s.committed[e.Index-1]; c.Term != e.Term || string(c.Data) != string(e.Data) {
			return errors.Newf("replica %d applies entry %v, but %v was committed", n.id, e, c)
		}
	}
	return nil
}

// checkLeader checks that a term has one leader, that it is a voter and that its log has
// everything committed.
func (s *simulation) checkLeader(n *simNode) error {
	st := n.core.Status()
	if !st.IsLeader {
		return nil
	}
	if r, ok := st.Config.Find(n.id); !ok || !r.Voter {
		return errors.Newf("replica %d leads but is not a voter", n.id)
	}
	if id, ok := s.leaders[st.Term]; ok && id != n.id {
		return errors.Newf("replicas %d and %d both lead in term %d", id, n.id, st.Term)
	}
	s.leaders[st.Term] = n.id
	if st.Term <= s.maxTerm {
		return nil
	}
	s.maxTerm = st.Term
	if st.LastIndex < uint64(len(s.committed)) {
		return errors.Newf("leader %d of term %d has %d entries, but %d are committed",
			n.id, st.Term, st.LastIndex, len(s.committed))
	}
	for _, e := range s.committed {
		if term, ok := n.core.log.term(e.Index); ok && term != e.Term {
			return errors.Newf("leader %d of term %d lacks committed entry %d", n.id, st.Term, e.Index)
		}
	}
	return nil
}

// checkRead checks that a permitted read sees everything that was committed before it.
func (s *simulation) checkRead(n *simNode) error {
	index, ok := n.core.Read(s.clock(n))
	if st := n.core.Status(); s.fault == readWithoutLease {
		index, ok = st.Commit, st.IsLeader
	}
	if !ok {
		return nil
	}
	s.readCount++
	if index < uint64(len(s.committed)) {
		return errors.Newf("replica %d reads at index %d after entry %d was committed", n.id, index, len(s.committed))
	}
	return nil
}

// injectFault crashes, pauses or partitions a random replica, empties its disk, or crashes all, at
// random times.
func (s *simulation) injectFault() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	switch s.rand.IntN(400) {
	case 0, 1:
		s.crash(n)
	case 2:
		// The process is paused; messages to it wait.
		n.resumeAt = s.now + time.Duration(s.rand.IntN(4000))*time.Millisecond
	case 3, 4:
		o := s.nodes[s.rand.IntN(len(s.nodes))]
		s.blocked[[2]int{n.index, o.index}] = true
	case 5:
		for _, o := range s.nodes {
			s.blocked[[2]int{n.index, o.index}] = true
			s.blocked[[2]int{o.index, n.index}] = true
		}
	case 6, 7, 8:
		clear(s.blocked)
	case 9:
		s.loseDisk(n)
	case 10:
		for _, o := range s.nodes {
			s.crash(o)
		}
	}
}

// loseDisk empties the disk of a replica, unless another one is still being repaired.
func (s *simulation) loseDisk(n *simNode) {
	if len(s.nodes) < 3 || !s.membershipRestored() {
		return
	}
	s.crash(n)
	n.disk = PersistentState{}
	if s.fault == reuseID {
		n.disk.Snapshot.Config = s.nodes[(n.index+1)%len(s.nodes)].disk.Snapshot.Config
		return
	}
	n.id = s.nextID
	s.nextID++
	n.diskLost = true
}

// membershipRestored reports whether the current ID of every replica is a voter in every
// replica's committed configuration. If so, it marks all lost disks as repaired.
func (s *simulation) membershipRestored() bool {
	for _, n := range s.nodes {
		if n.core == nil {
			return false
		}
		cfg := n.core.Status().Config
		for _, o := range s.nodes {
			if !cfg.isVoter(o.id) {
				return false
			}
		}
		if len(cfg.Replicas) != len(s.nodes) || n.core.configIndex > n.core.commitIndex {
			return false
		}
	}
	for _, n := range s.nodes {
		n.diskLost = false
	}
	return true
}

// converged reports whether the membership is restored, the current term has commits and
// every replica has applied all but the newest 100 entries.
func (s *simulation) converged() bool {
	if !s.membershipRestored() || len(s.committed) == 0 {
		return false
	}
	last := s.committed[len(s.committed)-1]
	if last.Term != s.maxTerm {
		return false
	}
	for _, n := range s.nodes {
		if n.appliedIndex+100 < uint64(len(s.committed)) {
			return false
		}
	}
	return true
}
