package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// TestFoundersKilledInFirstStart guards against a group that is never founded: all initial members are killed before they have
// founded it, and are told when they start again that the group exists. One of them may have stored nothing yet.
func TestFoundersKilledInFirstStart(t *testing.T) {
	for _, hasStored := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := newAutoGroup(t, 3, 2)
			defer g.close()
			time.Sleep(250 * time.Millisecond)
			last := "10.0.0.3:81"
			g.start(last, "10.0.0.1:81", "10.0.0.2:81", last)
			for a := range g.replicas {
				g.crashReplica(a)
			}
			if !hasStored {
				g.replicas[last].disk = &store.Mem{}
			}
			g.joinExisting = true
			for a := range g.replicas {
				g.start(a)
			}
			g.mustPropose(g.leader(), "a")
			g.waitConfig("three voters", func(c Config) bool { return c.VoterCount() == 3 })
			g.waitApplied(1, "a")
		})
	}
}

// TestFounderLostInFirstStart guards against a group that is never founded: an initial member is lost for good before that, and another
// one comes in its place at a new address.
func TestFounderLostInFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 2)
		defer g.close()
		time.Sleep(time.Second)
		g.joinExisting = true
		g.start("10.0.0.4:81", "10.0.0.1:81", "10.0.0.2:81", "10.0.0.4:81")
		g.mustPropose(g.leader(), "a")
		g.waitConfig("three voters", func(c Config) bool { return c.VoterCount() == 3 })
		g.waitApplied(1, "a")
	})
}

// TestLateFounderJoins guards against a second group: an initial member that comes after the others have founded the group without it
// must join them.
func TestLateFounderJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 3, 2)
		defer g.close()
		g.mustPropose(g.leader(), "a")
		g.start("10.0.0.3:81", "10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81")
		g.waitConfig("three voters", func(c Config) bool { return c.VoterCount() == 3 })
		g.waitApplied(1, "a")
	})
}

// TestFoundersWaitForOperator: where an operator manages the members, an initial member that is missing can't be added later by itself.
func TestFoundersWaitForOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAutoGroup(t, 0, 2)
		defer g.close()
		time.Sleep(30 * time.Second)
		for _, m := range g.replicas {
			quicktest.Check(t, m.node.Status().Config.GroupID, quicktest.Equals, uint64(0))
		}
		g.start("10.0.0.3:81", "10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81")
		g.mustPropose(g.leader(), "a")
		g.waitApplied(1, "a")
	})
}

// promisingCaller is an initial member that promises whatever it is asked, and accepts nothing.
type promisingCaller struct{}

func (promisingCaller) Call(_ context.Context, _, _ string, in, out any) error {
	r := in.(*FoundRequest)
	*out.(*FoundReply) = FoundReply{Granted: r.Group == nil, Promised: r.Ballot}
	return nil
}

// TestFoundingNeedsMajority guards against a second group: what a minority has accepted isn't decided, and another attempt may decide
// something else.
func TestFoundingNeedsMajority(t *testing.T) {
	members := []string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81"}
	d, _, err := openDisk(&store.Mem{}, "/data", members)
	quicktest.Assert(t, err, quicktest.IsNil)
	n := &Node{Addr: members[0], Calls: promisingCaller{}, disk: d, founder: newFounder(d)}
	n.setup()
	for range 2 {
		group, err := n.agree(t.Context(), members, []Replica{{ID: d.id, Addr: n.Addr}})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, group, quicktest.IsNil)
	}
	quicktest.Check(t, d.founding.Accepted, quicktest.IsNotNil)
	quicktest.Check(t, d.founding.Promised, quicktest.Equals, Ballot{Round: 2, ID: d.id})
}

// TestMemberWithDataFoundsNothing guards against a member that promises while it starts again: it would take part in a second group, and
// forget on its disk that it has joined one.
func TestMemberWithDataFoundsNothing(t *testing.T) {
	fs, members := &store.Mem{}, []string{"a", "b", "a"}
	d, _, err := openDisk(fs, "/data", members)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, d.founding.Members, quicktest.DeepEquals, []string{"a", "b"})
	quicktest.Assert(t, d.saveSnapshot(Snapshot{Index: 1, Term: 1}, true), quicktest.IsNil)
	quicktest.Assert(t, d.close(), quicktest.IsNil)
	d, _, err = openDisk(fs, "/data", members)
	quicktest.Assert(t, err, quicktest.IsNil)
	reply, err := newFounder(d).answer(&FoundRequest{Members: []string{"a", "b"}, Ballot: Ballot{Round: 1, ID: 1}})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, reply.Granted, quicktest.IsFalse)
	quicktest.Check(t, d.founding.Promised, quicktest.Equals, Ballot{})
}

// TestInvalidFoundingRejected guards against a group that lacks an initial member, or has two replicas for one.
func TestInvalidFoundingRejected(t *testing.T) {
	a, b := Replica{ID: 1, Addr: "a"}, Replica{ID: 2, Addr: "b"}
	for _, r := range []FoundRequest{
		{Members: []string{"a", "b"}, Group: &FirstGroup{}},
		{Members: []string{"a", "b"}, Group: &FirstGroup{Replicas: []Replica{a}}},
		{Members: []string{"a", "b"}, Group: &FirstGroup{Replicas: []Replica{a, a}}},
		{Members: []string{"a", "b"}, Group: &FirstGroup{Replicas: []Replica{a, {ID: 1, Addr: "b"}}}},
		{Members: []string{"a", "b"}, Group: &FirstGroup{Replicas: []Replica{a, {Addr: "b"}}}},
		{Members: []string{"a", "b"}, Decided: true},
	} {
		_, err := newStartedNode().onFound(t.Context(), &r)
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%+v", r))
	}
	valid := FoundRequest{Members: []string{"a", "b"}, Group: &FirstGroup{Replicas: []Replica{b, a}}}
	quicktest.Check(t, valid.Check(), quicktest.IsNil)
}

// newStartedNode returns a node that answers requests.
func newStartedNode() *Node {
	n := &Node{}
	n.setup()
	close(n.diskOpened)
	return n
}

// TestOneGroupIsFounded guards against two groups, and against none: during the first start members are cut off, one way or both,
// killed and started again, and at most a minority loses its disk. Those that start again are told that the group exists.
func TestOneGroupIsFounded(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) { playFounding(t, seed) })
	}
}

func playFounding(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	size := 3 + 2*r.IntN(2)
	g := newGroup(t, 0)
	g.targetVoters = size
	var initial []string
	for i := range size {
		initial = append(initial, fmt.Sprintf("10.0.0.%d:81", i+1))
	}
	groups := make(map[uint64]bool)
	note := func() {
		for _, m := range g.replicas {
			if st := m.node.status.Load(); st != nil && st.Config.GroupID != 0 {
				groups[st.Config.GroupID] = true
			}
		}
	}
	for _, a := range initial {
		g.start(a, initial...)
		time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
	}
	g.joinExisting = true
	wiped := 0
	for range 5 + r.IntN(15) {
		a, b := initial[r.IntN(size)], initial[r.IntN(size)]
		switch r.IntN(6) {
		case 0, 1:
			g.isolate(a)
		case 2:
			g.heal(a)
		case 3:
			if a != b {
				g.net.Cut(a, b)
			}
		case 4, 5:
			g.crashReplica(a)
			if wiped < (size-1)/2 && r.IntN(4) == 0 {
				wiped++
				g.replicas[a].disk = &store.Mem{}
			}
			g.start(a)
		}
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		note()
	}
	for _, a := range initial {
		g.heal(a)
	}
	g.mustPropose(g.leader(), "a")
	g.waitApplied(1, "a")
	note()
	quicktest.Assert(t, groups, quicktest.HasLen, 1, quicktest.Commentf("seed %d", seed))
	quicktest.Check(t, slices.Contains(initial, g.leader()), quicktest.IsTrue)
	g.close()
}
