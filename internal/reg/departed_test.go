package reg

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestDepartedProcesses: that a process drained or was deregistered must be known once another has its
// ID or address, and not be taken from one that fell silent or was replaced, nor for one that is older.
func TestDepartedProcesses(t *testing.T) {
	var m Machine
	apply := func(c Command) {
		t.Helper()
		b, err := m.EncodeCommand(c)
		quicktest.Assert(t, err, quicktest.IsNil)
		m.Apply(0, b)
	}
	set := func(id, addr string, startedMs int64, state site.State) {
		x := target(id, addr, startedMs, uint64(state), state)
		apply(Command{Announce: &x})
	}
	set("drained", "a", 1, site.Ready)
	set("drained", "a", 1, site.Draining)
	set("drained", "a", 2, site.Ready)
	set("deregistered", "b", 1, site.Ready)
	apply(Command{Deregister: &Deregister{ID: "deregistered"}})
	set("timed out", "c", 1, site.Ready)
	apply(Command{Deregister: &Deregister{ID: "timed out", StartedMs: 1, TimedOut: true}})
	set("replaced", "d", 1, site.Ready)
	set("next", "d", 2, site.Ready)
	set("current", "e", 2, site.Ready)
	apply(Command{Deregister: &Deregister{ID: "current", StartedMs: 1}})
	for id, want := range map[string]bool{"drained": true, "deregistered": true, "timed out": false, "replaced": false, "current": false} {
		quicktest.Check(t, m.HasDeparted(id, 1), quicktest.Equals, want, quicktest.Commentf("%s", id))
	}
	quicktest.Check(t, m.HasDeparted("drained", 2), quicktest.IsFalse)
}
