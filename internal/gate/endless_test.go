package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/hop"
)

// withoutEnd writes a head, a body and then a unit again and again with a pause between,
// until the connection is closed. In the head and the body %s is the request's ID.
func withoutEnd(head, body, unit string, pause time.Duration) script {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		id := q.Header.Get("Id")
		_, err := io.WriteString(c, strings.ReplaceAll(head+"\r\n"+body, "%s", id))
		for err == nil {
			_, err = io.WriteString(c, unit)
			time.Sleep(pause)
		}
		return false
	}
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nId: %s\r\n" + sealHeader
	failedHead  = "HTTP/1.1 500 X\r\nId: %s\r\n" + sealHeader
	refusedHead = "HTTP/1.1 503 X\r\nId: %s\r\n" + notRunHeader
)

// TestEndlessBodyOfService has one target send a body without end, at full speed or a byte
// a second, with each kind of status. A request that may be repeated must be served by the
// other target, within its time limit. One that may not must get 502 or 504, or 200 after a
// refusal.
func TestEndlessBodyOfService(t *testing.T) {
	for name, c := range map[string]struct {
		bad script
		// nonIdempotent are the statuses allowed for a request that may not be repeated.
		nonIdempotent []int
	}{
		"success":          {withoutEnd(okHead, "", strings.Repeat("x", 64<<10), 0), []int{502}},
		"slow success":     {withoutEnd(okHead, "", "x", time.Second), []int{502, 504}},
		"error":            {withoutEnd(failedHead, "", strings.Repeat("x", 64<<10), 0), []int{502}},
		"slow error":       {withoutEnd(failedHead, "", "x", time.Second), []int{502, 504}},
		"refusal":          {withoutEnd(refusedHead, "", strings.Repeat("x", 64<<10), 0), []int{200}},
		"slow refusal":     {withoutEnd(refusedHead, "", "x", time.Second), []int{200}},
		"head":             {withoutEnd("HTTP/1.1 200 OK", "X: ", strings.Repeat("x", 512), 0), []int{502}},
		"slow head":        {withoutEnd("HTTP/1.1 200 OK", "X: ", "x", time.Second), []int{502, 504}},
		"after the answer": {withoutEnd(okHead+"Content-Length: 4\r\n", "done", strings.Repeat("x", 512), 0), []int{200}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, []script{c.bad, respond(200, "done", sealHeader)}, nil)
				// The good target has more requests in flight, so that the bad one is tried
				// first.
				defer s.gate.health.track("t1")()
				defer s.gate.health.track("t1")()
				for range 3 {
					res := s.call(idempotentPath, "body")
					quicktest.Assert(t, res.status, quicktest.Equals, 200)
					quicktest.Assert(t, res.body, quicktest.Equals, "done")
				}
				time.Sleep(2 * maxEjection)
				res := s.call(nonIdempotentPath, "body")
				quicktest.Assert(t, c.nonIdempotent, quicktest.Contains, res.status)
				quicktest.Assert(t, res.took <= 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
				time.Sleep(2 * time.Second)
				quicktest.Assert(t, s.gate.buffers.memory.Used(), quicktest.Equals, int64(0))
				s.targets[0].mu.Lock()
				defer s.targets[0].mu.Unlock()
			})
		})
	}
}

// TestEndlessBodyOnSocket has a target send a body without end on a real socket. It must not be
// buffered beyond the limit of a response, and the connection must be closed.
func TestEndlessBodyOnSocket(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ln.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			withoutEnd(okHead, "", strings.Repeat("x", 64<<10), 0)(nil, c, q)
		}
	}()
	client := &hop.Client{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
	resp, err := client.Do(t.Context(), ln.Addr().String(), &hop.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	quicktest.Assert(t, err, quicktest.IsNil)
	buffers := bodyBuffers{memory: guard.Responses{Bodies: guard.Bodies{Limit: 2 * maxResponseBytes}}}
	_, err = buffers.read(resp.Body, func() {})
	quicktest.Assert(t, err, quicktest.Equals, errResponseTooLarge)
	quicktest.Assert(t, buffers.memory.Used(), quicktest.Equals, int64(0))
	resp.Close(false)
	<-ended
}

// TestBufferedResponsesAreBounded: all responses without end together must stay within the
// memory for them, and responses of the usual size pass beside them.
func TestBufferedResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			if strings.HasPrefix(q.URL.Path, nonIdempotentPath) {
				return withoutEnd(okHead, "", strings.Repeat("x", 16<<10), 0)(f, c, q)
			}
			return respond(200, "done", sealHeader)(f, c, q)
		}}, nil)
		s.gate.buffers.memory.Limit = 4 << 20
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				res := s.call(nonIdempotentPath, "body", "Id", fmt.Sprint(i))
				quicktest.Check(t, res.status, quicktest.Equals, 502)
			})
			wg.Go(func() {
				res := s.call(idempotentPath, "body", "Id", fmt.Sprint("small", i))
				quicktest.Check(t, res.status, quicktest.Equals, 200)
			})
		}
		wg.Wait()
		quicktest.Assert(t, s.gate.buffers.memory.Used(), quicktest.Equals, int64(0))
	})
}

const streamHead = okHead + "Content-Type: text/event-stream\r\n"

// TestStreamWithoutProgress has an engine send bytes without end that are no new event. The
// other engine must continue the stream once the wait for the next event is over.
func TestStreamWithoutProgress(t *testing.T) {
	for _, path := range []string{resumableStreamPath, serviceStreamPath} {
		t.Run(path, func(t *testing.T) { testStreamWithoutProgress(t, path) })
	}
}

func testStreamWithoutProgress(t *testing.T, path string) {
	for name, bad := range map[string]script{
		"comments":              withoutEnd(streamHead, eventText(1, 2), ": still here\n\n", 100*time.Millisecond),
		"comments, full speed":  withoutEnd(streamHead, eventText(1, 2), ": still here\n\n", 0),
		"repeated events":       withoutEnd(streamHead, eventText(1, 2), eventText(2, 2), 100*time.Millisecond),
		"repeated, full speed":  withoutEnd(streamHead, eventText(1, 2), eventText(2, 2), 0),
		"a byte now and then":   withoutEnd(streamHead, eventText(1, 2)+"id: 3\ndata: ", "x", 100*time.Millisecond),
		"a line without end":    withoutEnd(streamHead, eventText(1, 2), strings.Repeat("x", 512), 0),
		"an event without end":  withoutEnd(streamHead, eventText(1, 2)+"id: 3\n", "data: x\n", 0),
		"no events":             withoutEnd(streamHead, eventText(1, 2), "nothing\n\n", 0),
		"comments at the start": withoutEnd(streamHead, "", ": still here\n\n", 100*time.Millisecond),
		"empty lines":           withoutEnd(streamHead, eventText(1, 2), strings.Repeat("\n", 512), 0),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathTestbed(t, path, nil, nil)
				for _, f := range s.targets {
					f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
						if s.requestCount() == 1 {
							return bad(f, c, q)
						}
						return streamEvents(5, 0)(f, c, q)
					}
				}
				res := s.call(path, "prompt", "Left", "3000")
				quicktest.Assert(t, res.truncated, quicktest.IsFalse)
				events := strings.ReplaceAll(res.body, ": still here\n\n", "")
				quicktest.Assert(t, events, quicktest.Equals, eventText(1, 5))
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 2)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSlowStreamIsKept: a stream whose events come slowly, but within the time that callers
// wait, must stay on its engine, also if comments and parts of events come between.
func TestSlowStreamIsKept(t *testing.T) {
	for _, path := range []string{resumableStreamPath, serviceStreamPath} {
		t.Run(path, func(t *testing.T) { testSlowStreamIsKept(t, path) })
	}
}

func testSlowStreamIsKept(t *testing.T, path string) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), sealHeader)
			chunk := func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
			for i := 1; i <= 3; i++ {
				chunk(": wait\n\n")
				time.Sleep(300 * time.Millisecond)
				chunk(fmt.Sprintf("id: %d\n", i))
				time.Sleep(300 * time.Millisecond)
				chunk("data: e\n\n")
			}
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		}
		s := newPathTestbed(t, path, slow, slow)
		res := s.call(path, "prompt", "Left", "3000")
		quicktest.Assert(t, res.truncated, quicktest.IsFalse)
		quicktest.Assert(t, strings.ReplaceAll(res.body, ": wait\n\n", ""), quicktest.Equals, eventText(1, 3))
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
	})
}
