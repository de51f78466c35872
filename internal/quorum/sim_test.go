package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// fault is a deliberate mistake, for showing that the checks can fail.
type fault uint8

const (
	noFault fault = iota
	// ackBeforeSync sends answers before what they rest on is synced.
	ackBeforeSync
	// readWithoutLease reads on whoever believes to lead.
	readWithoutLease
	// keepID lets a replica that lost its disk come back under its old ID.
	keepID
	// voteAfterRestart forgets that a leader may count on the vote.
	voteAfterRestart
)

// errNoProgress says that a group did not work after the faults had ended.
var errNoProgress = errors.New("no progress")

// sim runs a group of cores over a network and disks that fail by chance.
type sim struct {
	r     *rand.Rand
	fault fault
	now   time.Duration
	nodes []*simNode
	wires []flight
	// blocked holds the directions that lose everything.
	blocked map[[2]int]bool
	timing  Timing
	nextID  ID
	// calm ends the losses, idle the proposals.
	calm, idle bool

	leaders   map[uint64]ID
	committed []Entry
	proposed  int
	reads     int
	maxTerm   uint64
}

// flight is a message under way.
type flight struct {
	at   time.Duration
	from int
	m    Message
}

// simNode is a replica with its disk and clock.
type simNode struct {
	n    int
	id   ID
	disk Durable
	core *Core
	// rate and offset make its clock differ from the others'.
	rate, offset float64
	wakeAt       time.Duration
	lost         bool
	applied      uint64
}

func (n *simNode) addr() string { return fmt.Sprint("node-", n.n) }

func newSim(seed uint64, size int, f fault) *sim {
	s := &sim{
		r: rand.New(rand.NewPCG(seed, 1)), fault: f, blocked: map[[2]int]bool{}, leaders: map[uint64]ID{},
		timing: Timing{Heartbeat: 100 * time.Millisecond, Election: time.Second}, nextID: ID(size + 1),
	}
	var rs []Replica
	for i := range size {
		rs = append(rs, Replica{ID: ID(i + 1), Addr: fmt.Sprint("node-", i)})
	}
	cfg := NewConfig(rs...)
	for i := range size {
		n := &simNode{
			n: i, id: ID(i + 1), disk: Durable{Snapshot: Snapshot{Config: cfg}},
			rate: 0.97 + 0.06*s.r.Float64(), offset: float64(s.r.IntN(1e12)),
		}
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *sim) clock(n *simNode) time.Duration {
	return time.Duration(n.offset + n.rate*float64(s.now))
}

// run lets the group suffer, then heals it and wants it to work.
func (s *sim) run(steps int) error {
	for range steps {
		if err := s.step(); err != nil {
			return err
		}
		s.mishap()
	}
	s.calm = true
	clear(s.blocked)
	for range 4000 {
		if err := s.step(); err != nil {
			return err
		}
		if s.settled() {
			return nil
		}
	}
	return errors.Wrapf(errNoProgress, "seed's end: repaired %v, %d committed, max term %d%s", s.repaired(), len(s.committed), s.maxTerm, s)
}

// String shows every replica.
func (s *sim) String() string {
	out := ""
	for _, n := range s.nodes {
		if n.core != nil {
			out += fmt.Sprintf("\napplied %d: %+v", n.applied, n.core.Status())
		}
	}
	return out
}

// step advances the time by 10 ms.
func (s *sim) step() error {
	s.now += 10 * time.Millisecond
	for _, n := range s.nodes {
		if s.now < n.wakeAt {
			continue
		}
		if n.core == nil {
			if err := s.start(n); err != nil {
				return err
			}
		}
		if err := s.read(n); err != nil {
			return err
		}
		s.deliver(n)
		n.core.Tick(s.clock(n))
		s.propose(n)
		if err := s.flush(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) start(n *simNode) error {
	core, err := NewCore(n.id, s.timing, n.disk, s.clock(n), s.r)
	if err != nil {
		return err
	}
	if s.fault == voteAfterRestart {
		core.heard = never
	}
	n.core, n.applied = core, n.disk.Snapshot.Index
	return nil
}

// deliver hands over the messages that are due, in any order.
func (s *sim) deliver(n *simNode) {
	var due []flight
	s.wires = slices.DeleteFunc(s.wires, func(f flight) bool {
		if f.at > s.now || f.m.To != n.id {
			return false
		}
		due = append(due, f)
		return true
	})
	if !s.calm {
		s.r.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	for _, f := range due {
		if !s.blocked[[2]int{f.from, n.n}] {
			n.core.Step(s.clock(n), f.m)
		}
	}
}

func (s *sim) send(n *simNode, ms []Message) {
	for _, m := range ms {
		if !s.calm && s.r.IntN(10) == 0 {
			continue
		}
		copies := 1
		if !s.calm && s.r.IntN(15) == 0 {
			copies = 2
		}
		for range copies {
			delay := time.Duration(s.r.IntN(20)) * time.Millisecond
			if !s.calm && s.r.IntN(20) == 0 {
				delay = time.Duration(s.r.IntN(3000)) * time.Millisecond
			}
			s.wires = append(s.wires, flight{at: s.now + delay, from: n.n, m: m})
		}
	}
}

// propose adds commands, and brings back replicas that lost their disk.
func (s *sim) propose(n *simNode) {
	if !n.core.Status().Leads {
		return
	}
	for range s.r.IntN(3) {
		if s.idle {
			break
		}
		s.proposed++
		n.core.Propose(fmt.Append(nil, s.proposed))
	}
	if !s.calm && s.r.IntN(300) == 0 {
		n.core.Transfer(s.clock(n))
	}
	for _, o := range s.nodes {
		if _, ok := n.core.config.Find(o.id); o.lost && !ok {
			_, _, _ = n.core.Change(AddReplica{Replica{ID: o.id, Addr: o.addr()}})
		}
	}
}

// flush does what the owner of a core does, and may crash in the middle.
func (s *sim) flush(n *simNode) error {
	for {
		o := n.core.Take()
		if o.Empty() {
			return s.check(n)
		}
		s.send(n, o.Early)
		if s.fault == ackBeforeSync {
			s.send(n, o.Late)
		}
		if !s.calm && s.r.IntN(400) == 0 {
			s.tear(n, o)
			s.crash(n)
			return nil
		}
		n.save(o, len(o.Entries))
		n.core.Synced()
		if s.fault != ackBeforeSync {
			s.send(n, o.Late)
		}
		if err := s.apply(n, o); err != nil {
			return err
		}
		s.compact(n)
	}
}

// tear writes a part of the output: what a crash before the sync leaves.
func (s *sim) tear(n *simNode, o Output) {
	if s.r.IntN(2) == 0 {
		return
	}
	if o.Snapshot != nil {
		// The state goes before the snapshot.
		n.save(Output{State: o.State}, 0)
		return
	}
	n.save(o, s.r.IntN(len(o.Entries)+1))
}

func (s *sim) crash(n *simNode) {
	n.core = nil
	most := 50
	if s.r.IntN(2) == 0 {
		most = 1500
	}
	n.wakeAt = s.now + time.Duration(s.r.IntN(most))*time.Millisecond
}

// save writes the first count entries of the output.
func (n *simNode) save(o Output, count int) {
	if o.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries = *o.Snapshot, nil
	}
	if o.State != nil {
		n.disk.State = *o.State
	}
	if count == 0 {
		return
	}
	keep := o.Entries[0].Index - n.disk.Snapshot.Index - 1
	n.disk.Entries = append(slices.Clone(n.disk.Entries[:keep]), o.Entries[:count]...)
}

// compact takes a snapshot now and then.
func (s *sim) compact(n *simNode) {
	if n.applied-n.disk.Snapshot.Index < 40 || s.r.IntN(20) > 0 {
		return
	}
	snap := n.core.Head(n.applied)
	snap.Data = make([]byte, 1000)
	n.disk.Entries = slices.Clone(n.disk.Entries[n.applied-n.disk.Snapshot.Index:])
	n.disk.Snapshot = snap
	n.core.Compact(snap)
	n.core.log.compact(n.applied)
}

// apply checks that all replicas apply the same entries.
func (s *sim) apply(n *simNode, o Output) error {
	if o.Restore != nil {
		n.applied = o.Restore.Index
		if int(n.applied) > len(s.committed) {
			return errors.Newf("replica %d got a snapshot of what was never committed", n.id)
		}
	}
	for _, e := range o.Committed {
		if e.Index != n.applied+1 {
			return errors.Newf("replica %d applies %d after %d", n.id, e.Index, n.applied)
		}
		n.applied = e.Index
		if int(e.Index) > len(s.committed) {
			s.committed = append(s.committed, e)
			continue
		}
		if c := s.committed[e.Index-1]; c.Term != e.Term || string(c.Data) != string(e.Data) {
			return errors.Newf("replica %d applies %v where %v was committed", n.id, e, c)
		}
	}
	return nil
}

// check wants one leader a term, which has all that was committed.
func (s *sim) check(n *simNode) error {
	st := n.core.Status()
	if !st.Leads {
		return nil
	}
	if r, ok := st.Config.Find(n.id); !ok || !r.Voter {
		return errors.Newf("replica %d leads and is no voter", n.id)
	}
	if id, ok := s.leaders[st.Term]; ok && id != n.id {
		return errors.Newf("replicas %d and %d both lead in term %d", id, n.id, st.Term)
	}
	s.leaders[st.Term] = n.id
	if st.Term <= s.maxTerm {
		return nil
	}
	s.maxTerm = st.Term
	if st.Last < uint64(len(s.committed)) {
		return errors.Newf("leader %d of term %d has %d entries of %d committed", n.id, st.Term, st.Last, len(s.committed))
	}
	for _, e := range s.committed {
		if term, ok := n.core.log.term(e.Index); ok && term != e.Term {
			return errors.Newf("leader %d of term %d lacks committed entry %d", n.id, st.Term, e.Index)
		}
	}
	return nil
}

// read wants a read to see all that was committed before it.
func (s *sim) read(n *simNode) error {
	index, ok := n.core.Read(s.clock(n))
	if st := n.core.Status(); s.fault == readWithoutLease {
		index, ok = st.Commit, st.Leads
	}
	if !ok {
		return nil
	}
	s.reads++
	if index < uint64(len(s.committed)) {
		return errors.Newf("replica %d reads at %d after %d was committed", n.id, index, len(s.committed))
	}
	return nil
}

// mishap lets something fail now and then.
func (s *sim) mishap() {
	n := s.nodes[s.r.IntN(len(s.nodes))]
	switch s.r.IntN(400) {
	case 0, 1:
		s.crash(n)
	case 2:
		// The process stands still; its messages wait.
		n.wakeAt = s.now + time.Duration(s.r.IntN(4000))*time.Millisecond
	case 3, 4:
		o := s.nodes[s.r.IntN(len(s.nodes))]
		s.blocked[[2]int{n.n, o.n}] = true
	case 5:
		for _, o := range s.nodes {
			s.blocked[[2]int{n.n, o.n}] = true
			s.blocked[[2]int{o.n, n.n}] = true
		}
	case 6, 7, 8:
		clear(s.blocked)
	case 9:
		s.loseDisk(n)
	}
}

// loseDisk empties the disk of a replica, if no other is being repaired.
func (s *sim) loseDisk(n *simNode) {
	if len(s.nodes) < 3 || !s.repaired() {
		return
	}
	s.crash(n)
	n.disk = Durable{}
	if s.fault == keepID {
		n.disk.Snapshot.Config = s.nodes[(n.n+1)%len(s.nodes)].disk.Snapshot.Config
		return
	}
	n.id = s.nextID
	s.nextID++
	n.lost = true
}

// repaired says whether every replica's present ID is a voter everywhere.
func (s *sim) repaired() bool {
	for _, n := range s.nodes {
		if n.core == nil {
			return false
		}
		cfg := n.core.Status().Config
		for _, o := range s.nodes {
			if !cfg.votes(o.id) {
				return false
			}
		}
		if len(cfg.Replicas) != len(s.nodes) || n.core.configIndex > n.core.commit {
			return false
		}
	}
	for _, n := range s.nodes {
		n.lost = false
	}
	return true
}

// settled says whether all replicas have applied all that was proposed lately.
func (s *sim) settled() bool {
	if !s.repaired() || len(s.committed) == 0 {
		return false
	}
	last := s.committed[len(s.committed)-1]
	if last.Term != s.maxTerm {
		return false
	}
	for _, n := range s.nodes {
		if n.applied+100 < uint64(len(s.committed)) {
			return false
		}
	}
	return true
}
