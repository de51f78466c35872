package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// testTiming is the timing of control instances.
var testTiming = Timing{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: time.Second}

// newTwoOfThree returns two of the three voters of a group, without a leader.
func newTwoOfThree(t *testing.T) map[ID]*Core {
	t.Helper()
	cfg := NewConfig(Replica{ID: 1}, Replica{ID: 2}, Replica{ID: 3})
	cores := map[ID]*Core{}
	for _, id := range []ID{1, 2} {
		c, err := NewCore(id, testTiming, PersistentState{
			Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg},
		}, 0, rand.New(rand.NewPCG(1, uint64(id))))
		quicktest.Assert(t, err, quicktest.IsNil)
		cores[id] = c
	}
	return cores
}

// TestSimultaneousPreCandidates guards against a split vote: two of three replicas start
// an election before either receives the other's request, while the third is down. Seen
// after a power loss of all replicas: the votes were split, and another 1.2 s passed
// without a leader.
func TestSimultaneousPreCandidates(t *testing.T) {
	cores := newTwoOfThree(t)
	// Later than any election timeout with jitter.
	now := 2 * testTiming.ElectionTimeout
	for _, c := range cores {
		c.Tick(now)
	}
	// Both replicas send before either receives, in every round.
	for {
		var sent []Message
		for _, id := range []ID{1, 2} {
			o := cores[id].Take()
			cores[id].Synced()
			sent = append(append(sent, o.Immediate...), o.AfterSync...)
		}
		if cores[1].Status().IsLeader || cores[2].Status().IsLeader {
			return
		}
		if len(sent) == 0 {
			t.Fatal("no leader, and no messages left to deliver")
		}
		now += time.Millisecond
		deliver(cores, now, sent)
	}
}

// TestLearnerForgetsSilentLeader guards against a learner that takes a leader for the current one that has removed it, or was
// replaced by one that doesn't know it: it would never ask to join again.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	cfg := NewConfig(Replica{ID: 1}, Replica{ID: 2})
	cfg.Replicas = append(cfg.Replicas, Replica{ID: 3})
	c, err := NewCore(3, testTiming, PersistentState{Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg}}, 0, rand.New(rand.NewPCG(1, 1)))
	quicktest.Assert(t, err, quicktest.IsNil)
	now := 5 * testTiming.ElectionTimeout
	c.Step(now, Message{From: 1, To: 3, Term: 2, Body: Append{PrevIndex: 1, PrevTerm: 1}})
	for range 9 {
		now += testTiming.ElectionTimeout / 10
		c.Tick(now)
		quicktest.Assert(t, c.Status().Leader, quicktest.Equals, ID(1))
	}
	now += testTiming.ElectionTimeout
	c.Tick(now)
	quicktest.Assert(t, c.Status().Leader, quicktest.Equals, ID(0))
	c.Step(now, Message{From: 1, To: 3, Term: 2, Body: Append{PrevIndex: 1, PrevTerm: 1}})
	quicktest.Assert(t, c.Status().Leader, quicktest.Equals, ID(1))
}

// TestLostVoteRequestIsRepeated guards against a group without a leader for another election timeout, because the first
// messages from one voter to another are lost with a connection to a former process.
func TestLostVoteRequestIsRepeated(t *testing.T) {
	lostFor := callTimeoutHeartbeats * testTiming.HeartbeatInterval
	for _, from := range []ID{1, 2} {
		cores := newTwoOfThree(t)
		start := 2 * testTiming.ElectionTimeout
		for now := start; !cores[1].Status().IsLeader && !cores[2].Status().IsLeader; now += 10 * time.Millisecond {
			if now >= start+testTiming.ElectionTimeout {
				t.Fatalf("messages of replica %d lost for %s: no leader after %s", from, lostFor, now-start)
			}
			for _, id := range []ID{1, 2} {
				sent := tick(cores[id], now)
				if id != from || now >= start+lostFor {
					deliver(cores, now, sent)
				}
			}
		}
	}
}

// tick advances the clock of a core and returns what it sends.
func tick(c *Core, now time.Duration) []Message {
	c.Tick(now)
	o := c.Take()
	c.Synced()
	return append(o.Immediate, o.AfterSync...)
}

// deliver hands messages to those of their receivers that run.
func deliver(cores map[ID]*Core, now time.Duration, messages []Message) {
	for _, m := range messages {
		if c := cores[m.To]; c != nil {
			c.Step(now, m)
		}
	}
}
