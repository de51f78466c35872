package quorum

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// entryOverhead is what an entry takes beyond its data, in bytes.
	entryOverhead = 32
	// maxAppend bounds the entries of one message in bytes.
	maxAppend = 256 << 10
	// maxChunk bounds the data of one chunk of a snapshot in bytes.
	maxChunk = 256 << 10
	// maxWindow bounds the entries sent to a follower and not yet confirmed.
	maxWindow = 8192
	// maxUncommitted bounds the entries that a leader takes ahead of commits.
	maxUncommitted = 16384
	// trailing is how many entries are kept in memory behind a snapshot, so
	// that a follower that is a little late needs no snapshot.
	trailing = 4096
	// driftShare is the part of the lease that is given up for clocks that
	// run at different rates: 1/driftShare bounds their drift.
	driftShare = 10
)

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

// Timing holds the intervals of a group; all its replicas have the same.
type Timing struct {
	// Heartbeat is the longest silence of a leader.
	Heartbeat time.Duration
	// Election is how long a follower waits for its leader before it votes
	// for another; it stands itself after once to twice that.
	Election time.Duration
}

// lease is how long a leader may read after a majority has heard it.
func (t Timing) lease() time.Duration { return t.Election - t.Election/driftShare }

// role is what a replica does in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Durable is what a replica has on its disk.
type Durable struct {
	State    HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Output is what the owner of a Core does next, in the order of the fields.
type Output struct {
	// Early are messages that may be sent at once.
	Early []Message
	// Snapshot, State and Entries must be synced in one step. Entries replace
	// all from the index of the first.
	Snapshot *Snapshot
	State    *HardState
	Entries  []Entry
	// Late are messages that may be sent only after the sync.
	Late []Message
	// Restore is a snapshot that replaces the state machine.
	Restore *Snapshot
	// Committed are entries to apply.
	Committed []Entry
}

// Empty says whether nothing is to be done.
func (o *Output) Empty() bool {
	return len(o.Early) == 0 && o.Snapshot == nil && o.State == nil && len(o.Entries) == 0 &&
		len(o.Late) == 0 && o.Restore == nil && len(o.Committed) == 0
}

// Core is the algorithm of one replica: time and messages go in, writes and
// messages come out. It does no I/O and is not safe for concurrent use. All
// times are of a monotonic clock of the replica's own.
type Core struct {
	// Voters is how many replicas vote; 0 means all that have caught up.
	Voters int

	id     ID
	timing Timing
	rand   *rand.Rand
	now    time.Duration

	role   role
	term   uint64
	vote   ID
	leader ID

	log    tail
	snap   Snapshot
	synced uint64
	commit uint64
	// handed is the newest entry that was given out for applying.
	handed uint64
	// kept is the newest commit that was given out for the disk, at keptAt.
	kept   uint64
	keptAt time.Duration
	config Config
	// configIndex is the entry that set the configuration.
	configIndex uint64

	// heard is when a leader was last heard; votes wait for it.
	heard time.Duration
	// due is when the next election or heartbeat is due.
	due      time.Duration
	votes    map[ID]bool
	peers    map[ID]*progress
	incoming incoming

	out output
}

// output collects the next Output.
type output struct {
	early, late []Message
	state       bool
	// from is the first entry to sync; 0 means none.
	from     uint64
	snapshot *Snapshot
}

// NewCore returns a replica that starts from what is on its disk.
func NewCore(id ID, t Timing, d Durable, now time.Duration, r *rand.Rand) (*Core, error) {
	c := &Core{
		id: id, timing: t, rand: r, now: now, term: d.State.Term, vote: d.State.Vote, snap: d.Snapshot,
		commit: d.Snapshot.Index, handed: d.Snapshot.Index,
	}
	c.log.reset(d.Snapshot.Index, d.Snapshot.Term)
	for i, e := range d.Entries {
		if e.Index != d.Snapshot.Index+uint64(i)+1 {
			return nil, errors.Newf("log has entry %d where %d belongs", e.Index, d.Snapshot.Index+uint64(i)+1)
		}
	}
	c.log.write(d.Entries)
	c.synced = c.log.last()
	c.commit = max(c.commit, min(d.State.Commit, c.log.last()))
	c.kept = d.State.Commit
	if err := c.findConfig(); err != nil {
		return nil, err
	}
	// Before the restart it may have heard a leader, whose lease still counts
	// on its vote.
	c.heard = now
	c.resetElection()
	if c.alone() {
		c.due = now
	}
	return c, nil
}

// alone says whether this replica is the only voter.
func (c *Core) alone() bool { return c.config.votes(c.id) && c.config.Voters() == 1 }

// findConfig takes the newest configuration of the log.
func (c *Core) findConfig() error {
	c.config, c.configIndex = c.snap.Config, c.snap.Index
	es := c.log.slice(max(c.snap.Index, c.log.baseIndex)+1, c.log.last())
	for i := len(es) - 1; i >= 0; i-- {
		if es[i].Kind != Reconfigure {
			continue
		}
		var cfg Config
		if err := cbor.Unmarshal(es[i].Data, &cfg); err != nil {
			return errors.Wrapf(err, "configuration in entry %d", es[i].Index)
		}
		c.config, c.configIndex = cfg, es[i].Index
		return nil
	}
	return nil
}

// Tick tells the time. It is called at least twice in a heartbeat.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		c.tickLeader()
		return
	}
	if now >= c.due && c.config.votes(c.id) {
		c.campaign(true, false)
	}
}

// Step takes in a message.
func (c *Core) Step(now time.Duration, m Message) {
	c.now = now
	if m.To != c.id {
		return
	}
	switch b := m.Body.(type) {
	case VoteRequest:
		c.onVoteRequest(m, b)
	case VoteReply:
		c.onVoteReply(m, b)
	case Append:
		if c.accept(m, b.Sent) {
			c.onAppend(m, b)
		}
	case SnapshotChunk:
		if c.accept(m, b.Sent) {
			c.onChunk(m, b)
		}
	case AppendReply:
		if c.confirms(m) {
			c.onAppendReply(m, b)
		}
	case SnapshotReply:
		if c.confirms(m) {
			c.onSnapshotReply(m, b)
		}
	case TimeoutNow:
		if m.Term == c.term && c.role == follower && c.config.votes(c.id) {
			c.campaign(false, true)
		}
	}
}

// Propose puts a command into the log if this replica leads. It returns the
// place of the entry, which is committed once that place is applied with the
// same term.
func (c *Core) Propose(cmd []byte) (index, term uint64, ok bool) {
	if c.role != leader || c.log.last()-c.commit >= maxUncommitted {
		return 0, 0, false
	}
	return c.append(Command, cmd), c.term, true
}

// Read returns the index that the state machine must have reached before a
// read, if the leader's lease holds now.
func (c *Core) Read(now time.Duration) (index uint64, ok bool) {
	c.now = now
	if c.role != leader || now >= c.leaseEnd() {
		return 0, false
	}
	// Until an entry of its own term is committed, a leader may not know all
	// that was committed before.
	if term, known := c.log.term(c.commit); !known || term != c.term {
		return 0, false
	}
	return c.commit, true
}

// Synced tells that the Output that was last taken is on the disk.
func (c *Core) Synced() {
	c.synced = c.log.last()
	if c.role == leader {
		c.advance()
	}
}

// Compact replaces the log up to the snapshot, which is on the disk.
func (c *Core) Compact(s Snapshot) {
	if s.Index <= c.snap.Index {
		return
	}
	c.snap = s
	if s.Index > trailing {
		c.log.compact(s.Index - trailing)
	}
}

// Take returns what is to be done. Before the next call of any other method
// the owner syncs the output and calls Synced.
func (c *Core) Take() Output {
	if c.role == leader {
		c.replicate()
	}
	o := Output{Early: c.out.early, Late: c.out.late, Snapshot: c.out.snapshot, Restore: c.out.snapshot}
	if c.out.state || c.out.from > 0 || c.keepsCommit() {
		o.State = &HardState{Term: c.term, Vote: c.vote, Commit: c.keep()}
	}
	if c.out.state || c.out.snapshot != nil {
		// What a new leader sends rests on its term being synced.
		o.Late = append(o.Early, o.Late...)
		o.Early = nil
	}
	if c.out.from > 0 {
		o.Entries = c.log.slice(c.out.from, c.log.last())
	}
	if c.handed < c.commit {
		o.Committed = c.log.slice(c.handed+1, c.commit)
		c.handed = c.commit
	}
	c.out = output{}
	return o
}

// keepEvery is how often a commit goes to the disk that no other write takes along: a
// few heartbeats, so that a series of changes costs few more writes.
const keepEvery = 500 * time.Millisecond

// keepsCommit says whether the commit is to be written by itself.
func (c *Core) keepsCommit() bool {
	return c.durable() > c.kept && c.now-c.keptAt >= keepEvery
}

// durable is the newest committed entry that is on the disk. A snapshot on its way
// there says nothing of the entries that it replaces.
func (c *Core) durable() uint64 {
	if c.out.snapshot != nil {
		return 0
	}
	return min(c.commit, c.synced)
}

// keep returns the commit for the disk.
func (c *Core) keep() uint64 {
	c.kept, c.keptAt = max(c.kept, c.durable()), c.now
	return c.kept
}

// Status is a picture of a replica.
type Status struct {
	ID     ID
	Leader ID
	Leads  bool
	Term   uint64
	Commit uint64
	Last   uint64
	Config Config
}

// Status returns a picture of the replica.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Leader: c.leader, Leads: c.role == leader, Term: c.term,
		Commit: c.commit, Last: c.log.last(), Config: c.config,
	}
}

func (c *Core) append(k Kind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: k, Data: data}
	c.log.write([]Entry{e})
	c.dirty(e.Index)
	return e.Index
}

// dirty marks the log as not synced from index on.
func (c *Core) dirty(index uint64) {
	if c.out.from == 0 || index < c.out.from {
		c.out.from = index
	}
	c.synced = min(c.synced, index-1)
}

func (c *Core) send(to ID, b Body)  { c.out.late = append(c.out.late, c.message(to, b)) }
func (c *Core) early(to ID, b Body) { c.out.early = append(c.out.early, c.message(to, b)) }

func (c *Core) message(to ID, b Body) Message {
	return Message{From: c.id, To: to, Term: c.term, Body: b}
}
