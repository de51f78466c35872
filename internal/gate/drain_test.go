package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestShortAnswersDoNotRaiseExpectation guards against an expected time that grows although each further answer is short.
func TestShortAnswersDoNotRaiseExpectation(t *testing.T) {
	var a answerTimes
	k := answerKind{pool: "engines", kind: site.Streaming}
	a.add(k, answer{took: 8 * time.Second})
	last, _ := a.expected(k)
	longest := time.Duration(0)
	for range 8 {
		a.add(k, answer{took: 300 * time.Millisecond})
		expected, _ := a.expected(k)
		longest = max(longest, expected.took)
	}
	quicktest.Check(t, longest <= last.took, quicktest.IsTrue, quicktest.Commentf("%s, before the short answers %s", longest, last.took))
}

// TestSlowCallersDoNotCloseDrainingInstance guards against a draining instance that refuses short requests, because
// callers that send or read slowly made answers look long.
func TestSlowCallersDoNotCloseDrainingInstance(t *testing.T) {
	for name, c := range map[string]struct{ send, read time.Duration }{
		"slow body":   {6 * time.Second, 0},
		"slow reader": {0, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				big := true
				s := newTestbed(t, []script{func(f *fakeTarget, conn net.Conn, q *http.Request) bool {
					n := 10
					if big {
						n = 1 << 20
					}
					return respond(200, strings.Repeat("x", n), sealHeader)(f, conn, q)
				}}, nil)
				for i := range s.tables.Routes {
					s.tables.Routes[i].Limit = 20 * time.Second
				}
				s.tables.Version = 2
				s.publish(2)
				s.gate.DrainTime = 7500 * time.Millisecond
				conn, err := s.net.Dialer("10.0.9.9")(t.Context(), gateAddress)
				quicktest.Assert(t, err, quicktest.IsNil)
				fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: key\r\nLeft: 19000\r\nContent-Length: 1\r\nConnection: close\r\n\r\n", idempotentPath)
				time.Sleep(c.send)
				io.WriteString(conn, "x")
				time.Sleep(c.read)
				_, err = io.Copy(io.Discard, conn)
				quicktest.Assert(t, err, quicktest.IsNil)
				conn.Close()
				big = false
				s.gate.Drain()
				res := s.call(idempotentPath, "body", "Left", "9000")
				quicktest.Check(t, res.status, quicktest.Equals, 200)
			})
		})
	}
}

// TestDrainRefusesWaitingOrdersInTime guards against orders that wait for their turn at a full pool, are sent when the answer
// can't come any more before the instance ends, and get 502.
func TestDrainRefusesWaitingOrdersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			time.Sleep(time.Second)
			return respond(200, "ok", sealHeader)(f, c, q)
		}}, nil)
		for i := range s.tables.Routes {
			s.tables.Routes[i].Limit, s.tables.Routes[i].Aim = 10*time.Second, 4*time.Second
		}
		s.tables.Version = 2
		s.publish(2)
		s.gate.DrainTime = 2700 * time.Millisecond
		for range 2 {
			quicktest.Assert(t, s.call(nonIdempotentPath, "x", "Left", "9000").status, quicktest.Equals, 200)
		}
		now := time.Now()
		s.gate.services.mu.Lock()
		p := s.gate.services.pool("plain")
		p.advance(now)
		p.full, p.shortAt, p.cutAt, p.rate, p.turns = true, now, now, minRate, 0
		s.gate.services.mu.Unlock()
		var wg sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for i := range 8 {
			wg.Go(func() {
				res := s.call(nonIdempotentPath, fmt.Sprint(i), "Left", "9000", "Id", fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				t.Logf("%d: status %d after %s %q", i, res.status, res.took, res.body)
				statuses[res.status]++
			})
		}
		time.Sleep(10 * time.Millisecond)
		s.gate.Drain()
		time.Sleep(s.gate.DrainTime)
		s.gate.EndRequests()
		wg.Wait()
		quicktest.Check(t, statuses[502], quicktest.Equals, 0, quicktest.Commentf("%v", statuses))
		quicktest.Check(t, statuses[200] > 0, quicktest.IsTrue)
	})
}

// TestBusyInstanceAnswersAtItsEnd guards against requests that get no response at the end of a drain, because the instance
// hardly gets its processor and is late to write it.
func TestBusyInstanceAnswersAtItsEnd(t *testing.T) {
	for path, want := range map[string]int{nonIdempotentPath: http.StatusBadGateway, resumableStreamPath: http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := []script{neverRespond}
				s := newTestbed(t, scripts, scripts)
				for i := range s.tables.Routes {
					s.tables.Routes[i].Limit, s.tables.Routes[i].Aim = 10*time.Second, 4*time.Second
				}
				s.tables.Version = 2
				s.publish(2)
				s.gate.DrainTime = time.Second
				var late atomic.Bool
				// Each log line takes as long as some turns of a processor that is shared.
				s.gate.Log.Writer = log.WriterFunc(func(*log.Entry) (int, error) {
					if late.Load() {
						time.Sleep(2 * lastWriteTime)
					}
					return 0, nil
				})
				status := make(chan int)
				go func() { status <- s.call(path, "x", "Left", "9000").status }()
				time.Sleep(100 * time.Millisecond)
				s.gate.Drain()
				time.Sleep(s.gate.DrainTime)
				late.Store(true)
				s.gate.EndRequests()
				quicktest.Check(t, <-status, quicktest.Equals, want)
			})
		})
	}
}

// TestDrainRefusesAtOnceWithoutTables guards against requests that wait for the first tables at an instance that is leaving
// again, although others could serve them.
func TestDrainRefusesAtOnceWithoutTables(t *testing.T) {
	for name, drainAfter := range map[string]time.Duration{"before": 0, "meanwhile": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
				s.gate.startedAt, s.gate.DrainTime = time.Now(), 7500*time.Millisecond
				s.gate.views.confirmed = false
				s.gate.views.setup()
				time.AfterFunc(drainAfter, s.gate.Drain)
				time.Sleep(time.Millisecond)
				res := s.call(idempotentPath, "", "Left", "9000")
				quicktest.Check(t, res.status, quicktest.Equals, http.StatusServiceUnavailable)
				quicktest.Check(t, res.took <= drainAfter+time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %s", res.took))
			})
		})
	}
}

// TestBusyInstanceEndsEarlier guards against an instance that hardly gets its processor, plans its end as if it ran in time,
// and is killed with requests in progress.
func TestBusyInstanceEndsEarlier(t *testing.T) {
	const limit = 7500 * time.Millisecond
	for late, want := range map[time.Duration]time.Duration{
		0: limit, 20 * time.Millisecond: limit - 40*time.Millisecond, 500 * time.Millisecond: limit - time.Second, time.Minute: limit / 2,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
			for i := range s.tables.Routes {
				s.tables.Routes[i].Limit = 20 * time.Second
			}
			s.tables.Version = 2
			s.publish(2)
			s.gate.DrainTime = limit
			s.gate.delay.mean.Store(int64(late))
			s.gate.Drain()
			quicktest.Check(t, s.gate.DrainLimit(), quicktest.Equals, want)
			time.Sleep(drainAcceptPeriod + time.Millisecond)
			for d, status := range map[time.Duration]int{-100 * time.Millisecond: 200, 100 * time.Millisecond: 503} {
				left := want - drainAcceptPeriod + d
				res := s.call(idempotentPath, "", "Left", fmt.Sprint(left.Milliseconds()))
				quicktest.Check(t, res.status, quicktest.Equals, status, quicktest.Commentf("%s late, %s left", late, left))
			}
		})
	}
}
