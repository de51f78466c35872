package reg

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

func apply(t testing.TB, m *Machine, c Command) Result {
	t.Helper()
	b, err := m.EncodeCommand(c)
	quicktest.Assert(t, err, quicktest.IsNil)
	r, err := DecodeResult(m.Apply(0, b))
	quicktest.Assert(t, err, quicktest.IsNil)
	return r
}

// TestUpdatesFromAnyRevision reads updates since random earlier revisions: the reader must have
// the same targets as the registry.
func TestUpdatesFromAnyRevision(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var m Machine
		known := make(map[string]site.Target)
		have := uint64(0)
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "id")
			if rapid.Bool().Draw(r, "announce") {
				announced := target(id, "", int64(rapid.IntRange(1, 5).Draw(r, "born")), uint64(rapid.IntRange(1, 5).Draw(r, "seq")), site.Ready)
				announced.Address = map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.0.0.3:1"}[id]
				apply(t, &m, Command{Announce: &announced})
			} else {
				apply(t, &m, Command{Deregister: &Deregister{ID: id}})
			}
			if !rapid.Bool().Draw(r, "read") {
				continue
			}
			d, err := m.DeltaSince(have, false)
			quicktest.Assert(t, err, quicktest.IsNil)
			for _, x := range d.Targets {
				known[x.ID] = x
			}
			have = d.Revision
			full, err := m.DeltaSince(0, false)
			quicktest.Assert(t, err, quicktest.IsNil)
			for _, x := range full.Targets {
				if known[x.ID] != x {
					r.Fatalf("reader has target %+v, registry has %+v", known[x.ID], x)
				}
			}
		}
	})
}

// TestUpdateOfLargeFleet: the update that a fresh entry of a large fleet gets must fit what the budget
// of an instance, 2 KB a second, leaves in half a minute. A small one stays as it is.
func TestUpdateOfLargeFleet(t *testing.T) {
	var m Machine
	for i := range 3000 {
		h := xxhash.Sum64String(fmt.Sprint(i))
		w := target(fmt.Sprintf("i-%010x", h>>24), fmt.Sprintf("10.3.%d.%d:%d", 64+i/250, i%250, 8000+h%100), 1769393359928+int64(h%5000), 1+h%3, site.Ready)
		apply(t, &m, Command{Announce: &w})
	}
	plain, err := m.DeltaSince(0, false)
	quicktest.Assert(t, err, quicktest.IsNil)
	packed, err := m.DeltaSince(0, true)
	quicktest.Assert(t, err, quicktest.IsNil)
	b, err := cbor.Marshal(packed)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, len(b) <= 2_000*30, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(b)))
	var got Delta
	quicktest.Assert(t, cbor.Unmarshal(b, &got), quicktest.IsNil)
	quicktest.Assert(t, got.Unpack(), quicktest.IsNil)
	quicktest.Assert(t, got, quicktest.DeepEquals, plain)

	few, err := m.DeltaSince(2990, true)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, few.Targets, quicktest.HasLen, 10)
	quicktest.Check(t, few.PackedTargets, quicktest.HasLen, 0)
}

// TestEncodedCommandsAreDecodable guards against commands that can be encoded, but that all replicas skip: the
// log would keep them, and who sent them would get an internal error for ever.
func TestEncodedCommandsAreDecodable(t *testing.T) {
	long := make([]string, 131_073)
	for name, c := range map[string]Command{
		"target with invalid text":         {Announce: &site.Target{ID: "\xff"}},
		"deregistration with invalid text": {Deregister: &Deregister{ID: "a\xc3"}},
		"tables with invalid text":         {Publish: &Publish{Tables: site.Tables{Routes: []site.Route{{Host: "\xff"}}}}},
		"tables with a long list":          {Publish: &Publish{Tables: site.Tables{Organisations: []site.Organisation{{Keys: long}}}}},
	} {
		_, err := (&Machine{}).EncodeCommand(c)
		quicktest.Check(t, errors.Is(err, ErrUndecodable), quicktest.IsTrue, quicktest.Commentf("%s", name))
	}
}

// TestUndecodableCommandIsSkipped: a command in the log that replicas can't decode must end none of them, and the
// commands after it must be applied.
func TestUndecodableCommandIsSkipped(t *testing.T) {
	var m Machine
	first, last := target("a", "10.0.0.1:1", 1, 1, site.Ready), target("b", "10.0.0.2:1", 1, 1, site.Ready)
	quicktest.Assert(t, apply(t, &m, Command{Announce: &first}).Changed, quicktest.IsTrue)
	odd := target("\xff", "10.0.0.3:1", 1, 1, site.Ready)
	nested := any(0)
	for range 100 {
		nested = []any{nested}
	}
	for name, c := range map[string]any{
		"invalid text": Command{Announce: &odd},
		"nested":       map[int]any{2: nested},
		"overflow":     map[int]any{2: map[int]any{1: "c", 5: uint64(math.MaxUint64), 7: math.Inf(1), 8: -1}},
		"other types":  map[int]any{2: map[int]any{1: 5, 6: "ready"}},
		"no map":       "a",
	} {
		b, err := m.packer.pack(c)
		quicktest.Assert(t, err, quicktest.IsNil)
		r, err := DecodeResult(m.Apply(0, b))
		quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", name))
		quicktest.Check(t, r.Error, quicktest.Not(quicktest.Equals), "", quicktest.Commentf("%s", name))
		quicktest.Check(t, r.Changed, quicktest.IsFalse, quicktest.Commentf("%s", name))
	}
	quicktest.Assert(t, apply(t, &m, Command{Announce: &last}).Changed, quicktest.IsTrue)
	b, err := m.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	var restored Machine
	quicktest.Assert(t, restored.Restore(b), quicktest.IsNil)
	quicktest.Assert(t, restored.Targets(), quicktest.DeepEquals, []site.Target{first, last})
}

// TestOddTargetInUpdate guards against readers that stop following the registry: a target that a reader can't
// decode ended its link, and each one after that, as the next update had the same target.
func TestOddTargetInUpdate(t *testing.T) {
	var m Machine
	want := make([]site.Target, 2)
	for i := range want {
		want[i] = target(fmt.Sprint(i), "10.0.0.1:1", 1, 1, site.Ready)
	}
	for name, odd := range map[string]any{
		"invalid text": site.Target{ID: "\xff"},
		"other types":  map[int]any{1: 5, 5: "16"},
		"overflow":     map[int]any{1: "c", 5: uint64(math.MaxUint64)},
		"no target":    "c",
	} {
		list := []any{want[0], odd, want[1]}
		b, err := cbor.Marshal(map[int]any{1: 7, 3: list})
		quicktest.Assert(t, err, quicktest.IsNil)
		packed, err := m.packer.pack(list)
		quicktest.Assert(t, err, quicktest.IsNil)
		var d Delta
		quicktest.Assert(t, cbor.Unmarshal(b, &d), quicktest.IsNil, quicktest.Commentf("%s", name))
		quicktest.Check(t, d.Targets, quicktest.DeepEquals, want, quicktest.Commentf("%s", name))
		d = Delta{PackedTargets: packed}
		quicktest.Assert(t, d.Unpack(), quicktest.IsNil, quicktest.Commentf("%s", name))
		quicktest.Check(t, d.Targets, quicktest.DeepEquals, want, quicktest.Commentf("%s", name))
	}
}

// TestStateOfAnyCommandsIsDecodable: whatever targets the commands in the log name, replicas must be able to
// restore the snapshot, and readers to decode the update.
func TestStateOfAnyCommandsIsDecodable(t *testing.T) {
	text := rapid.OneOf(rapid.SampledFrom([]string{"", "a", "b", "\xff", "\x00", "a\r\nb"}),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 4), func(b []byte) string { return string(b) }))
	rapid.Check(t, func(r *rapid.T) {
		var m Machine
		for range rapid.IntRange(1, 20).Draw(r, "steps") {
			announced := site.Target{
				ID: text.Draw(r, "id"), Pool: text.Draw(r, "pool"), Address: text.Draw(r, "address"), DataCentre: text.Draw(r, "place"),
				Slots: rapid.Int().Draw(r, "slots"), State: site.State(rapid.Uint8().Draw(r, "state")), StartedMs: rapid.Int64().Draw(r, "born"),
				Sequence: rapid.Uint64().Draw(r, "seq"), Cold: time.Duration(rapid.Int64().Draw(r, "cold")), ColdUntilMs: rapid.Int64().Draw(r, "until"),
			}
			b, err := m.packer.pack(Command{Announce: &announced})
			quicktest.Assert(t, err, quicktest.IsNil)
			m.Apply(0, b)
		}
		snapshot, err := m.Snapshot()
		quicktest.Assert(t, err, quicktest.IsNil)
		var restored Machine
		if err := restored.Restore(snapshot); err != nil {
			r.Fatalf("snapshot can't be restored: %v", err)
		}
		d, err := restored.DeltaSince(0, rapid.Bool().Draw(r, "packed"))
		quicktest.Assert(t, err, quicktest.IsNil)
		b, err := cbor.Marshal(d)
		quicktest.Assert(t, err, quicktest.IsNil)
		var got Delta
		if err := cbor.Unmarshal(b, &got); err != nil {
			r.Fatalf("update can't be decoded: %v", err)
		}
		quicktest.Assert(t, got.Unpack(), quicktest.IsNil)
		if len(got.Targets) != len(restored.state.Targets) {
			r.Fatalf("update has %d targets, want %d", len(got.Targets), len(restored.state.Targets))
		}
	})
}

// FuzzUnpack feeds arbitrary bytes to the reader of a registry update: it must fail or keep within
// the bound, and not panic.
func FuzzUnpack(f *testing.F) {
	var p packer
	valid, err := p.pack([]site.Target{target("i", "10.0.0.1:1", 1, 1, site.Ready)})
	quicktest.Assert(f, err, quicktest.IsNil)
	mutate.Add(f, valid, []byte{})
	f.Fuzz(func(_ *testing.T, b []byte) {
		d := Delta{PackedTargets: b}
		_ = d.Unpack() // Only a panic fails the test.
	})
}

// TestSnapshotRestores restores a snapshot in another machine: it must have the same tables and
// targets, and wake the waiters for a change.
func TestSnapshotRestores(t *testing.T) {
	var m, n Machine
	tables := site.Tables{Version: 3, Routes: []site.Route{{Name: "r", Host: "h", Prefix: "/"}}}
	apply(t, &m, Command{Publish: &Publish{Tables: tables, Source: []byte("source")}})
	w := target("i", "10.0.0.1:1", 1, 1, site.Ready)
	apply(t, &m, Command{Announce: &w})
	b, err := m.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	_, changed := n.Revision()
	quicktest.Assert(t, n.Restore(b), quicktest.IsNil)
	<-changed
	got, source := n.Tables()
	quicktest.Assert(t, got.Version, quicktest.Equals, int64(3))
	quicktest.Assert(t, string(source), quicktest.Equals, "source")
	d, err := n.DeltaSince(0, false)
	quicktest.Assert(t, err, quicktest.IsNil)
	unpacked, err := UnpackTables(d.PackedTables)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, *unpacked, quicktest.DeepEquals, *got)
	quicktest.Assert(t, d.Targets, quicktest.DeepEquals, []site.Target{w})
}

// TestMalformedCommandChangesNothing applies bytes that don't decode as a command: the result
// must carry an error, and the revision must not change.
func TestMalformedCommandChangesNothing(t *testing.T) {
	var m Machine
	r, err := DecodeResult(m.Apply(1, []byte("no command")))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, r.Error != "", quicktest.IsTrue)
	revision, _ := m.Revision()
	quicktest.Assert(t, revision, quicktest.Equals, uint64(0))
}
