package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

type script = func(*fake, net.Conn, *http.Request) bool

// TestOutcomes sends requests to targets that fail in every way, first one that
// may be repeated and then one that may not.
func TestOutcomes(t *testing.T) {
	good := answers(200, "done", sealed)
	for name, c := range map[string]struct {
		bad script
		// look and order are the statuses with one bad target and one good one, where
		// the bad one comes first; orderRuns is how often the order may have run.
		look, order int
		orderRuns   int
	}{
		"good":              {good, 200, 200, 1},
		"full":              {answers(503, "", notRan), 200, 200, 1},
		"other process":     {answers(421, ""), 200, 200, 1},
		"busy, no promise":  {answers(503, ""), 200, 502, 1},
		"closes":            {breaks, 200, 502, 1},
		"no seal":           {answers(200, "done"), 200, 502, 1},
		"encoded":           {answers(200, "done", sealed, "Content-Encoding: gzip\r\n"), 200, 502, 1},
		"its own failure":   {answers(500, "oh", sealed), 200, 500, 1},
		"its own complaint": {answers(400, "bad", sealed), 400, 400, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for path, want := range map[string]int{lookPath: c.look, orderPath: c.order} {
				synctest.Test(t, func(t *testing.T) {
					s := newStand(t, []script{c.bad, good}, nil)
					// The other target is busy, so that the bad one comes first.
					defer s.gate.health.busy("t1")()
					defer s.gate.health.busy("t1")()
					a := s.call(path, "body")
					quicktest.Assert(t, a.status, quicktest.Equals, want, quicktest.Commentf("%s %s", path, a.body))
					if path == orderPath && a.status != 200 {
						quicktest.Assert(t, s.runs(), quicktest.Equals, c.orderRuns)
					}
					quicktest.Assert(t, a.status == 200 && a.body != "done", quicktest.IsFalse)
				})
			}
		})
	}
}

// TestRefusalIsTrue wants 503 only where no target ran the request, with when to
// come back, at once.
func TestRefusalIsTrue(t *testing.T) {
	for name, c := range map[string]struct {
		plain []script
		want  int
	}{
		"no target":           {nil, 503},
		"all full":            {[]script{answers(503, "", notRan), answers(429, "", notRan)}, 503},
		"one broke, one full": {[]script{breaks, breaks}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStand(t, c.plain, nil)
				a := s.call(orderPath, "body")
				quicktest.Assert(t, a.status, quicktest.Equals, c.want)
				quicktest.Assert(t, a.took < 100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", a.took))
				if c.want == 503 {
					_, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
					quicktest.Assert(t, err, quicktest.IsNil)
				}
			})
		})
	}
}

// TestLargeAnswerIsNotCut has a target answer more than is read: the caller must
// not get a part that looks whole.
func TestLargeAnswerIsNotCut(t *testing.T) {
	_, err := readAnswer(strings.NewReader(strings.Repeat("x", maxAnswer+1)))
	quicktest.Assert(t, err, quicktest.Equals, errLargeAnswer)
	b, err := readAnswer(strings.NewReader(strings.Repeat("x", maxAnswer)))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(b), quicktest.Equals, maxAnswer)
}

// TestDeadline wants an answer at the route's limit or the caller's, and the
// target to be told what is left and to be let go.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, []script{hangs}, nil)
		a := s.call(lookPath, "body")
		quicktest.Assert(t, a.status, quicktest.Equals, 504)
		quicktest.Assert(t, a.took, quicktest.Equals, 2*time.Second)
		a = s.call(lookPath, "body", "Left", "60000")
		quicktest.Assert(t, a.took, quicktest.Equals, 3*time.Second)
		synctest.Wait()
		left, err := strconv.Atoi(s.fakes[0].request(1).Header.Get("Left"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, left > 2900 && left <= 3000, quicktest.IsTrue, quicktest.Commentf("%d", left))
		s.fakes[0].mu.Lock()
		defer s.fakes[0].mu.Unlock()
	})
}

// TestLostAnswer has a target run a request and its answer get lost: a second
// target answers well before the time is over, unless the request may not repeat.
func TestLostAnswer(t *testing.T) {
	for path, want := range map[string]int{lookPath: 200, orderPath: 504} {
		synctest.Test(t, func(t *testing.T) {
			s := newStand(t, []script{hangs, answers(200, "done", sealed)}, nil)
			defer s.gate.health.busy("t1")()
			defer s.gate.health.busy("t1")()
			a := s.call(path, "")
			quicktest.Assert(t, a.status, quicktest.Equals, want)
			quicktest.Assert(t, want != 200 || a.took < time.Second, quicktest.IsTrue, quicktest.Commentf("%s", a.took))
		})
	}
}

// TestCallerLeaves wants the target's connection closed at once.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan time.Time, 1)
		s := newStand(t, []script{func(f *fake, c net.Conn, q *http.Request) bool {
			hangs(f, c, q)
			closed <- time.Now()
			return false
		}}, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		began := time.Now()
		s.callWith(ctx, orderPath, "body")
		quicktest.Assert(t, (<-closed).Sub(began), quicktest.Equals, 500*time.Millisecond)
	})
}

func TestWhoMayCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, []script{answers(200, "done", sealed)}, nil)
		for _, c := range []struct {
			path, key string
			want      int
		}{
			{lookPath, "key", 200},
			{lookPath, "other", 401},
			{lookPath, "", 401},
			{publicPath, "", 200},
			{"/none/", "key", 404},
		} {
			a := s.call(c.path, "", "Key", c.key, "Organisation", "forged")
			quicktest.Assert(t, a.status, quicktest.Equals, c.want, quicktest.Commentf("%v", c))
		}
		f := s.fakes[0]
		quicktest.Assert(t, f.request(0).Header.Get("Organisation"), quicktest.Equals, "org")
		quicktest.Assert(t, f.request(1).Header.Get("Organisation"), quicktest.Equals, "")
		quicktest.Assert(t, f.request(0).Header.Get("Key"), quicktest.Equals, "")
		quicktest.Assert(t, f.request(0).RequestURI, quicktest.Equals, lookPath+"x?y=1")
	})
}

func TestBadInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, []script{answers(200, "done", sealed)}, nil)
		quicktest.Assert(t, s.call(lookPath, "", "Left", "soon").status, quicktest.Equals, 400)
		quicktest.Assert(t, s.call(lookPath, string(make([]byte, 1001))).status, quicktest.Equals, 413)
		quicktest.Assert(t, s.runs(), quicktest.Equals, 0)
	})
}

// TestNoTablesYet wants a promise that nothing ran, and no claim about routes or
// keys, from an instance that knows none.
func TestNoTablesYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, nil, nil)
		s.gate.world.now.Store(nil)
		quicktest.Assert(t, s.gate.IsReady(), quicktest.IsFalse)
		quicktest.Assert(t, s.call("/none/", "", "Key", "").status, quicktest.Equals, 503)
	})
}

// TestStartWaitsForTables lets a request wait that comes to an instance just
// before its tables, and refuses it when they don't come in time. Once each
// restart of all instances refused what came in its first two seconds.
func TestStartWaitsForTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, []script{answers(200, "done", sealed)}, nil)
		s.gate.born = time.Now()
		news := s.gate.world.now.Load()
		s.gate.world.now.Store(nil)
		s.gate.world.setup()
		go func() {
			time.Sleep(400 * time.Millisecond)
			s.gate.world.now.Store(news)
			close(s.gate.world.first)
		}()
		a := s.call(lookPath, "")
		quicktest.Assert(t, a.status, quicktest.Equals, 200)
		s.gate.world.now.Store(nil)
		s.gate.world.setup()
		a = s.call(lookPath, "")
		quicktest.Assert(t, a.status, quicktest.Equals, 503)
		// A third of the caller's time.
		quicktest.Assert(t, a.took < 700*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", a.took))
	})
}

// TestOlderNewsChangeNothing gives an older revision after a newer one.
func TestOlderNewsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, []script{answers(200, "done", sealed)}, nil)
		s.tables.Version, s.tables.Organisations = 2, nil
		s.learn(5)
		s.tables.Version, s.tables.Organisations = 1, []site.Organisation{{Name: "org", Keys: []string{"key"}}}
		s.learn(4)
		quicktest.Assert(t, s.call(lookPath, "").status, quicktest.Equals, 401)
		// A higher revision with an older version of the tables neither.
		s.learn(6)
		quicktest.Assert(t, s.call(lookPath, "").status, quicktest.Equals, 401)
	})
}

// TestDrainingGetsNothing marks the only target as leaving.
func TestDrainingGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, []script{answers(200, "done", sealed)}, []script{streams(2, 0)})
		for _, f := range s.fakes {
			f.State = site.Draining
		}
		s.learn(2)
		quicktest.Assert(t, s.call(lookPath, "").status, quicktest.Equals, 503)
		quicktest.Assert(t, s.call(streamPath, "").status, quicktest.Equals, 503)
		quicktest.Assert(t, s.runs(), quicktest.Equals, 0)
	})
}

// TestPlannedStop takes requests for a while and then turns them away, with the
// promise that they did not run.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(t, []script{answers(200, "done", sealed)}, nil)
		s.gate.Leave()
		quicktest.Assert(t, s.gate.IsReady(), quicktest.IsFalse)
		time.Sleep(time.Second)
		quicktest.Assert(t, s.call(lookPath, "").status, quicktest.Equals, 200)
		time.Sleep(2 * time.Second)
		quicktest.Assert(t, s.call(lookPath, "").status, quicktest.Equals, 503)
		quicktest.Assert(t, s.gate.Active(), quicktest.Equals, int64(0))
	})
}

// TestBudget bounds the repeats of all instances together: with ten instances
// each may send a tenth of the slack again, and a part of its requests.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, requests, window = 10, 100, 10 * time.Second
		total := 0
		for range instances {
			b := &Budget{Ratio: 0.2, Slack: 50, Window: window}
			for range requests / instances {
				b.note("p")
			}
			for b.take("p", instances) {
				total++
			}
		}
		quicktest.Assert(t, total <= 50+requests/5, quicktest.IsTrue, quicktest.Commentf("%d", total))
		quicktest.Assert(t, total > 0, quicktest.IsTrue)
		b := &Budget{Ratio: 0.2, Slack: 50, Window: window}
		for b.take("p", 1) {
		}
		quicktest.Assert(t, b.take("p", 1), quicktest.IsFalse)
		time.Sleep(window + time.Second)
		quicktest.Assert(t, b.take("p", 1), quicktest.IsTrue)
	})
}
