package link

import (
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestEntryChanges changes the list of ready instances at random while messages wait or are sent:
// the receiver must have the sender's list after each message that is sent.
func TestEntryChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		drawList := func() []Entry {
			list := []Entry{}
			for i := range 4 {
				if n := rapid.IntRange(0, 2).Draw(r, "address"); n > 0 {
					list = append(list, Entry{Name: fmt.Sprint(i), Address: fmt.Sprint(n)})
				}
			}
			return list
		}
		var m ControlMessage
		var sent, received []Entry
		for range rapid.IntRange(1, 20).Draw(r, "steps") {
			list := drawList()
			if sent == nil || rapid.IntRange(0, 9).Draw(r, "whole") == 0 {
				m.ReplaceEntries(list)
			} else {
				m.ChangeEntries(sent, list)
			}
			sent = list
			if rapid.Bool().Draw(r, "wait") {
				continue
			}
			b, err := cbor.Marshal(&m)
			quicktest.Assert(t, err, quicktest.IsNil)
			var got ControlMessage
			quicktest.Assert(t, cbor.Unmarshal(b, &got), quicktest.IsNil)
			received, _ = got.applyEntries(received)
			m = ControlMessage{}
			if !slices.Equal(received, sent) {
				r.Fatalf("receiver has %v, sender has %v", received, sent)
			}
		}
	})
}

// TestEntryChangeIsSmall: five changes of the list a second, as in a restart of a whole fleet, must fit
// in the budget of an instance, 2 KB a second.
func TestEntryChangeIsSmall(t *testing.T) {
	var list []Entry
	for i := range maxEntries {
		list = append(list, Entry{Name: fmt.Sprintf("edge-dakar-a-%02d", i), DataCentre: "dakar-a", Address: fmt.Sprintf("10.1.0.%d:8080", i)})
	}
	for _, change := range [][]Entry{list[1:], slices.Delete(slices.Clone(list), 30, 33)} {
		var m ControlMessage
		m.ChangeEntries(list, change)
		m.ChangeEntries(change, list)
		m.ChangeEntries(list, change)
		b, err := cbor.Marshal(&m)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, len(b) <= 2_000/5, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(b)))
	}
}

// FuzzControlMessage feeds arbitrary bytes to the reader of messages from control instances: it must
// fail or yield a list of ready instances without a name twice, and not panic.
func FuzzControlMessage(f *testing.F) {
	var m ControlMessage
	m.ChangeEntries([]Entry{{Name: "a"}}, []Entry{{Name: "b", Address: "10.0.0.1:80"}})
	m.Update = &reg.Delta{Revision: 7, PackedTargets: []byte{1}}
	valid, err := cbor.Marshal(&m)
	quicktest.Assert(f, err, quicktest.IsNil)
	mutate.Add(f, valid, []byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m ControlMessage
		if cbor.Unmarshal(b, &m) != nil || m.Check() != nil || m.HasEntries {
			return
		}
		list, _ := m.applyEntries([]Entry{{Name: "a"}, {Name: "c"}})
		for i := 1; i < len(list); i++ {
			if list[i-1].Name >= list[i].Name {
				t.Fatalf("list %v", list)
			}
		}
	})
}

// TestRelaysFor: relays are in other data centres, and not the same for all instances of one.
func TestRelaysFor(t *testing.T) {
	var all []Entry
	for i := range 30 {
		all = append(all, Entry{Name: fmt.Sprintf("e%02d", i), DataCentre: string("abc"[i%3])})
	}
	used := make(map[string]int)
	for _, e := range all {
		relays := RelaysFor(all, e.Name, e.DataCentre, nil)
		quicktest.Assert(t, relays, quicktest.HasLen, MaxRelays)
		for _, r := range relays {
			quicktest.Assert(t, r.DataCentre, quicktest.Not(quicktest.Equals), e.DataCentre)
			used[r.Name]++
		}
	}
	quicktest.Assert(t, len(used) >= len(all)*3/4, quicktest.IsTrue, quicktest.Commentf("%v", used))
	quicktest.Assert(t, RelaysFor(all[:1], "e00", "a", nil), quicktest.HasLen, 0)
	quicktest.Assert(t, RelaysFor(all[:3], "e00", "a", nil), quicktest.HasLen, 2)
}

// TestEntriesOfRegion guards against look-ups that send callers to another region although an
// instance of their own region is ready.
func TestEntriesOfRegion(t *testing.T) {
	regions := site.Regions{"a": "eu", "b": "eu", "c": "us", "d": "us"}
	all := []Entry{{Name: "1", DataCentre: "a"}, {Name: "2", DataCentre: "b"}, {Name: "3", DataCentre: "b"}, {Name: "4", DataCentre: "c"}, {Name: "5", DataCentre: "x"}}
	for _, c := range []struct{ dataCentre, want string }{
		{"a", "123"}, {"b", "23"}, {"c", "4"}, {"d", "4"}, {"x", "5"}, {"unknown", "12345"},
	} {
		got := ""
		for _, e := range EntriesFor(all, c.dataCentre, regions) {
			got += e.Name
		}
		quicktest.Check(t, got, quicktest.Equals, c.want, quicktest.Commentf("%s", c.dataCentre))
	}
	quicktest.Check(t, EntriesFor(all[:1], "c", regions), quicktest.HasLen, 1)
}

// TestRelaysOfRegions: requests that are bound to a region may need a relay there, so that there must
// be one of each region although most of the instances are elsewhere.
func TestRelaysOfRegions(t *testing.T) {
	regions := site.Regions{"a": "eu", "b": "eu", "c": "us", "d": "asia"}
	var all []Entry
	for i := range 30 {
		all = append(all, Entry{Name: fmt.Sprintf("e%02d", i), DataCentre: string("ab"[i%2])})
	}
	all = append(all, Entry{Name: "f", DataCentre: "c"}, Entry{Name: "g", DataCentre: "d"})
	for i := range 10 {
		relays := RelaysFor(all, fmt.Sprintf("e%02d", 2*i), "a", regions)
		quicktest.Assert(t, relays, quicktest.HasLen, MaxRelays)
		seen := make(map[string]bool)
		for _, r := range relays {
			seen[regions[r.DataCentre]] = true
		}
		quicktest.Assert(t, seen, quicktest.HasLen, 3)
	}
}
