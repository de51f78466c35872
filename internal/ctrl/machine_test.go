package ctrl

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/internal/plan"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

var update = flag.Bool("update", false, "write golden files anew")

// TestCommandEncoding guards against a change of the command encoding that would make
// existing logs unreadable.
func TestCommandEncoding(t *testing.T) {
	call := ledger.Call{Organisation: "o", Key: "k", Digest: [32]byte{1}, Attempt: "a", Entry: "e", Incarnation: 7}
	sh := member.Shard{Pool: "p", DataCentre: "d"}
	list := []Command{
		Lead{Process: member.Process{Name: "e", Incarnation: 7}},
		Change{ID: "x", Operator: "awa", BaseRevision: 3, Tables: tables("a")},
		Join{Member: member.Member{Name: "e", DataCentre: "d", PeerAddr: "p", Incarnation: 7, State: member.Serving}},
		Drop{LeaderTerm: 2, Processes: []member.Process{{Name: "e", Incarnation: 7}}},
		Yield{Shard: sh, Holder: "e", Epoch: 9},
		Begin{Call: call},
		End{Call: call, Verdict: verd.Ran, Response: &ledger.Response{Status: 200, Body: []byte("ok")}},
		Open{Permit: plan.Permit{Target: "t", Addr: "a", Pool: "p", Size: 3, Command: engine.Command{ID: "x", Fence: 4, Load: &engine.LoadModel{Model: "m"}}}},
		Close{Closing: plan.Closing{ID: "x", Fence: 4}},
	}
	var out strings.Builder
	for _, c := range list {
		b, err := encode(time.Second, c)
		quicktest.Assert(t, err, quicktest.IsNil)
		fmt.Fprintf(&out, "%T %s\n", c, hex.EncodeToString(b))
		now, back, err := decode(b)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, now, quicktest.Equals, time.Second)
		quicktest.Check(t, back, quicktest.DeepEquals, c)
	}
	const path = "testdata/commands.golden"
	if *update {
		quicktest.Assert(t, os.WriteFile(path, []byte(out.String()), 0o644), quicktest.IsNil)
	}
	want, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, out.String(), quicktest.Equals, string(want))
}

// TestLargestTablesFitLogEntry guards against valid tables that cannot be committed:
// tables with the most rows that are allowed must fit into one log entry of 1 MiB.
func TestLargestTablesFitLogEntry(t *testing.T) {
	c := Change{ID: "x"}
	for i := range table.MaxPools {
		c.Tables.Pools = append(c.Tables.Pools, table.Pool{Name: fmt.Sprintf("pool-%05d", i), Kind: table.Engine, Model: fmt.Sprintf("model-%d", i%40)})
		c.Tables.Routes = append(c.Tables.Routes, table.Route{
			Name: fmt.Sprintf("route-%05d", i), Match: table.Match{Organisation: fmt.Sprintf("organisation-%05d", i*7919%21000)},
			Pool: fmt.Sprintf("pool-%05d", i*31%table.MaxPools), Limit: table.Duration(time.Minute),
		})
	}
	b, err := encode(0, c)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, len(b) < 1<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(b)))
	_, back, err := decode(b)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, back, quicktest.DeepEquals, Command(c))
}

// FuzzCommand guards against corrupt commands that crash the state machine or make its
// snapshot unreadable.
func FuzzCommand(f *testing.F) {
	b, err := encode(1, Change{ID: "x", Tables: tables("a")})
	if err != nil {
		f.Fatal(err)
	}
	mutate.Add(f, b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Machine
		m.Apply(1, b)
		s, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := new(Machine).Restore(s); err != nil {
			t.Fatal(err)
		}
	})
}

// drawCommand draws a random command that may change the view.
func drawCommand(t *rapid.T, s *State) Command {
	n := rapid.IntRange(0, 9).Draw(t, "member")
	m := member.Member{
		Name: fmt.Sprint("m", n), DataCentre: []string{"a", "b"}[n%2],
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		State:       rapid.SampledFrom([]member.State{member.Serving, member.Serving, member.Leaving, member.Gone}).Draw(t, "state"),
	}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"p", "q", "r", "s"}), 0, 4, rapid.ID).Draw(t, "pools")
		return Change{ID: fmt.Sprint(s.Version), BaseRevision: s.Revision, Tables: tables(names...)}
	case 1:
		return Drop{Processes: []member.Process{m.Process()}}
	case 2:
		for _, l := range append(s.Leases, s.Planner) {
			if l.NextHolder != "" {
				return Yield{Shard: l.Shard, Holder: l.Holder, Epoch: l.Epoch}
			}
		}
	}
	return Join{Member: m}
}

// TestEachShardHasOneHolder guards against shards without a scheduler or with two at a
// time. It applies random changes of members and tables, and checks the leases and the
// delta after each.
func TestEachShardHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := s.View()
			c := drawCommand(t, &s)
			s.Apply(0, c)
			after := s.View()
			checkAssignment(t, &s)
			checkHandovers(t, c, before, after)
			d := member.Diff(before, after)
			if after.Version == before.Version {
				continue
			}
			got, err := before.Apply(&d)
			if err != nil {
				t.Fatal(err)
			}
			if diff := member.Diff(got, after); len(diff.Members)+len(diff.RemovedMembers)+len(diff.Leases)+len(diff.RemovedLeases) > 0 || diff.Planner != nil {
				t.Fatalf("the view after applying the delta differs from the expected one by %+v", diff)
			}
		}
		checkRoundTrip(t, &s)
	})
}

// checkAssignment checks that a member holds the lease of each shard, and that no member
// holds more than its share.
func checkAssignment(t *rapid.T, s *State) {
	serving := 0
	for _, m := range s.Members {
		if m.State == member.Serving {
			serving++
		}
	}
	if serving > 0 && len(s.Leases) != len(s.shards()) {
		t.Fatalf("%d leases for %d shards", len(s.Leases), len(s.shards()))
	}
	if serving > 0 && s.Planner.Holder == "" {
		t.Fatal("no instance holds the planner's lease")
	}
	load := make(map[string]int)
	for _, l := range s.Leases {
		if _, ok := s.findMember(l.Holder); !ok || l.NextHolder == nextPending {
			t.Fatalf("the holder is not a member, or the next holder was not chosen: %+v", l)
		}
		holder := l.Holder
		if l.NextHolder != "" {
			holder = l.NextHolder
		}
		load[holder]++
	}
	a := newAssigner(s.Members, len(s.Tables.Pools))
	for dc, p := range a.byDataCentre {
		for _, name := range p.serving {
			if load[name] > p.maxShards+a.all.maxShards {
				t.Fatalf("instance %s in data centre %s holds too many shards: %d, the bound of its data centre is %d", name, dc, load[name], p.maxShards)
			}
		}
	}
}

// checkHandovers checks that each new holder has a higher epoch, and that a lease moves
// away from a member only after that member has confirmed.
func checkHandovers(t *rapid.T, c Command, before, after *member.View) {
	var maxEpoch uint64
	for _, l := range before.Leases {
		maxEpoch = max(maxEpoch, l.Epoch)
	}
	for _, l := range after.Leases {
		old, _, found := before.Scheduler(l.Shard)
		if found && old.Holder == l.Holder && old.Epoch == l.Epoch {
			continue
		}
		if l.Epoch <= maxEpoch {
			t.Fatalf("epoch %d is not above %d", l.Epoch, maxEpoch)
		}
		if !found || old.Holder == l.Holder {
			continue
		}
		y, yielded := c.(Yield)
		_, isMember := after.Member(old.Holder)
		if isMember && !(yielded && y.Shard == l.Shard) {
			switch c.(type) {
			case Join, Drop: // A newer process of the instance replaced the holder.
			default:
				t.Fatalf("%T moves the lease of %s away from the live member %s", c, l.Shard, old.Holder)
			}
		}
	}
}

// checkRoundTrip checks that a restored snapshot encodes to the same bytes.
func checkRoundTrip(t *rapid.T, s *State) {
	b, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := decodeState(b)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := restored.encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(b) {
		t.Fatal("the snapshot changes in a round trip")
	}
}
