package inst

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// settleTime is how long a test waits for a new site to be ready.
const settleTime = 5 * time.Second

// withSite runs a test on a site with one instance and two engines, once it is ready, and
// checks afterwards that the engines are idle.
func withSite(t *testing.T, run func(t *testing.T, s *site, engines []*fake.Engine)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		engines := []*fake.Engine{s.startEngine(1, "dakar-a"), s.startEngine(2, "dakar-a")}
		time.Sleep(settleTime)
		run(t, s, engines)
		s.checkEnginesIdle(engines...)
		s.close()
	})
}

// TestStreamFaults injects each fault that a single stream can have. The caller must
// receive the whole answer, each chunk once and in order.
func TestStreamFaults(t *testing.T) {
	faults := map[string]func(*fake.Faults){
		"break":     func(f *fake.Faults) { f.BreakAfter = 3 },
		"silence":   func(f *fake.Faults) { f.MuteAfter = 3 },
		"first":     func(f *fake.Faults) { f.MuteAfter = 1 },
		"drop end":  func(f *fake.Faults) { f.DropEnd = true },
		"duplicate": func(f *fake.Faults) { f.Duplicate = true },
		"reorder":   func(f *fake.Faults) { f.Reorder = true },
		"foreign":   func(f *fake.Faults) { f.Foreign = true },
		"late":      func(f *fake.Faults) { f.Late = 200 * time.Millisecond },
		"together":  func(f *fake.Faults) { f.Reorder, f.Duplicate, f.DropEnd = true, true, true },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
				for _, e := range engines {
					e.Fault(fault)
				}
				s.checkComplete(s.streamCompletion(t.Context(), 1, 20, 400), 20)
			})
		})
	}
}

// TestEngineCrash crashes the engine that serves a request, at different times. The other
// engine must continue the answer, without the caller seeing a gap.
func TestEngineCrash(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"before the first byte": time.Millisecond,
		"in the stream":         150 * time.Millisecond,
		"near the end":          395 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
				s.wg.Go(func() {
					i := waitForBusy(engines...)
					time.Sleep(after)
					engines[i].Fault(func(f *fake.Faults) { f.Dead = true })
				})
				s.checkComplete(s.streamCompletion(t.Context(), 1, 40, 400), 40)
			})
		})
	}
}

// TestAllEnginesCrash crashes both engines during an answer. The caller must get an error
// within a minute, with the verdict that the request ran.
func TestAllEnginesCrash(t *testing.T) {
	withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
		s.wg.Go(func() {
			waitForBusy(engines...)
			time.Sleep(100 * time.Millisecond)
			for _, e := range engines {
				e.Fault(func(f *fake.Faults) { f.Dead = true })
			}
		})
		got := s.streamCompletion(t.Context(), 1, 40, 400)
		quicktest.Check(t, got.complete, quicktest.IsFalse)
		quicktest.Check(t, got.errMsg, quicktest.Not(quicktest.Equals), "")
		quicktest.Check(t, got.verdict, quicktest.Equals, "ran")
		quicktest.Check(t, got.elapsed < time.Minute, quicktest.IsTrue)
	})
}

// TestAllEnginesUnreachable sends a request to a site that can reach none of its engines.
// It must fail within a minute, with the verdict that nothing ran.
func TestAllEnginesUnreachable(t *testing.T) {
	withSite(t, func(t *testing.T, s *site, _ []*fake.Engine) {
		s.net.Cut("10.0.0.1:81", "10.1.0.1:80")
		s.net.Cut("10.0.0.1:81", "10.1.0.2:80")
		got := s.streamCompletion(t.Context(), 1, 40, 400)
		quicktest.Check(t, got.status, quicktest.Equals, http.StatusServiceUnavailable)
		quicktest.Check(t, got.verdict, quicktest.Equals, "not-run")
		quicktest.Check(t, got.elapsed < time.Minute, quicktest.IsTrue)
	})
}

// TestSilentConnections makes the open connections to the engines silent at different
// times, as a firewall does that drops their state. New connections work, so the request
// must succeed over one, within 15 s.
func TestSilentConnections(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"kept alive":    0,
		"in the prompt": time.Millisecond,
		"in the stream": 100 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
				s.checkComplete(s.streamCompletion(t.Context(), 1, 5, 400), 5)
				silence := func() {
					s.net.Silence("10.0.0.1:81", "10.1.0.1:80")
					s.net.Silence("10.0.0.1:81", "10.1.0.2:80")
				}
				if after == 0 {
					silence()
				} else {
					s.wg.Go(func() {
						waitForBusy(engines...)
						time.Sleep(after)
						silence()
					})
				}
				got := s.streamCompletion(t.Context(), 1, 40, 400)
				s.checkComplete(got, 40)
				quicktest.Check(t, got.elapsed < 15*time.Second, quicktest.IsTrue)
			})
		})
	}
}

// TestCallerDisconnects closes the caller's connection during an answer. The engine must
// free the memory of the request within a second, not only when the grant expires.
func TestCallerDisconnects(t *testing.T) {
	withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
		ctx, disconnect := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer disconnect()
		got := s.streamCompletion(ctx, 1, 10_000, 400)
		quicktest.Check(t, got.complete, quicktest.IsFalse)
		time.Sleep(time.Second)
		for _, e := range engines {
			quicktest.Check(t, e.Held(), quicktest.Equals, 0)
		}
	})
}

// TestGrantUsedTooLate keeps one engine unreachable until the time by which its grant
// must be used has passed. The engine must not get the request even though it is then
// reachable again; the other engine serves it.
func TestGrantUsedTooLate(t *testing.T) {
	withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
		s.net.Cut("10.0.0.1:81", "10.1.0.1:80")
		s.wg.Go(func() {
			time.Sleep(2500 * time.Millisecond)
			s.net.Heal("10.0.0.1:81", "10.1.0.1:80")
		})
		s.checkComplete(s.streamCompletion(t.Context(), 1, 400, 400), 400)
		quicktest.Check(t, engines[0].Runs(), quicktest.Equals, 0)
		quicktest.Check(t, engines[1].Runs(), quicktest.Equals, 1)
	})
}

// TestTargetDrainsAtOtherInstance has a target announce to an instance of another data
// centre that it is leaving. No instance may send it a request any more; the scheduler
// must receive the announcement within 3 s.
func TestTargetDrainsAtOtherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-b")
		e1, e2 := s.startEngine(1, "dakar-a"), s.startEngine(2, "dakar-a")
		time.Sleep(settleTime)
		a := fake.Announcer{Client: s.clientFrom("10.1.0.1:80"), Entries: []string{"10.0.0.2:80"}, Target: e1.Target}
		a.Target.Incarnation++
		quicktest.Assert(t, a.Announce(t.Context(), true), quicktest.IsNil)
		for i := range 5 {
			s.checkComplete(s.streamCompletion(t.Context(), 1+i%2, 5, 400), 5)
		}
		quicktest.Check(t, e1.Runs(), quicktest.Equals, 0)
		quicktest.Check(t, e2.Runs(), quicktest.Equals, 5)
		s.checkEnginesIdle(e1, e2)
		s.close()
	})
}

// TestSchedulerLost isolates the scheduler of a shard while another instance relays a
// stream under one of its grants. The stream must continue, and the next scheduler must
// take over the grant and serve new requests.
func TestSchedulerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-b")
		s.startInstance(3, "dakar-b")
		e := s.startEngine(1, "dakar-b")
		time.Sleep(settleTime)
		holder, entry := 2, 3
		if s.schedulerOf("advice", "dakar-b") == "i3" {
			holder, entry = 3, 2
		}
		longResponse := make(chan response, 1)
		s.wg.Go(func() { longResponse <- s.streamCompletion(t.Context(), entry, 3000, 400) })
		waitForBusy(e)
		lost := fmt.Sprintf("10.0.0.%d:81", holder)
		s.net.Cut(lost, "10.0.0.1:81")
		s.net.Cut(lost, fmt.Sprintf("10.0.0.%d:81", entry))
		s.net.Cut(lost, "10.1.0.1:80")
		s.checkComplete(s.streamCompletion(t.Context(), entry, 5, 400), 5)
		s.checkComplete(<-longResponse, 3000)
		quicktest.Check(t, e.Runs(), quicktest.Equals, 2)
		s.checkEnginesIdle(e)
		s.net.Heal(lost, "10.0.0.1:81")
		s.close()
	})
}

// TestDrainWithOpenStream drains an instance that relays a stream. No instance may list
// it as an entry any more, but it must serve callers that still use its address, and stop
// only after both streams have ended.
func TestDrainWithOpenStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-a")
		e := s.startEngine(1, "dakar-a")
		time.Sleep(settleTime)
		longResponse := make(chan response, 1)
		s.wg.Go(func() { longResponse <- s.streamCompletion(t.Context(), 2, 3000, 400) })
		waitForBusy(e)
		s.cancels[1]()
		time.Sleep(2 * time.Second)
		for _, addr := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
			list := s.do("GET", "http://"+addr+"/entries", "")
			quicktest.Check(t, list, quicktest.Contains, "10.0.0.1:80\",\"data_centre")
			quicktest.Check(t, list, quicktest.Not(quicktest.Contains), "10.0.0.2:80\",\"data_centre")
		}
		s.checkComplete(s.streamCompletion(t.Context(), 2, 5, 400), 5)
		s.checkComplete(<-longResponse, 3000)
		s.checkEnginesIdle(e)
		s.close()
	})
}

// TestSpillToOtherDataCentre sends a request to a data centre whose engine has no KV
// cache left. It must run in the other data centre.
func TestSpillToOtherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-b")
		e1, e2 := s.startEngine(1, "dakar-a"), s.startEngine(2, "dakar-b")
		time.Sleep(settleTime)
		longResponse := make(chan response, 1)
		s.wg.Go(func() { longResponse <- s.streamCompletion(t.Context(), 1, 3000, 1_580_000) })
		waitForBusy(e1)
		s.checkComplete(s.streamCompletion(t.Context(), 1, 5, 400_000), 5)
		quicktest.Check(t, e2.Runs(), quicktest.Equals, 1)
		s.checkComplete(<-longResponse, 3000)
		s.checkEnginesIdle(e1, e2)
		s.close()
	})
}

// TestTargetWithoutLocalInstance announces an engine of a data centre that has no
// instance. It must get requests from the instance elsewhere and keep nothing after they
// end.
func TestTargetWithoutLocalInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		e := s.startEngine(1, "dakar-c")
		time.Sleep(settleTime)
		s.checkComplete(s.streamCompletion(t.Context(), 1, 5, 400), 5)
		quicktest.Check(t, e.Holdings(), quicktest.DeepEquals, []engine.Holding{})
		s.close()
	})
}

// TestLeadEngineCrash crashes the lead engine of a prefill that is split over three
// engines. The request must complete on the others, and the memory that the lead engine
// had reserved on its peers must be freed.
func TestLeadEngineCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-b")
		var engines []*fake.Engine
		for n := range 4 {
			engines = append(engines, s.startEngine(n+1, "dakar-a"))
		}
		engines = append(engines, s.startEngine(5, "dakar-b"))
		time.Sleep(settleTime)
		s.wg.Go(func() {
			for {
				time.Sleep(100 * time.Millisecond)
				for _, e := range engines {
					if e.Runs() > 0 {
						e.Fault(func(f *fake.Faults) { f.Dead = true })
						return
					}
				}
			}
		})
		s.checkComplete(s.streamCompletion(t.Context(), 2, 5, 4_000_000), 5)
		s.checkEnginesIdle(engines...)
		s.close()
	})
}

// TestAnnouncementsLost drops the announcements of two engines. The one that answers
// health checks must go on getting requests; the one that does not must get none.
func TestAnnouncementsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		e1, e2 := s.startEngine(1, "dakar-a"), s.startEngine(2, "dakar-a")
		time.Sleep(settleTime)
		for _, addr := range []string{"10.1.0.1:80", "10.1.0.2:80"} {
			s.net.Cut(addr, "10.0.0.1:80")
		}
		s.net.Cut("10.1.0.2:80", "10.0.0.1:81")
		time.Sleep(30 * time.Second)
		for range 3 {
			s.checkComplete(s.streamCompletion(t.Context(), 1, 5, 400), 5)
		}
		quicktest.Check(t, e1.Runs(), quicktest.Equals, 3)
		quicktest.Check(t, e2.Runs(), quicktest.Equals, 0)
		s.checkEnginesIdle(e1, e2)
		s.close()
	})
}
