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

// TestCommandsOnDisk keeps the encoding of commands as the logs hold it.
func TestCommandsOnDisk(t *testing.T) {
	call := ledger.Call{Organisation: "o", Key: "k", Digest: [32]byte{1}, Attempt: "a", Entry: "e", Incarnation: 7}
	sh := member.Shard{Pool: "p", DataCentre: "d"}
	list := []Command{
		Lead{Process: member.Process{Name: "e", Incarnation: 7}},
		Change{ID: "x", Operator: "awa", Base: 3, Tables: tables("a")},
		Join{Member: member.Member{Name: "e", DataCentre: "d", Peers: "p", Incarnation: 7, State: member.Serving}},
		Drop{LeaderTerm: 2, Processes: []member.Process{{Name: "e", Incarnation: 7}}},
		Yield{Shard: sh, Holder: "e", Epoch: 9},
		Begin{Call: call},
		End{Call: call, Verdict: verd.Ran, Answer: &ledger.Answer{Status: 200, Body: []byte("ok")}},
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

// TestLargestTablesFitTheLog wants tables with all the rows that are allowed
// in one command of the log, which takes 1 MiB.
func TestLargestTablesFitTheLog(t *testing.T) {
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

// FuzzCommand applies any bytes: a machine refuses what it can't read and
// its snapshot stays readable.
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

// drawCommand draws a command that may change the view.
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
		return Change{ID: fmt.Sprint(s.Version), Base: s.Revision, Tables: tables(names...)}
	case 1:
		return Drop{Processes: []member.Process{m.Process()}}
	case 2:
		for _, l := range append(s.Leases, s.Planner) {
			if l.Next != "" {
				return Yield{Shard: l.Shard, Holder: l.Holder, Epoch: l.Epoch}
			}
		}
	}
	return Join{Member: m}
}

// TestLeases wants every shard scheduled by one live member at a time.
func TestLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := s.View()
			c := drawCommand(t, &s)
			s.Apply(0, c)
			after := s.View()
			checkSpread(t, &s)
			checkMoves(t, c, before, after)
			d := member.Diff(before, after)
			if after.Version == before.Version {
				continue
			}
			got, err := before.Apply(&d)
			if err != nil {
				t.Fatal(err)
			}
			if rest := member.Diff(got, after); len(rest.Members)+len(rest.RemovedMembers)+len(rest.Leases)+len(rest.RemovedLeases) > 0 || rest.Planner != nil {
				t.Fatalf("delta leaves %+v", rest)
			}
		}
		checkRoundTrip(t, &s)
	})
}

// checkSpread wants a lease for every shard, held by a member.
func checkSpread(t *rapid.T, s *State) {
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
		t.Fatal("no planner")
	}
	load := make(map[string]int)
	for _, l := range s.Leases {
		if _, ok := s.findMember(l.Holder); !ok || l.Next == nextPending {
			t.Fatalf("lease %+v", l)
		}
		end := l.Holder
		if l.Next != "" {
			end = l.Next
		}
		load[end]++
	}
	a := newAssigner(s.Members, len(s.Tables.Pools))
	for dc, p := range a.byDataCentre {
		for _, name := range p.serving {
			if load[name] > p.maxShards+a.all.maxShards {
				t.Fatalf("%s of %s holds %d, share %d", name, dc, load[name], p.maxShards)
			}
		}
	}
}

// checkMoves wants a new epoch for each new holder, and no new holder while
// the old one is there and has not confirmed.
func checkMoves(t *rapid.T, c Command, before, after *member.View) {
	var top uint64
	for _, l := range before.Leases {
		top = max(top, l.Epoch)
	}
	for _, l := range after.Leases {
		old, _, had := before.Scheduler(l.Shard)
		if had && old.Holder == l.Holder && old.Epoch == l.Epoch {
			continue
		}
		if l.Epoch <= top {
			t.Fatalf("epoch %d is not above %d", l.Epoch, top)
		}
		if !had || old.Holder == l.Holder {
			continue
		}
		y, yielded := c.(Yield)
		_, there := after.Member(old.Holder)
		if there && !(yielded && y.Shard == l.Shard) {
			switch c.(type) {
			case Join, Drop: // Another process of the same name took its place.
			default:
				t.Fatalf("%T moves %s from %s", c, l.Shard, old.Holder)
			}
		}
	}
}

// checkRoundTrip wants the same snapshot and results after a restore.
func checkRoundTrip(t *rapid.T, s *State) {
	b, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeState(b)
	if err != nil {
		t.Fatal(err)
	}
	again, err := back.encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(b) {
		t.Fatal("the snapshot changes in a round trip")
	}
}
