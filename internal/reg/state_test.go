package reg

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

func target(id, addr string, startedMs int64, seq uint64, state site.State) site.Target {
	return site.Target{ID: id, Pool: "p", Address: addr, Slots: 4, State: state, StartedMs: startedMs, Sequence: seq}
}

func announce(s *State, t site.Target) Result { return s.Apply(Command{Announce: &t}) }

func stateOf(s *State, id string) site.State {
	i, ok := s.find(id)
	if !ok {
		return 0
	}
	return s.Targets[i].Target.State
}

// TestHighestVersionWins publishes versions in any order, some of them repeatedly with another
// source: the highest version must stay, with the source that it was first published with.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		highest := int64(-1)
		for i, v := range rapid.SliceOfN(rapid.Int64Range(0, 20), 1, 40).Draw(t, "versions") {
			source := fmt.Appendf(nil, "%d", i)
			r := s.Apply(Command{Publish: &Publish{Tables: site.Tables{Version: v}, Source: source}})
			if r.Changed != (v > highest) {
				t.Fatalf("publishing version %d after %d: changed is %v", v, highest, r.Changed)
			}
			highest = max(highest, v)
			if s.Tables.Version != highest {
				t.Fatalf("current version is %d, highest published is %d", s.Tables.Version, highest)
			}
			if !r.Changed && string(s.Source) == string(source) {
				t.Fatal("tables of a version that was not higher replaced the source")
			}
		}
	})
}

// TestNewestAnnouncementWins delivers the announcements of successive processes under one ID in
// any order and repeatedly. Each process drains from some sequence number on. Late
// announcements must not bring back an earlier process or undo draining.
func TestNewestAnnouncementWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		drains := make(map[int64]uint64)
		for startedMs := range int64(4) {
			drains[startedMs] = uint64(rapid.IntRange(1, 12).Draw(t, "drains"))
		}
		newest, draining := int64(-1), false
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			startedMs, seq := rapid.Int64Range(0, 3).Draw(t, "born"), uint64(rapid.IntRange(1, 9).Draw(t, "seq"))
			state := site.Ready
			if seq >= drains[startedMs] {
				state = site.Draining
			}
			announce(&s, target("i", "10.0.0.1:1", startedMs, seq, state))
			if startedMs > newest {
				newest, draining = startedMs, false
			}
			draining = draining || startedMs == newest && state == site.Draining
			got := s.Targets[0].Target
			if got.StartedMs != newest || draining != (got.State == site.Draining) {
				t.Fatalf("target is %+v, expected process %d with draining %v", got, newest, draining)
			}
		}
	})
}

// TestLateReadyDoesNotUndoDraining guards against a target that drains getting work again
// because an earlier announcement arrives late.
func TestLateReadyDoesNotUndoDraining(t *testing.T) {
	var s State
	announce(&s, target("i", "10.0.0.1:1", 5, 1, site.Ready))
	announce(&s, target("i", "10.0.0.1:1", 5, 7, site.Draining))
	announce(&s, target("i", "10.0.0.1:1", 5, 6, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Draining)
}

// TestDeregisteredStaysGone guards against a late announcement bringing back a target that has
// left, and against a late deregistration removing its successor.
func TestDeregisteredStaysGone(t *testing.T) {
	var s State
	announce(&s, target("i", "10.0.0.1:1", 5, 1, site.Ready))
	s.Apply(Command{Deregister: &Deregister{ID: "i"}})
	announce(&s, target("i", "10.0.0.1:1", 5, 9, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Gone)
	// A later process under the same ID may announce itself.
	announce(&s, target("i", "10.0.0.1:1", 6, 1, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Ready)
	// A late deregistration of the earlier process must not remove it.
	s.Apply(Command{Deregister: &Deregister{ID: "i", StartedMs: 5}})
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Ready)
}

// TestTimedOutTargetMayReturn guards against a live target staying gone after its heartbeats
// were lost for a while.
func TestTimedOutTargetMayReturn(t *testing.T) {
	var s State
	announce(&s, target("i", "10.0.0.1:1", 5, 1, site.Ready))
	s.Apply(Command{Deregister: &Deregister{ID: "i", StartedMs: 5, TimedOut: true}})
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Gone)
	announce(&s, target("i", "10.0.0.1:1", 5, 9, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Ready)
}

// TestAddressReused delivers an announcement of an ended process after its address went to a
// new one: the new process must stay.
func TestAddressReused(t *testing.T) {
	var s State
	announce(&s, target("old", "10.0.0.1:1", 5, 1, site.Ready))
	announce(&s, target("new", "10.0.0.1:1", 9, 1, site.Ready))
	quicktest.Assert(t, stateOf(&s, "old"), quicktest.Equals, site.Gone)
	announce(&s, target("old", "10.0.0.1:1", 5, 2, site.Ready))
	quicktest.Assert(t, stateOf(&s, "old"), quicktest.Equals, site.Gone)
	quicktest.Assert(t, stateOf(&s, "new"), quicktest.Equals, site.Ready)
}

// TestPrunesOldestGoneTargets requires the registry to keep maxGoneTargets gone targets, and to
// remove those first that have been gone longest.
func TestPrunesOldestGoneTargets(t *testing.T) {
	var s State
	for i := range maxGoneTargets + 10 {
		id := fmt.Sprintf("i%05d", i)
		announce(&s, target(id, fmt.Sprintf("10.%d.%d.%d:1", i/65536, i/256%256, i%256), 1, 1, site.Ready))
		s.Apply(Command{Deregister: &Deregister{ID: id}})
	}
	quicktest.Assert(t, len(s.Targets), quicktest.Equals, maxGoneTargets)
	quicktest.Assert(t, stateOf(&s, "i00000"), quicktest.Equals, site.State(0))
}

// TestColdIsNoChange: how much longer a target is cold changes with each heartbeat. Replicas of older
// builds ignore it, so it must not change the revision, which all replicas have in common.
func TestColdIsNoChange(t *testing.T) {
	var s State
	first := target("a", "10.0.0.1:80", 1, 1, site.Ready)
	first.Cold = 20 * time.Second
	quicktest.Assert(t, announce(&s, first).Changed, quicktest.IsTrue)
	for _, cold := range []time.Duration{0, 5 * time.Second} {
		next := first
		next.Sequence, next.Cold = next.Sequence+1, cold
		quicktest.Assert(t, announce(&s, next).Changed, quicktest.IsFalse)
		quicktest.Assert(t, s.Revision, quicktest.Equals, uint64(1))
		quicktest.Assert(t, s.Targets[0].Target, quicktest.Equals, first)
	}
	next := first
	next.StartedMs, next.Cold = 2, 7*time.Second
	quicktest.Assert(t, announce(&s, next).Changed, quicktest.IsTrue)
	quicktest.Assert(t, s.Targets[0].Target, quicktest.Equals, next)
}

// TestCommandsWithoutCold: the commands for pools without a rate for cold targets must be those of the
// build 2fa2628, byte by byte, which wrote these.
func TestCommandsWithoutCold(t *testing.T) {
	a := target("a", "10.0.0.1:80", 7, 3, site.Ready)
	for name, c := range map[string]Command{
		"announce": {Announce: &a},
		"publish":  {Publish: &Publish{Tables: site.Tables{Version: 4, Pools: []site.Pool{{Name: "p", Connections: 9}}}, Source: []byte("{}")}},
	} {
		b, err := cbor.Marshal(c)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, hex.EncodeToString(b), quicktest.Equals, goldenCommands()[name], quicktest.Commentf("%s", name))
	}
}

func goldenCommands() map[string]string {
	return map[string]string{
		"announce": "a102a8016161026170036b31302e302e302e313a383004600504060107070803",
		"publish":  "a101a201a6010402f60381a3016170020903f604f605a20100020006f402427b7d",
	}
}
