package hub

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestLookUpsForgetEndedEntries guards against look-ups that name an entry which ended more than 7 s
// ago: at the leader, at a control instance linked to it, at one that is cut off from it, and at a
// new leader.
func TestLookUpsForgetEndedEntries(t *testing.T) {
	for _, crashLeader := range []bool{false, true} {
		runCluster(t, 3, 0, func(t *testing.T, cl *cluster) {
			for name, addr := range map[string]string{"x0": "10.0.3.1:7", "x1": "10.0.3.2:7", "x2": "10.0.3.3:7"} {
				cl.startEntry(name, addr)
			}
			time.Sleep(5 * time.Second)
			for _, c := range cl.controls {
				quicktest.Assert(t, c.Entries("dc-x"), quicktest.HasLen, 3)
			}
			if crashLeader {
				cl.crash(cl.leader().PeerAddr)
			} else {
				cl.isolate(cl.follower().PeerAddr)
			}
			cl.entries["10.0.3.1:7"].stop()
			time.Sleep(7 * time.Second)
			listed := 0
			for _, c := range cl.controls {
				list := c.Entries("dc-x")
				listed += len(list)
				for _, e := range list {
					quicktest.Check(t, e.Name, quicktest.Not(quicktest.Equals), "x0", quicktest.Commentf("crash of the leader: %v, leads: %v", crashLeader, c.isLeader()))
				}
			}
			quicktest.Check(t, listed, quicktest.Equals, 4)
		})
	}
}
