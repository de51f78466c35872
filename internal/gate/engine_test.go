package gate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e\n\n", i)
	}
	return b.String()
}

// TestStreamIsRelayed: the caller must get all events, and after a reconnect only those after
// the last one that the request names.
func TestStreamIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(5, 0)})
		res := s.call(resumableStreamPath, "prompt")
		quicktest.Assert(t, res.status, quicktest.Equals, 200)
		quicktest.Assert(t, res.truncated, quicktest.IsFalse)
		quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 5))
		res = s.call(resumableStreamPath, "prompt", "Last", "3")
		quicktest.Assert(t, res.body, quicktest.Equals, eventText(4, 5))
	})
}

// TestStreamResumesOnAnotherEngine cuts the connection in the middle of an event. The
// caller must get the remaining events from another engine, each once, under the response
// headers of the first engine.
func TestStreamResumesOnAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(9, 4), streamEvents(9, 4)})
		// The second engine that gets the request sends all of the remaining events.
		for _, f := range s.targets {
			f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
				if s.requestCount() > 1 {
					return streamEvents(9, 0)(f, c, q)
				}
				return streamEvents(9, 4)(f, c, q)
			}
		}
		res := s.call(resumableStreamPath, "prompt")
		quicktest.Assert(t, res.truncated, quicktest.IsFalse)
		quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 9))
		first := s.targets[0]
		if first.requestCount() == 0 || first.request(0).Header.Get("Last") != "" {
			first = s.targets[1]
		}
		quicktest.Assert(t, res.header.Get("By"), quicktest.Equals, first.ID)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 2)
	})
}

// TestNonResumableStreamIsTruncated cuts a stream on a route that is not resumable. The
// caller must see a truncated response; no other engine may get the request.
func TestNonResumableStreamIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(9, 4), streamEvents(9, 4)})
		res := s.call(nonResumableStreamPath, "prompt")
		quicktest.Assert(t, res.truncated, quicktest.IsTrue)
		quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 4))
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
	})
}

// TestNonResumableStreamRetriedOnlyIfNotRun closes the connection without a response: the
// request may have run, so the caller must get 502, and no other engine may get the
// request. If the engine responds that the request did not run, the caller must get 503.
func TestNonResumableStreamRetriedOnlyIfNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{closeConn, closeConn})
		res := s.call(nonResumableStreamPath, "prompt")
		quicktest.Assert(t, res.status, quicktest.Equals, 502)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
		s = newEngineTestbed(t, respond(503, "", notRunHeader))
		res = s.call(nonResumableStreamPath, "prompt")
		quicktest.Assert(t, res.status, quicktest.Equals, 503)
	})
}

// TestTruncationIsExplained: the log must tell which answers this instance broke off, and why no other
// engine continued them; those of callers who left are not among them.
func TestTruncationIsExplained(t *testing.T) {
	for _, c := range []struct {
		second script
		slack  float64
		why    string
	}{
		{streamEvents(9, 6), 50, noAttempts}, {respond(503, "", notRunHeader), 50, noAttempts}, {streamEvents(9, 0), 0, noBudget},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestbed(t, nil, []script{closeConn, closeConn})
			s.gate.Budget.Ratio, s.gate.Budget.Slack = 0, c.slack
			for _, f := range s.targets {
				f.script = func(f *fakeTarget, conn net.Conn, q *http.Request) bool {
					if s.requestCount() > 1 {
						return c.second(f, conn, q)
					}
					return streamEvents(9, 4)(f, conn, q)
				}
			}
			quicktest.Assert(t, s.call(resumableStreamPath, "prompt").truncated, quicktest.IsTrue)
			synctest.Wait()
			quicktest.Check(t, s.logs.String(), quicktest.Contains, `"truncated":true,"no_retry":"`+c.why+`"`)
			n := metrics.GetOrRegisterCounter(meter.Label("gate.truncated", "kind", "engine"), s.gate.Metrics).Count()
			quicktest.Check(t, n, quicktest.Equals, int64(1))
		})
	}
}

// newEngineTestbed returns a testbed with one engine.
func newEngineTestbed(t *testing.T, sc script) *testbed {
	t.Helper()
	return newTestbed(t, nil, []script{sc})
}

// lastEventID is the ID of the last event in TestNoDuplicateOrMissingEvents.
const lastEventID = 8

// faultyEngines describes how two engines cut and resume a stream.
type faultyEngines struct {
	// cuts are the events after which the first and the second engine close the
	// connection.
	cuts [2]int
	// repeated and skipped are how many events the second engine repeats and leaves out.
	repeated, skipped int
}

// script returns the script of both engines.
func (e faultyEngines) script(s *testbed) script {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		cut := e.cuts[0]
		if s.requestCount() > 1 {
			cut = e.cuts[1]
			from := 0
			fmt.Sscan(q.Header.Get("Last"), &from)
			// A skipped last event can't be detected: the stream just ends before it.
			q.Header.Set("Last", fmt.Sprint(min(lastEventID-1, max(0, from-e.repeated+e.skipped))))
		}
		if cut == lastEventID {
			cut = 0
		}
		return streamEvents(lastEventID, cut)(f, c, q)
	}
}

// TestNoDuplicateOrMissingEvents has engines cut the stream anywhere, and resume it too
// early or skip an event. The caller must get a prefix of the events without duplicates
// or gaps, and a complete response only if it got the last event.
func TestNoDuplicateOrMissingEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		engines := faultyEngines{
			cuts:     [2]int{rapid.IntRange(0, lastEventID).Draw(r, "first"), rapid.IntRange(0, lastEventID).Draw(r, "second")},
			repeated: rapid.IntRange(0, 2).Draw(r, "back"), skipped: rapid.IntRange(0, 1).Draw(r, "skip"),
		}
		var res callResult
		synctest.Test(t, func(t *testing.T) {
			s := newTestbed(t, nil, []script{closeConn, closeConn})
			for _, f := range s.targets {
				f.script = engines.script(s)
			}
			res = s.call(resumableStreamPath, "prompt")
		})
		if res.status != 200 {
			return
		}
		if !strings.HasPrefix(eventText(1, lastEventID), res.body) {
			r.Fatalf("not a prefix of the events: %q", res.body)
		}
		if !res.truncated && res.body != eventText(1, lastEventID) {
			r.Fatalf("response complete after only %q", res.body)
		}
	})
}

// TestStalledStreamMovesToAnotherEngine has an engine stall in the middle of an answer.
// Another engine must continue it before the caller gives up.
func TestStalledStreamMovesToAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{closeConn, closeConn})
		for _, f := range s.targets {
			f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
				if s.requestCount() > 1 {
					return streamEvents(4, 0)(f, c, q)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a1\r\n%sTransfer-Encoding: chunked\r\n\r\n", sealHeader)
				ev := eventText(1, 1)
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
				return neverRespond(f, c, q)
			}
		}
		res := s.call(resumableStreamPath, "prompt", "Left", "3000")
		quicktest.Assert(t, res.truncated, quicktest.IsFalse)
		quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 4))
		// The caller gives up after two seconds without an event.
		quicktest.Assert(t, res.took < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
	})
}

// TestCallerDisconnectsMidStream has the caller disconnect in the middle of an answer.
// The log must give that as the reason, and not a failure of the engine.
func TestCallerDisconnectsMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(100, 0)})
		ctx, cancel := context.WithTimeout(t.Context(), 210*time.Millisecond)
		defer cancel()
		res := s.callContext(ctx, resumableStreamPath, "prompt")
		quicktest.Assert(t, res.truncated, quicktest.IsTrue)
		time.Sleep(time.Second)
		synctest.Wait()
		quicktest.Assert(t, s.logs.String(), quicktest.Contains, `"reason":"the caller disconnected"`)
		quicktest.Assert(t, s.logs.String(), quicktest.Not(quicktest.Contains), "ended early")
		quicktest.Assert(t, s.logs.String(), quicktest.Not(quicktest.Contains), "truncated")
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
	})
}

// TestStalledStreamWithoutRetryIsKept has an engine stall for longer than the limit after
// which a stream moves, while no other engine may be tried because the attempts or the
// retry budget are used up. The stream must be kept and completed when the engine
// continues.
func TestStalledStreamWithoutRetryIsKept(t *testing.T) {
	const stallTime = 2200 * time.Millisecond
	stalls := func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		from, err := strconv.Atoi(q.Header.Get("Last"))
		if err != nil {
			from = 0
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a1\r\n%sTransfer-Encoding: chunked\r\n\r\n", sealHeader)
		ev := eventText(from+1, from+1)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
		time.Sleep(stallTime)
		ev = eventText(from+2, 4)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(ev), ev)
		return true
	}
	for name, prepare := range map[string]func(s *testbed){
		"attempts": func(s *testbed) {
			for _, f := range s.targets {
				f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
					if s.requestCount() > 1 {
						return stalls(f, c, q)
					}
					return streamEvents(4, 1)(f, c, q)
				}
			}
		},
		"budget": func(s *testbed) {
			s.gate.Budget.Ratio, s.gate.Budget.Slack = 0, 0
			for _, f := range s.targets {
				f.script = stalls
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, nil, []script{closeConn, closeConn})
				prepare(s)
				res := s.call(resumableStreamPath, "prompt", "Left", "3000")
				quicktest.Assert(t, res.truncated, quicktest.IsFalse)
				quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 4))
			})
		})
	}
}

// TestReservationIsRenewedAndReleased reserves memory on the one of two helpers that has
// a reservation ID. The reservation must be renewed while the answer is written, and
// then released.
func TestReservationIsRenewedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, nil)
		s.addTarget("engines", 20, streamEvents(1, 0))
		s.addTarget("engines", 21, streamEvents(1, 0))
		s.publish(2)
		list := []PrefillHelper{
			{Target: s.targets[0].Target},
			{Target: s.targets[1].Target, ReservationID: "k", ReservedTokens: 5000},
		}
		reserved, err := s.gate.reserve(t.Context(), "a1", list)
		quicktest.Assert(t, err, quicktest.IsNil)
		time.Sleep(2 * renewInterval)
		reserved.release(t.Context())
		time.Sleep(time.Second)
		s.gate.TargetClient.CloseIdle(s.targets[1].Address)
		synctest.Wait()
		quicktest.Assert(t, len(s.targets[0].orders), quicktest.Equals, 0)
		orders := s.targets[1].orders
		quicktest.Assert(t, len(orders) >= 3, quicktest.IsTrue, quicktest.Commentf("%v", orders))
		for _, o := range orders[:len(orders)-1] {
			quicktest.Assert(t, o, quicktest.Equals, fmt.Sprintf("reserve k 5000 %d", reservationTTL.Milliseconds()))
		}
		quicktest.Assert(t, orders[len(orders)-1], quicktest.Equals, "release k")
	})
}

// TestReservationTTLIsBelowEngineLimit: this process may die at any moment, so a
// reservation must expire before the 4 s after which engines report a leak. A renewal
// that fails once must still be in time.
func TestReservationTTLIsBelowEngineLimit(t *testing.T) {
	quicktest.Assert(t, reservationTTL < 4*time.Second, quicktest.IsTrue)
	quicktest.Assert(t, renewInterval+2*reservationTimeout < reservationTTL, quicktest.IsTrue)
}

// TestPlacesLocallyWithoutScheduler runs without a scheduler for a minute. Local placement
// must still work. It receives no heartbeats of engines, so it must not apply the heartbeat
// timeout of 4.2 s, which would exclude all engines.
func TestPlacesLocallyWithoutScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(3, 0)})
		time.Sleep(time.Minute)
		res := s.call(resumableStreamPath, "prompt")
		quicktest.Assert(t, res.status, quicktest.Equals, 200)
		quicktest.Assert(t, res.took < time.Second, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
	})
}

// TestNotReadyWithoutTables: callers must not be sent to an instance that has no tables
// yet.
func TestNotReadyWithoutTables(t *testing.T) {
	s := &Server{}
	s.views.setup()
	quicktest.Assert(t, s.IsReady(), quicktest.IsFalse)
	s.HandleConfirmed()
	quicktest.Assert(t, s.IsReady(), quicktest.IsFalse)
	s.views.current.Store(&view{index: site.NewIndex(&site.Tables{})})
	s.HandleConfirmed()
	quicktest.Assert(t, s.IsReady(), quicktest.IsTrue)
}

// TestNotReadyBeforeConfirmation: an instance that has just started may get tables from a
// control instance that missed the newest ones. It must not use them, or a key that has been
// withdrawn would be valid again.
func TestNotReadyBeforeConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
		s.gate.startedAt = time.Now()
		s.gate.views.confirmed = false
		s.gate.views.setup()
		quicktest.Assert(t, s.gate.IsReady(), quicktest.IsFalse)
		quicktest.Assert(t, s.call(idempotentPath, "").status, quicktest.Equals, 503)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 0)
		s.tables.Version, s.tables.Organisations = 2, nil
		s.publish(2)
		quicktest.Assert(t, s.gate.IsReady(), quicktest.IsFalse)
		s.gate.HandleConfirmed()
		quicktest.Assert(t, s.gate.IsReady(), quicktest.IsTrue)
		quicktest.Assert(t, s.call(idempotentPath, "").status, quicktest.Equals, 401)
	})
}
