package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/policy"
)

// withScheduler runs a test in a synctest bubble, after the takeover of its scheduler has
// ended.
func withScheduler(t *testing.T, run func(t *testing.T, s *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t)
		time.Sleep(2 * settleTime)
		run(t, s)
		s.stop()
	})
}

// TestRepeatedPollReturnsSameGrant guards against granting and reserving twice, and
// against extending the time to use a grant, when an entry loses the reply to a poll and
// polls again.
func TestRepeatedPollReturnsSameGrant(t *testing.T) {
	withScheduler(t, func(t *testing.T, s *testbed) {
		a := s.poll(ask("a", 600))
		time.Sleep(time.Second)
		again := s.poll(ask("a", 600))
		quicktest.Check(t, again.UseBy, quicktest.Equals, a.UseBy-time.Second)
		quicktest.Check(t, s.poll(ask("b", 400)), quicktest.IsNotNil)
		quicktest.Check(t, s.poll(ask("c", 1)), quicktest.IsNil)
	})
}

// TestUnpolledRequestExpires guards against reserving memory for a request whose entry
// has gone away and no longer polls: memory released later must go to the next request.
func TestUnpolledRequestExpires(t *testing.T) {
	withScheduler(t, func(t *testing.T, s *testbed) {
		first := ask("a", 1000)
		s.use(s.poll(first), first)
		quicktest.Check(t, s.poll(ask("b", 1000)), quicktest.IsNil)
		for range 3 {
			time.Sleep(2 * time.Second)
			s.renew()
		}
		_, err := s.service.handleRelease(t.Context(), &ReleaseCall{Shard: shard, Grant: "a"})
		quicktest.Assert(t, err, quicktest.IsNil)
		s.forget("a", true)
		quicktest.Check(t, s.poll(ask("c", 1000)), quicktest.IsNotNil)
	})
}

// TestTakeOver guards against granting memory twice after the scheduler of a grant in use
// has been replaced. The new scheduler learns of the grant from the reply of its entry
// or, if the entry does not reply, from its next renewal.
func TestTakeOver(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		t.Run(fmt.Sprintf("deaf=%t", unresponsive), func(t *testing.T) {
			withScheduler(t, func(t *testing.T, s *testbed) {
				a := ask("a", 700)
				s.use(s.poll(a), a)
				s.unresponsive = unresponsive
				s.replaceScheduler()
				s.renew()
				quicktest.Check(t, s.poll(ask("b", 300)), quicktest.IsNotNil)
				quicktest.Check(t, s.poll(ask("c", 1)), quicktest.IsNil)
				quicktest.Check(t, s.heldTokens(), quicktest.Equals, 700)
			})
		})
	}
}

// action is one random action of TestNoReservationLeaks.
type action struct {
	kind   string
	tokens int
}

// TestNoReservationLeaks guards against memory that stays reserved or held after grants,
// lost calls, crashes and takeovers in any order: once no grant is in use, the engine
// must be empty and a request for all of its memory must be granted.
func TestNoReservationLeaks(t *testing.T) {
	kinds := rapid.SampledFrom([]string{"use", "unused", "withdraw", "release", "lose release", "entry dies", "engine dies", "take over", "renew"})
	actions := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
		return action{kind: kinds.Draw(rt, "what"), tokens: rapid.IntRange(1, engineMemory/3).Draw(rt, "tokens")}
	}), 1, 12)
	rapid.Check(t, func(rt *rapid.T) {
		steps := actions.Draw(rt, "steps")
		held, granted := 0, false
		withScheduler(t, func(_ *testing.T, s *testbed) {
			for n, a := range steps {
				s.perform(n, a)
				time.Sleep(policy.LeaseTime / 3)
				s.renew()
			}
			s.mu.Lock()
			clear(s.inUse)
			s.mu.Unlock()
			time.Sleep(2*policy.LeaseTime + 2*checkInterval)
			held = s.heldTokens()
			granted = s.poll(ask("whole", engineMemory)) != nil
		})
		if held > 0 || !granted {
			rt.Fatalf("engine holds %d tokens, want 0; granted: %t, want a grant of all %d tokens", held, granted, engineMemory)
		}
	})
}

// perform executes the nth action.
func (s *testbed) perform(n int, act action) {
	a := ask(fmt.Sprintf("r%d", n), act.tokens)
	switch act.kind {
	case "use":
		if g := s.poll(a); g != nil {
			s.use(g, a)
		}
	case "unused":
		s.poll(a)
	case "withdraw":
		s.poll(a)
		_, _ = s.service.handleWithdraw(s.t.Context(), &WithdrawCall{Shard: shard, ID: a.ID}) // Cannot fail: a scheduler runs.
	case "release", "lose release":
		gs := s.grantsInUse()
		if len(gs) == 0 {
			return
		}
		id := gs[0].Grant.ID
		s.forget(id, act.kind == "release")
		if act.kind == "release" {
			_, _ = s.service.handleRelease(s.t.Context(), &ReleaseCall{Shard: shard, Grant: id}) // Cannot fail: a scheduler runs.
		}
	case "entry dies":
		s.mu.Lock()
		clear(s.inUse)
		s.mu.Unlock()
	case "engine dies":
		s.mu.Lock()
		clear(s.holdings)
		s.mu.Unlock()
	case "take over":
		s.replaceScheduler()
	}
}
