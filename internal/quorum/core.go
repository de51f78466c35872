package quorum

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// entryOverheadBytes is the estimated size of an entry or a message without its data.
	entryOverheadBytes = 32
	// maxAppendBytes bounds the entries of one Append message.
	maxAppendBytes = 256 << 10
	// maxChunkBytes bounds the data of one SnapshotChunk.
	maxChunkBytes = 256 << 10
	// maxUnackedEntries bounds the entries sent to a follower and not yet acknowledged.
	maxUnackedEntries = 8192
	// maxUncommittedEntries bounds the entries in the leader's log that are not yet
	// committed.
	maxUncommittedEntries = 16384
	// trailingEntries is how many entries before a snapshot stay in memory, so that a
	// follower that lags by a little can catch up without a snapshot.
	trailingEntries = 4096
	// The lease is (1 - 1/maxDriftDivisor) of the election timeout, so that clocks may
	// drift apart by up to 1/maxDriftDivisor of it.
	maxDriftDivisor = 10
)

// distantPast is earlier than any time of a replica's clock.
const distantPast = time.Duration(math.MinInt64 / 2)

// Timing holds the intervals of a group. All its replicas must use the same values.
type Timing struct {
	// HeartbeatInterval is the interval between the leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout: a follower that received a message
	// from a leader within it grants no votes. A follower starts an election after 1 to 1.5
	// times this interval without a leader.
	ElectionTimeout time.Duration
}

// lease is how long the leader may serve reads after sending a message that a majority
// has acknowledged.
func (t Timing) lease() time.Duration { return t.ElectionTimeout - t.ElectionTimeout/maxDriftDivisor }

// role is the Raft role of a replica in its current term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// PersistentState is the state that a replica has on disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap in their indexes.
	Entries []Entry
}

// Output is the work that a Core returns to its owner, to be done in the order of the
// fields.
type Output struct {
	// Immediate are messages that may be sent before the sync.
	Immediate []Message
	// Snapshot, HardState and Entries must be synced before anything below is done.
	// Entries replace all stored entries from the index of the first one on.
	Snapshot  *Snapshot
	HardState *HardState
	Entries   []Entry
	// AfterSync are messages that may be sent only after the sync, as they acknowledge
	// what it stores.
	AfterSync []Message
	// Restore is a snapshot to load into the state machine.
	Restore *Snapshot
	// Committed are newly committed entries to apply.
	Committed []Entry
}

// IsEmpty reports whether the output contains no work.
func (o *Output) IsEmpty() bool {
	return len(o.Immediate) == 0 && o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 &&
		len(o.AfterSync) == 0 && o.Restore == nil && len(o.Committed) == 0
}

// Core is the Raft state machine of one replica: its inputs are the time and messages,
// its outputs writes and messages. It does no I/O and is not safe for concurrent use. All
// times are read from the replica's own monotonic clock.
type Core struct {
	// TargetVoters is the number of voters that the group maintains; 0 means that every
	// replica that has caught up votes, and that an operator manages the members.
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
	// delivered is the index of the newest entry returned in Output.Committed.
	delivered uint64
	// persistedCommit is the newest commit index returned in Output.HardState, at
	// persistedCommitAt.
	persistedCommit   uint64
	persistedCommitAt time.Duration
	config            Config
	// configIndex is the index of the entry that set the configuration.
	configIndex uint64

	// lastLeaderContact is when this replica last received a message from a leader. It grants
	// no votes until an election timeout after that.
	lastLeaderContact time.Duration
	// lastLeader is the leader that sent that message; 0 if there was none since the start.
	lastLeader ID
	restart    restart
	// timerDue is when the next election or heartbeat is due.
	timerDue time.Duration
	votes    map[ID]bool
	// repeatsVotes is set if the requests for votes of the last campaign may be repeated, and votesDue is
	// when.
	repeatsVotes bool
	votesDue     time.Duration
	peers        map[ID]*progress
	incoming     incomingSnapshot

	pending pendingOutput
}

// pendingOutput collects what the next Take returns.
type pendingOutput struct {
	immediate, afterSync []Message
	hardStateChanged     bool
	// unsyncedFrom is the index of the first entry to sync; 0 means none.
	unsyncedFrom uint64
	snapshot     *Snapshot
}

// NewCore returns a replica that starts from the state on its disk, with r as the source
// of jitter. It fails if the entries have a gap or a configuration does not decode.
func NewCore(id ID, t Timing, saved PersistentState, now time.Duration, r *rand.Rand) (*Core, error) {
	c := &Core{
		id: id, timing: t, rand: r, now: now,
		term: saved.HardState.Term, votedFor: saved.HardState.VotedFor, snapshot: saved.Snapshot,
		commitIndex: saved.Snapshot.Index, delivered: saved.Snapshot.Index,
	}
	c.log.reset(saved.Snapshot.Index, saved.Snapshot.Term)
	for i, e := range saved.Entries {
		if e.Index != saved.Snapshot.Index+uint64(i)+1 {
			return nil, errors.Newf("log has entry %d, expected entry %d", e.Index, saved.Snapshot.Index+uint64(i)+1)
		}
	}
	c.log.replaceFrom(saved.Entries)
	c.syncedIndex = c.log.lastIndex()
	c.commitIndex = max(c.commitIndex, min(saved.HardState.CommitIndex, c.log.lastIndex()))
	c.persistedCommit = saved.HardState.CommitIndex
	if err := c.loadConfig(); err != nil {
		return nil, err
	}
	// Before the restart this replica may have acknowledged a leader whose lease is still
	// valid, so it must not vote yet; see restart.
	c.lastLeaderContact = now
	c.restart.pending, c.restart.probeDue = true, now
	c.resetElectionTimer()
	if c.isOnlyVoter() {
		c.timerDue = now
	}
	return c, nil
}

// isOnlyVoter reports whether this replica is the group's only voter.
func (c *Core) isOnlyVoter() bool { return c.config.isVoter(c.id) && c.config.VoterCount() == 1 }

// loadConfig sets the configuration to the newest one in the log, or else the snapshot's.
func (c *Core) loadConfig() error {
	c.config, c.configIndex = c.snapshot.Config, c.snapshot.Index
	es := c.log.entriesBetween(max(c.snapshot.Index, c.log.baseIndex)+1, c.log.lastIndex())
	for i := len(es) - 1; i >= 0; i-- {
		if es[i].Kind != Reconfigure {
			continue
		}
		var cfg Config
		if err := cbor.Unmarshal(es[i].Data, &cfg); err != nil {
			return errors.Wrapf(err, "decode configuration in log entry %d", es[i].Index)
		}
		c.config, c.configIndex = cfg, es[i].Index
		return nil
	}
	return nil
}

// Tick advances the clock to now and starts elections or sends heartbeats that are due.
// The owner calls it at least twice per heartbeat interval.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		c.tickLeader()
		return
	}
	if !c.config.isVoter(c.id) {
		// The leader may have removed this replica or been replaced without it.
		if c.leader != 0 && now >= c.timerDue {
			c.becomeFollower(0)
		}
		return
	}
	c.probeRestarts()
	if now >= c.timerDue {
		c.campaign(preVote)
		return
	}
	c.repeatVoteRequests()
}

// Step handles a message from another replica.
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
			c.campaign(afterTransfer)
		}
	}
}

// Propose appends a command to the log if this replica leads and fewer than
// maxUncommittedEntries entries are uncommitted. The command is committed once the entry
// at the returned index is applied with the returned term; an entry of another term at
// that index means that the command was dropped.
func (c *Core) Propose(cmd []byte) (index, term uint64, ok bool) {
	if c.role != leader || c.log.lastIndex()-c.commitIndex >= maxUncommittedEntries {
		return 0, 0, false
	}
	return c.append(Command, cmd), c.term, true
}

// Read returns the index that the state machine must have applied before a read. It fails
// if this replica does not hold the leader's lease at now.
func (c *Core) Read(now time.Duration) (index uint64, ok bool) {
	c.now = now
	if c.role != leader || now >= c.leaseEnd() {
		return 0, false
	}
	// A new leader's commit index may be outdated until an entry of its own term is
	// committed.
	if term, known := c.log.term(c.commitIndex); !known || term != c.term {
		return 0, false
	}
	return c.commitIndex, true
}

// Synced confirms that the Output last returned by Take is on disk.
func (c *Core) Synced() {
	c.syncedIndex = c.log.lastIndex()
	if c.role == leader {
		c.advanceCommit()
	}
}

// Compact drops log entries that a snapshot on disk covers, except for the last
// trailingEntries.
func (c *Core) Compact(s Snapshot) {
	if s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	if s.Index > trailingEntries {
		c.log.compact(s.Index - trailingEntries)
	}
}

// Take returns the pending work. The owner must sync the output and call Synced before it
// calls any other method.
func (c *Core) Take() Output {
	if c.role == leader {
		c.replicate()
	}
	o := Output{
		Immediate: c.pending.immediate, AfterSync: c.pending.afterSync,
		Snapshot: c.pending.snapshot, Restore: c.pending.snapshot,
	}
	if c.pending.hardStateChanged || c.pending.unsyncedFrom > 0 || c.commitPersistDue() {
		o.HardState = &HardState{Term: c.term, VotedFor: c.votedFor, CommitIndex: c.markCommitPersisted()}
	}
	if c.pending.hardStateChanged || c.pending.snapshot != nil {
		// The messages of a new leader are valid only once its term is on disk.
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

// commitPersistInterval is the least time between writes made only to persist the commit
// index. It is a few heartbeats long, so that a series of changes costs few extra writes.
const commitPersistInterval = 500 * time.Millisecond

// commitPersistDue reports whether the commit index should be persisted even if nothing
// else is written.
func (c *Core) commitPersistDue() bool {
	return c.durableCommit() > c.persistedCommit && c.now-c.persistedCommitAt >= commitPersistInterval
}

// durableCommit returns the index of the newest committed entry that is on disk, or 0
// while a snapshot is being written, which replaces the entries.
func (c *Core) durableCommit() uint64 {
	if c.pending.snapshot != nil {
		return 0
	}
	return min(c.commitIndex, c.syncedIndex)
}

// markCommitPersisted returns the commit index to persist and records it as persisted.
func (c *Core) markCommitPersisted() uint64 {
	c.persistedCommit, c.persistedCommitAt = max(c.persistedCommit, c.durableCommit()), c.now
	return c.persistedCommit
}

// Status describes a replica at one moment.
type Status struct {
	ID        ID
	Leader    ID
	IsLeader  bool
	Term      uint64
	Commit    uint64
	LastIndex uint64
	Config    Config
}

// Status returns the replica's current status.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Leader: c.leader, IsLeader: c.role == leader, Term: c.term,
		Commit: c.commitIndex, LastIndex: c.log.lastIndex(), Config: c.config,
	}
}

// hasAllApplied reports whether this replica votes and the command of each entry in its log has been
// applied, if the newest applied entry is at index. A committed entry is in the logs of a majority of the
// voters, but each may learn only later that it is committed.
func (c *Core) hasAllApplied(index uint64) bool {
	if !c.config.isVoter(c.id) || index < c.log.baseIndex {
		return false
	}
	return !slices.ContainsFunc(c.log.entriesBetween(index+1, c.log.lastIndex()), func(e Entry) bool { return e.Kind == Command })
}

func (c *Core) append(k Kind, data []byte) uint64 {
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: k, Data: data}
	c.log.replaceFrom([]Entry{e})
	c.markUnsynced(e.Index)
	return e.Index
}

// markUnsynced marks the entries from index on as not yet synced.
func (c *Core) markUnsynced(index uint64) {
	if c.pending.unsyncedFrom == 0 || index < c.pending.unsyncedFrom {
		c.pending.unsyncedFrom = index
	}
	c.syncedIndex = min(c.syncedIndex, index-1)
}

// sendAfterSync queues a message that may be sent only after the next sync.
func (c *Core) sendAfterSync(to ID, b Body) {
	c.pending.afterSync = append(c.pending.afterSync, c.newMessage(to, b))
}

// sendNow queues a message that may be sent before the next sync.
func (c *Core) sendNow(to ID, b Body) {
	c.pending.immediate = append(c.pending.immediate, c.newMessage(to, b))
}

func (c *Core) newMessage(to ID, b Body) Message {
	return Message{From: c.id, To: to, Term: c.term, Body: b}
}
