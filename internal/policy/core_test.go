package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// testMemory is the memory of a test engine in tokens.
const testMemory = 450_000

// startTime is the time at which tests start.
var startTime = time.Unix(1_000, 0)

func announcement(name string, leaving bool) Announce {
	return Announce{News: engine.Announcement{Target: engine.Target{
		Name: name, Addr: "10.0.0.1:80", DataCentre: "dc", Pool: "p", Kind: table.Engine,
		Incarnation: 1, Memory: testMemory, Leaving: leaving,
	}}}
}

func request(id, org string, prompt int, left time.Duration) Ask {
	return Ask{ID: id, Organisation: org, Class: table.Standard, Prompt: prompt, Output: 100, Left: left}
}

// simulation drives a core with random events and keeps the state that it should have.
type simulation struct {
	core    Core
	now     time.Time
	names   []string
	leaving map[string]bool
	// waiting holds the deadlines of requests without a decision.
	waiting map[string]time.Time
	granted map[string]Grant
	next    int
}

func newSimulation(targets int) *simulation {
	s := &simulation{
		core: Core{Epoch: 1}, now: startTime, leaving: make(map[string]bool),
		waiting: make(map[string]time.Time), granted: make(map[string]Grant),
	}
	for i := range targets {
		s.names = append(s.names, fmt.Sprintf("t%d", i))
	}
	return s
}

// step runs one event and checks what must hold after each.
func (s *simulation) step(t *rapid.T, e Event) {
	if r, ok := e.(Release); ok {
		delete(s.granted, r.Grant)
	}
	for _, d := range s.core.Step(s.now, e) {
		switch d := d.(type) {
		case Grant:
			if _, ok := s.waiting[d.ID]; !ok {
				t.Fatalf("grant %s is for a request that is not waiting", d.ID)
			}
			for _, et := range d.Targets {
				if s.leaving[et.Name] {
					t.Fatalf("grant %s on leaving target %s", d.ID, et.Name)
				}
			}
			delete(s.waiting, d.ID)
			s.granted[d.ID] = d
		case Refuse:
			delete(s.waiting, d.ID)
		case Cancel:
			delete(s.granted, d.Grant)
		}
	}
	s.check(t)
}

// check compares the reservations of the core with those of the grants.
func (s *simulation) check(t *rapid.T) {
	used := make(map[string]int)
	for _, g := range s.granted {
		for _, et := range g.Targets {
			used[et.Name] += g.Share
		}
	}
	sum := 0
	for name, n := range used {
		sum += n
		if n > testMemory {
			t.Fatalf("grants reserve %d tokens on %s, which has %d", n, name, testMemory)
		}
	}
	if got := s.core.Reserved(); got != sum {
		t.Fatalf("core has %d tokens reserved, the grants add up to %d", got, sum)
	}
	if got := s.core.Granted(); got != len(s.granted) {
		t.Fatalf("core has %d active grants, want %d", got, len(s.granted))
	}
}

// anyGrant returns a random active grant; it skips the action if there is none.
func (s *simulation) anyGrant(t *rapid.T) string {
	if len(s.granted) == 0 {
		t.Skip("no grant")
	}
	ids := make([]string, 0, len(s.granted))
	for id := range s.granted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "grant")
}

func (s *simulation) arrive(t *rapid.T) {
	s.next++
	id := fmt.Sprint(s.next)
	a := request(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
		rapid.SampledFrom([]int{1_000, 20_000, 90_000, 300_000, 1_000_000}).Draw(t, "prompt"),
		time.Duration(rapid.IntRange(1, 60).Draw(t, "left"))*time.Second)
	a.Class = rapid.SampledFrom([]table.Class{table.Interactive, table.Standard, table.Batch}).Draw(t, "class")
	if rapid.Bool().Draw(t, "again") {
		a.Avoid = []string{rapid.SampledFrom(s.names).Draw(t, "avoid")}
	}
	s.waiting[id] = s.now.Add(a.Left)
	s.step(t, Arrive{Ask: a})
}

// advance lets time pass and checks that no request is without a decision after its
// deadline.
func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2_000).Draw(t, "ms")) * time.Millisecond)
	s.step(t, Tick{})
	for id, deadline := range s.waiting {
		if s.now.After(deadline) {
			t.Fatalf("request %s has no decision at its deadline", id)
		}
	}
}

// failOver replaces the core by one of the next epoch, which adopts all grants.
func (s *simulation) failOver(t *rapid.T) {
	old := s.granted
	s.core = Core{Epoch: s.core.Epoch + 1}
	s.granted = make(map[string]Grant)
	s.waiting = make(map[string]time.Time)
	ids := make([]string, 0, len(old))
	for id := range old {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.granted[id] = old[id]
		s.step(t, Adopt{Grant: old[id], Ask: request(id, "a", old[id].Share, time.Minute), Share: old[id].Share})
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": s.arrive,
		"announce": func(t *rapid.T) {
			name := rapid.SampledFrom(s.names).Draw(t, "target")
			s.step(t, announcement(name, s.leaving[name]))
		},
		"heard": func(t *rapid.T) {
			s.step(t, Heard{Target: rapid.SampledFrom(s.names).Draw(t, "target")})
		},
		"depart": func(t *rapid.T) {
			name := rapid.SampledFrom(s.names).Draw(t, "target")
			s.leaving[name] = true
			s.step(t, Depart{Target: name})
		},
		"first": func(t *rapid.T) {
			first := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond
			s.step(t, Renew{Grant: s.anyGrant(t), Progress: Progress{First: first, Generated: 1}})
		},
		"release": func(t *rapid.T) {
			s.step(t, Release{Grant: s.anyGrant(t), Failed: rapid.Bool().Draw(t, "failed")})
		},
		"release twice": func(t *rapid.T) {
			id := s.anyGrant(t)
			s.step(t, Release{Grant: id})
			s.step(t, Release{Grant: id})
		},
		"withdraw": func(t *rapid.T) {
			id := fmt.Sprint(rapid.IntRange(1, s.next+1).Draw(t, "id"))
			delete(s.waiting, id)
			s.step(t, Withdraw{ID: id})
		},
		"pass":      s.advance,
		"take over": s.failOver,
	}
}

// TestReservationsBalance runs random arrivals, failures, cancellations, departures and
// scheduler failovers. It guards against reservations that leak or overbook an engine,
// grants on leaving targets, and requests without a decision at their deadline.
func TestReservationsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 6).Draw(t, "targets"))
		for _, name := range s.names {
			s.step(t, announcement(name, false))
		}
		t.Repeat(s.actions())
		s.now = s.now.Add(2 * LeaseTime)
		s.step(t, Tick{})
		s.now = s.now.Add(time.Hour)
		s.step(t, Tick{})
		if n := s.core.Reserved() + s.core.Granted() + s.core.Waiting(); n != 0 {
			t.Fatalf("tokens, grants and requests left at the end add up to %d, want 0", n)
		}
	})
}

// TestQueueOrderIsTotal guards against an order of requests that is not a total order,
// with which the heaps of the queue would not return the first request.
func TestQueueOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, seq uint64) *queuedRequest {
			return &queuedRequest{grantDeadline: startTime.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, name))), seq: seq}
		}
		a, b, c := draw("a", 1), draw("b", 2), draw("c", 3)
		for _, x := range []*queuedRequest{a, b, c} {
			if x.before(x) {
				t.Fatal("a request is before itself")
			}
		}
		if a.before(b) == b.before(a) {
			t.Fatal("two requests have no order")
		}
		if a.before(b) && b.before(c) && !a.before(c) {
			t.Fatal("the order is not transitive")
		}
	})
}

// TestArrivalOrderKeepsShares guards against an organisation that gets more grants
// because its requests came first: over two arrival orders of equal requests, the grants
// of each organisation may differ by one at most.
func TestArrivalOrderKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var orgs []string
		for _, org := range []string{"a", "b", "c"} {
			for range rapid.IntRange(1, 12).Draw(t, org) {
				orgs = append(orgs, org)
			}
		}
		first := grantsByOrganisation(t, orgs)
		second := grantsByOrganisation(t, rapid.Permutation(orgs).Draw(t, "order"))
		for org, n := range first {
			if d := n - second[org]; d < -1 || d > 1 {
				t.Fatalf("organisation %s got %d and %d grants", org, n, second[org])
			}
		}
	})
}

// grantsByOrganisation queues equal requests behind a busy engine and returns how many of
// the first grants each organisation got.
func grantsByOrganisation(t *rapid.T, orgs []string) map[string]int {
	const grants = 10
	s := newSimulation(1)
	s.step(t, announcement("t0", false))
	s.waiting["block"] = s.now.Add(time.Hour)
	s.step(t, Arrive{Ask: request("block", "z", 20_000, time.Hour)})
	for i, org := range orgs {
		id := fmt.Sprintf("%s-%d", org, i)
		s.waiting[id] = s.now.Add(time.Hour)
		s.step(t, Arrive{Ask: request(id, org, 20_000, time.Hour)})
	}
	out := make(map[string]int)
	for range grants {
		for id := range s.granted {
			s.step(t, Release{Grant: id})
		}
		for id := range s.granted {
			out[id[:1]]++
		}
	}
	return out
}

// TestPromptSpansEngines guards against a prompt larger than one engine that gets its
// engines one by one, or whose memory is not reserved and freed on all of them.
func TestPromptSpansEngines(t *testing.T) {
	var c Core
	now := startTime
	for i := range 3 {
		c.Step(now, announcement(fmt.Sprintf("t%d", i), false))
	}
	d := c.Step(now, Arrive{Ask: request("big", "a", 1_000_000, time.Minute)})
	quicktest.Assert(t, d, quicktest.HasLen, 1)
	g := d[0].(Grant)
	quicktest.Check(t, g.Targets, quicktest.HasLen, 3)
	quicktest.Check(t, c.Reserved() >= 1_000_100, quicktest.IsTrue)
	c.Step(now, Release{Grant: "big"})
	quicktest.Check(t, c.Reserved(), quicktest.Equals, 0)
}

// TestAllTargetsAvoided guards against a request that waits in the queue although all
// targets have failed it; it must be refused at once, to be tried again later. The
// targets to avoid may be named twice.
func TestAllTargetsAvoided(t *testing.T) {
	var c Core
	c.Step(startTime, announcement("t0", false))
	a := request("x", "a", 1_000, time.Minute)
	a.Avoid = []string{"t0", "t0"}
	d := c.Step(startTime, Arrive{Ask: a})
	quicktest.Assert(t, d, quicktest.HasLen, 1)
	quicktest.Check(t, d[0].(Refuse).Reason, quicktest.Equals, verd.Unavailable)
	quicktest.Check(t, d[0].(Refuse).RetryAfter > 0, quicktest.IsTrue)
}

// TestSilentTarget guards against work for a target that has stopped announcing itself:
// it must be probed and get nothing until it answers.
func TestSilentTarget(t *testing.T) {
	var c Core
	c.Step(startTime, announcement("t0", false))
	now := startTime.Add(silenceTimeout + time.Second)
	d := c.Step(now, Tick{})
	quicktest.Assert(t, d, quicktest.HasLen, 1)
	quicktest.Check(t, d[0].(Probe).Target.Name, quicktest.Equals, "t0")
	d = c.Step(now, Arrive{Ask: request("x", "a", 1_000, time.Minute)})
	quicktest.Check(t, d[0].(Refuse).Reason, quicktest.Equals, verd.Unavailable)
	c.Step(now, Heard{Target: "t0"})
	d = c.Step(now, Arrive{Ask: request("y", "a", 1_000, time.Minute)})
	quicktest.Check(t, d[0].(Grant).ID, quicktest.Equals, "y")
}

// TestUnaccountedMemory guards against granting memory that an engine uses without a
// known grant. A report may also be older than the last release: memory released since
// must not count as such.
func TestUnaccountedMemory(t *testing.T) {
	var c Core
	n := announcement("t0", false)
	n.News.Report.Used = 400_000
	c.Step(startTime, n)
	d := c.Step(startTime, Arrive{Ask: request("x", "a", 100_000, time.Minute)})
	quicktest.Check(t, d, quicktest.HasLen, 0)
	d = c.Step(startTime, announcement("t0", false))
	quicktest.Assert(t, d, quicktest.HasLen, 1)
	quicktest.Check(t, d[0].(Grant).ID, quicktest.Equals, "x")
	c.Step(startTime, Release{Grant: "x"})
	n.News.Report.Used = 100_100
	c.Step(startTime.Add(time.Second), n)
	d = c.Step(startTime.Add(time.Second), Arrive{Ask: request("y", "a", 400_000, time.Minute)})
	quicktest.Check(t, d, quicktest.HasLen, 1)
}

// TestLateAnnouncementAfterLeaving guards against work for a leaving target of which an
// older announcement, sent before it was leaving, arrives late. A new incarnation must
// get work again, and so must a target after the order that took it out of service.
func TestLateAnnouncementAfterLeaving(t *testing.T) {
	var c Core
	refused := func(id string) bool {
		d := c.Step(startTime, Arrive{Ask: request(id, "a", 1_000, time.Minute)})
		quicktest.Assert(t, d, quicktest.HasLen, 1)
		_, ok := d[0].(Refuse)
		return ok
	}
	c.Step(startTime, announcement("t0", false))
	c.Step(startTime, announcement("t0", true))
	c.Step(startTime, announcement("t0", false))
	quicktest.Check(t, refused("late"), quicktest.IsTrue)
	fresh := announcement("t0", false)
	fresh.News.Target.Incarnation++
	c.Step(startTime, fresh)
	quicktest.Check(t, refused("fresh"), quicktest.IsFalse)
	fresh.Out = true
	c.Step(startTime, fresh)
	quicktest.Check(t, refused("out"), quicktest.IsTrue)
	fresh.Out = false
	c.Step(startTime, fresh)
	quicktest.Check(t, refused("back"), quicktest.IsFalse)
}
