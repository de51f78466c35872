package reg

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestLateAnnouncementOfUnknownProcess guards against a process that is used again after it has left: its
// departure arrived before its first announcement, or while the registry took it for lost.
func TestLateAnnouncementOfUnknownProcess(t *testing.T) {
	const receivedMs = 100
	announcement := func(startedMs int64, seq uint64, receivedMs int64) Command {
		x := target("i", "10.0.0.1:1", startedMs, seq, site.Ready)
		x.Cold = 1
		return Command{Announce: &x, ReceivedMs: receivedMs}
	}
	for name, before := range map[string][]Command{
		"unknown ID":     nil,
		"later process":  {announcement(3, 9, 1)},
		"earlier left":   {announcement(3, 9, 1), {Deregister: &Deregister{ID: "i"}, ReceivedMs: 4}},
		"taken for lost": {announcement(5, 1, 1), {Deregister: &Deregister{ID: "i", StartedMs: 5, TimedOut: true}}},
	} {
		for _, startedMs := range []int64{5, 0} {
			t.Run(fmt.Sprintf("%s/%d", name, startedMs), func(t *testing.T) {
				var m Machine
				for _, c := range before {
					apply(t, &m, c)
				}
				apply(t, &m, Command{Deregister: &Deregister{ID: "i", StartedMs: startedMs}, ReceivedMs: receivedMs})
				for _, m := range []*Machine{&m, restart(t, &m)} {
					since, _ := m.Revision()
					quicktest.Check(t, apply(t, m, announcement(5, 2, receivedMs+5000)).HasLeft, quicktest.IsTrue)
					d, err := m.DeltaSince(since, false)
					quicktest.Assert(t, err, quicktest.IsNil)
					quicktest.Assert(t, d.Targets, quicktest.HasLen, 1)
					quicktest.Check(t, d.Targets[0].State, quicktest.Equals, site.Gone)
					quicktest.Check(t, m.Targets(), quicktest.HasLen, 0)
					quicktest.Check(t, m.ColdTargets(), quicktest.HasLen, 0)
					got, _ := m.Target("i")
					quicktest.Check(t, got.State, quicktest.Equals, site.Gone)
					quicktest.Check(t, m.HasDeparted("i", 5), quicktest.IsTrue)
					// The next process under the ID is used.
					apply(t, m, announcement(receivedMs+1, 1, receivedMs+6000))
					quicktest.Check(t, m.Targets(), quicktest.HasLen, 1)
				}
			})
		}
	}
}

// TestDepartureByTimeOfDayPasses: a departure without a start time may be that of an earlier process, if the time of
// day of an instance is wrong. A process that goes on announcing itself must be used then.
func TestDepartureByTimeOfDayPasses(t *testing.T) {
	var m Machine
	const hour = int64(3_600_000)
	apply(t, &m, Command{Deregister: &Deregister{ID: "i"}, ReceivedMs: hour})
	for i, c := range []struct {
		receivedMs int64
		want       int
	}{{hour - 20_000, 1}, {hour - 10_000, 0}, {hour + 10_000, 0}, {hour + 20_000, 1}} {
		x := target("i", "10.0.0.1:1", hour-5000, uint64(i+1), site.Ready)
		apply(t, &m, Command{Announce: &x, ReceivedMs: c.receivedMs})
		quicktest.Check(t, m.Targets(), quicktest.HasLen, c.want, quicktest.Commentf("%d", c.receivedMs))
		apply(t, &m, Command{Deregister: &Deregister{ID: "i", StartedMs: hour - 5000, TimedOut: true}})
	}
}

// drawCall draws a command for one of few processes, received at receivedMs, and adds the processes that have left
// once it is applied.
func drawCall(t *rapid.T, receivedMs int64, left map[process]bool) Command {
	id, startedMs := string(rune('a'+rapid.IntRange(0, 2).Draw(t, "id"))), rapid.Int64Range(1, 3).Draw(t, "started")
	c := Command{Deregister: &Deregister{ID: id, StartedMs: startedMs}, ReceivedMs: receivedMs}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		left[process{id, startedMs}] = true
	case 1:
		c.Deregister.TimedOut = true
	case 2:
		c.Deregister.StartedMs = 0
		for started := range int64(4) {
			left[process{id, started}] = true
		}
	default:
		x := target(id, fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 3).Draw(t, "address")), startedMs, rapid.Uint64Range(0, 9).Draw(t, "sequence"), site.Ready)
		c.Announce, c.Deregister = &x, nil
	}
	return c
}

// restart replaces a machine by one that is restored from its snapshot.
func restart(t testing.TB, m *Machine) *Machine {
	t.Helper()
	b, err := m.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	restored := &Machine{}
	quicktest.Assert(t, restored.Restore(b), quicktest.IsNil)
	return restored
}

// TestDepartedProcessIsNeverUsed applies announcements and departures of few processes in any order, with
// snapshots in between: once the departure of a process was acknowledged, no reader may get it as ready.
func TestDepartedProcessIsNeverUsed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m, left := &Machine{}, make(map[process]bool)
		for step := range rapid.IntRange(1, 60).Draw(r, "steps") {
			c := drawCall(r, int64(10+step), left)
			apply(t, m, c)
			if rapid.IntRange(0, 9).Draw(r, "restart") == 0 {
				m = restart(t, m)
			}
			for _, x := range m.Targets() {
				if left[process{x.ID, x.StartedMs}] {
					r.Fatalf("%+v: process %s, %d has left and is %v", c, x.ID, x.StartedMs, x.State)
				}
			}
		}
	})
}

// TestUnannouncedIsBounded: departures of processes that nobody knows must not fill the memory, and the newest
// ones must be kept. To repeat one takes no room.
func TestUnannouncedIsBounded(t *testing.T) {
	var s State
	for i := range maxUnannounced + 10 {
		for range 2 {
			s.Apply(Command{Deregister: &Deregister{ID: fmt.Sprintf("i%d", i), StartedMs: 1}, ReceivedMs: 2})
		}
	}
	quicktest.Assert(t, s.Unannounced, quicktest.HasLen, maxUnannounced)
	quicktest.Assert(t, s.hasLeft(fmt.Sprintf("i%d", maxUnannounced+9), 1, 2), quicktest.IsTrue)
	quicktest.Assert(t, s.Revision, quicktest.Equals, uint64(0))
	// Those without a start time are dropped once they bind nothing.
	s = State{}
	for i := range 100 {
		for at := range int64(2) {
			s.Apply(Command{Deregister: &Deregister{ID: fmt.Sprintf("i%d", i)}, ReceivedMs: int64(i+1)*1000 + at})
		}
	}
	quicktest.Assert(t, s.Unannounced, quicktest.HasLen, 16)
}
