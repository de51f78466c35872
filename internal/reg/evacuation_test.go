package reg

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestEvacuationsFollowCommands applies random commands to two replicas, one of which is restored
// from a snapshot now and then, and follows them with a set. Guards against lists that differ
// between replicas or from the commands, are unsorted, change under a reader or under the same
// counter, and against evacuations that change the revision, which replicas that ignore them share.
func TestEvacuationsFollowCommands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var m, n Machine
		equal := func(what string, got, want any) {
			if g, w := fmt.Sprint(got), fmt.Sprint(want); g != w {
				r.Fatalf("%s: got %s, want %s", what, g, w)
			}
		}
		want := make(map[string]bool)
		for i := range rapid.IntRange(1, 30).Draw(r, "commands") {
			before, revision := m.Evacuations(), m.state.Revision
			kept := slices.Clone(before.DataCentres)
			dc, withdrawn := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "data centre"), rapid.Bool().Draw(r, "withdrawn")
			c := Command{Evacuate: &Evacuate{DataCentre: dc, Withdrawn: withdrawn}}
			changed := want[dc] == withdrawn
			if want[dc] = true; withdrawn {
				delete(want, dc)
			}
			got := apply(t, &m, c)
			equal("result", got, Result{Changed: changed, Revision: revision})
			equal("result of the other replica", apply(t, &n, c), got)
			after := m.Evacuations()
			equal("changes", after.Counter-before.Counter, map[bool]int{true: 1}[changed])
			equal("list", after.DataCentres, slices.Sorted(maps.Keys(want)))
			equal("list of an earlier reader", before.DataCentres, kept)
			equal("has "+dc, after.Has(dc), !withdrawn)
			if rapid.Bool().Draw(r, "announce") {
				w := target(dc, "10.0.0.1:1", 1, uint64(i), site.Ready)
				equal("announcement", apply(t, &m, Command{Announce: &w}), apply(t, &n, Command{Announce: &w}))
			}
			if rapid.Bool().Draw(r, "restore") {
				b, err := n.Snapshot()
				equal("error", err, error(nil))
				equal("error", n.Restore(b), error(nil))
			}
			equal("list of the other replica", n.Evacuations(), after)
		}
	})
}

// TestOutdatedChangeHasNoEffect guards against a change that is applied after others that its sender didn't know of.
func TestOutdatedChangeHasNoEffect(t *testing.T) {
	var m Machine
	after := func() *uint64 { n := m.Evacuations().Counter; return &n }
	first := after()
	quicktest.Assert(t, apply(t, &m, Command{Evacuate: &Evacuate{DataCentre: "a", After: first}}), quicktest.Equals, Result{Changed: true})
	quicktest.Assert(t, apply(t, &m, Command{Evacuate: &Evacuate{DataCentre: "a", Withdrawn: true, After: first}}), quicktest.Equals, Result{Outdated: true})
	quicktest.Assert(t, m.Evacuations().Has("a"), quicktest.IsTrue)
	quicktest.Assert(t, apply(t, &m, Command{Evacuate: &Evacuate{DataCentre: "a", Withdrawn: true, After: after()}}), quicktest.Equals, Result{Changed: true})
	// Builds without the field send no counter.
	quicktest.Assert(t, apply(t, &m, Command{Evacuate: &Evacuate{DataCentre: "b"}}), quicktest.Equals, Result{Changed: true})
}

// TestEvacuationWakesReaders guards against a change that nobody sends on because it has no
// revision of its own.
func TestEvacuationWakesReaders(t *testing.T) {
	var m Machine
	_, changed := m.Revision()
	apply(t, &m, Command{Evacuate: &Evacuate{DataCentre: "a"}})
	<-changed
}

// formerCommand and formerState are Command and State as builds without evacuations know them.
type formerCommand struct {
	Publish    *Publish     `cbor:"1,keyasint,omitempty"`
	Announce   *site.Target `cbor:"2,keyasint,omitempty"`
	Deregister *Deregister  `cbor:"3,keyasint,omitempty"`
}

type formerState struct {
	Revision       uint64       `cbor:"1,keyasint"`
	Tables         *site.Tables `cbor:"2,keyasint"`
	Source         []byte       `cbor:"3,keyasint"`
	TablesRevision uint64       `cbor:"4,keyasint"`
	Targets        []Record     `cbor:"5,keyasint"`
}

// TestFormerBuildsReadCommandsAndSnapshots guards against a replica of a build without evacuations
// that fails on the command or on a snapshot that holds them, and against snapshots of sites without
// evacuations that differ from its own.
func TestFormerBuildsReadCommandsAndSnapshots(t *testing.T) {
	var m Machine
	w := target("i", "10.0.0.1:1", 1, 1, site.Ready)
	apply(t, &m, Command{Announce: &w})
	unused, err := m.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	var former formerState
	quicktest.Assert(t, cbor.Unmarshal(unused, &former), quicktest.IsNil)
	again, err := cbor.Marshal(former)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, again, quicktest.DeepEquals, unused)

	b, err := m.EncodeCommand(Command{Evacuate: &Evacuate{DataCentre: "a"}})
	quicktest.Assert(t, err, quicktest.IsNil)
	var c formerCommand
	quicktest.Assert(t, unpack(b, &c), quicktest.IsNil)
	quicktest.Assert(t, c, quicktest.Equals, formerCommand{})
	m.Apply(0, b)
	used, err := m.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	former = formerState{}
	quicktest.Assert(t, cbor.Unmarshal(used, &former), quicktest.IsNil)
	quicktest.Assert(t, former.Revision, quicktest.Equals, m.state.Revision)
	quicktest.Assert(t, former.Targets, quicktest.DeepEquals, m.state.Targets)
}

// TestNamesOfDataCentres guards against names that an operator can't have meant, and against a
// refusal of unusual ones.
func TestNamesOfDataCentres(t *testing.T) {
	for name, valid := range map[string]bool{
		"dc-a": true, "DC.1_x": true, "zürich": true, strings.Repeat("x", 128): true,
		"": false, " ": false, "a b": false, "a/b": false, "a\n": false, "a\x00": false, "\xff": false, strings.Repeat("x", 129): false,
	} {
		quicktest.Check(t, (&Evacuate{DataCentre: name}).Check() == nil, quicktest.Equals, valid, quicktest.Commentf("%q", name))
	}
}
