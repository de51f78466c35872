package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// runToLeader runs a fault-free simulation until a replica leads and returns it, or nil after the
// given time.
func runToLeader(t *testing.T, s *simulation, limit time.Duration) *simNode {
	for end := s.now + limit; s.now < end; {
		quicktest.Assert(t, s.step(), quicktest.IsNil)
		for _, n := range s.nodes {
			if n.core != nil && n.core.Status().IsLeader {
				return n
			}
		}
	}
	return nil
}

// TestRestartOfAllReplicas guards against an election timeout without a leader after all
// replicas were killed, as after a loss of power: entries have no scheduler and operators no
// control in that time.
func TestRestartOfAllReplicas(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for seed := range uint64(50) {
				s := newSimulation(seed, size, noFault)
				s.reliable = true
				quicktest.Assert(t, runToLeader(t, s, 10*time.Second), quicktest.IsNotNil)
				for range 200 {
					quicktest.Assert(t, s.step(), quicktest.IsNil)
				}
				// Messages to a process end with it.
				s.inFlight = nil
				var last time.Duration
				for i, n := range s.nodes {
					n.core, n.resumeAt = nil, s.now+time.Duration(i+1)*100*time.Millisecond
					last = n.resumeAt
				}
				lead := runToLeader(t, s, 10*time.Second)
				quicktest.Assert(t, lead, quicktest.IsNotNil)
				// Two probes, the election, and the delays of their messages.
				quicktest.Check(t, s.now-last < s.timing.ElectionTimeout/2, quicktest.IsTrue,
					quicktest.Commentf("seed %d: leader %s after the last start", seed, s.now-last))
			}
		})
	}
}

// restartBesideLeader restarts all replicas but the leader, which runs on behind a partition, and
// reports whether another one leads within the lease of the leader.
func restartBesideLeader(t *testing.T, seed uint64, f fault) bool {
	s := newSimulation(seed, 5, f)
	s.reliable = true
	lead := runToLeader(t, s, 10*time.Second)
	quicktest.Assert(t, lead, quicktest.IsNotNil)
	for range 100 {
		quicktest.Assert(t, s.step(), quicktest.IsNil)
	}
	s.inFlight = nil
	for _, n := range s.nodes {
		if n != lead {
			n.core = nil
			s.blocked[[2]int{lead.index, n.index}], s.blocked[[2]int{n.index, lead.index}] = true, true
		}
	}
	s.noProposals = true
	for end := s.now + s.timing.lease(); s.now < end; {
		quicktest.Assert(t, s.step(), quicktest.IsNil)
		for _, n := range s.nodes {
			if n != lead && n.core.Status().IsLeader {
				return true
			}
		}
	}
	return false
}

// TestRestartBesideLeader guards against a second leader: the others restart while the leader, which
// holds a lease by their word, runs on. The check must notice an election for which the word of a
// majority was enough.
func TestRestartBesideLeader(t *testing.T) {
	noticed := 0
	for seed := range uint64(50) {
		quicktest.Check(t, restartBesideLeader(t, seed, noFault), quicktest.IsFalse, quicktest.Commentf("seed %d", seed))
		if restartBesideLeader(t, seed, restartMajority) {
			noticed++
		}
	}
	t.Logf("the word of a majority elected a second leader for %d of 50 seeds", noticed)
	quicktest.Check(t, noticed > 0, quicktest.IsTrue)
}

// replaceAndRestart replaces a replica that lost its disk, restarts all once that is done, and returns
// the time from the last start to a leader. With ahead, one of them had entered the next term.
func replaceAndRestart(t *testing.T, seed uint64, ahead bool) time.Duration {
	s := newSimulation(seed, 5, noFault)
	s.reliable = true
	runUntil := func(done func() bool) {
		for end := s.now + 30*time.Second; !done(); {
			quicktest.Assert(t, s.step(), quicktest.IsNil)
			quicktest.Assert(t, s.now < end, quicktest.IsTrue, quicktest.Commentf("seed %d", seed))
		}
	}
	runUntil(s.membershipRestored)
	lost := s.nodes[int(seed)%len(s.nodes)]
	s.loseDisk(lost)
	runUntil(func() bool { return lost.core != nil && s.membershipRestored() })
	settled := s.now + 2*time.Second
	runUntil(func() bool { return s.now >= settled })
	s.inFlight = nil
	start := s.now + 100*time.Millisecond
	for _, n := range s.nodes {
		n.core, n.resumeAt = nil, start
	}
	if ahead {
		// It held an election that the loss of power ended.
		n := s.nodes[int(seed/5)%len(s.nodes)]
		n.disk.HardState.Term, n.disk.HardState.VotedFor = n.disk.HardState.Term+1, n.id
	}
	quicktest.Assert(t, runToLeader(t, s, 10*time.Second), quicktest.IsNotNil)
	return s.now - start
}

// TestRestartOfAllAfterReplacement guards against the same wait where the terms of replicas differ by
// one, or one of them is new: it lost its disk, and was added again under another ID.
func TestRestartOfAllAfterReplacement(t *testing.T) {
	for name, ahead := range map[string]bool{"replaced": false, "replaced, one a term ahead": true} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				took := replaceAndRestart(t, seed, ahead)
				quicktest.Check(t, took < time.Second/2, quicktest.IsTrue, quicktest.Commentf("seed %d: leader %s after the start", seed, took))
			}
		})
	}
}
