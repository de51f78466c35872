package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// reportLeaving sends the leader the report of one entry that target "1" is leaving, as part
// of its next message.
func (cl *cluster) reportLeaving(startedMs int64) {
	for _, e := range cl.entries {
		e.client.Send(func(m *link.FollowerMessage) {
			m.Leaving = append(m.Leaving, link.Departure{ID: "1", StartedMs: startedMs})
		})
		return
	}
}

// TestLeavingTargetIsDrained: a target that told one entry that it is leaving must be
// draining for all of them, and stay so whatever the same process announces. Its next
// process is ready again, and a report about the former one doesn't affect it.
func TestLeavingTargetIsDrained(t *testing.T) {
	runCluster(t, 3, 3, func(t *testing.T, cl *cluster) {
		wantState := func(want site.State) {
			t.Helper()
			time.Sleep(time.Second)
			for _, e := range cl.entries {
				quicktest.Assert(t, e.state("1"), quicktest.Equals, want)
			}
		}
		cl.publish(1)
		quicktest.Assert(t, cl.announce("1", 1, site.Ready), quicktest.IsNil)
		time.Sleep(time.Second)
		cl.reportLeaving(99)
		wantState(site.Ready)
		cl.reportLeaving(1)
		wantState(site.Draining)
		revision, _ := cl.leader().registry.Revision()
		quicktest.Assert(t, cl.announce("1", 5, site.Ready), quicktest.IsNil)
		wantState(site.Draining)
		quicktest.Assert(t, cl.announce("1", 6, site.Draining), quicktest.IsNil)
		cl.reportLeaving(1)
		wantState(site.Draining)
		after, _ := cl.leader().registry.Revision()
		quicktest.Assert(t, after, quicktest.Equals, revision)

		err := cl.leader().Announce(t.Context(), site.Target{
			ID: "1", Pool: "p", Address: "10.0.2.1:80", DataCentre: "dc", Slots: 16, State: site.Ready, StartedMs: 2, Sequence: 1,
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		cl.reportLeaving(1)
		wantState(site.Ready)
	})
}

// TestHeartbeatsStayNearby: a target must be sent to the control instance in its data centre
// once it has found it, and be left its choice by the others.
func TestHeartbeatsStayNearby(t *testing.T) {
	s := &Server{DataCentre: "a", ControlAddr: "10.0.0.1:80"}
	quicktest.Assert(t, s.HeartbeatAddr(site.Target{DataCentre: "a"}), quicktest.Equals, "10.0.0.1:80")
	quicktest.Assert(t, s.HeartbeatAddr(site.Target{DataCentre: "b"}), quicktest.Equals, "")
}

// TestLateHeartbeatAfterDeparture guards against a target that is used again: its departure was acknowledged
// before control knew it, and a heartbeat that it sent before arrives at another control instance.
func TestLateHeartbeatAfterDeparture(t *testing.T) {
	runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		for i, tellsStart := range []bool{true, false, true} {
			id, c := fmt.Sprint(i+1), cl.seeds[i]
			x := clusterTarget(id, 1, site.Ready)
			x.StartedMs = time.Now().UnixMilli() - 1000
			var startedMs int64
			if tellsStart {
				startedMs = x.StartedMs
			}
			quicktest.Assert(t, cl.controls[c].Deregister(t.Context(), id, startedMs), quicktest.IsNil)
			// The departure must outlive the instance that acknowledged it.
			cl.startControl(c, cl.crash(c), false)
			time.Sleep(3 * time.Second)
			for ; x.Sequence <= 3; x.Sequence++ {
				for _, a := range cl.seeds {
					quicktest.Assert(t, cl.controls[a].Announce(t.Context(), x), quicktest.IsNil)
					time.Sleep(200 * time.Millisecond)
					for _, e := range cl.entries {
						quicktest.Assert(t, e.state(id), quicktest.Equals, site.Gone)
					}
				}
			}
			next := clusterTarget(id, 1, site.Ready)
			next.StartedMs = time.Now().UnixMilli()
			quicktest.Assert(t, cl.follower().Announce(t.Context(), next), quicktest.IsNil)
			time.Sleep(time.Second)
			for _, e := range cl.entries {
				quicktest.Assert(t, e.state(id), quicktest.Equals, site.Ready)
			}
		}
	})
}

// TestDepartureOfRestartedTarget guards against a target that is used after its departure was acknowledged: it had started again
// while control didn't hear of it, so that control knows the process before only. Nor may a late heartbeat of that one bring it back,
// also if it was taken for lost before.
func TestDepartureOfRestartedTarget(t *testing.T) {
	runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		wantState := func(id string, want site.State) {
			t.Helper()
			time.Sleep(time.Second)
			for _, e := range cl.entries {
				quicktest.Assert(t, e.state(id), quicktest.Equals, want)
			}
		}
		for i, isLost := range []bool{false, true} {
			id := fmt.Sprint(i + 1)
			before := clusterTarget(id, 1, site.Ready)
			before.StartedMs = time.Now().UnixMilli()
			quicktest.Assert(t, cl.follower().Announce(t.Context(), before), quicktest.IsNil)
			wantState(id, site.Ready)
			if isLost {
				_, err := cl.leader().propose(t.Context(), reg.Command{Deregister: &reg.Deregister{ID: id, StartedMs: before.StartedMs, TimedOut: true}})
				quicktest.Assert(t, err, quicktest.IsNil)
			}
			quicktest.Assert(t, cl.follower().Deregister(t.Context(), id, before.StartedMs+500), quicktest.IsNil)
			wantState(id, site.Gone)
			for _, startedMs := range []int64{before.StartedMs, before.StartedMs + 500} {
				late := before
				late.StartedMs, late.Sequence = startedMs, 7
				quicktest.Assert(t, cl.follower().Announce(t.Context(), late), quicktest.IsNil)
				wantState(id, site.Gone)
			}
			next := clusterTarget(id, 1, site.Ready)
			next.StartedMs = time.Now().UnixMilli()
			quicktest.Assert(t, cl.follower().Announce(t.Context(), next), quicktest.IsNil)
			wantState(id, site.Ready)
			// A late departure of the process before must not remove it.
			quicktest.Assert(t, cl.follower().Deregister(t.Context(), id, before.StartedMs+500), quicktest.IsNil)
			wantState(id, site.Ready)
		}
	})
}

// TestDrainingInVainIsRefused guards against an acknowledged draining without effect: a target whose record names a later process, by
// a wrong clock or a foreign call, would be used on and believe the opposite.
func TestDrainingInVainIsRefused(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		later := clusterTarget("1", 1, site.Ready)
		later.StartedMs = 9
		quicktest.Assert(t, cl.follower().Announce(t.Context(), later), quicktest.IsNil)
		quicktest.Check(t, cl.follower().Announce(t.Context(), clusterTarget("1", 5, site.Ready)), quicktest.IsNil)
		err := cl.follower().Announce(t.Context(), clusterTarget("1", 6, site.Draining))
		quicktest.Assert(t, err, quicktest.IsNotNil)
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.NotRun)
		later.Sequence, later.State = 2, site.Draining
		quicktest.Check(t, cl.follower().Announce(t.Context(), later), quicktest.IsNil)
		// No later process is used any more, so it is true now.
		quicktest.Check(t, cl.follower().Announce(t.Context(), clusterTarget("1", 7, site.Draining)), quicktest.IsNil)
	})
}
