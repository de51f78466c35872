package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
)

// scheduleSteps is the length of one random schedule: 60 s of simulated time.
const scheduleSteps = 6000

// TestRandomFaultSchedules checks safety and recovery of groups of 1, 3 and 5 replicas
// under random crashes, torn writes, partitions, lost disks and message faults.
func TestRandomFaultSchedules(t *testing.T) {
	const seeds = 30
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			var committed, reads, terms int
			for seed := range uint64(seeds) {
				s := newSimulation(seed, size, noFault)
				quicktest.Assert(t, s.run(scheduleSteps), quicktest.IsNil, quicktest.Commentf("seed %d", seed))
				committed += len(s.committed)
				reads += s.readCount
				terms += len(s.leaders)
			}
			t.Logf("%d entries committed, %d reads, %d terms with a leader", committed, reads, terms)
			quicktest.Check(t, committed > 0 && reads > 0, quicktest.IsTrue)
		})
	}
}

// TestSchedulesDetectBrokenReplicas guards the simulation itself: each deliberate fault
// must violate one of its checks for some seed.
func TestSchedulesDetectBrokenReplicas(t *testing.T) {
	for f, name := range map[fault]string{
		ackBeforeSync:    "answer before sync",
		readWithoutLease: "read without lease",
		reuseID:          "lost disk, same ID",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				err := newSimulation(seed, 3, f).run(scheduleSteps)
				if err != nil && !errors.Is(err, errNoProgress) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule detected the fault")
		})
	}
}

// isolateLeaderDuringRestart isolates the leader from one follower, which then waits to
// be elected, and later from the other one, which restarts at that moment.
func isolateLeaderDuringRestart(seed uint64, f fault) error {
	s := newSimulation(seed, 3, f)
	s.reliable = true
	var lead *simNode
	for range 1000 {
		if err := s.step(); err != nil {
			return err
		}
		for _, n := range s.nodes {
			if n.core.Status().IsLeader {
				lead = n
			}
		}
	}
	s.noProposals = true
	a, b := s.nodes[(lead.index+1)%3], s.nodes[(lead.index+2)%3]
	for i, other := range []*simNode{a, b} {
		s.blocked[[2]int{lead.index, other.index}] = true
		s.blocked[[2]int{other.index, lead.index}] = true
		if i == 1 {
			b.core = nil
		}
		for range 200 {
			if err := s.step(); err != nil {
				return err
			}
		}
	}
	return nil
}

// TestRestartedReplicaRespectsLease guards against stale reads: the vote of a replica
// that has just restarted could elect a new leader while the old one still holds a lease
// that relies on this replica's acknowledgement before the restart.
func TestRestartedReplicaRespectsLease(t *testing.T) {
	staleReads := 0
	for seed := range uint64(50) {
		quicktest.Assert(t, isolateLeaderDuringRestart(seed, noFault), quicktest.IsNil)
		if isolateLeaderDuringRestart(seed, voteAfterRestart) != nil {
			staleReads++
		}
	}
	t.Logf("voting right after a restart caused a stale read for %d of 50 seeds", staleReads)
	quicktest.Check(t, staleReads > 0, quicktest.IsTrue)
}

// TestRestartAppliesPersistedCommit checks that a restarted replica applies the entries
// up to the persisted commit index without a leader, as its instance serves from that
// state. An index past the end of the log, left by an interrupted snapshot, applies only
// the entries present.
func TestRestartAppliesPersistedCommit(t *testing.T) {
	cfg := NewConfig(Replica{ID: 1}, Replica{ID: 2}, Replica{ID: 3})
	saved := PersistentState{HardState: HardState{Term: 1, CommitIndex: 3}, Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg}}
	for i := uint64(2); i <= 4; i++ {
		saved.Entries = append(saved.Entries, Entry{Index: i, Term: 1, Kind: Command})
	}
	timing := Timing{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: time.Second}
	start := func(saved PersistentState) Output {
		c, err := NewCore(1, timing, saved, 0, rand.New(rand.NewPCG(1, 1)))
		quicktest.Assert(t, err, quicktest.IsNil)
		return c.Take()
	}
	quicktest.Assert(t, start(saved).Committed, quicktest.DeepEquals, saved.Entries[:2])
	// The persisted commit index is past the last entry on disk.
	saved.HardState.CommitIndex = 9
	quicktest.Assert(t, start(saved).Committed, quicktest.DeepEquals, saved.Entries)
}

// TestCommitIsPersisted checks that the commit index reaches the disk soon after a commit
// even if nothing else is written, and that an idle group writes nothing.
func TestCommitIsPersisted(t *testing.T) {
	timing := Timing{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: time.Second}
	c, err := NewCore(1, timing, PersistentState{
		Snapshot: Snapshot{Index: 1, Term: 1, Config: NewConfig(Replica{ID: 1})},
	}, 0, rand.New(rand.NewPCG(1, 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	persisted, writes := uint64(0), 0
	run := func(from, to time.Duration) {
		for now := from; now < to; now += timing.HeartbeatInterval / 2 {
			c.Tick(now)
			for o := c.Take(); !o.IsEmpty(); o = c.Take() {
				c.Synced()
				if o.HardState != nil {
					persisted, writes = o.HardState.CommitIndex, writes+1
				}
			}
		}
	}
	run(0, 2*commitPersistInterval)
	_, _, ok := c.Propose([]byte("x"))
	quicktest.Assert(t, ok, quicktest.IsTrue)
	run(2*commitPersistInterval, 5*commitPersistInterval)
	quicktest.Assert(t, persisted, quicktest.Equals, c.Status().Commit)
	before := writes
	run(5*commitPersistInterval, 20*commitPersistInterval)
	quicktest.Assert(t, writes, quicktest.Equals, before)
}

// TestTornWriteCommitsNothing guards against applying an entry that was replaced: a crash
// tears a write after its hard state, whose commit index covers the new entry, but before
// the entry itself. After the restart the old entry at that index must not count as
// committed.
func TestTornWriteCommitsNothing(t *testing.T) {
	cfg := NewConfig(Replica{ID: 1}, Replica{ID: 2}, Replica{ID: 3})
	saved := PersistentState{
		HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg},
		Entries: []Entry{{Index: 2, Term: 1, Kind: Command}},
	}
	timing := Timing{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: time.Second}
	c, err := NewCore(2, timing, saved, 0, rand.New(rand.NewPCG(1, 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	c.Step(0, Message{From: 1, To: 2, Term: 2, Body: Append{
		PrevIndex: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: Command}}, CommitIndex: 2,
	}})
	o := c.Take()
	quicktest.Assert(t, c.Status().Commit, quicktest.Equals, uint64(2))
	quicktest.Assert(t, o.Entries, quicktest.HasLen, 1)
	// The crash left only the hard state on disk.
	saved.HardState = *o.HardState
	c, err = NewCore(2, timing, saved, 0, rand.New(rand.NewPCG(1, 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, c.Take().Committed, quicktest.HasLen, 0)
}
