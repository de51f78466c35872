package plan

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// TestPermitLimits checks that random opens and closes never exceed the number of
// concurrent loads, the engines of a pool that may be out, or one order per engine, and
// that planners with an outdated fencing number change nothing.
func TestPermitLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		fence := uint64(1)
		sizes := map[string]int{"p": 3, "q": 12, "r": 40}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pool := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "pool")
			n := rapid.IntRange(0, 5).Draw(t, "target")
			id := fmt.Sprint("o", rapid.IntRange(0, 8).Draw(t, "id"))
			held := fence - uint64(rapid.IntRange(0, 1).Draw(t, "old"))
			before := len(b.Permits)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				fence++
				continue
			case 1:
				refused := b.Close(id, held, fence)
				if held != fence && (refused == "" || len(b.Permits) != before) {
					t.Fatal("a planner with an outdated fencing number closed an order")
				}
			default:
				refused := b.Open(newPermit(id, fmt.Sprint(pool, n), pool, sizes[pool], held), fence)
				if held != fence && (refused == "" || len(b.Permits) != before) {
					t.Fatal("a planner with an outdated fencing number opened an order")
				}
			}
			checkBook(t, &b, sizes)
		}
	})
}

// newPermit returns a permit to load a model.
func newPermit(id, target, pool string, size int, fence uint64) Permit {
	c := engine.Command{ID: id, Fence: fence}
	c.Set(engine.LoadModel{Model: "m"})
	return Permit{Target: target, Addr: target, Pool: pool, Size: size, Command: c}
}

// checkBook fails the test if the open orders exceed a limit.
func checkBook(t *rapid.T, b *Book, sizes map[string]int) {
	if len(b.Permits) > maxConcurrentLoads {
		t.Fatalf("%d concurrent loads", len(b.Permits))
	}
	out, targets := make(map[string]int), make(map[string]bool)
	for _, p := range b.Permits {
		out[p.Pool]++
		if targets[p.Target] {
			t.Fatalf("two open orders for engine %s", p.Target)
		}
		targets[p.Target] = true
	}
	for pool, n := range out {
		if n > max(1, sizes[pool]/maxOutDivisor) {
			t.Fatalf("%d of %d engines of pool %s are out of service", n, sizes[pool], pool)
		}
	}
}

// TestMoveNeedsLastingShortage checks that short load peaks move no engine, that a lasting
// shortage moves one, and that no further move follows during the cooldown.
func TestMoveNeedsLastingShortage(t *testing.T) {
	idle := Pool{Name: "idle", Model: "a", Load: 0.1, Targets: []engine.Target{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}}}
	busy := Pool{Name: "busy", Model: "b", Load: 0.95, Targets: []engine.Target{{Name: "e4"}}}
	relaxed := busy
	relaxed.Load = 0.5
	var b Balancer
	now := time.Unix(0, 0)
	moves := 0
	for s := range 600 {
		pools := []Pool{idle, busy}
		if s < 300 && s%50 == 49 {
			pools[1] = relaxed
		}
		m, ok := b.Step(now.Add(time.Duration(s)*time.Second), pools, nil)
		if !ok {
			continue
		}
		moves++
		quicktest.Check(t, s >= 300, quicktest.IsTrue)
		quicktest.Check(t, m.Target.Name, quicktest.Equals, "e1")
		quicktest.Check(t, m.Order, quicktest.Equals, engine.Order(engine.LoadModel{Model: "b", Pool: "busy"}))
	}
	quicktest.Check(t, moves, quicktest.Equals, 1)
}

// testSite fakes the control plane, the demand and one engine for two planners.
type testSite struct {
	mu      sync.Mutex
	book    Book
	lease   member.Lease
	expired map[string]bool
	// delay is the time until an order arrives.
	delay  time.Duration
	orders []engine.Command
	wg     sync.WaitGroup
}

func (s *testSite) Call(_ context.Context, method string, in, out any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refused string
	switch method {
	case ListMethod:
		*out.(*Book) = s.book
	case OpenMethod:
		refused = s.book.Open(*in.(*Permit), s.lease.Epoch)
	case CloseMethod:
		c := in.(*Closing)
		refused = s.book.Close(c.ID, c.Fence, s.lease.Epoch)
	}
	if refused != "" {
		return verd.New(verd.NotRun, verd.Conflict, "%s", refused)
	}
	return nil
}

func (s *testSite) Pools(context.Context) ([]Pool, error) { return nil, nil }

func (s *testSite) Holdings(context.Context, string) ([]engine.Holding, error) { return nil, nil }

// Order delivers the command after the delay, even if the sender's ctx has ended by then.
func (s *testSite) Order(ctx context.Context, _ string, c engine.Command) error {
	arrived := make(chan struct{})
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	s.wg.Go(func() {
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.orders = append(s.orders, c)
		close(arrived)
	})
	select {
	case <-arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// memberView is the view that one instance has of the planner's lease.
type memberView struct {
	*testSite
	name string
}

func (s memberView) View() *member.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &member.View{PlannerLease: s.lease}
}

func (s memberView) Live() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.expired[s.name]
}

func (s *testSite) driver(name string) *Driver {
	return &Driver{
		Self: name, Members: memberView{s, name}, Control: s, Site: s, Engines: s,
		Yield: func(context.Context, member.Lease) error { return nil },
		Log:   &log.Logger{Level: log.PanicLevel},
	}
}

// TestOnePlannerAtATime takes the lease from a planner whose order is still in flight to an
// engine that ignores fencing numbers. If the new planner did not wait, that order would
// arrive after its own: the fencing numbers that arrive must never fall.
func TestOnePlannerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &testSite{expired: make(map[string]bool), delay: orderTimeout + maxOrderDelay - time.Millisecond}
		s.lease = member.Lease{Holder: "a", Epoch: 1}
		quicktest.Assert(t, s.book.Open(newPermit("o1", "e1", "p", 5, 1), 1), quicktest.Equals, "")
		ctx, stop := context.WithCancel(t.Context())
		for _, name := range []string{"a", "b"} {
			s.wg.Go(func() { _ = s.driver(name).Run(ctx) })
		}
		time.Sleep(handoverDelay + 2*stepInterval + time.Second)
		s.mu.Lock()
		s.expired["a"] = true
		s.lease = member.Lease{Holder: "b", Epoch: 2}
		s.mu.Unlock()
		time.Sleep(time.Second)
		s.mu.Lock()
		s.delay = time.Millisecond
		s.mu.Unlock()
		time.Sleep(handoverDelay + orderTimeout)
		stop()
		s.wg.Wait()
		var last uint64
		for _, c := range s.orders {
			quicktest.Check(t, c.Fence >= last, quicktest.IsTrue, quicktest.Commentf("fence %d after %d", c.Fence, last))
			last = c.Fence
		}
		quicktest.Check(t, last, quicktest.Equals, uint64(2))
		quicktest.Check(t, len(s.orders) >= 2, quicktest.IsTrue)
		quicktest.Check(t, s.book.Permits, quicktest.HasLen, 0)
	})
}
