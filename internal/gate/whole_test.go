package gate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/place"
)

// awaitNoGrants fails the test if engines are still in use after a while.
func (s *testbed) awaitNoGrants() {
	s.t.Helper()
	time.Sleep(time.Second)
	s.gate.placer.mu.Lock()
	defer s.gate.placer.mu.Unlock()
	quicktest.Check(s.t, s.gate.placer.active, quicktest.HasLen, 0)
	quicktest.Check(s.t, s.gate.placer.localCores["engines"].Granted(), quicktest.Equals, 0)
	quicktest.Check(s.t, s.gate.buffers.memory.Used(), quicktest.Equals, int64(0))
}

// inChunks writes a body in chunks.
func inChunks(body string, headers ...string) script {
	return chunkedAnswer(false, 200, strings.Join(headers, ""), strings.SplitAfter(body, "\n")...)
}

// after has a target wait before its script.
func after(d time.Duration, sc script) script {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		time.Sleep(d)
		return sc(f, c, q)
	}
}

// cutResponse writes a part of a body and closes the connection.
func cutResponse(_ *fakeTarget, c net.Conn, q *http.Request) bool {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 400\r\n\r\n%s", q.Header.Get("Id"), sealHeader, strings.Repeat("x", 200))
	return false
}

// TestWholeAnswerOfEngine guards against answers of engines that are read as events on routes that aren't streaming: what
// has run was lost to its caller, who got 502.
func TestWholeAnswerOfEngine(t *testing.T) {
	large := strings.Repeat(strings.Repeat("x", 999)+"\n", 300)
	for name, c := range map[string]struct {
		answer script
		status int
		body   string
	}{
		"JSON":                {respond(200, `{"done":true}`, sealHeader, "Content-Type: application/json\r\n"), 200, `{"done":true}`},
		"300 kB in chunks":    {inChunks(large, plainHeaders), 200, large},
		"empty":               {respond(200, "", sealHeader), 200, ""},
		"created":             {respond(201, "id 7", sealHeader), 201, "id 7"},
		"no content":          {respond(204, "", sealHeader), 204, ""},
		"complaint":           {respond(404, "none", sealHeader), 404, "none"},
		"events":              {streamEvents(3, 0), 200, eventText(1, 3)},
		"a line of no event":  {respond(200, "a\n\nb\n\n", streamHeaders), 200, "a\n\nb\n\n"},
		"slower than wanted":  {after(time.Second, respond(200, "done", sealHeader)), 200, "done"},
		"ends with the close": {respondUntilClose("done"), 200, "done"},
	} {
		for _, path := range []string{engineLookPath, engineOrderPath} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newTestbed(t, nil, []script{c.answer})
					for i := range 12 {
						res := s.call(path, "body", "Id", fmt.Sprint("a", i))
						quicktest.Assert(t, res.status, quicktest.Equals, c.status, quicktest.Commentf("%s", res.body))
						quicktest.Assert(t, res.body == c.body && !res.truncated, quicktest.IsTrue)
					}
					quicktest.Check(t, s.requestCount(), quicktest.Equals, 12)
					s.awaitNoGrants()
				})
			})
		}
	}
}

// respondUntilClose writes a body without a length and closes the connection.
func respondUntilClose(body string) script {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", q.Header.Get("Id"), sealHeader, body)
		return false
	}
}

// TestWholeAnswerAfterFailure has the first engine fail a request that isn't a stream. One that may be repeated must be
// answered by the other engine, and one that must not goes there only with proof that it has not run.
func TestWholeAnswerAfterFailure(t *testing.T) {
	for name, c := range map[string]struct {
		bad script
		// repeated and once are the statuses of requests that may be repeated and of those that must not.
		repeated, once int
		onceRuns       int
	}{
		"full":             {respond(503, "", notRunHeader), 200, 200, 2},
		"other process":    {respond(421, ""), 200, 200, 2},
		"busy, no promise": {respond(503, ""), 200, 502, 1},
		"closes":           {closeConn, 200, 502, 1},
		"cut":              {cutResponse, 200, 502, 1},
		"cut in a chunk":   {chunkedAnswer(true, 200, plainHeaders, "a part"), 200, 502, 1},
		"no seal":          {respond(200, "done"), 200, 502, 1},
		"failure":          {respond(500, "oh", sealHeader), 200, 500, 1},
		"silent":           {neverRespond, 200, 504, 1},
		"silent in answer": {func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 4\r\n\r\ndo", q.Header.Get("Id"), sealHeader)
			return neverRespond(f, c, q)
		}, 200, 504, 1},
	} {
		for path, want := range map[string]int{engineLookPath: c.repeated, engineOrderPath: c.once} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newTestbed(t, nil, nil)
					s.addFailingFirst(path, c.bad, respond(200, "done", sealHeader))
					res := s.call(path, "body")
					quicktest.Assert(t, res.status, quicktest.Equals, want, quicktest.Commentf("%s", res.body))
					quicktest.Check(t, res.status == 200 && res.body != "done", quicktest.IsFalse)
					if path == engineOrderPath {
						quicktest.Check(t, s.requestCount(), quicktest.Equals, c.onceRuns)
					}
					s.awaitNoGrants()
				})
			})
		}
	}
}

// TestErrorOfEngineIsPassedOn guards against error responses that are lost when the other engine fails, too.
func TestErrorOfEngineIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := respond(500, "oh", sealHeader)
		s := newTestbed(t, nil, []script{bad, bad})
		res := s.call(engineLookPath, "body")
		quicktest.Check(t, res.status, quicktest.Equals, 500)
		quicktest.Check(t, res.body, quicktest.Equals, "oh")
		quicktest.Check(t, s.requestCount(), quicktest.Equals, 2)
		s.awaitNoGrants()
	})
}

// TestSlowWholeAnswerIsHedged guards against a request that waits for an engine that is silent, and against a second
// engine that isn't left when the first one answers after all.
func TestSlowWholeAnswerIsHedged(t *testing.T) {
	for name, c := range map[string]struct {
		first, second script
		want          string
	}{
		"second answers": {neverRespond, respond(200, "two", sealHeader), "two"},
		"first answers":  {after(800*time.Millisecond, respond(200, "one", sealHeader)), neverRespond, "one"},
		"second fails":   {after(800*time.Millisecond, respond(200, "one", sealHeader)), respond(500, "oh", sealHeader), "one"},
		"first fails":    {after(800*time.Millisecond, respond(500, "oh", sealHeader)), after(time.Second, respond(200, "two", sealHeader)), "two"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, nil, nil)
				s.addFailingFirst(engineLookPath, c.first, c.second)
				res := s.call(engineLookPath, "body")
				quicktest.Check(t, res.status, quicktest.Equals, 200)
				quicktest.Check(t, res.body, quicktest.Equals, c.want)
				quicktest.Check(t, s.requestCount(), quicktest.Equals, 2)
				s.awaitNoGrants()
			})
		})
	}
}

// TestCallerLeavesEngineRequest guards against engines that stay in use for a request whose caller has left.
func TestCallerLeavesEngineRequest(t *testing.T) {
	for _, path := range []string{engineLookPath, engineOrderPath} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var closed atomic.Bool
				s := newTestbed(t, nil, []script{func(f *fakeTarget, c net.Conn, q *http.Request) bool {
					closed.Store(!neverRespond(f, c, q))
					return false
				}})
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				s.callContext(ctx, path, "body")
				s.awaitNoGrants()
				quicktest.Check(t, closed.Load(), quicktest.IsTrue)
			})
		})
	}
}

// TestWholeAnswerLeavesStreamsOnTime guards against requests that aren't streams which make engines look slow: nothing of
// their answers comes before the end, and no pause is wanted.
func TestWholeAnswerLeavesStreamsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			if strings.HasPrefix(q.URL.Path, engineLookPath) {
				return after(1500*time.Millisecond, respond(200, "done", sealHeader))(f, c, q)
			}
			return streamEvents(3, 0)(f, c, q)
		}})
		for range 8 {
			go s.call(engineLookPath, "body", "Left", "3000")
		}
		time.Sleep(time.Second)
		req := place.Request{ID: "probe", Pool: "engines", Prompt: 1000, Output: 100, TTFTLeft: time.Second, TTFTTarget: time.Second, MaxPause: time.Second, PauseTimeout: 2 * time.Second, TimeLeft: 2 * time.Second}
		g, err := s.gate.placer.placeLocally(t.Context(), req)
		quicktest.Assert(t, err, quicktest.IsNil)
		s.gate.placer.release(place.End{ID: g.ID})
		quicktest.Check(t, g.PredictedTTFT < 100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", g.PredictedTTFT))
		res := s.call(resumableStreamPath, "prompt")
		quicktest.Check(t, res.body, quicktest.Equals, eventText(1, 3))
		time.Sleep(3 * time.Second)
	})
}

// TestFailuresOnOneRouteLeaveOthers guards against answers on one route that take the engines away from all others: three
// engines that take connections were ejected together.
func TestFailuresOnOneRouteLeaveOthers(t *testing.T) {
	for name, bad := range map[string]script{
		"errors": respond(500, "oh", sealHeader), "no seal": respond(200, "done"), "cut": cutResponse, "closes": closeConn,
		"busy, no promise": respond(503, ""), "no HTTP": func(_ *fakeTarget, c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "failed\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFailuresOnOneRoute(t, bad) })
		})
	}
}

func testFailuresOnOneRoute(t *testing.T, bad script) {
	either := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		if strings.HasPrefix(q.URL.Path, engineOrderPath) {
			return bad(f, c, q)
		}
		return streamEvents(3, 0)(f, c, q)
	}
	s := newTestbed(t, nil, []script{either, either, either})
	var served atomic.Int64
	for i := range 60 {
		go s.call(engineOrderPath, "body", "Id", fmt.Sprint("o", i))
		if i >= 30 {
			go func() {
				if s.call(nonResumableStreamPath, "prompt", "Id", fmt.Sprint("s", i), "Left", "300").body == eventText(1, 3) {
					served.Add(1)
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	quicktest.Check(t, served.Load(), quicktest.Equals, int64(30))
}

// TestErrorsOfTheLastEngine guards against errors that make later requests wait for an engine that answers.
func TestErrorsOfTheLastEngine(t *testing.T) {
	for _, path := range []string{engineLookPath, engineOrderPath} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, nil, []script{respond(500, "oh", sealHeader)})
				for range 12 {
					res := s.call(path, "body")
					quicktest.Check(t, res.status, quicktest.Equals, 500)
					quicktest.Check(t, res.body, quicktest.Equals, "oh")
				}
				s.awaitNoGrants()
			})
		})
	}
}

// TestComplaintsAreNoFailures guards against engines that are ejected since a caller's request has an error.
func TestComplaintsAreNoFailures(t *testing.T) {
	for _, path := range []string{engineLookPath, engineOrderPath, resumableStreamPath, nonResumableStreamPath} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				complaint := respond(404, "none", sealHeader)
				s := newTestbed(t, nil, []script{complaint, complaint})
				for range 8 {
					quicktest.Check(t, s.call(path, "body").status, quicktest.Equals, 404)
				}
				s.checkNoneEjected()
			})
		})
	}
}

// TestFullBuffersAreNoFailureOfTargets guards against targets that are ejected because this instance has no memory for their answers.
func TestFullBuffersAreNoFailureOfTargets(t *testing.T) {
	for _, path := range []string{nonIdempotentPath, engineOrderPath} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathTestbed(t, path, respond(200, strings.Repeat("x", 1<<20), sealHeader))
				s.gate.buffers.memory.Limit = 256 << 10
				quicktest.Check(t, s.call(path, "body").status, quicktest.Equals, 502)
				s.checkNoneEjected()
			})
		})
	}
}

// checkNoneEjected checks that no target is ejected. The local core must grant each engine to a request that avoids all others.
func (s *testbed) checkNoneEjected() {
	s.t.Helper()
	s.gate.placer.mu.Lock()
	defer s.gate.placer.mu.Unlock()
	for _, f := range s.targets {
		_, ejected := s.gate.health.state(f.ID)
		quicktest.Check(s.t, ejected, quicktest.IsFalse, quicktest.Commentf("%s", f.ID))
		if f.Pool != "engines" {
			continue
		}
		req := place.Request{ID: "probe " + f.ID, Pool: f.Pool, Prompt: 1, TTFTLeft: time.Second, TTFTTarget: time.Second, MaxPause: time.Second, TimeLeft: time.Second}
		for _, o := range s.targets {
			if o.ID != f.ID {
				req.Avoid = append(req.Avoid, o.ID)
			}
		}
		core := s.gate.placer.localCores[f.Pool]
		quicktest.Check(s.t, core.Step(time.Now(), place.Arrive{Request: req}), quicktest.HasLen, 1, quicktest.Commentf("%s", f.ID))
		core.Step(time.Now(), place.Withdraw{ID: req.ID})
	}
}
