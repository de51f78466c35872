package hub

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/site"
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
