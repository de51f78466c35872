package quorum

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// newAutoGroup is a group whose members come and go by themselves: three found it,
// and so many are started.
func newAutoGroup(t *testing.T, targetVoters, started int) *testGroup {
	t.Helper()
	g := newGroup(t, 0)
	g.targetVoters = targetVoters
	founders := []string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81"}
	for i := range started {
		g.start([]string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81", "10.0.0.4:81", "10.0.0.5:81", "10.0.0.6:81"}[i], founders...)
	}
	return g
}

// waitConfig waits until the leader's picture of the members is as wanted.
func (g *testGroup) waitConfig(expected string, ok func(c Config) bool) {
	g.t.Helper()
	for range 100 {
		if c := g.replicas[g.leader()].node.Status().Config; ok(c) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	g.t.Fatalf("%s: members are %+v", expected, g.replicas[g.leader()].node.Status().Config.Replicas)
}

// TestFiveVotersFromThreeFounders knows the addresses of three of five replicas.
func TestFiveVotersFromThreeFounders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 5, 5)
		defer g.close()
		g.waitConfig("five vote", func(c Config) bool { return c.VoterCount() == 5 })
		g.mustPropose(g.leader(), "a")
		// Two are lost at once.
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

// TestLearnerReplacesSilentVoter has a spare member beside three voters, one of which is
// lost for good: then another may be lost.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 4)
		defer g.close()
		g.waitConfig("a spare beside three voters", func(c Config) bool { return c.VoterCount() == 3 && len(c.Replicas) == 4 })
		g.mustPropose(g.leader(), "a")
		lost := g.follower()
		g.isolate(lost)
		g.waitConfig("the spare votes", func(c Config) bool {
			_, has := c.FindAddr(lost)
			return c.VoterCount() == 3 && !has
		})
		g.mustPropose(g.leader(lost), "b")
		// The one that was replaced comes back and is taken in again.
		g.heal(lost)
		g.waitConfig("taken in again", func(c Config) bool {
			_, has := c.FindAddr(lost)
			return has && c.VoterCount() == 3
		})
		g.mustPropose(g.leader(), "c")
		g.waitApplied(3, "c")
	})
}

// follower returns a voter that does not lead.
func (g *testGroup) follower() string {
	lead := g.leader()
	for _, r := range g.replicas[lead].node.Status().Config.Replicas {
		if r.Voter && r.Addr != lead {
			return r.Addr
		}
	}
	g.t.Fatal("no follower")
	return ""
}

// TestEmptyDiskDoesNotCreateGroup starts a founder with an empty disk after the group
// exists, while the others can't be reached: it must wait for them.
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
		quicktest.Assert(t, m.node.Status().Leads, quicktest.IsFalse)
		quicktest.Assert(t, m.node.Status().Config.VoterCount(), quicktest.Equals, 0)
		g.heal(lost)
		g.waitConfig("it votes again", func(c Config) bool {
			r, ok := c.FindAddr(lost)
			return ok && r.Voter && c.VoterCount() == 3
		})
		g.mustPropose(g.leader(), "b")
		g.waitApplied(2, "b")
	})
}

// TestFullDiskResignsLeadership fills the disk of the leader: the others have a new
// leader well before they would miss the old one.
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
		quicktest.Assert(t, time.Since(failedAt) < time.Second, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(failedAt)))
		g.mustPropose(next, "c")
	})
}

// TestHostSleepExpiresLease lets the leader's host sleep, cut off from the others:
// when it wakes up its lease is over, although the runtime's clock stood still.
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
