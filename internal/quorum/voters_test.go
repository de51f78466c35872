package quorum

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// newAutoGroup returns a group with automatic membership and three initial members. It starts
// the given number of replicas.
func newAutoGroup(t *testing.T, targetVoters, started int) *testGroup {
	t.Helper()
	g := newGroup(t, 0)
	g.targetVoters = targetVoters
	initial := []string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81"}
	for i := range started {
		g.start([]string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81", "10.0.0.4:81", "10.0.0.5:81", "10.0.0.6:81"}[i], initial...)
	}
	return g
}

// waitConfig waits until the leader's configuration satisfies ok. Expected describes it
// for the failure message.
func (g *testGroup) waitConfig(expected string, ok func(c Config) bool) {
	g.t.Helper()
	for range 100 {
		if c := g.replicas[g.leader()].node.Status().Config; ok(c) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	g.t.Fatalf("expected configuration: %s; members are %+v",
		expected, g.replicas[g.leader()].node.Status().Config.Replicas)
}

// TestFiveVotersFromThreeInitialMembers checks that five replicas that know only three
// addresses become five voters and then tolerate the loss of two.
func TestFiveVotersFromThreeInitialMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 5, 5)
		defer g.close()
		g.waitConfig("five voters", func(c Config) bool { return c.VoterCount() == 5 })
		g.mustPropose(g.leader(), "a")
		// Two followers are lost at the same time.
		lead := g.leader()
		lost := 0
		for _, a := range []string{"10.0.0.4:81", "10.0.0.5:81", "10.0.0.1:81"} {
			if a != lead && lost < 2 {
				g.isolate(a)
				lost++
			}
		}
		g.mustPropose(g.leader(), "b")
		for a := range g.replicas {
			g.heal(a)
		}
		g.waitApplied(2, "b")
	})
}

// TestLearnerReplacesSilentVoter checks that a learner takes the place of a voter that
// stays unreachable, so that the group tolerates the loss of another. The replaced
// replica is added again when it returns.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 4)
		defer g.close()
		g.waitConfig("three voters and a learner", func(c Config) bool { return c.VoterCount() == 3 && len(c.Replicas) == 4 })
		g.mustPropose(g.leader(), "a")
		lost := g.follower()
		g.isolate(lost)
		g.waitConfig("the learner replaced the silent voter", func(c Config) bool {
			_, has := c.FindAddr(lost)
			return c.VoterCount() == 3 && !has
		})
		g.mustPropose(g.leader(lost), "b")
		// The replaced replica returns and is added again.
		g.heal(lost)
		g.waitConfig("the replaced replica is a member again", func(c Config) bool {
			_, has := c.FindAddr(lost)
			return has && c.VoterCount() == 3
		})
		g.mustPropose(g.leader(), "c")
		g.waitApplied(3, "c")
	})
}

// TestLearnerReplacesSilentLeader guards against a leader that fell silent and is replaced later than another
// voter would be, as if its silence had begun with the election: until then the group has a voter less, and
// can't bear the loss that comes next.
func TestLearnerReplacesSilentLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 4)
		defer g.close()
		g.waitConfig("three voters and a learner", func(c Config) bool { return c.VoterCount() == 3 && len(c.Replicas) == 4 })
		lost := g.leader()
		timeout := g.replicas[lost].node.Timing.ElectionTimeout
		g.isolate(lost)
		// The last addition is for two changes of the members, each made at a heartbeat.
		time.Sleep(replaceAfterTimeouts*timeout + timeout/2)
		c := g.replicas[g.leader(lost)].node.Status().Config
		_, has := c.FindAddr(lost)
		quicktest.Check(t, has, quicktest.IsFalse, quicktest.Commentf("members are %+v", c.Replicas))
		g.heal(lost)
	})
}

// follower returns the address of a voter that does not lead.
func (g *testGroup) follower() string {
	lead := g.leader()
	for _, r := range g.replicas[lead].node.Status().Config.Replicas {
		if r.Voter && r.Addr != lead {
			return r.Addr
		}
	}
	g.t.Fatal("no voter besides the leader")
	return ""
}

// TestEmptyDiskJoinsThroughFollower guards against a replica with an empty disk that stays out of
// the group because none of the initial members that it knows leads: the group then has one
// voter less than it counts, and two further losses end it for good.
func TestEmptyDiskJoinsThroughFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 5, 5)
		defer g.close()
		g.waitConfig("five voters", func(c Config) bool { return c.VoterCount() == 5 })
		for lead := g.leader(); lead != "10.0.0.4:81" && lead != "10.0.0.5:81"; lead = g.leader() {
			g.isolate(lead)
			g.leader(lead)
			g.heal(lead)
			time.Sleep(5 * time.Second)
		}
		g.mustPropose(g.leader(), "a")
		const lost = "10.0.0.2:81"
		former := g.replicas[lost].node.Status().ID
		g.crashReplica(lost)
		g.replicas[lost].disk = &store.Mem{}
		g.joinExisting = true
		g.start(lost)
		g.waitConfig("five voters, one of them new", func(c Config) bool {
			r, ok := c.FindAddr(lost)
			return ok && r.Voter && r.ID != former && c.VoterCount() == 5
		})
		// The group bears the loss of two others now.
		g.isolate("10.0.0.1:81")
		g.isolate("10.0.0.3:81")
		g.mustPropose(g.leader(), "b")
		g.heal("10.0.0.1:81")
		g.heal("10.0.0.3:81")
		g.waitApplied(2, "b")
	})
}

// TestEmptyDiskJoinsThroughSender guards against a replica with an empty disk that stays out of the group
// because the only initial member that it knows is itself, though members still send to its address.
func TestEmptyDiskJoinsThroughSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 3)
		defer g.close()
		g.waitConfig("three voters", func(c Config) bool { return c.VoterCount() == 3 })
		g.mustPropose(g.leader(), "a")
		lost := g.follower()
		former := g.replicas[lost].node.Status().ID
		g.crashReplica(lost)
		g.replicas[lost].disk, g.replicas[lost].initial = &store.Mem{}, []string{lost}
		g.joinExisting = true
		g.start(lost)
		g.waitConfig("three voters, one of them new", func(c Config) bool {
			r, ok := c.FindAddr(lost)
			return ok && r.Voter && r.ID != former && c.VoterCount() == 3
		})
		g.mustPropose(g.leader(), "b")
		g.waitApplied(2, "b")
	})
}

// TestRemovedLearnerJoinsAgain guards against a learner that stays out of its group for good: it was cut off for so long that the
// leader removed it, and took the leader that it heard last for the current one.
func TestRemovedLearnerJoinsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 4)
		defer g.close()
		const spare = "10.0.0.4:81"
		isMember := func(c Config) bool {
			_, ok := c.FindAddr(spare)
			return ok
		}
		g.waitConfig("four members", func(c Config) bool { return len(c.Replicas) == 4 })
		lead := g.leader()
		for _, r := range g.replicas[lead].node.Status().Config.Replicas {
			if !r.Voter {
				g.isolate(r.Addr)
				time.Sleep(20 * time.Second)
				g.waitConfig("the learner is removed", func(c Config) bool { return len(c.Replicas) == 3 })
				g.heal(r.Addr)
			}
		}
		g.waitConfig("four members again", func(c Config) bool { return len(c.Replicas) == 4 })
		g.waitConfig("the spare one is a member", isMember)
	})
}

// TestEmptyDiskDoesNotCreateGroup guards against a second group: a founder that lost its
// disk restarts while it can't reach the others. It must wait for them, and be added to
// the existing group.
func TestEmptyDiskDoesNotCreateGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 3)
		defer g.close()
		g.mustPropose(g.leader(), "a")
		lost := g.follower()
		g.crashReplica(lost)
		g.replicas[lost].disk = &store.Mem{}
		g.isolate(lost)
		g.joinExisting = true
		m := g.start(lost)
		time.Sleep(10 * time.Second)
		quicktest.Assert(t, m.node.Status().IsLeader, quicktest.IsFalse)
		quicktest.Assert(t, m.node.Status().Config.VoterCount(), quicktest.Equals, 0)
		g.heal(lost)
		g.waitConfig("the repaired replica votes again", func(c Config) bool {
			r, ok := c.FindAddr(lost)
			return ok && r.Voter && c.VoterCount() == 3
		})
		g.mustPropose(g.leader(), "b")
		g.waitApplied(2, "b")
	})
}

// TestFullDiskResignsLeadership checks that a leader whose disk is full resigns, so that
// a new leader is elected well before the election timeout.
func TestFullDiskResignsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 3)
		defer func() {
			for a, m := range g.replicas {
				m.stop()
				<-m.runErr
				delete(g.replicas, a)
			}
		}()
		lead := g.leader()
		g.mustPropose(lead, "a")
		g.replicas[lead].disk.SetRoom(0)
		failedAt := time.Now()
		quicktest.Assert(t, g.propose(lead, "b"), quicktest.IsNotNil)
		next := g.leader(lead)
		quicktest.Assert(t, next != lead, quicktest.IsTrue)
		quicktest.Assert(t, time.Since(failedAt) < time.Second, quicktest.IsTrue,
			quicktest.Commentf("%s", time.Since(failedAt)))
		g.mustPropose(next, "c")
	})
}

// TestHostSleepExpiresLease guards against a stale read: the host of an isolated leader
// is suspended for longer than the lease while the Go runtime's clock stands still. After
// that the leader must not serve reads.
func TestHostSleepExpiresLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 3)
		defer g.close()
		lead := g.leader()
		g.mustPropose(lead, "a")
		g.isolate(lead)
		quicktest.Assert(t, g.replicas[lead].node.Barrier(t.Context()), quicktest.IsNil)
		g.hostSlept.Store(int64(5 * time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		quicktest.Assert(t, g.replicas[lead].node.Barrier(ctx), quicktest.IsNotNil)
		g.heal(lead)
		g.mustPropose(g.leader(), "b")
	})
}
