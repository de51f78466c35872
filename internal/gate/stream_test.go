package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// patientCall sends a request and returns the time of each event and what came in all. The caller leaves after two seconds
// without an event.
func (s *testbed) patientCall(path string, headers ...string) (times []time.Duration, body string) {
	c, err := s.net.Dialer("10.0.9.9")(context.Background(), gateAddress)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	defer c.Close()
	began := time.Now()
	_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: key\r\nLeft: 20000\r\n%sContent-Length: 1\r\n\r\nx", path, strings.Join(headers, ""))
	quicktest.Assert(s.t, err, quicktest.IsNil)
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(minEventTimeout))
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, ""
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for {
		_ = c.SetReadDeadline(time.Now().Add(minEventTimeout))
		line, err := lines.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				body += "(cut)"
			}
			return times, body
		}
		if strings.HasPrefix(line, "data") {
			times = append(times, time.Since(began))
		}
		body += line
	}
}

// slowEvents writes events with a pause before each, from the one after the caller's last.
func slowEvents(count int, pause time.Duration, headers string) script {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		from, _ := strconv.Atoi(q.Header.Get("Last"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), headers)
		for i := from + 1; i <= count; i++ {
			time.Sleep(pause)
			ev := eventText(i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// longStreams gives all routes a time limit that streams of some seconds fit in.
func (s *testbed) longStreams() {
	for i := range s.tables.Routes {
		s.tables.Routes[i].Limit = 30 * time.Second
	}
	s.tables.Version++
	s.publish(uint64(s.tables.Version))
}

// TestEventsComeAsWritten guards against streams of plain services that are held back until they are complete: callers who wait
// two seconds for an event got none.
func TestEventsComeAsWritten(t *testing.T) {
	for _, headers := range []string{streamHeaders, sealHeader} {
		for _, path := range []string{resumableStreamPath, nonResumableStreamPath, serviceStreamPath, serviceOncePath} {
			t.Run(path+headers, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newPathTestbed(t, path, slowEvents(40, 100*time.Millisecond, headers))
					s.longStreams()
					times, body := s.patientCall(path)
					quicktest.Assert(t, body, quicktest.Equals, eventText(1, 40))
					for i, at := range times {
						quicktest.Check(t, (at-time.Duration(i+1)*100*time.Millisecond).Abs() < 20*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("event %d after %s", i+1, at))
					}
					quicktest.Check(t, s.gate.buffers.memory.Used(), quicktest.Equals, int64(0))
				})
			})
		}
	}
}

// TestServiceStreamMovesOn has the first service fail a stream in each possible way. A resumable stream must go on at the other
// service with the next event, and one that isn't must look cut.
func TestServiceStreamMovesOn(t *testing.T) {
	for name, bad := range map[string]script{
		"cut in an event":      streamEvents(9, 4),
		"cut between events":   chunkedAnswer(true, 200, streamHeaders, eventText(1, 4)),
		"stalls":               func(_ *fakeTarget, c net.Conn, q *http.Request) bool { stallAfter(c, q, 4); return false },
		"cut before any event": chunkedAnswer(true, 200, streamHeaders),
		"silent":               neverRespond,
	} {
		for _, path := range []string{resumableStreamPath, nonResumableStreamPath, serviceStreamPath, serviceOncePath} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStreamMovesOn(t, path, bad) })
			})
		}
	}
}

func testStreamMovesOn(t *testing.T, path string, bad script) {
	s := newPathTestbed(t, path)
	s.addFailingFirst(path, bad, streamEvents(9, 0))
	s.longStreams()
	_, body := s.patientCall(path)
	if path == resumableStreamPath || path == serviceStreamPath {
		quicktest.Check(t, body, quicktest.Equals, eventText(1, 9))
		quicktest.Check(t, s.requestCount(), quicktest.Equals, 2)
	} else {
		quicktest.Check(t, body != eventText(1, 9) && strings.HasPrefix(eventText(1, 9), strings.TrimSuffix(body, "(cut)")), quicktest.IsTrue)
		quicktest.Check(t, s.requestCount(), quicktest.Equals, 1)
	}
	time.Sleep(10 * time.Second)
	quicktest.Check(t, s.leftOver(), quicktest.Equals, "")
}

// addFailingFirst adds two targets for the route of a path. The first request that reaches one of them meets the script bad, and all others
// the script good.
func (s *testbed) addFailingFirst(path string, bad, good script) {
	either := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		if s.requestCount() == 1 {
			return bad(f, c, q)
		}
		return good(f, c, q)
	}
	pool := "plain"
	if isEnginePath(path) {
		pool = "engines"
	}
	s.addTarget(pool, 1, either)
	s.addTarget(pool, 2, either)
	s.publish(2)
}

// stallAfter writes that many events and nothing more until the connection is closed.
func stallAfter(c net.Conn, q *http.Request, count int) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), streamHeaders)
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(eventText(1, count)), eventText(1, count))
	_, _ = c.Read(make([]byte, 1))
}

// TestSplitStreamIsWhole guards against streams that come whole from one part of a split route only.
func TestSplitStreamIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sound := slowEvents(30, 100*time.Millisecond, streamHeaders)
		s := newTestbed(t, []script{sound}, []script{sound})
		for i := range s.tables.Routes {
			if r := &s.tables.Routes[i]; r.Prefix == resumableStreamPath {
				r.Split = []site.PoolWeight{{Pool: "plain", Weight: 1}, {Pool: "engines", Weight: 1}}
			}
		}
		s.longStreams()
		for range 16 {
			_, body := s.patientCall(resumableStreamPath)
			quicktest.Check(t, body, quicktest.Equals, eventText(1, 30))
		}
		quicktest.Check(t, s.targets[0].requestCount() > 0 && s.targets[1].requestCount() > 0, quicktest.IsTrue)
	})
}

// TestServiceStreamOfManyMegabytes guards against streams that fill the memory for buffered responses, and against the limit of
// a buffered response.
func TestServiceStreamOfManyMegabytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 40
		data := strings.Repeat("x", 1<<20-64)
		s := newTestbed(t, []script{func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), streamHeaders)
			for i := 1; i <= count; i++ {
				ev := fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
					return false
				}
			}
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		}}, nil)
		s.longStreams()
		times, _ := s.patientCall(serviceStreamPath)
		quicktest.Check(t, times, quicktest.HasLen, count)
		quicktest.Check(t, s.leftOver(), quicktest.Equals, "")
	})
}

// TestStreamGoesOnAtFullService guards against streams that are cut when their service breaks off while the pool is full: the caller
// has a part, so that they wait for no turn.
func TestStreamGoesOnAtFullService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s *testbed
		either := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			if s.requestCount() == 1 {
				s.gate.services.mu.Lock()
				p := s.gate.services.pool("plain")
				p.full, p.rate, p.turns, p.shortAt, p.cutAt = true, minRate, -50, time.Now(), time.Now()
				s.gate.services.mu.Unlock()
				return streamEvents(9, 4)(f, c, q)
			}
			return streamEvents(9, 0)(f, c, q)
		}
		s = newTestbed(t, []script{either, either}, nil)
		_, body := s.patientCall(serviceStreamPath)
		quicktest.Check(t, body, quicktest.Equals, eventText(1, 9))
	})
}

// TestServiceStreamOfLeavingCaller guards against services that work on for a caller who has left.
func TestServiceStreamOfLeavingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{slowEvents(300, 100*time.Millisecond, streamHeaders)}, nil)
		s.longStreams()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s.callContext(ctx, serviceStreamPath, "prompt")
		time.Sleep(time.Second)
		quicktest.Check(t, s.leftOver(), quicktest.Equals, "")
		quicktest.Check(t, s.targets[0].requestCount(), quicktest.Equals, 1)
	})
}
