package quorum

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// entryOverheadBytes is what an entry takes beyond its data, in bytes.
	entryOverheadBytes = 32
	// maxAppendBytes bounds the entries of one message in bytes.
	maxAppendBytes = 256 << 10
	// maxChunkBytes bounds the data of one chunk of a snapshot in bytes.
	maxChunkBytes = 256 << 10
	// maxUnackedEntries bounds the entries sent to a follower and not yet confirmed.
	maxUnackedEntries = 8192
	// maxUncommittedEntries bounds the entries that a leader takes ahead of commits.
	maxUncommittedEntries = 16384
	// trailingEntries is how many entries are kept in memory behind a snapshot, so
	// that a follower that is a little late needs no snapshot.
	trailingEntries = 4096
	// maxDriftDivisor is the part of the lease that is given up for clocks that
	// run at different rates: 1/maxDriftDivisor bounds their drift.
	maxDriftDivisor = 10
)

// distantPast is a time before all others.
const distantPast = time.Duration(math.MinInt64 / 2)

// Timing holds the intervals of a group; all its replicas have the same.
type Timing struct {
	// Heartbeat is the longest silence of a leader.
	Heartbeat time.Duration
	// Election is how long a follower waits for its leader before it votes
	// for another; it stands itself after once to twice that.
	Election time.Duration
}

// lease is how long a leader may read after a majority has heard it.
func (t Timing) lease() time.Duration { return t.Election - t.Election/maxDriftDivisor }

// role is what a replica does in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// PersistentState is what a replica has on its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Output is what the owner of a Core does next, in the order of the fields.
type Output struct {
	// Immediate are messages that may be sent at once.
	Immediate []Message
	// Snapshot, State and Entries must be synced in one step. Entries replace
	// all from the index of the first.
	Snapshot  *Snapshot
	HardState *HardState
	Entries   []Entry
	// AfterSync are messages that may be sent only after the sync.
	AfterSync []Message
	// Restore is a snapshot that replaces the state machine.
	Restore *Snapshot
	// Committed are entries to apply.
	Committed []Entry
}

// IsEmpty says whether nothing is to be done.
func (o *Output) IsEmpty() bool {
	return len(o.Immediate) == 0 && o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 &&
		len(o.AfterSync) == 0 && o.Restore == nil && len(o.Committed) == 0
}

// Core is the algorithm of one replica: time and messages go in, writes and
// messages come out. It does no I/O and is not safe for concurrent use. All
// times are of a monotonic clock of the replica's own.
type Core struct {
	// TargetVoters is how many replicas vote; 0 means all that have caught up.
	TargetVoters int

	id     ID
	timing Timing
	rand   *rand.Rand
	now    time.Duration

	role     role
	term     uint64
	votedFor ID
	leader   ID

	log         tail
	snapshot    Snapshot
	syncedIndex uint64
	commitIndex uint64
	// delivered is the newest entry that was given out for applying.
	delivered uint64
	// persistedCommit is the newest commit that was given out for the disk, at keptAt.
	persistedCommit   uint64
	persistedCommitAt time.Duration
	config            Config
	// configIndex is the entry that set the configuration.
	configIndex uint64

	// leaderHeardAt is when a leader was last leaderHeardAt; votes wait for it.
	leaderHeardAt time.Duration
	// timerDue is when the next election or heartbeat is timerDue.
	timerDue time.Duration
	votes    map[ID]bool
	peers    map[ID]*progress
	incoming incomingSnapshot

	pending pendingOutput
}

// pendingOutput collects the next Output.
type pendingOutput struct {
	immediate, afterSync []Message
	hardStateChanged     bool
	// unsyncedFrom is the first entry to sync; 0 means none.
	unsyncedFrom uint64
	snapshot     *Snapshot
}

// NewCore returns a replica that starts from what is on its disk.
func NewCore(id ID, t Timing, saved PersistentState, now time.Duration, r *rand.Rand) (*Core, error) {
	c := &Core{
		id: id, timing: t, rand: r, now: now, term: saved.HardState.Term, votedFor: saved.HardState.VotedFor, snapshot: saved.Snapshot,
		commitIndex: saved.Snapshot.Index, delivered: saved.Snapshot.Index,
	}
	c.log.reset(saved.Snapshot.Index, saved.Snapshot.Term)
	for i, e := range saved.Entries {
		if e.Index != saved.Snapshot.Index+uint64(i)+1 {
			return nil, errors.Newf("log has entry %d where %d belongs", e.Index, saved.Snapshot.Index+uint64(i)+1)
		}
	}
	c.log.replaceFrom(saved.Entries)
	c.syncedIndex = c.log.lastIndex()
	c.commitIndex = max(c.commitIndex, min(saved.HardState.CommitIndex, c.log.lastIndex()))
	c.persistedCommit = saved.HardState.CommitIndex
	if err := c.loadConfig(); err != nil {
		return nil, err
	}
	// Before the restart it may have heard a leader, whose lease still counts
	// on its vote.
	c.leaderHeardAt = now
	c.resetElectionTimer()
	if c.isOnlyVoter() {
		c.timerDue = now
	}
	return c, nil
}

// isOnlyVoter says whether this replica is the only voter.
func (c *Core) isOnlyVoter() bool { return c.config.isVoter(c.id) && c.config.VoterCount() == 1 }

// loadConfig takes the newest configuration of the log.
func (c *Core) loadConfig() error {
	c.config, c.configIndex = c.snapshot.Config, c.snapshot.Index
	es := c.log.entriesBetween(max(c.snapshot.Index, c.log.baseIndex)+1, c.log.lastIndex())
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
	if now >= c.timerDue && c.config.isVoter(c.id) {
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
		if c.acceptLeader(m, b.Sent) {
			c.onAppend(m, b)
		}
	case SnapshotChunk:
		if c.acceptLeader(m, b.Sent) {
			c.onSnapshotChunk(m, b)
		}
	case AppendReply:
		if c.acceptReply(m) {
			c.onAppendReply(m, b)
		}
	case SnapshotReply:
		if c.acceptReply(m) {
			c.onSnapshotReply(m, b)
		}
	case TimeoutNow:
		if m.Term == c.term && c.role == follower && c.config.isVoter(c.id) {
			c.campaign(false, true)
		}
	}
}

// Propose puts a command into the log if this replica leads. It returns the
// place of the entry, which is committed once that place is applied with the
// same term.
func (c *Core) Propose(cmd []byte) (index, term uint64, ok bool) {
	if c.role != leader || c.log.lastIndex()-c.commitIndex >= maxUncommittedEntries {
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
	if term, known := c.log.term(c.commitIndex); !known || term != c.term {
		return 0, false
	}
	return c.commitIndex, true
}

// Synced tells that the Output that was last taken is on the disk.
func (c *Core) Synced() {
	c.syncedIndex = c.log.lastIndex()
	if c.role == leader {
		c.advanceCommit()
	}
}

// Compact replaces the log up to the snapshot, which is on the disk.
func (c *Core) Compact(s Snapshot) {
	if s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	if s.Index > trailingEntries {
		c.log.compact(s.Index - trailingEntries)
	}
}

// Take returns what is to be done. Before the next call of any other method
// the owner syncs the output and calls Synced.
func (c *Core) Take() Output {
	if c.role == leader {
		c.replicate()
	}
	o := Output{Immediate: c.pending.immediate, AfterSync: c.pending.afterSync, Snapshot: c.pending.snapshot, Restore: c.pending.snapshot}
	if c.pending.hardStateChanged || c.pending.unsyncedFrom > 0 || c.commitPersistDue() {
		o.HardState = &HardState{Term: c.term, VotedFor: c.votedFor, CommitIndex: c.markCommitPersisted()}
	}
	if c.pending.hardStateChanged || c.pending.snapshot != nil {
		// What a new leader sends rests on its term being synced.
		o.AfterSync = append(o.Immediate, o.AfterSync...)
		o.Immediate = nil
	}
	if c.pending.unsyncedFrom > 0 {
		o.Entries = c.log.entriesBetween(c.pending.unsyncedFrom, c.log.lastIndex())
	}
	if c.delivered < c.commitIndex {
		o.Committed = c.log.entriesBetween(c.delivered+1, c.commitIndex)
		c.delivered = c.commitIndex
	}
	c.pending = pendingOutput{}
	return o
}

// commitPersistInterval is how often a commit goes to the disk that no other write takes along: a
// few heartbeats, so that a series of changes costs few more writes.
const commitPersistInterval = 500 * time.Millisecond

// commitPersistDue says whether the commit is to be written by itself.
func (c *Core) commitPersistDue() bool {
	return c.durableCommit() > c.persistedCommit && c.now-c.persistedCommitAt >= commitPersistInterval
}

// durableCommit is the newest committed entry that is on the disk. A snapshot on its way
// there says nothing of the entries that it replaces.
func (c *Core) durableCommit() uint64 {
	if c.pending.snapshot != nil {
		return 0
	}
	return min(c.commitIndex, c.syncedIndex)
}

// markCommitPersisted returns the commit for the disk.
func (c *Core) markCommitPersisted() uint64 {
	c.persistedCommit, c.persistedCommitAt = max(c.persistedCommit, c.durableCommit()), c.now
	return c.persistedCommit
}

// Status is a picture of a replica.
type Status struct {
	ID        ID
	Leader    ID
	Leads     bool
	Term      uint64
	Commit    uint64
	LastIndex uint64
	Config    Config
}

// Status returns a picture of the replica.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Leader: c.leader, Leads: c.role == leader, Term: c.term,
		Commit: c.commitIndex, LastIndex: c.log.lastIndex(), Config: c.config,
	}
}

func (c *Core) append(k Kind, data []byte) uint64 {
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: k, Data: data}
	c.log.replaceFrom([]Entry{e})
	c.markUnsynced(e.Index)
	return e.Index
}

// markUnsynced marks the log as not synced from index on.
func (c *Core) markUnsynced(index uint64) {
	if c.pending.unsyncedFrom == 0 || index < c.pending.unsyncedFrom {
		c.pending.unsyncedFrom = index
	}
	c.syncedIndex = min(c.syncedIndex, index-1)
}

func (c *Core) sendAfterSync(to ID, b Body) {
	c.pending.afterSync = append(c.pending.afterSync, c.newMessage(to, b))
}

func (c *Core) sendNow(to ID, b Body) {
	c.pending.immediate = append(c.pending.immediate, c.newMessage(to, b))
}

func (c *Core) newMessage(to ID, b Body) Message {
	return Message{From: c.id, To: to, Term: c.term, Body: b}
}
