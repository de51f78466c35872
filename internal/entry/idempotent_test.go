package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// faultyService is a service that counts its calls, with faults to switch on.
type faultyService struct {
	fake.Service
	mu    sync.Mutex
	fault string
}

func (s *faultyService) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// ServeHTTP runs the call and injects the fault before or after it.
func (s *faultyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case "refuse":
		_, _ = io.Copy(io.Discard, r.Body) // A response sent before the body is read can be lost.
		w.Header().Set(verd.Header, verd.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "cut before":
		panic(http.ErrAbortHandler)
	case "slow":
		time.Sleep(3 * time.Second)
	}
	s.Service.ServeHTTP(w, r)
	switch fault {
	case "cut after":
		panic(http.ErrAbortHandler)
	case "silent":
		<-r.Context().Done()
	case "long":
		_, _ = w.Write(make([]byte, maxStoredBody)) // If this fails the caller gets a truncated response.
	}
}

// withTestEntry runs a test with an entry and a service, on a synthetic clock.
func withTestEntry(t *testing.T, run func(t *testing.T, e *testEntry, svc *faultyService)) {
	synctest.Test(t, func(t *testing.T) {
		svc := &faultyService{}
		run(t, newTestEntry(t, svc), svc)
	})
}

// checkResponse checks the status and the verdict of a response.
func checkResponse(t *testing.T, w *httptest.ResponseRecorder, status int, v verd.Verdict) {
	t.Helper()
	quicktest.Check(t, w.Code, quicktest.Equals, status, quicktest.Commentf("%s", w.Body))
	quicktest.Check(t, w.Header().Get(verd.Header), quicktest.Equals, v.String())
}

// TestRepeatedCallRunsOnce repeats a call with the same key. The service must not run it
// again: the stored response is replayed, and the key is rejected for another body.
func TestRepeatedCallRunsOnce(t *testing.T) {
	withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
		first := e.send(t.Context(), "k1", "{}")
		checkResponse(t, first, http.StatusOK, verd.Ran)
		again := e.send(t.Context(), "k1", "{}")
		checkResponse(t, again, http.StatusOK, verd.Ran)
		quicktest.Check(t, again.Body.String(), quicktest.Equals, first.Body.String())
		quicktest.Check(t, again.Header().Get(HeaderReplayed), quicktest.Equals, "true")
		quicktest.Check(t, again.Header().Get("Content-Type"), quicktest.Equals, "application/json")
		checkResponse(t, e.send(t.Context(), "k1", "{other}"), http.StatusConflict, verd.NotRun)
		quicktest.Check(t, svc.Runs("k1"), quicktest.Equals, 1)
	})
}

// TestIdempotencyKey checks that a call without a key gets a new one and that invalid keys
// are rejected.
func TestIdempotencyKey(t *testing.T) {
	withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
		w := e.send(t.Context(), "", "{}")
		checkResponse(t, w, http.StatusOK, verd.Ran)
		quicktest.Check(t, svc.Runs(w.Header().Get(HeaderIdempotencyKey)), quicktest.Equals, 1)
		checkResponse(t, e.send(t.Context(), strings.Repeat("k", maxKeyBytes+1), "{}"), http.StatusBadRequest, verd.NotRun)
		checkResponse(t, e.send(t.Context(), "k\x01", "{}"), http.StatusBadRequest, verd.NotRun)
	})
}

// TestConcurrentCallsRunOnce sends the same call twice at the same time. The service must
// run it once, and both callers get the response.
func TestConcurrentCallsRunOnce(t *testing.T) {
	withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
		svc.setFault("slow")
		var wg sync.WaitGroup
		got := make([]*httptest.ResponseRecorder, 2)
		for i := range got {
			wg.Go(func() { got[i] = e.send(t.Context(), "k1", "{}") })
		}
		wg.Wait()
		checkResponse(t, got[0], http.StatusOK, verd.Ran)
		checkResponse(t, got[1], http.StatusOK, verd.Ran)
		quicktest.Check(t, got[0].Body.String(), quicktest.Equals, got[1].Body.String())
		quicktest.Check(t, svc.Runs("k1"), quicktest.Equals, 1)
	})
}

// TestRepeatAfterFailure fails a call at each stage and repeats it without the fault. The
// repetition may reach the service only if the first attempt certainly did not run.
func TestRepeatAfterFailure(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fail    func(*testEntry, *faultyService)
		status  int
		verdict verd.Verdict
		// repeatStatus is the status of the repetition, runs the total number of runs.
		repeatStatus, runs int
	}{
		{"no grant", func(e *testEntry, _ *faultyService) {
			e.scheduler.setError(verd.New(verd.NotRun, verd.Overloaded, "full"))
		}, 429, verd.NotRun, 200, 1},
		{"ledger down", func(e *testEntry, _ *faultyService) { e.ledger.setFaults(1, 0) }, 503, verd.NotRun, 200, 1},
		{"begin lost", func(e *testEntry, _ *faultyService) { e.ledger.setFaults(0, 1) }, 503, verd.NotRun, 200, 1},
		{"no connection", func(e *testEntry, _ *faultyService) { e.net.Cut(selfAddr, serviceAddr) }, 502, verd.NotRun, 200, 1},
		{"service refuses", func(_ *testEntry, svc *faultyService) { svc.setFault("refuse") }, 502, verd.NotRun, 200, 1},
		{"cut before", func(_ *testEntry, svc *faultyService) { svc.setFault("cut before") }, 502, verd.MayHaveRun, 409, 0},
		{"cut after", func(_ *testEntry, svc *faultyService) { svc.setFault("cut after") }, 502, verd.MayHaveRun, 409, 1},
		{"silent", func(_ *testEntry, svc *faultyService) { svc.setFault("silent") }, 504, verd.MayHaveRun, 409, 1},
		{"long answer", func(_ *testEntry, svc *faultyService) { svc.setFault("long") }, 200, verd.Ran, 409, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
				tc.fail(e, svc)
				checkResponse(t, e.send(t.Context(), "k1", "{}"), tc.status, tc.verdict)
				e.scheduler.setError(nil)
				e.ledger.setFaults(0, 0)
				e.net.Heal(selfAddr, serviceAddr)
				svc.setFault("")
				time.Sleep(time.Second)
				quicktest.Check(t, e.send(t.Context(), "k1", "{}").Code, quicktest.Equals, tc.repeatStatus)
				quicktest.Check(t, svc.Runs("k1"), quicktest.Equals, tc.runs)
			})
		})
	}
}

// TestOutcomeRecordedAfterLedgerOutage makes the ledger fail when the call has run. The
// caller still gets the response, and once the ledger is back so does a repetition.
func TestOutcomeRecordedAfterLedgerOutage(t *testing.T) {
	withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
		svc.setFault("slow")
		e.inFlight.Go(func() {
			time.Sleep(time.Second)
			e.ledger.setFaults(5, 0)
		})
		checkResponse(t, e.send(t.Context(), "k1", "{}"), http.StatusOK, verd.Ran)
		time.Sleep(time.Second)
		checkResponse(t, e.send(t.Context(), "k1", "{}"), http.StatusOK, verd.Ran)
		quicktest.Check(t, svc.Runs("k1"), quicktest.Equals, 1)
	})
}

// TestOutcomeRecordedAfterCallerDisconnects cancels the caller's request while the call
// runs. The outcome must be recorded, so that a repetition gets the response.
func TestOutcomeRecordedAfterCallerDisconnects(t *testing.T) {
	withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
		svc.setFault("slow")
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		e.send(ctx, "k1", "{}")
		w := e.send(t.Context(), "k1", "{}")
		checkResponse(t, w, http.StatusOK, verd.Ran)
		quicktest.Check(t, svc.Runs("k1"), quicktest.Equals, 1)
	})
}

// TestLostCallIsNotSentAgain repeats a call that the ledger reports as orphaned, as if its
// instance had stopped before it recorded an outcome. The call may have run, so the service
// must not get it again.
func TestLostCallIsNotSentAgain(t *testing.T) {
	withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
		checkResponse(t, e.send(t.Context(), "k1", "{}"), http.StatusOK, verd.Ran)
		e.ledger.markLost("k1")
		checkResponse(t, e.send(t.Context(), "k1", "{}"), http.StatusConflict, verd.MayHaveRun)
		quicktest.Check(t, svc.Runs("k1"), quicktest.Equals, 1)
	})
}

// attempt lists the faults injected during one attempt at a call.
type attempt struct {
	fault                  string
	failCalls, loseReplies int
}

// TestCallRunsAtMostOnce repeats a call under random faults of the service and the ledger.
// It must not run twice, and a call that ran must not get the verdict NotRun.
func TestCallRunsAtMostOnce(t *testing.T) {
	faults := rapid.SampledFrom([]string{"", "refuse", "cut before", "cut after", "silent", "long"})
	plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) attempt {
		return attempt{
			fault:       faults.Draw(rt, "fault"),
			failCalls:   rapid.IntRange(0, 2).Draw(rt, "down"),
			loseReplies: rapid.IntRange(0, 2).Draw(rt, "lost"),
		}
	}), 1, 5)
	rapid.Check(t, func(rt *rapid.T) {
		attempts := plan.Draw(rt, "tries")
		var failure string
		withTestEntry(t, func(t *testing.T, e *testEntry, svc *faultyService) {
			for _, a := range attempts {
				svc.setFault(a.fault)
				e.ledger.setFaults(a.failCalls, a.loseReplies)
				before := svc.Runs("k1")
				w := e.send(t.Context(), "k1", "{}")
				if w.Header().Get(verd.Header) == verd.NotRun.String() && svc.Runs("k1") > before {
					failure = "verdict not-run for a call that ran: " + w.Body.String()
				}
			}
			if svc.Runs("k1") > 1 {
				failure = "the call ran twice"
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
