package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
)

// steps is the length of one schedule: 60 s of its group's time.
const steps = 6000

// TestSchedules runs groups of 1, 3 and 5 through random faults.
func TestSchedules(t *testing.T) {
	const seeds = 30
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			var committed, reads, terms int
			for seed := range uint64(seeds) {
				s := newSim(seed, size, noFault)
				quicktest.Assert(t, s.run(steps), quicktest.IsNil, quicktest.Commentf("seed %d", seed))
				committed += len(s.committed)
				reads += s.reads
				terms += len(s.leaders)
			}
			t.Logf("%d entries committed, %d reads, %d terms with a leader", committed, reads, terms)
			quicktest.Check(t, committed > 0 && reads > 0, quicktest.IsTrue)
		})
	}
}

// TestSchedulesFindFaults shows that the checks fail for broken replicas.
func TestSchedulesFindFaults(t *testing.T) {
	for f, name := range map[fault]string{
		ackBeforeSync:    "answer before sync",
		readWithoutLease: "read without lease",
		keepID:           "lost disk, same ID",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				err := newSim(seed, 3, f).run(steps)
				if err != nil && !errors.Is(err, errNoProgress) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("the fault was not found")
		})
	}
}

// restartUnderLease cuts the leader off just as a follower restarts, while
// the other follower already waits to be elected.
func restartUnderLease(seed uint64, f fault) error {
	s := newSim(seed, 3, f)
	s.calm = true
	var lead *simNode
	for range 1000 {
		if err := s.step(); err != nil {
			return err
		}
		for _, n := range s.nodes {
			if n.core.Status().Leads {
				lead = n
			}
		}
	}
	s.idle = true
	a, b := s.nodes[(lead.n+1)%3], s.nodes[(lead.n+2)%3]
	for i, other := range []*simNode{a, b} {
		s.blocked[[2]int{lead.n, other.n}] = true
		s.blocked[[2]int{other.n, lead.n}] = true
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

// TestRestartUnderLease wants a replica that restarts to give its vote only
// after the lease that may rest on it.
func TestRestartUnderLease(t *testing.T) {
	found := 0
	for seed := range uint64(50) {
		quicktest.Assert(t, restartUnderLease(seed, noFault), quicktest.IsNil)
		if restartUnderLease(seed, voteAfterRestart) != nil {
			found++
		}
	}
	t.Logf("a replica that votes at once let %d of 50 leaders read what was old", found)
	quicktest.Check(t, found > 0, quicktest.IsTrue)
}

// TestRestartWithoutLeader wants a replica that starts again to know what was committed
// before any leader tells it: the instances around it serve on with that.
func TestRestartWithoutLeader(t *testing.T) {
	cfg := NewConfig(Replica{ID: 1}, Replica{ID: 2}, Replica{ID: 3})
	d := Durable{State: HardState{Term: 1, Commit: 3}, Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg}}
	for i := uint64(2); i <= 4; i++ {
		d.Entries = append(d.Entries, Entry{Index: i, Term: 1, Kind: Command})
	}
	timing := Timing{Heartbeat: 150 * time.Millisecond, Election: time.Second}
	start := func(d Durable) Output {
		c, err := NewCore(1, timing, d, 0, rand.New(rand.NewPCG(1, 1)))
		quicktest.Assert(t, err, quicktest.IsNil)
		return c.Take()
	}
	quicktest.Assert(t, start(d).Committed, quicktest.DeepEquals, d.Entries[:2])
	// What is not there, as a snapshot was on its way, is not applied.
	d.State.Commit = 9
	quicktest.Assert(t, start(d).Committed, quicktest.DeepEquals, d.Entries)
}

// TestCommitIsKept wants the last commit on the disk soon, also when nothing else is
// written, and no write for it while nothing new is committed.
func TestCommitIsKept(t *testing.T) {
	timing := Timing{Heartbeat: 150 * time.Millisecond, Election: time.Second}
	c, err := NewCore(1, timing, Durable{Snapshot: Snapshot{Index: 1, Term: 1, Config: NewConfig(Replica{ID: 1})}}, 0, rand.New(rand.NewPCG(1, 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	kept, writes := uint64(0), 0
	run := func(from, to time.Duration) {
		for now := from; now < to; now += timing.Heartbeat / 2 {
			c.Tick(now)
			for o := c.Take(); !o.Empty(); o = c.Take() {
				c.Synced()
				if o.State != nil {
					kept, writes = o.State.Commit, writes+1
				}
			}
		}
	}
	run(0, 2*keepEvery)
	_, _, ok := c.Propose([]byte("x"))
	quicktest.Assert(t, ok, quicktest.IsTrue)
	run(2*keepEvery, 5*keepEvery)
	quicktest.Assert(t, kept, quicktest.Equals, c.Status().Commit)
	before := writes
	run(5*keepEvery, 20*keepEvery)
	quicktest.Assert(t, writes, quicktest.Equals, before)
}

// TestTornWriteCommitsNothing tears a write that replaces an entry and commits its
// successor: after the restart the old entry must not be taken for the committed one.
func TestTornWriteCommitsNothing(t *testing.T) {
	cfg := NewConfig(Replica{ID: 1}, Replica{ID: 2}, Replica{ID: 3})
	d := Durable{
		State: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg}, Entries: []Entry{{Index: 2, Term: 1, Kind: Command}},
	}
	timing := Timing{Heartbeat: 150 * time.Millisecond, Election: time.Second}
	c, err := NewCore(2, timing, d, 0, rand.New(rand.NewPCG(1, 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	c.Step(0, Message{From: 1, To: 2, Term: 2, Body: Append{
		PrevIndex: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: Command}}, Commit: 2,
	}})
	o := c.Take()
	quicktest.Assert(t, c.Status().Commit, quicktest.Equals, uint64(2))
	quicktest.Assert(t, o.Entries, quicktest.HasLen, 1)
	// Only the state has reached the disk.
	d.State = *o.State
	c, err = NewCore(2, timing, d, 0, rand.New(rand.NewPCG(1, 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, c.Take().Committed, quicktest.HasLen, 0)
}
