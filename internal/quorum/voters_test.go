package quorum

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// newTended is a group whose members come and go by themselves: three found it,
// and so many are started.
func newTended(t *testing.T, voters, started int) *group {
	t.Helper()
	g := newGroup(t, 0)
	g.voters = voters
	founders := []string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81"}
	for i := range started {
		g.start([]string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81", "10.0.0.4:81", "10.0.0.5:81", "10.0.0.6:81"}[i], founders...)
	}
	return g
}

// await waits until the leader's picture of the members is as wanted.
func (g *group) await(what string, ok func(c Config) bool) {
	g.t.Helper()
	for range 100 {
		if c := g.all[g.leader()].node.Status().Config; ok(c) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	g.t.Fatalf("%s: members are %+v", what, g.all[g.leader()].node.Status().Config.Replicas)
}

// TestFiveFromThreeSeeds knows the addresses of three of five replicas.
func TestFiveFromThreeSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTended(t, 5, 5)
		defer g.close()
		g.await("five vote", func(c Config) bool { return c.Voters() == 5 })
		g.must(g.leader(), "a")
		// Two are lost at once.
		lead := g.leader()
		lost := 0
		for _, a := range []string{"10.0.0.4:81", "10.0.0.5:81", "10.0.0.1:81"} {
			if a != lead && lost < 2 {
				g.isolate(a)
				lost++
			}
		}
		g.must(g.leader(), "b")
		for a := range g.all {
			g.heal(a)
		}
		g.agree(2, "b")
	})
}

// TestSpareTakesThePlace has a spare member beside three voters, one of which is
// lost for good: then another may be lost.
func TestSpareTakesThePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTended(t, 3, 4)
		defer g.close()
		g.await("a spare beside three voters", func(c Config) bool { return c.Voters() == 3 && len(c.Replicas) == 4 })
		g.must(g.leader(), "a")
		lost := g.follower()
		g.isolate(lost)
		g.await("the spare votes", func(c Config) bool {
			_, has := c.At(lost)
			return c.Voters() == 3 && !has
		})
		g.must(g.leader(lost), "b")
		// The one that was replaced comes back and is taken in again.
		g.heal(lost)
		g.await("taken in again", func(c Config) bool {
			_, has := c.At(lost)
			return has && c.Voters() == 3
		})
		g.must(g.leader(), "c")
		g.agree(3, "c")
	})
}

// follower returns a voter that does not lead.
func (g *group) follower() string {
	lead := g.leader()
	for _, r := range g.all[lead].node.Status().Config.Replicas {
		if r.Voter && r.Addr != lead {
			return r.Addr
		}
	}
	g.t.Fatal("no follower")
	return ""
}

// TestLostDiskDoesNotFound starts a founder with an empty disk after the group
// exists, while the others can't be reached: it must wait for them.
func TestLostDiskDoesNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTended(t, 3, 3)
		defer g.close()
		g.must(g.leader(), "a")
		lost := g.follower()
		g.kill(lost)
		g.all[lost].disk = &store.Mem{}
		g.isolate(lost)
		g.join = true
		m := g.start(lost)
		time.Sleep(10 * time.Second)
		quicktest.Assert(t, m.node.Status().Leads, quicktest.IsFalse)
		quicktest.Assert(t, m.node.Status().Config.Voters(), quicktest.Equals, 0)
		g.heal(lost)
		g.await("it votes again", func(c Config) bool {
			r, ok := c.At(lost)
			return ok && r.Voter && c.Voters() == 3
		})
		g.must(g.leader(), "b")
		g.agree(2, "b")
	})
}

// TestFullDiskHandsOver fills the disk of the leader: the others have a new
// leader well before they would miss the old one.
func TestFullDiskHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTended(t, 3, 3)
		defer func() {
			for a, m := range g.all {
				m.stop()
				<-m.ended
				delete(g.all, a)
			}
		}()
		lead := g.leader()
		g.must(lead, "a")
		g.all[lead].disk.SetRoom(0)
		began := time.Now()
		quicktest.Assert(t, g.propose(lead, "b"), quicktest.IsNotNil)
		next := g.leader(lead)
		quicktest.Assert(t, next != lead, quicktest.IsTrue)
		quicktest.Assert(t, time.Since(began) < time.Second, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
		g.must(next, "c")
	})
}

// TestSleepEndsTheLease lets the leader's host sleep, cut off from the others:
// when it wakes up its lease is over, although the runtime's clock stood still.
func TestSleepEndsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTended(t, 3, 3)
		defer g.close()
		lead := g.leader()
		g.must(lead, "a")
		g.isolate(lead)
		quicktest.Assert(t, g.all[lead].node.Barrier(t.Context()), quicktest.IsNil)
		g.slept.Store(int64(5 * time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		quicktest.Assert(t, g.all[lead].node.Barrier(ctx), quicktest.IsNotNil)
		g.heal(lead)
		g.must(g.leader(), "b")
	})
}
