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
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e\n\n", i)
	}
	return b.String()
}

func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, []script{streams(5, 0)})
		a := s.call(streamPath, "prompt")
		quicktest.Assert(t, a.status, quicktest.Equals, 200)
		quicktest.Assert(t, a.cut, quicktest.IsFalse)
		quicktest.Assert(t, a.body, quicktest.Equals, events(1, 5))
		a = s.call(streamPath, "prompt", "Last", "3")
		quicktest.Assert(t, a.body, quicktest.Equals, events(4, 5))
	})
}

// TestStreamGoesOnElsewhere breaks an answer in the middle of an event: the rest
// comes from another engine, under the head of the first.
func TestStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, []script{streams(9, 4), streams(9, 4)})
		// Whichever engine is second answers the whole rest.
		for _, f := range s.fakes {
			f.answer = func(f *fake, c net.Conn, q *http.Request) bool {
				if s.runs() > 1 {
					return streams(9, 0)(f, c, q)
				}
				return streams(9, 4)(f, c, q)
			}
		}
		a := s.call(streamPath, "prompt")
		quicktest.Assert(t, a.cut, quicktest.IsFalse)
		quicktest.Assert(t, a.body, quicktest.Equals, events(1, 9))
		first := s.fakes[0]
		if first.runs() == 0 || first.request(0).Header.Get("Last") != "" {
			first = s.fakes[1]
		}
		quicktest.Assert(t, a.header.Get("By"), quicktest.Equals, first.ID)
		quicktest.Assert(t, s.runs(), quicktest.Equals, 2)
	})
}

// TestOnceStreamBreaksOffVisibly has no other engine go on with an answer that
// may not be resumed.
func TestOnceStreamBreaksOffVisibly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, []script{streams(9, 4), streams(9, 4)})
		a := s.call(oncePath, "prompt")
		quicktest.Assert(t, a.cut, quicktest.IsTrue)
		quicktest.Assert(t, a.body, quicktest.Equals, events(1, 4))
		quicktest.Assert(t, s.runs(), quicktest.Equals, 1)
	})
}

// TestOnceStreamNotRun wants a status that promises nothing when an engine broke
// off, and a second engine only after proof that the first did not run it.
func TestOnceStreamNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, []script{breaks, breaks})
		a := s.call(oncePath, "prompt")
		quicktest.Assert(t, a.status, quicktest.Equals, 502)
		quicktest.Assert(t, s.runs(), quicktest.Equals, 1)
		s = newStand2(t, answers(503, "", notRan))
		a = s.call(oncePath, "prompt")
		quicktest.Assert(t, a.status, quicktest.Equals, 503)
	})
}

// newStand2 is a stand with one engine at another place.
func newStand2(t *testing.T, sc script) *stand {
	t.Helper()
	return newStand(t, nil, []script{sc})
}

// lastEvent is the last event of the answers of TestNoEventTwice.
const lastEvent = 8

// unruly is how two engines break off and resume.
type unruly struct {
	// cuts are the events after which the first and the second break off.
	cuts [2]int
	// back and skip shift where the second goes on.
	back, skip int
}

// answer is the script of both engines of a stand.
func (u unruly) answer(s *stand) script {
	return func(f *fake, c net.Conn, q *http.Request) bool {
		cut := u.cuts[0]
		if s.runs() > 1 {
			cut = u.cuts[1]
			from := 0
			fmt.Sscan(q.Header.Get("Last"), &from)
			// An engine that skips the last event can't be told from one at its end.
			q.Header.Set("Last", fmt.Sprint(min(lastEvent-1, max(0, from-u.back+u.skip))))
		}
		if cut == lastEvent {
			cut = 0
		}
		return streams(lastEvent, cut)(f, c, q)
	}
}

// TestNoEventTwice lets engines break off anywhere, resume too early and skip:
// the caller gets a prefix of the events without a gap, and a clean end only with
// the last one.
func TestNoEventTwice(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		u := unruly{
			cuts: [2]int{rapid.IntRange(0, lastEvent).Draw(r, "first"), rapid.IntRange(0, lastEvent).Draw(r, "second")},
			back: rapid.IntRange(0, 2).Draw(r, "back"), skip: rapid.IntRange(0, 1).Draw(r, "skip"),
		}
		var a got
		synctest.Test(t, func(t *testing.T) {
			s := newStand(t, nil, []script{breaks, breaks})
			for _, f := range s.fakes {
				f.answer = u.answer(s)
			}
			a = s.call(streamPath, "prompt")
		})
		if a.status != 200 {
			return
		}
		if !strings.HasPrefix(events(1, lastEvent), a.body) {
			r.Fatalf("events changed: %q", a.body)
		}
		if !a.cut && a.body != events(1, lastEvent) {
			r.Fatalf("clean end after %q", a.body)
		}
	})
}

// TestSilentEngineIsLeft has an engine fall silent in the middle of an answer.
func TestSilentEngineIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, []script{breaks, breaks})
		for _, f := range s.fakes {
			f.answer = func(f *fake, c net.Conn, q *http.Request) bool {
				if s.runs() > 1 {
					return streams(4, 0)(f, c, q)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a1\r\n%sTransfer-Encoding: chunked\r\n\r\n", sealed)
				ev := events(1, 1)
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
				return hangs(f, c, q)
			}
		}
		a := s.call(streamPath, "prompt", "Left", "3000")
		quicktest.Assert(t, a.cut, quicktest.IsFalse)
		quicktest.Assert(t, a.body, quicktest.Equals, events(1, 4))
		// Before the caller gives up, which is after two seconds without an event.
		quicktest.Assert(t, a.took < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", a.took))
	})
}

// TestCallerLeavesMidway has a caller leave in the middle of an answer: that is no fault of
// the engine, and the log says so.
func TestCallerLeavesMidway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, []script{streams(100, 0)})
		ctx, cancel := context.WithTimeout(t.Context(), 210*time.Millisecond)
		defer cancel()
		a := s.callWith(ctx, streamPath, "prompt")
		quicktest.Assert(t, a.cut, quicktest.IsTrue)
		time.Sleep(time.Second)
		synctest.Wait()
		quicktest.Assert(t, s.logs.String(), quicktest.Contains, `"reason":"the caller left"`)
		quicktest.Assert(t, s.logs.String(), quicktest.Not(quicktest.Contains), "broke off")
		quicktest.Assert(t, s.runs(), quicktest.Equals, 1)
	})
}

// TestSilenceEndsNoAnswer has an engine fall silent in the middle of an answer, longer
// than answers are moved after, where no other may be tried: as the attempts are used
// up, or the budget of repeats. The answer goes on when the engine does.
func TestSilenceEndsNoAnswer(t *testing.T) {
	const silent = 2200 * time.Millisecond
	pauses := func(_ *fake, c net.Conn, q *http.Request) bool {
		from, err := strconv.Atoi(q.Header.Get("Last"))
		if err != nil {
			from = 0
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a1\r\n%sTransfer-Encoding: chunked\r\n\r\n", sealed)
		ev := events(from+1, from+1)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
		time.Sleep(silent)
		ev = events(from+2, 4)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(ev), ev)
		return true
	}
	for name, prepare := range map[string]func(s *stand){
		"attempts": func(s *stand) {
			for _, f := range s.fakes {
				f.answer = func(f *fake, c net.Conn, q *http.Request) bool {
					if s.runs() > 1 {
						return pauses(f, c, q)
					}
					return streams(4, 1)(f, c, q)
				}
			}
		},
		"budget": func(s *stand) {
			s.gate.Budget.Ratio, s.gate.Budget.Slack = 0, 0
			for _, f := range s.fakes {
				f.answer = pauses
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStand(t, nil, []script{breaks, breaks})
				prepare(s)
				a := s.call(streamPath, "prompt", "Left", "3000")
				quicktest.Assert(t, a.cut, quicktest.IsFalse)
				quicktest.Assert(t, a.body, quicktest.Equals, events(1, 4))
			})
		})
	}
}

// TestMemoryIsGivenBack sets memory aside on a helper for a prompt larger than
// an engine's memory, keeps it while the answer is written, and gives it back.
func TestMemoryIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, nil)
		s.add("engines", 20, streams(1, 0))
		s.add("engines", 21, streams(1, 0))
		s.learn(2)
		list := []Helper{
			{Target: s.fakes[0].Target},
			{Target: s.fakes[1].Target, Ticket: "k", Tokens: 5000},
		}
		held, err := s.gate.reserve(t.Context(), "a1", list)
		quicktest.Assert(t, err, quicktest.IsNil)
		time.Sleep(2 * renewAfter)
		held.release()
		time.Sleep(time.Second)
		s.gate.Targets.CloseIdle(s.fakes[1].Address)
		synctest.Wait()
		quicktest.Assert(t, len(s.fakes[0].orders), quicktest.Equals, 0)
		orders := s.fakes[1].orders
		quicktest.Assert(t, len(orders) >= 3, quicktest.IsTrue, quicktest.Commentf("%v", orders))
		for _, o := range orders[:len(orders)-1] {
			quicktest.Assert(t, o, quicktest.Equals, fmt.Sprintf("reserve k 5000 %d", reserveHold.Milliseconds()))
		}
		quicktest.Assert(t, orders[len(orders)-1], quicktest.Equals, "release k")
	})
}

// TestMemoryEndsByItself holds what is set aside to less than the 4 s after which
// engines call it a leak, as this process may die at any moment.
func TestMemoryEndsByItself(t *testing.T) {
	quicktest.Assert(t, reserveHold < 4*time.Second, quicktest.IsTrue)
	quicktest.Assert(t, renewAfter+2*orderTimeout < reserveHold, quicktest.IsTrue)
}

// TestAloneIsNotBlind has no scheduler for a long time: the instance still places
// requests by its own view. Once it took all engines for silent after 4 s.
func TestAloneIsNotBlind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, []script{streams(3, 0)})
		time.Sleep(time.Minute)
		a := s.call(streamPath, "prompt")
		quicktest.Assert(t, a.status, quicktest.Equals, 200)
		quicktest.Assert(t, a.took < time.Second, quicktest.IsTrue, quicktest.Commentf("%s", a.took))
	})
}

// TestReadyNeedsTables wants an instance out of the look-ups until it has tables.
func TestReadyNeedsTables(t *testing.T) {
	s := &Server{}
	quicktest.Assert(t, s.IsReady(), quicktest.IsFalse)
	s.world.now.Store(&view{index: site.NewIndex(&site.Tables{})})
	quicktest.Assert(t, s.IsReady(), quicktest.IsTrue)
}
