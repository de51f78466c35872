package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

const leavingHeader = "Leaving: 1\r\n"

// leavingStream relays a whole stream whose headers say that the engine is leaving.
func leavingStream(_ *fakeTarget, c net.Conn, q *http.Request) bool {
	body := eventText(1, 2)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s%sContent-Length: %d\r\n\r\n%s", q.Header.Get("Id"), sealHeader, leavingHeader, len(body), body)
	return true
}

// newPathTestbed returns a testbed whose targets for the route of a path run the scripts.
func newPathTestbed(t *testing.T, path string, scripts ...script) *testbed {
	t.Helper()
	if isEnginePath(path) {
		return newTestbed(t, nil, scripts)
	}
	return newTestbed(t, scripts, nil)
}

// allPaths returns the paths of a route of each kind to each kind of pool.
func allPaths() []string {
	return []string{
		idempotentPath, nonIdempotentPath, resumableStreamPath, nonResumableStreamPath,
		serviceStreamPath, serviceOncePath, engineLookPath, engineOrderPath,
	}
}

// repeatablePaths returns those whose requests may be repeated, so that they use kept connections.
func repeatablePaths() []string {
	return []string{idempotentPath, resumableStreamPath, serviceStreamPath, engineLookPath}
}

// isEnginePath reports whether the route of a path leads to engines, and isStreamPath whether its answers are streams.
func isEnginePath(path string) bool {
	return slices.Contains([]string{resumableStreamPath, nonResumableStreamPath, engineLookPath, engineOrderPath}, path)
}

func isStreamPath(path string) bool {
	return slices.Contains([]string{resumableStreamPath, nonResumableStreamPath, serviceStreamPath, serviceOncePath}, path)
}

// callUntilReached sends requests until a target has received that many.
func (s *testbed) callUntilReached(f *fakeTarget, path string, count int) {
	s.t.Helper()
	for range 50 {
		if f.requestCount() >= count {
			return
		}
		s.call(path, "body")
	}
	s.t.Fatalf("target %s has received %d of 50 requests, expected %d", f.ID, f.requestCount(), count)
}

// TestLeavingTargetGetsNoMore has a target say in a response that it is leaving. No later
// request may go to that process, whatever the response was, and the other target serves
// them. The process that replaces it under the same ID gets requests again.
func TestLeavingTargetGetsNoMore(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		bad  script
		good script
	}{
		"success":           {idempotentPath, respond(200, "done", sealHeader, leavingHeader), respond(200, "done", sealHeader)},
		"not idempotent":    {nonIdempotentPath, respond(200, "done", sealHeader, leavingHeader), respond(200, "done", sealHeader)},
		"error":             {idempotentPath, respond(500, "oh", sealHeader, leavingHeader), respond(200, "done", sealHeader)},
		"refusal":           {idempotentPath, respond(503, "", notRunHeader, leavingHeader), respond(200, "done", sealHeader)},
		"stream":            {resumableStreamPath, leavingStream, streamEvents(2, 0)},
		"stream, run once":  {nonResumableStreamPath, leavingStream, streamEvents(2, 0)},
		"refusal of stream": {resumableStreamPath, respond(503, "", notRunHeader, leavingHeader), streamEvents(2, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathTestbed(t, c.path, c.bad, c.good)
				bad := s.targets[0]
				s.callUntilReached(bad, c.path, 1)
				time.Sleep(maxEjection)
				for range 20 {
					res := s.call(c.path, "body")
					quicktest.Assert(t, res.status, quicktest.Equals, 200)
				}
				quicktest.Assert(t, bad.requestCount(), quicktest.Equals, 1)
				var m link.FollowerMessage
				s.gate.FillHeartbeat(&m)
				quicktest.Assert(t, m.Leaving, quicktest.DeepEquals, []link.Departure{{ID: bad.ID}})

				// Another update of the same process changes nothing.
				s.publish(2)
				s.call(c.path, "body")
				quicktest.Assert(t, bad.requestCount(), quicktest.Equals, 1)

				bad.StartedMs = 7
				s.publish(3)
				s.callUntilReached(bad, c.path, 2)
			})
		})
	}
}

// TestLeavingInForeignResponseIsIgnored: a late copy of a response to another request, which
// comes before the right one, may stem from anywhere.
func TestLeavingInForeignResponseIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 X\r\nId: another\r\n"+sealHeader+leavingHeader+"Content-Length: 0\r\n\r\n")
			return respond(200, "done", sealHeader)(f, c, q)
		}}, nil)
		for range 3 {
			quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		}
	})
}

// TestPausedTargetGetsNothing has a target refuse a request and ask for a pause. It must
// get nothing for that time, and requests afterwards; the other target serves meanwhile.
func TestPausedTargetGetsNothing(t *testing.T) {
	for path, good := range map[string]script{
		idempotentPath: respond(200, "done", sealHeader), nonIdempotentPath: respond(200, "done", sealHeader),
		resumableStreamPath: streamEvents(2, 0), nonResumableStreamPath: streamEvents(2, 0),
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathTestbed(t, path, respond(503, "", notRunHeader, "Pause: 20s\r\n"), good)
				paused := s.targets[0]
				s.callUntilReached(paused, path, 1)
				until := time.Now().Add(20 * time.Second)
				for time.Until(until) > time.Second {
					quicktest.Assert(t, s.call(path, "body").status, quicktest.Equals, 200)
					time.Sleep(100 * time.Millisecond)
				}
				quicktest.Assert(t, paused.requestCount(), quicktest.Equals, 1)
				time.Sleep(time.Until(until))
				paused.script = good
				s.callUntilReached(paused, path, 2)
			})
		})
	}
}

// TestAllTargetsPaused: while every target wants a pause, the caller must be refused at once
// and told when the first of them accepts requests again.
func TestAllTargetsPaused(t *testing.T) {
	for _, path := range allPaths() {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathTestbed(t, path, respond(503, "", notRunHeader, "Pause: 9s\r\n"), respond(503, "", notRunHeader, "Pause: 5s\r\n"))
				for _, f := range s.targets {
					s.callUntilReached(f, path, 1)
				}
				time.Sleep(time.Second)
				sent := s.requestCount()
				res := s.call(path, "body")
				quicktest.Assert(t, res.status, quicktest.Equals, 503)
				quicktest.Assert(t, res.took < 10*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
				retry, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Assert(t, retry > 3.5 && retry <= 4, quicktest.IsTrue, quicktest.Commentf("%f", retry))
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, sent)
			})
		})
	}
}

// TestReplacedTargetGetsNewConnection: when another process has replaced that of a target, requests must not be
// sent on connections to the former one.
func TestReplacedTargetGetsNewConnection(t *testing.T) {
	for _, path := range repeatablePaths() {
		synctest.Test(t, func(t *testing.T) {
			s := newTestbed(t, []script{respond(200, "done", sealHeader)}, []script{streamEvents(2, 0)})
			f := s.targets[0]
			if isEnginePath(path) {
				f = s.targets[1]
			}
			quicktest.Assert(t, s.call(path, "").status, quicktest.Equals, 200)
			quicktest.Assert(t, s.call(path, "").status, quicktest.Equals, 200)
			quicktest.Assert(t, f.accepted, quicktest.Equals, 1)
			// A change that is none of the process keeps its connections.
			f.Slots++
			s.publish(2)
			quicktest.Assert(t, s.call(path, "").status, quicktest.Equals, 200)
			quicktest.Assert(t, f.accepted, quicktest.Equals, 1)
			f.StartedMs++
			s.publish(3)
			quicktest.Assert(t, s.call(path, "").status, quicktest.Equals, 200)
			quicktest.Assert(t, f.accepted, quicktest.Equals, 2)
			f.ID += "-next"
			s.publish(4)
			quicktest.Assert(t, s.call(path, "").status, quicktest.Equals, 200)
			quicktest.Assert(t, f.accepted, quicktest.Equals, 3)
		})
	}
}

// TestMisdirectedRequestEndsConnection: a connection that leads to another process than the one wanted must not get
// the next request, too.
func TestMisdirectedRequestEndsConnection(t *testing.T) {
	for _, path := range repeatablePaths() {
		synctest.Test(t, func(t *testing.T) {
			s := newTestbed(t, []script{respond(421, "")}, []script{respond(421, "")})
			f := s.targets[0]
			if isEnginePath(path) {
				f = s.targets[1]
			}
			quicktest.Assert(t, s.call(path, "").status, quicktest.Equals, 503)
			time.Sleep(time.Second)
			quicktest.Assert(t, s.call(path, "").status, quicktest.Equals, 503)
			quicktest.Assert(t, f.accepted, quicktest.Equals, 2)
		})
	}
}

// TestNoticeBindsOneProcess: what a process asked must not bind the next one under its ID, and
// is forgotten once the view has that one.
func TestNoticeBindsOneProcess(t *testing.T) {
	var h health
	h.setup()
	old := site.Target{ID: "t", StartedMs: 1}
	quicktest.Assert(t, h.recordNotice(old, true, 0), quicktest.IsTrue)
	quicktest.Assert(t, h.recordNotice(old, true, 0), quicktest.IsFalse)
	quicktest.Assert(t, h.isClosed(old), quicktest.IsTrue)
	reborn := site.Target{ID: "t", StartedMs: 2}
	quicktest.Assert(t, h.isClosed(reborn), quicktest.IsFalse)
	h.dropNotices(&view{targets: map[string]site.Target{"t": reborn}})
	quicktest.Assert(t, len(h.byID), quicktest.Equals, 0)
}

// TestPausedBesideFailedTarget: a target that failed a request may serve the next one, so the
// caller must not be told to wait for another target's pause.
func TestPausedBesideFailedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(503, "", notRunHeader, "Pause: 500s\r\n"), respond(503, "", notRunHeader)}, nil)
		s.callUntilReached(s.targets[0], nonIdempotentPath, 1)
		res := s.call(nonIdempotentPath, "body")
		quicktest.Assert(t, res.status, quicktest.Equals, 503)
		retry, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, retry <= longRetryAfter.Seconds(), quicktest.IsTrue, quicktest.Commentf("%f", retry))
	})
}
