package hub

import (
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// publishCold publishes tables whose pool limits the rate of cold targets.
func (cl *cluster) publishCold(version int64, rate float64) {
	cl.t.Helper()
	next := tables(version)
	next.Pools[0].ColdRate, next.Pools[0].ColdTime = rate, 20*time.Second
	quicktest.Assert(cl.t, cl.leader().Publish(cl.t.Context(), next, []byte("{}")), quicktest.IsNil)
}

// coldTarget returns a heartbeat of a target that is cold for the time left.
func coldTarget(id string, seq uint64, left time.Duration) site.Target {
	t := clusterTarget(id, seq, site.Ready)
	t.Cold = left
	return t
}

// wantCold checks how much longer the instances and the scheduler take target 1 for cold.
func (cl *cluster) wantCold(want time.Duration) {
	cl.t.Helper()
	about := func(until time.Time) {
		cl.t.Helper()
		got := max(0, time.Until(until))
		quicktest.Assert(cl.t, (got-want).Abs() < time.Second, quicktest.IsTrue, quicktest.Commentf("cold for %s, wanted %s", got, want))
	}
	for _, e := range cl.entries {
		e.withLock(func() { about(e.coldUntil["1"]) })
	}
	s := &cl.leader().scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	var until time.Time
	if st := s.cold["1"]; st != nil {
		until = st.until
	}
	about(until)
}

// TestColdReachesAllInstances: that a target is cold again, or no longer, must reach all entries and the
// scheduler, whichever control instance its heartbeat came to, also entries that link later and after a
// change of leader. It must not change the revision of the registry, and an old heartbeat that arrives
// late must not lift the limit.
func TestColdReachesAllInstances(t *testing.T) {
	runCluster(t, 3, 3, func(t *testing.T, cl *cluster) {
		cl.publishCold(1, 17)
		quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", 1, 0)), quicktest.IsNil)
		time.Sleep(time.Second)
		revision, _ := cl.leader().registry.Revision()
		seq := uint64(1)
		for _, c := range []*controlNode{cl.follower(), cl.leader(), cl.follower()} {
			for _, left := range []time.Duration{20 * time.Second, 0} {
				seq++
				quicktest.Assert(t, c.Announce(t.Context(), coldTarget("1", seq, left)), quicktest.IsNil)
				time.Sleep(500 * time.Millisecond)
				cl.wantCold(max(0, left-500*time.Millisecond))
				quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", seq-1, 5*time.Second)), quicktest.IsNil)
				time.Sleep(500 * time.Millisecond)
				cl.wantCold(max(0, left-500*time.Millisecond))
			}
		}
		quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", 20, 20*time.Second)), quicktest.IsNil)
		time.Sleep(time.Second)
		now, _ := cl.leader().registry.Revision()
		quicktest.Assert(t, now, quicktest.Equals, revision)
		cl.startEntry("late", "10.0.1.9:7")
		time.Sleep(time.Second)
		cl.wantCold(18500 * time.Millisecond)

		// When the leader is lost, the next one knows of it from an entry, or as it had that heartbeat.
		cl.entries["10.0.1.1:7"].withLock(func() {
			cl.entries["10.0.1.1:7"].reportedCold = []place.Cold{{Target: "1", StartedMs: 1, For: 12 * time.Second}}
		})
		cl.crash(cl.leader().PeerAddr)
		cl.leader()
		time.Sleep(3 * time.Second)
		cl.startEntry("later", "10.0.1.10:7")
		time.Sleep(time.Second)
		for _, e := range cl.entries {
			e.withLock(func() {
				left := time.Until(e.coldUntil["1"])
				quicktest.Assert(t, left > 4*time.Second && left <= 14*time.Second, quicktest.IsTrue, quicktest.Commentf("%s: %s", e.name, left))
			})
		}
		quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", 30, 0)), quicktest.IsNil)
		time.Sleep(500 * time.Millisecond)
		cl.wantCold(0)
	})
}

// TestAnnouncementCarriesCold: whoever learns of a new process must learn at the same time that it is
// cold. A new leader must know how much of that time is over without a heartbeat, or it would limit
// targets that have long been warm.
func TestAnnouncementCarriesCold(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publishCold(1, 17)
		first := coldTarget("1", 1, 20*time.Second)
		quicktest.Assert(t, cl.follower().Announce(t.Context(), first), quicktest.IsNil)
		first.ColdUntilMs = time.Now().Add(first.Cold).UnixMilli()
		time.Sleep(time.Second)
		for _, c := range cl.controls {
			got, _ := c.registry.Target("1")
			quicktest.Assert(t, got, quicktest.Equals, first)
		}
		cl.wantCold(19 * time.Second)
		time.Sleep(9 * time.Second)
		cl.crash(cl.leader().PeerAddr)
		cl.leader()
		time.Sleep(3 * time.Second)
		s := &cl.leader().scheduler
		left := s.currentCold()
		quicktest.Assert(t, left, quicktest.HasLen, 1)
		quicktest.Assert(t, left[0].For > 3*time.Second && left[0].For < 10*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", left[0].For))
		time.Sleep(10 * time.Second)
		// An entry that starts has the announcement alone, so it is told that the target is warm.
		quicktest.Assert(t, s.currentCold(), quicktest.DeepEquals, []place.Cold{{Target: "1", StartedMs: 1}})

		next := coldTarget("1", 1, 15*time.Second)
		next.StartedMs = 2
		quicktest.Assert(t, cl.leader().Announce(t.Context(), next), quicktest.IsNil)
		left = s.currentCold()
		quicktest.Assert(t, left[0].For > 14*time.Second && left[0].StartedMs == 2, quicktest.IsTrue)
		// What a former process said, or an entry about it, doesn't bind the next one.
		s.applyCold([]place.Cold{{Target: "1", StartedMs: 1, For: time.Minute}, {Target: "1", StartedMs: 1, Sequence: 99}})
		quicktest.Assert(t, s.currentCold()[0].For, quicktest.Equals, left[0].For)
	})
}

// TestAnyFollowerForwardsWarmHeartbeat guards against a limit that stays in force because the heartbeat
// which says that the target is warm again came to another instance than the one which said that it is
// cold.
func TestAnyFollowerForwardsWarmHeartbeat(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publishCold(1, 17)
		quicktest.Assert(t, cl.leader().Announce(t.Context(), coldTarget("1", 1, 0)), quicktest.IsNil)
		time.Sleep(time.Second)
		first := cl.follower()
		quicktest.Assert(t, first.Announce(t.Context(), coldTarget("1", 2, 20*time.Second)), quicktest.IsNil)
		time.Sleep(time.Second)
		cl.wantCold(19 * time.Second)
		for _, c := range cl.controls {
			if c != first && c != cl.leader() {
				quicktest.Assert(t, c.Announce(t.Context(), coldTarget("1", 3, 0)), quicktest.IsNil)
			}
		}
		time.Sleep(time.Second)
		cl.wantCold(0)
	})
}

// TestMarkCold: all targets of a data centre whose evacuation has ended must count as cold, although
// heartbeats from before may still say otherwise, until later ones do.
func TestMarkCold(t *testing.T) {
	runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
		cl.publishCold(1, 17)
		other := coldTarget("2", 1, 0)
		other.DataCentre = "elsewhere"
		quicktest.Assert(t, cl.leader().Announce(t.Context(), coldTarget("1", 1, 0)), quicktest.IsNil)
		quicktest.Assert(t, cl.leader().Announce(t.Context(), other), quicktest.IsNil)
		time.Sleep(time.Second)
		cl.follower().markCold("dc")
		time.Sleep(time.Second)
		cl.wantCold(0)
		cl.leader().markCold("dc")
		quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", 2, 0)), quicktest.IsNil)
		time.Sleep(time.Second)
		cl.wantCold(19 * time.Second)
		for _, e := range cl.entries {
			e.withLock(func() { quicktest.Assert(t, e.coldUntil["2"], quicktest.Equals, time.Time{}) })
		}
		// A heartbeat that tells a time is of a target that knows.
		quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", 3, 10*time.Second)), quicktest.IsNil)
		time.Sleep(time.Second)
		cl.wantCold(9 * time.Second)
		time.Sleep(2 * time.Second)
		quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", 4, 0)), quicktest.IsNil)
		time.Sleep(time.Second)
		cl.wantCold(0)
	})
}

// TestPoolWithoutColdRateKeepsNothing: where the tables name no rate for cold targets, announcements must
// be committed as before and nothing be told to instances.
func TestPoolWithoutColdRateKeepsNothing(t *testing.T) {
	runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		time.Sleep(time.Second)
		quicktest.Assert(t, cl.follower().Announce(t.Context(), coldTarget("1", 1, time.Minute)), quicktest.IsNil)
		time.Sleep(time.Second)
		revision, _ := cl.leader().registry.Revision()
		for _, c := range cl.controls {
			quicktest.Assert(t, c.Announce(t.Context(), coldTarget("1", 2, 30*time.Second)), quicktest.IsNil)
			c.markCold("dc")
		}
		cl.entries["10.0.1.1:7"].client.Send(func(m *link.FollowerMessage) {
			m.Cold = append(m.Cold, place.Cold{Target: "1", StartedMs: 1, For: time.Minute})
		})
		time.Sleep(2 * time.Second)
		now, _ := cl.leader().registry.Revision()
		quicktest.Assert(t, now, quicktest.Equals, revision)
		want := clusterTarget("1", 1, site.Ready)
		got, _ := cl.leader().registry.Target("1")
		quicktest.Assert(t, got, quicktest.Equals, want)
		var m reg.Machine
		plain, err := m.EncodeCommand(reg.Command{Announce: &want})
		quicktest.Assert(t, err, quicktest.IsNil)
		committed, err := m.EncodeCommand(reg.Command{Announce: &got})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, committed, quicktest.DeepEquals, plain)
		quicktest.Assert(t, cl.leader().scheduler.currentCold(), quicktest.HasLen, 0)
		for _, e := range cl.entries {
			e.withLock(func() { quicktest.Assert(t, e.coldUntil, quicktest.HasLen, 0) })
		}
	})
}

// markCold marks a data centre as the end of an evacuation does, which only a leader acts on.
func (n *controlNode) markCold(dataCentre string) {
	s := &n.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active {
		s.syncFleets()
		s.markCold(dataCentre)
	}
}

// TestWarmHeartbeatsAreNotForwarded guards against a report to the leader for each heartbeat of each warm
// target: with 3,000 targets that was 2,500 reports a second.
func TestWarmHeartbeatsAreNotForwarded(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publishCold(1, 17)
		for i := range 100 {
			quicktest.Assert(t, cl.leader().Announce(t.Context(), coldTarget(strconv.Itoa(i+2), 1, 0)), quicktest.IsNil)
		}
		quicktest.Assert(t, cl.leader().Announce(t.Context(), coldTarget("1", 1, 20*time.Second)), quicktest.IsNil)
		time.Sleep(time.Second)
		f := cl.follower()
		for i := range 101 {
			quicktest.Assert(t, f.Announce(t.Context(), coldTarget(strconv.Itoa(i+1), 2, 0)), quicktest.IsNil)
		}
		quicktest.Assert(t, f.takeColdReports(), quicktest.HasLen, 1)
		time.Sleep(time.Second)
	})
}
