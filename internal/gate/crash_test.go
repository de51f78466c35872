package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// writeText returns a script that writes a text and closes the connection.
func writeText(text string) script {
	return func(_ *fakeTarget, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, text)
		return false
	}
}

// TestCrashIsLogged: the log must tell an engine whose process ended while it had a request from
// one that only closed the connection or stopped sending.
func TestCrashIsLogged(t *testing.T) {
	const line = `"message":"target process ended during a request"`
	for name, c := range map[string]struct {
		engine  script
		crashes bool
		want    bool
	}{
		"before the head":     {closeConn, true, true},
		"within the stream":   {streamEvents(9, 4), true, true},
		"only the connection": {streamEvents(9, 4), false, false},
		"silence":             {neverRespond, true, false},
		"not HTTP":            {writeText("no response\r\n\r\n"), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEngineTestbed(t, nil)
				s.targets[0].script = func(f *fakeTarget, conn net.Conn, q *http.Request) bool {
					if c.crashes {
						f.listener.Close()
					}
					return c.engine(f, conn, q)
				}
				s.call(nonResumableStreamPath, "prompt", "Parts", "a,b")
				quicktest.Assert(t, strings.Contains(s.logs.String(), line), quicktest.Equals, c.want)
				quicktest.Assert(t, s.logs.String(), quicktest.Contains, `"prefix":["a","b"]`)
			})
		})
	}
}

// TestCrashOfServiceIsLogged: the process of a plain service that ended under a request must be told
// from a connection that ended, with what shows whether another request is the same.
func TestCrashOfServiceIsLogged(t *testing.T) {
	digests := make(map[string]int)
	for name, c := range map[string]struct {
		body    string
		script  script
		crashes bool
	}{
		"before the head":     {"a", closeConn, true},
		"the same request":    {"a", closeConn, true},
		"another body":        {"b", closeConn, true},
		"within the body":     {"c", writeText("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf"), true},
		"only the connection": {"d", closeConn, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, []script{nil}, nil)
				s.targets[0].script = func(f *fakeTarget, conn net.Conn, q *http.Request) bool {
					if c.crashes {
						f.listener.Close()
					}
					return c.script(f, conn, q)
				}
				s.call(nonIdempotentPath, c.body)
				_, line, _ := strings.Cut(s.logs.String(), `"digest":`)
				digest, rest, _ := strings.Cut(line, ",")
				digests[digest]++
				quicktest.Assert(t, strings.Contains(rest, `"message":"target process ended during a request"`), quicktest.Equals, c.crashes)
			})
		})
	}
	// Two of the five requests are the same.
	quicktest.Assert(t, digests, quicktest.HasLen, 4)
}

// TestBlockedPromptIsRefused: a prompt that crashes engines must be refused at once, with the
// time until that is reconsidered, and reach none of them.
func TestBlockedPromptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(2, 0)})
		s.gate.ApplyBlocks([]poison.Block{{Segments: []string{"bad"}, Left: 30 * time.Second}})
		res := s.call(resumableStreamPath, "prompt", "Parts", "a,bad,b")
		quicktest.Assert(t, res.status, quicktest.Equals, 503)
		quicktest.Assert(t, res.header.Get("Retry-After"), quicktest.Equals, "30")
		quicktest.Assert(t, res.took < 100*time.Millisecond, quicktest.IsTrue)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 0)
		quicktest.Assert(t, s.call(resumableStreamPath, "prompt", "Parts", "a,b").status, quicktest.Equals, 200)
		time.Sleep(30 * time.Second)
		quicktest.Assert(t, s.call(resumableStreamPath, "prompt", "Parts", "bad").status, quicktest.Equals, 200)
	})
}

// TestBlockedRequestIsRefused: a request of a plain service that crashes targets must be refused at
// once, and no other one, also none that differs only by its body.
func TestBlockedRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var scripts []script
		for range 5 {
			scripts = append(scripts, closeConn)
		}
		s := newTestbed(t, scripts, nil)
		for _, f := range s.targets {
			f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
				if q.Header.Get("Id") == "bad" {
					time.Sleep(30 * time.Millisecond)
					f.listener.Close()
					return false
				}
				return respond(200, "done", sealHeader)(f, c, q)
			}
		}
		for range 4 {
			s.call(idempotentPath, "bad", "Id", "bad")
			time.Sleep(time.Second)
		}
		count := s.requestCount()
		res := s.call(idempotentPath, "bad", "Id", "bad")
		quicktest.Assert(t, res.status, quicktest.Equals, 503)
		quicktest.Assert(t, res.header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
		quicktest.Assert(t, res.took < 100*time.Millisecond, quicktest.IsTrue)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, count)
		quicktest.Assert(t, count <= 4, quicktest.IsTrue, quicktest.Commentf("%d requests", count))
		quicktest.Assert(t, s.call(idempotentPath, "good").status, quicktest.Equals, 200)
	})
}

// TestBlockEndsRepeats: a request that an engine crashed on must not be sent to another one if
// its prompt is blocked meanwhile. It may have run, so the caller gets no 503.
func TestBlockEndsRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(9, 0), streamEvents(9, 0)})
		for _, f := range s.targets {
			f.script = func(f *fakeTarget, _ net.Conn, _ *http.Request) bool {
				f.listener.Close()
				s.gate.ApplyBlocks([]poison.Block{{Segments: []string{"bad"}, Left: 30 * time.Second}})
				return false
			}
		}
		res := s.call(resumableStreamPath, "prompt", "Parts", "bad")
		quicktest.Assert(t, res.status, quicktest.Equals, 502)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
	})
}

// TestCrashesWithoutLeader: an instance that has no leader blocks what it has seen itself.
func TestCrashesWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var scripts []script
		for range 12 {
			scripts = append(scripts, func(f *fakeTarget, c net.Conn, q *http.Request) bool {
				if strings.Contains(q.Header.Get("Parts"), "bad") {
					f.listener.Close()
					return false
				}
				return streamEvents(2, 0)(f, c, q)
			})
		}
		s := newTestbed(t, nil, scripts)
		for range 20 {
			s.call(resumableStreamPath, "prompt", "Parts", "a,bad")
			s.call(resumableStreamPath, "prompt", "Parts", "a")
			time.Sleep(time.Second)
		}
		crashed := 0
		for _, f := range s.targets {
			for i := range f.requestCount() {
				if strings.Contains(f.request(i).Header.Get("Parts"), "bad") {
					crashed++
				}
			}
		}
		const allowed = 5 + 3
		quicktest.Assert(t, crashed <= allowed, quicktest.IsTrue, quicktest.Commentf("%d requests with the segment", crashed))
		quicktest.Assert(t, s.call(resumableStreamPath, "prompt", "Parts", "a").status, quicktest.Equals, 200)
	})
}

// unframed returns a script that writes a body which ends with its connection.
func unframed(body string, crash bool) script {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		if crash {
			f.listener.Close()
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", q.Header.Get("Id"), sealHeader, body)
		return false
	}
}

// unframedStates are changes of a target while it answers.
func unframedStates() map[string]func(s *testbed, f *fakeTarget) {
	return map[string]func(s *testbed, f *fakeTarget){
		"ready": func(*testbed, *fakeTarget) {},
		"draining": func(s *testbed, f *fakeTarget) {
			f.State = site.Draining
			s.publish(2)
		},
		"leaving":    func(s *testbed, f *fakeTarget) { s.gate.recordNotice(f.Target, true, 0) },
		"wants none": func(s *testbed, f *fakeTarget) { s.gate.recordNotice(f.Target, false, 3*time.Second) },
		"evacuated": func(s *testbed, _ *fakeTarget) {
			s.gate.ApplyEvacuations(reg.Evacuations{Counter: 1, DataCentres: []string{"dc"}})
		},
	}
}

// TestUnframedAnswerOfCrashedTarget: an answer that has neither a length nor chunks is complete
// when its connection ends, unless a stream ends within an event, or the process of the target
// has ended, too: it may have had more to send.
func TestUnframedAnswerOfCrashedTarget(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		crash      bool
		whole      bool
	}{
		"whole stream":         {nonResumableStreamPath, eventText(1, 3), false, true},
		"stream in an event":   {nonResumableStreamPath, eventText(1, 3) + "id: 4\nda", false, false},
		"event without an end": {nonResumableStreamPath, eventText(1, 3) + "id: 4\ndata: e\n", false, false},
		"stream, crashed":      {nonResumableStreamPath, eventText(1, 3), true, false},
		"whole body":           {nonIdempotentPath, "done", false, true},
		"body, crashed":        {nonIdempotentPath, "done", true, false},
	} {
		for state, change := range unframedStates() {
			t.Run(name+"/"+state, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var s *testbed
					s = newPathTestbed(t, c.path, func(f *fakeTarget, conn net.Conn, q *http.Request) bool {
						change(s, f)
						synctest.Wait()
						return unframed(c.body, c.crash)(f, conn, q)
					})
					res := s.call(c.path, "body")
					quicktest.Assert(t, !res.truncated && res.status == 200, quicktest.Equals, c.whole, quicktest.Commentf("%+v", res))
				})
			})
		}
	}
}

// TestUnframedStreamIsResumed: a stream without a length whose engine has ended goes on at another one.
func TestUnframedStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{nil, nil})
		for _, f := range s.targets {
			f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
				if s.requestCount() > 1 {
					return streamEvents(5, 0)(f, c, q)
				}
				return unframed(eventText(1, 3), true)(f, c, q)
			}
		}
		res := s.call(resumableStreamPath, "prompt")
		quicktest.Assert(t, res.truncated, quicktest.IsFalse)
		quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 5))
	})
}

// TestPauseIsNoSurvival: after a pause, of this process or of the engine, the events that come at
// once don't show that the engine has written for all that time. If it crashes then, the request
// is still a suspect.
func TestPauseIsNoSurvival(t *testing.T) {
	for name, c := range map[string]struct {
		gap         time.Duration
		events      int
		wantSuspect bool
	}{
		"one pause":      {3 * time.Second, 2, true},
		"steady answers": {100 * time.Millisecond, 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEngineTestbed(t, func(f *fakeTarget, conn net.Conn, q *http.Request) bool {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), sealHeader)
					for i := 1; i <= c.events; i++ {
						ev := eventText(i, i)
						fmt.Fprintf(conn, "%x\r\n%s\r\n", len(ev), ev)
						time.Sleep(c.gap)
					}
					f.listener.Close()
					return false
				})
				s.tables.Version = 2
				for i := range s.tables.Routes {
					s.tables.Routes[i].Limit, s.tables.Routes[i].Pause = time.Minute, 5*time.Second
				}
				s.publish(2)
				s.call(nonResumableStreamPath, "prompt", "Parts", "bad", "Left", "60000")
				var m link.FollowerMessage
				s.gate.FillHandover(&m)
				quicktest.Assert(t, len(m.Crashes) > 0, quicktest.Equals, c.wantSuspect)
				quicktest.Assert(t, m.Survivals, quicktest.HasLen, 0)
			})
		})
	}
}
