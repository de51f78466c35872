package hub

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
)

// TestLookUpsFollowLoad guards against control instances and entries whose answers don't send callers of an
// overloaded data centre to others, that forget it with the leader, and a control instance that is cut off
// and goes on with it for longer than 5 s.
func TestLookUpsFollowLoad(t *testing.T) {
	runCluster(t, 3, 0, func(t *testing.T, cl *cluster) {
		for i := range 8 {
			e := cl.startEntry(fmt.Sprintf("%c%d", "xyyyyyyx"[i], i), fmt.Sprintf("10.0.3.%d:7", i+1))
			e.withLock(func() { e.load = &link.Load{Requests: map[byte]uint32{'x': 60, 'y': 4}[e.name[0]]} })
		}
		named := func(list []link.Entry) string {
			centres := ""
			for _, e := range list {
				centres += e.Name[:1]
			}
			return centres
		}
		time.Sleep(6 * time.Second)
		check := func(when string) {
			for _, c := range cl.controls {
				quicktest.Check(t, named(c.Entries("dc-x")), quicktest.Equals, "xxyyy", quicktest.Commentf("%s, leads: %v", when, c.isLeader()))
				quicktest.Check(t, named(c.Entries("dc-y")), quicktest.Equals, "yyyyyy", quicktest.Commentf("%s, leads: %v", when, c.isLeader()))
			}
			for _, e := range cl.entries {
				e.withLock(func() {
					quicktest.Check(t, strings.Count(named(e.received), "x"), quicktest.Equals, map[byte]int{'x': 2}[e.name[0]], quicktest.Commentf("%s, %s", when, e.name))
					quicktest.Check(t, strings.Contains(named(e.received), "y"), quicktest.IsTrue, quicktest.Commentf("%s, %s", when, e.name))
				})
			}
		}
		check("spread")
		cl.crash(cl.leader().PeerAddr)
		time.Sleep(2 * time.Second)
		cl.leader()
		time.Sleep(2 * time.Second)
		check("after a crash of the leader")
		quicktest.Check(t, cl.leader().counter("hub.spread_changes").Count(), quicktest.Equals, int64(0))
		cut := cl.follower()
		cl.isolate(cut.PeerAddr)
		time.Sleep(6 * time.Second)
		quicktest.Check(t, cut.spreads(), quicktest.HasLen, 0)
	})
}
