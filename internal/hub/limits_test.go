package hub

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestLimitReachesAllInstances: a limit that a target has named to one entry must bind all of
// them and the scheduler, also entries that link later and after a change of leader, until one
// of them learns that the target names none any more. It ends with the process.
func TestLimitReachesAllInstances(t *testing.T) {
	runCluster(t, 3, 3, func(t *testing.T, cl *cluster) {
		limit := place.Limit{Target: "1", StartedMs: 1, PerSecond: 2.3, Named: true}
		report := func(addr string, l place.Limit) {
			cl.entries[addr].client.Send(func(m *link.FollowerMessage) { m.Limits = append(m.Limits, l) })
		}
		wantLimit := func(want place.Limit) {
			t.Helper()
			time.Sleep(3 * time.Second)
			for _, e := range cl.entries {
				var got place.Limit
				e.withLock(func() { got = e.limits["1"] })
				quicktest.Assert(t, got, quicktest.Equals, want)
			}
			known := cl.leader().scheduler.currentLimits()
			quicktest.Assert(t, known, quicktest.HasLen, map[bool]int{true: 1}[want.Named])
		}
		cl.publish(1)
		quicktest.Assert(t, cl.announce("1", 1, site.Ready), quicktest.IsNil)
		time.Sleep(2 * time.Second)
		report("10.0.1.1:7", limit)
		wantLimit(limit)
		cl.startEntry("late", "10.0.1.9:7")
		wantLimit(limit)

		cl.entries["10.0.1.1:7"].withLock(func() { cl.entries["10.0.1.1:7"].reportedLimits = []place.Limit{limit} })
		cl.crash(cl.leader().PeerAddr)
		cl.leader()
		cl.startEntry("later", "10.0.1.10:7")
		wantLimit(limit)

		none := place.Limit{Target: "1", StartedMs: 1}
		report("10.0.1.2:7", none)
		wantLimit(none)
		report("10.0.1.2:7", limit)
		wantLimit(limit)
		err := cl.leader().Announce(t.Context(), site.Target{
			ID: "1", Pool: "p", Address: "10.0.2.1:80", DataCentre: "dc", Slots: 16, State: site.Ready, StartedMs: 2, Sequence: 1,
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		cl.leader().scheduler.markAlive("1")
		quicktest.Assert(t, cl.leader().scheduler.currentLimits(), quicktest.HasLen, 0)
	})
}
