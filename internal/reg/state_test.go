package reg

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

func target(id, addr string, born int64, seq uint64, state site.State) site.Target {
	return site.Target{ID: id, Pool: "p", Address: addr, Slots: 4, State: state, Born: born, Seq: seq}
}

func announce(s *State, t site.Target) Result { return s.Apply(Command{Announce: &t}) }

func stateOf(s *State, id string) site.State {
	i, ok := s.find(id)
	if !ok {
		return 0
	}
	return s.Targets[i].Target.State
}

// TestHighestVersionWins sends versions in any order and more than once.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		highest := int64(-1)
		for i, v := range rapid.SliceOfN(rapid.Int64Range(0, 20), 1, 40).Draw(t, "versions") {
			source := fmt.Appendf(nil, "%d", i)
			r := s.Apply(Command{Publish: &Publish{Tables: site.Tables{Version: v}, Source: source}})
			if r.Changed != (v > highest) {
				t.Fatalf("version %d over %d: changed %v", v, highest, r.Changed)
			}
			highest = max(highest, v)
			if s.Tables.Version != highest {
				t.Fatalf("in force is %d, highest %d", s.Tables.Version, highest)
			}
			if !r.Changed && string(s.Source) == string(source) {
				t.Fatal("content under a version that was held is kept")
			}
		}
	})
}

// TestNewestWordCounts gives the words of processes that follow each other under
// one ID in any order and more than once. Each says from some number on that it
// drains. Whatever comes late changes nothing.
func TestNewestWordCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		drains := make(map[int64]uint64)
		for born := range int64(4) {
			drains[born] = uint64(rapid.IntRange(1, 12).Draw(t, "drains"))
		}
		newest, draining := int64(-1), false
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			born, seq := rapid.Int64Range(0, 3).Draw(t, "born"), uint64(rapid.IntRange(1, 9).Draw(t, "seq"))
			state := site.Ready
			if seq >= drains[born] {
				state = site.Draining
			}
			announce(&s, target("i", "10.0.0.1:1", born, seq, state))
			if born > newest {
				newest, draining = born, false
			}
			draining = draining || born == newest && state == site.Draining
			got := s.Targets[0].Target
			if got.Born != newest || draining != (got.State == site.Draining) {
				t.Fatalf("known %+v, newest process %d draining %v", got, newest, draining)
			}
		}
	})
}

func TestDrainingOutlivesLateReady(t *testing.T) {
	var s State
	announce(&s, target("i", "10.0.0.1:1", 5, 1, site.Ready))
	announce(&s, target("i", "10.0.0.1:1", 5, 7, site.Draining))
	announce(&s, target("i", "10.0.0.1:1", 5, 6, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Draining)
}

func TestDepartedStaysGone(t *testing.T) {
	var s State
	announce(&s, target("i", "10.0.0.1:1", 5, 1, site.Ready))
	s.Apply(Command{Depart: &Depart{ID: "i"}})
	announce(&s, target("i", "10.0.0.1:1", 5, 9, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Gone)
	// A later process under the same ID is another.
	announce(&s, target("i", "10.0.0.1:1", 6, 1, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Ready)
	// The departure of the earlier one comes late.
	s.Apply(Command{Depart: &Depart{ID: "i", Born: 5}})
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Ready)
}

func TestSilentMayComeBack(t *testing.T) {
	var s State
	announce(&s, target("i", "10.0.0.1:1", 5, 1, site.Ready))
	s.Apply(Command{Depart: &Depart{ID: "i", Born: 5, Silent: true}})
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Gone)
	announce(&s, target("i", "10.0.0.1:1", 5, 9, site.Ready))
	quicktest.Assert(t, stateOf(&s, "i"), quicktest.Equals, site.Ready)
}

// TestAddressUsedAgain lets the last word of a dead process arrive after its
// address went to another.
func TestAddressUsedAgain(t *testing.T) {
	var s State
	announce(&s, target("old", "10.0.0.1:1", 5, 1, site.Ready))
	announce(&s, target("new", "10.0.0.1:1", 9, 1, site.Ready))
	quicktest.Assert(t, stateOf(&s, "old"), quicktest.Equals, site.Gone)
	announce(&s, target("old", "10.0.0.1:1", 5, 2, site.Ready))
	quicktest.Assert(t, stateOf(&s, "old"), quicktest.Equals, site.Gone)
	quicktest.Assert(t, stateOf(&s, "new"), quicktest.Equals, site.Ready)
}

// TestForgetsOldest bounds what is remembered of departed targets.
func TestForgetsOldest(t *testing.T) {
	var s State
	for i := range maxGone + 10 {
		id := fmt.Sprintf("i%05d", i)
		announce(&s, target(id, fmt.Sprintf("10.%d.%d.%d:1", i/65536, i/256%256, i%256), 1, 1, site.Ready))
		s.Apply(Command{Depart: &Depart{ID: id}})
	}
	quicktest.Assert(t, len(s.Targets), quicktest.Equals, maxGone)
	quicktest.Assert(t, stateOf(&s, "i00000"), quicktest.Equals, site.State(0))
}
