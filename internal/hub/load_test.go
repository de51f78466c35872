package hub

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// takeLoads returns what an entry received since the last call, all or only what was added.
func (e *entryNode) takeLoads() (whole, added []place.PoolLoad) {
	e.withLock(func() {
		for _, l := range e.loads {
			if l.Added {
				added = append(added, l)
			} else {
				whole = append(whole, l)
			}
		}
		e.loads = nil
	})
	return whole, added
}

// grantOf returns a grant on target "0".
func grantOf(id string) place.ActiveGrant {
	return place.ActiveGrant{Lead: "0", Request: place.Request{ID: id, Pool: "p", Prompt: 5000, Output: 500, TimeLeft: 10 * time.Second}}
}

// TestLoadsReachEntries: entries must know how full the engines are before they lose the scheduler, also
// those that link to a control instance without a leader, and the reports must cost little.
func TestLoadsReachEntries(t *testing.T) {
	const (
		targets = 135
		// maxRate bounds the bytes of the reports, without those of the messages, in a second: what
		// an entry may receive on average.
		maxRate = 2048
		// measured is the time over which they are counted.
		measured = 10
	)
	runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		for i := range targets {
			quicktest.Assert(t, cl.announce(fmt.Sprint(i), 1, site.Ready), quicktest.IsNil)
		}
		time.Sleep(2 * time.Second)
		var entries []*entryNode
		for _, e := range cl.entries {
			entries = append(entries, e)
		}
		for i := range targets {
			g := grantOf(fmt.Sprint("g", i))
			g.Lead = fmt.Sprint(i)
			quicktest.Assert(t, entries[0].client.Send(func(m *link.FollowerMessage) { m.ActiveGrants = append(m.ActiveGrants, g) }), quicktest.IsTrue)
		}
		time.Sleep(time.Second)
		entries[1].takeLoads()
		time.Sleep(measured * time.Second)
		whole, added := entries[1].takeLoads()
		quicktest.Check(t, added, quicktest.HasLen, 0)
		bytes := 0
		for _, l := range whole {
			bytes += len(l.Packed)
			quicktest.Check(t, l.Check(), quicktest.IsNil)
			quicktest.Check(t, l.Pool, quicktest.Equals, "p")
		}
		quicktest.Assert(t, len(whole) >= measured, quicktest.IsTrue, quicktest.Commentf("%d reports", len(whole)))
		quicktest.Check(t, bytes/measured <= maxRate, quicktest.IsTrue, quicktest.Commentf("%d bytes in a second", bytes/measured))
		// An entry that starts while there is no leader gets what the leader said last.
		lead := cl.leader()
		lost := []string{lead.PeerAddr, cl.follower().PeerAddr}
		for _, addr := range lost {
			cl.crash(addr)
		}
		fresh := cl.startEntry("b9", "10.0.1.9:7")
		time.Sleep(time.Second)
		quicktest.Check(t, fresh.client.IsLinkedToLeader(), quicktest.IsFalse)
		whole, _ = fresh.takeLoads()
		quicktest.Assert(t, len(whole) > 0, quicktest.IsTrue)
		quicktest.Check(t, len(whole[0].Packed) > 0, quicktest.IsTrue)
		time.Sleep(place.MaxLoadAge)
		fresh.takeLoads()
		time.Sleep(2 * time.Second)
		whole, _ = fresh.takeLoads()
		quicktest.Check(t, whole, quicktest.HasLen, 0)
	})
}

// TestGrantsWithoutLeaderArePassedOn: without a leader, every entry must soon hear of the grants that
// others make, through whichever control instance, so that they don't all choose the same engines. An
// entry's own grants must not come back to it.
func TestGrantsWithoutLeaderArePassedOn(t *testing.T) {
	const grants = 40
	synctest.Test(t, func(t *testing.T) {
		cl := newClusterOf(t, 5, 12, 5)
		defer cl.close()
		cl.leader()
		cl.publish(1)
		quicktest.Assert(t, cl.announce("0", 1, site.Ready), quicktest.IsNil)
		time.Sleep(2 * time.Second)
		// The two that are left can't elect a leader.
		for range 3 {
			cl.crash(cl.anyControl())
		}
		time.Sleep(3 * time.Second)
		maker := cl.entries["10.0.1.1:7"]
		for _, e := range cl.entries {
			e.takeLoads()
		}
		made := 0
		for i := range grants {
			g := grantOf(fmt.Sprint("g", i))
			if maker.client.SendToAny(func(m *link.FollowerMessage) { m.ActiveGrants = append(m.ActiveGrants, g) }) {
				made++
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		quicktest.Assert(t, made > 0, quicktest.IsTrue)
		for _, e := range cl.entries {
			_, added := e.takeLoads()
			heard := 0
			for _, l := range added {
				heard += int(l.Packed[4])
			}
			quicktest.Check(t, len(added) <= 3*grants*20/50, quicktest.IsTrue, quicktest.Commentf("%s: %d messages", e.name, len(added)))
			if e == maker {
				quicktest.Check(t, heard <= made/4, quicktest.IsTrue, quicktest.Commentf("%s heard of %d of its own %d", e.name, heard, made))
				continue
			}
			// Links to instances that don't lead end after 0.3 to 0.6 s.
			quicktest.Check(t, heard >= made/2, quicktest.IsTrue, quicktest.Commentf("%s: heard of %d of %d", e.name, heard, made))
			t.Logf("%s heard of %d of %d in %d messages", e.name, heard, made, len(added))
			quicktest.Check(t, heard <= made, quicktest.IsTrue, quicktest.Commentf("%s: heard of %d of %d", e.name, heard, made))
		}
	})
}

// anyControl returns the address of a control instance, the leader if there is one.
func (cl *cluster) anyControl() string {
	addr := ""
	for a, c := range cl.controls {
		if c.isLeader() {
			return a
		}
		addr = a
	}
	return addr
}
