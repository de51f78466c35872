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
)

// repeatedRefusal is a target that refuses its first request and writes that refusal once more.
type repeatedRefusal struct {
	status int
	// named says that the refusals carry the ID of the request, and notRun that they say that it
	// did not run.
	named, notRun bool
	when          string
}

// Values of repeatedRefusal.when: with the refusal, while the connection is idle, before the next
// request runs, while it runs.
const (
	atOnce  = "at once"
	idle    = "idle"
	sent    = "sent"
	running = "running"
)

// idlePeriod is the time between two requests in these tests.
const idlePeriod = time.Second

// refusal returns the refusal of the request with this ID.
func (r repeatedRefusal) refusal(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: 4\r\n", r.status)
	if r.named {
		fmt.Fprintf(&b, "Id: %s\r\n", id)
	}
	if r.notRun {
		b.WriteString(notRunHeader)
	}
	return b.String() + "\r\nfull"
}

// script refuses the first request, writes the refusal again on its connection and answers all later
// requests.
func (r repeatedRefusal) script(answer script) script {
	var repeat func()
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		if f.requestCount() == 1 {
			id := q.Header.Get("Id")
			repeat = func() { io.WriteString(c, r.refusal(id)) }
			io.WriteString(c, r.original(id))
			switch r.when {
			case atOnce:
				repeat()
			case idle:
				time.AfterFunc(idlePeriod/2, repeat)
			}
			return true
		}
		if f.requestCount() == 2 && (r.when == sent || r.when == running) {
			if r.when == running {
				time.Sleep(50 * time.Millisecond)
			}
			repeat()
		}
		time.Sleep(50 * time.Millisecond)
		return answer(f, c, q)
	}
}

// original returns the first copy, which always names its request and says that it did not run.
func (r repeatedRefusal) original(id string) string {
	r.named, r.notRun = true, true
	return r.refusal(id)
}

// answerFor returns the script that serves the route of a path.
func answerFor(path string) script {
	if isStreamPath(path) {
		return streamEvents(2, 0)
	}
	return respond(200, "done", sealHeader)
}

// TestRepeatedRefusal has a target refuse one request, write the refusal once more on the
// connection and run the next request. The caller must get the answer to that one.
func TestRepeatedRefusal(t *testing.T) {
	for _, when := range []string{atOnce, idle, sent, running} {
		for _, status := range []int{503, 429, 421, 400} {
			for _, named := range []bool{false, true} {
				for _, notRun := range []bool{false, true} {
					r := repeatedRefusal{status: status, named: named, notRun: notRun, when: when}
					for _, path := range allPaths() {
						t.Run(fmt.Sprintf("%+v%s", r, path), func(t *testing.T) { testRepeatedRefusal(t, path, r) })
					}
				}
			}
		}
	}
}

func testRepeatedRefusal(t *testing.T, path string, r repeatedRefusal) {
	synctest.Test(t, func(t *testing.T) {
		s := newPathTestbed(t, path, r.script(answerFor(path)))
		quicktest.Assert(t, s.call(path, "body", "Id", "a1").status, quicktest.Equals, 503)
		time.Sleep(idlePeriod)
		res := s.call(path, "body", "Id", "a2")
		quicktest.Assert(t, res.status, quicktest.Equals, 200, quicktest.Commentf("%s", res.body))
		quicktest.Assert(t, res.truncated, quicktest.IsFalse)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 2)
	})
}

// TestRepeatedRefusalAfterFailover has one target refuse a request that another one runs, and
// write the refusal again when the next request comes. That one must run once.
func TestRepeatedRefusalAfterFailover(t *testing.T) {
	for _, named := range []bool{false, true} {
		for _, path := range []string{idempotentPath, nonIdempotentPath} {
			t.Run(fmt.Sprint(path, named), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := repeatedRefusal{status: 503, named: named, notRun: true, when: sent}
					s := newTestbed(t, []script{r.script(answerFor(path)), answerFor(path)}, nil)
					// The second target has more requests in flight, so that the first one is tried first.
					defer s.gate.health.track("t1")()
					defer s.gate.health.track("t1")()
					for _, id := range []string{"a1", "a2"} {
						quicktest.Assert(t, s.call(path, "body", "Id", id).status, quicktest.Equals, 200)
						time.Sleep(idlePeriod)
					}
					quicktest.Assert(t, s.targets[0].requestCount(), quicktest.Equals, 2)
					quicktest.Assert(t, s.targets[1].requestCount(), quicktest.Equals, 1)
				})
			})
		}
	}
}

// TestRepeatedOrderResponse has an engine refuse a reservation and write that refusal, which names no
// request, once more when a request comes on the same connection. The caller must get its answer.
func TestRepeatedOrderResponse(t *testing.T) {
	for _, path := range []string{resumableStreamPath, nonResumableStreamPath} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := answerFor(path)
				s := newPathTestbed(t, path, func(f *fakeTarget, c net.Conn, q *http.Request) bool {
					f.mu.Lock()
					isReused := len(f.orders) == f.accepted
					f.mu.Unlock()
					if isReused {
						io.WriteString(c, repeatedRefusal{status: 421, notRun: true}.refusal(""))
					}
					return answer(f, c, q)
				})
				r := reservations{server: s.gate}
				quicktest.Assert(t, r.reserveOne(t.Context(), PrefillHelper{Target: s.targets[0].Target, ReservationID: "r"}, time.Second), quicktest.IsNil)
				quicktest.Assert(t, s.call(path, "body").status, quicktest.Equals, 200)
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
			})
		})
	}
}

// TestRefusalWithoutID: a refusal that names no request proves nothing, on a new connection
// neither. A request that may run once must not go to another target, and its caller must not be
// told that it did not run.
func TestRefusalWithoutID(t *testing.T) {
	for _, status := range []int{503, 429, 421, 400} {
		for _, path := range []string{nonIdempotentPath, nonResumableStreamPath, engineOrderPath, serviceOncePath} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					bad := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
						io.WriteString(c, repeatedRefusal{status: status, notRun: true}.refusal(""))
						return answerFor(path)(f, c, q)
					}
					s := newPathTestbed(t, path, bad, bad)
					quicktest.Assert(t, s.call(path, "body").status, quicktest.Equals, 502)
					quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
				})
			})
		}
	}
}

// TestForeignRefusalOnNewConnection has targets write the refusal of another request before they
// answer, on a connection that had no other request.
func TestForeignRefusalOnNewConnection(t *testing.T) {
	for _, path := range allPaths() {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bad := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
					io.WriteString(c, repeatedRefusal{status: 503, named: true, notRun: true}.refusal("another"))
					return answerFor(path)(f, c, q)
				}
				s := newPathTestbed(t, path, bad, bad)
				quicktest.Assert(t, s.call(path, "body").status, quicktest.Equals, 200)
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
			})
		})
	}
}

// TestRepeatedRefusalWithoutRequestIDs: callers' requests without an ID can't be told apart by
// their responses.
func TestRepeatedRefusalWithoutRequestIDs(t *testing.T) {
	for _, path := range allPaths() {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := repeatedRefusal{status: 503, notRun: true, when: idle}
				s := newPathTestbed(t, path, r.script(answerFor(path)))
				quicktest.Assert(t, s.call(path, "body", "Id", "").status, quicktest.Equals, 503)
				time.Sleep(idlePeriod)
				quicktest.Assert(t, s.call(path, "body", "Id", "").status, quicktest.Equals, 200)
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 2)
			})
		})
	}
}
