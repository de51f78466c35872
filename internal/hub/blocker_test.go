package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// isBlocked reports whether an entry knows that the segments are blocked.
func (e *entryNode) isBlocked(segments string) (blocked bool) {
	e.withLock(func() { blocked = e.blocks[segments] })
	return blocked
}

// crashEngines has each entry in turn report the crash of an engine that had a request with
// the segment.
func (cl *cluster) crashEngines(from, count int, segment string) {
	for i := range count {
		e := cl.entries[fmt.Sprintf("10.0.1.%d:7", i%len(cl.entries)+1)]
		e.client.Send(func(m *link.FollowerMessage) {
			m.Crashes = append(m.Crashes, poison.Crash{Target: fmt.Sprint(from + i), Suspects: [][]string{{segment}, {"other"}}})
			m.Survivals = append(m.Survivals, poison.Survival{Segments: []string{"other"}})
		})
		time.Sleep(200 * time.Millisecond)
	}
}

// TestCrashesSeenApartAreJoined: each entry sees only some of the engines that a segment of prompts
// crashes. Together they must block it everywhere, also at entries that link later and at a new
// leader, and an answer to such a prompt must lift the block.
func TestCrashesSeenApartAreJoined(t *testing.T) {
	runCluster(t, 3, 3, func(t *testing.T, cl *cluster) {
		wantBlocked := func(want bool) {
			t.Helper()
			time.Sleep(500 * time.Millisecond)
			for _, e := range cl.entries {
				quicktest.Assert(t, e.isBlocked("bad"), quicktest.Equals, want)
				quicktest.Assert(t, e.isBlocked("other"), quicktest.IsFalse)
			}
		}
		time.Sleep(2 * time.Second)
		cl.crashEngines(0, 3, "bad")
		wantBlocked(false)
		cl.crashEngines(3, 2, "bad")
		wantBlocked(true)
		cl.startEntry("late", "10.0.1.9:7")
		time.Sleep(2 * time.Second)
		wantBlocked(true)

		cl.entries["10.0.1.1:7"].withLock(func() {
			cl.entries["10.0.1.1:7"].reportedBlocks = []poison.Block{{Segments: []string{"bad"}, Left: time.Minute, Times: 1}}
		})
		cl.crash(cl.leader().PeerAddr)
		cl.leader()
		cl.startEntry("later", "10.0.1.10:7")
		time.Sleep(5 * time.Second)
		wantBlocked(true)
		cl.entries["10.0.1.2:7"].client.Send(func(m *link.FollowerMessage) {
			m.Survivals = append(m.Survivals, poison.Survival{Segments: []string{"bad", "other"}})
		})
		wantBlocked(false)
	})
}

// TestDepartedTargetsBlameNobody: an entry whose link was down while targets left and others took their
// places reports crashes. The leader knows better, and must block nothing.
func TestDepartedTargetsBlameNobody(t *testing.T) {
	runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
		const targets = 6
		time.Sleep(2 * time.Second)
		for i := range targets {
			id := fmt.Sprint(i)
			quicktest.Assert(t, cl.announce(id, 1, site.Ready), quicktest.IsNil)
			if i%2 == 0 {
				quicktest.Assert(t, cl.announce(id, 2, site.Draining), quicktest.IsNil)
			} else {
				quicktest.Assert(t, cl.leader().Deregister(t.Context(), id, 1), quicktest.IsNil)
			}
			next := clusterTarget(id, 1, site.Ready)
			next.StartedMs = 2
			quicktest.Assert(t, cl.leader().Announce(t.Context(), next), quicktest.IsNil)
		}
		for i := range targets {
			cl.entries["10.0.1.1:7"].client.Send(func(m *link.FollowerMessage) {
				m.Crashes = append(m.Crashes, poison.Crash{Target: fmt.Sprint(i), StartedMs: 1, Suspects: [][]string{{"bad"}}})
			})
			time.Sleep(time.Second)
		}
		quicktest.Assert(t, cl.entries["10.0.1.2:7"].isBlocked("bad"), quicktest.IsFalse)
	})
}
