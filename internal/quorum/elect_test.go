package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestSimultaneousPreCandidates guards against a split vote: two of three replicas start
// an election before either receives the other's request, while the third is down. Seen
// after a power loss of all replicas: the votes were split, and another 1.2 s passed
// without a leader.
func TestSimultaneousPreCandidates(t *testing.T) {
	cfg := NewConfig(Replica{ID: 1}, Replica{ID: 2}, Replica{ID: 3})
	timing := Timing{HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: time.Second}
	cores := map[ID]*Core{}
	for _, id := range []ID{1, 2} {
		c, err := NewCore(id, timing, PersistentState{
			Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg},
		}, 0, rand.New(rand.NewPCG(1, uint64(id))))
		quicktest.Assert(t, err, quicktest.IsNil)
		cores[id] = c
	}
	// Later than any election timeout with jitter.
	now := 2 * timing.ElectionTimeout
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
		for _, m := range sent {
			if c := cores[m.To]; c != nil {
				c.Step(now, m)
			}
		}
	}
}
