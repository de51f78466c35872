package relay

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/frankban/quicktest"
)

// TestRelayOrder: relays nearby take turns, one of another data centre is always among those tried,
// and one that failed comes last until that is a while ago.
func TestRelayOrder(t *testing.T) {
	now := time.Unix(1e9, 0)
	peers := []Peer{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}, {"b1", "b"}}
	var p paths
	first := make(map[string]int)
	for range 20 {
		got := p.relays(now, "t", "a", peers)
		quicktest.Assert(t, got, quicktest.HasLen, maxRelays)
		quicktest.Assert(t, slices.Contains(got, "b1"), quicktest.IsTrue)
		first[got[0]]++
	}
	quicktest.Assert(t, first, quicktest.DeepEquals, map[string]int{"a1": 5, "a2": 5, "a3": 5, "a4": 5})
	p.recordRelayed(now, "t", "b1", []string{"a1", "a2", "a3", "a4"})
	quicktest.Assert(t, p.relays(now.Add(relayBackoff), "t", "a", peers)[0], quicktest.Equals, "b1")
	quicktest.Assert(t, p.relays(now.Add(relayBackoff+1), "t", "a", peers)[0], quicktest.Not(quicktest.Equals), "b1")
}

// TestDeadTargetIsNotLookedFor: a target that nobody reaches costs other instances no connections
// for a while.
func TestDeadTargetIsNotLookedFor(t *testing.T) {
	now := time.Unix(1e9, 0)
	var p paths
	p.recordDead(now, "t")
	quicktest.Assert(t, p.relays(now.Add(deadTime), "t", "a", []Peer{{"a1", "a"}}), quicktest.HasLen, 0)
	quicktest.Assert(t, p.relays(now.Add(deadTime+1), "t", "a", []Peer{{"a1", "a"}}), quicktest.HasLen, 1)
}

// TestOneDetourIsNoCutOff: a single target out of reach says nothing about the others.
func TestOneDetourIsNoCutOff(t *testing.T) {
	now := time.Unix(1e9, 0)
	var p paths
	quicktest.Assert(t, p.recordRelayed(now, "t1", "r", nil), quicktest.IsFalse)
	quicktest.Assert(t, p.isSuspect("t1") && !p.isSuspect("t2"), quicktest.IsTrue)
	p.recordDirect("t3")
	quicktest.Assert(t, p.recordRelayed(now, "t2", "r", nil), quicktest.IsFalse)
	quicktest.Assert(t, p.recordRelayed(now, "t4", "r", nil), quicktest.IsTrue)
	quicktest.Assert(t, p.isSuspect("t3"), quicktest.IsTrue)
	quicktest.Assert(t, p.recordDirect("t3"), quicktest.IsTrue)
	quicktest.Assert(t, p.isSuspect("t4") && !p.isCutOff(), quicktest.IsTrue)
}

// FuzzMessages checks that messages of other instances are bounded once decoded.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{upMessage{Address: "10.0.0.1:80"}, upMessage{Notice: &Notice{Leaving: true}}, downMessage{Result: opened, Data: []byte("x"), End: true}} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var up upMessage
		if cbor.Unmarshal(b, &up) == nil && up.Check() == nil && (len(up.Data) > chunkBytes || len(up.Address) > maxAddressBytes) {
			t.Errorf("accepted a message of %d bytes", len(up.Data))
		}
		var down downMessage
		if cbor.Unmarshal(b, &down) == nil && down.Check() == nil && len(down.Data) > chunkBytes {
			t.Errorf("accepted a message of %d bytes", len(down.Data))
		}
	})
}
