package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// slowCall sends a request and returns the connection, on which nothing has been read of the
// response.
func (s *testbed) slowCall(path string) net.Conn {
	c, err := s.net.Dialer("10.0.9.9")(context.Background(), gateAddress)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: key\r\nLeft: 2000\r\nContent-Length: 1\r\n\r\nx", path)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	return c
}

// TestUnreadResponseEndsInTime guards against callers that never read: what is buffered for them
// must be free soon after their time is over, or a few of them keep out the responses of all
// others.
func TestUnreadResponseEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, strings.Repeat("x", 8<<20), sealHeader)}, nil)
		c := s.slowCall(idempotentPath)
		defer c.Close()
		time.Sleep(time.Second)
		quicktest.Assert(t, s.gate.buffers.memory.Used() >= 8<<20, quicktest.IsTrue)
		time.Sleep(time.Second + writeGrace + time.Millisecond)
		quicktest.Assert(t, s.gate.buffers.memory.Used(), quicktest.Equals, int64(0))
		quicktest.Assert(t, s.gate.InFlight(), quicktest.Equals, int64(0))
	})
}

// TestSlowCallerOnReusedConnection: the bound of one response must not cut off the next one on the
// same connection.
func TestSlowCallerOnReusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, strings.Repeat("x", 1<<20), sealHeader)}, nil)
		client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.net.Dialer("10.0.9.9")(ctx, addr)
		}}}
		defer client.CloseIdleConnections()
		for range 3 {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+gateAddress+idempotentPath+"x", nil)
			quicktest.Assert(t, err, quicktest.IsNil)
			q.Host = "h"
			q.Header = http.Header{"Id": {"a1"}, "Key": {"key"}, "Left": {"2000"}}
			resp, err := client.Do(q)
			quicktest.Assert(t, err, quicktest.IsNil)
			// The last part is read when the time of the request is nearly over.
			time.Sleep(1900 * time.Millisecond)
			b, err := io.ReadAll(resp.Body)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, len(b), quicktest.Equals, 1<<20)
			time.Sleep(5 * time.Second)
		}
	})
}

// streamWithoutEnd writes events until the connection ends, and counts the bytes.
func streamWithoutEnd(written *atomic.Int64) script {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), sealHeader)
		for i := 1; ; i++ {
			ev := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("e", 1000))
			n, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
			if written.Add(int64(n)); err != nil {
				return false
			}
		}
	}
}

// TestUnreadStreamStopsEngine guards against an entry that takes in what its caller doesn't read:
// the engine must be held up through the connection. Once the request's time is over, the
// engine's connection must end at once, and the grant soon after.
func TestUnreadStreamStopsEngine(t *testing.T) {
	for _, path := range []string{resumableStreamPath, serviceStreamPath} {
		t.Run(path, func(t *testing.T) { testUnreadStreamStopsEngine(t, path) })
	}
}

func testUnreadStreamStopsEngine(t *testing.T, path string) {
	synctest.Test(t, func(t *testing.T) {
		var written atomic.Int64
		s := newPathTestbed(t, path, streamWithoutEnd(&written))
		c := s.slowCall(path)
		defer c.Close()
		time.Sleep(time.Second)
		held := written.Load()
		// Two connections of 256 KiB are full, and the entry holds less than 32 KiB.
		quicktest.Assert(t, held < (2*256+32)<<10, quicktest.IsTrue, quicktest.Commentf("%d bytes", held))
		time.Sleep(900 * time.Millisecond)
		quicktest.Assert(t, written.Load(), quicktest.Equals, held)
		quicktest.Assert(t, s.targets[0].openCount(), quicktest.Equals, 1)
		time.Sleep(200*time.Millisecond + writeGrace)
		quicktest.Assert(t, s.gate.InFlight(), quicktest.Equals, int64(0))
		quicktest.Assert(t, s.gate.ActiveGrants(), quicktest.HasLen, 0)
		quicktest.Assert(t, s.gate.placer.localCores["engines"].Granted(), quicktest.Equals, 0)
	})
}

// TestSlowCallerIsNoFaultOfEngine guards against slow callers that have healthy engines ejected: an
// engine that cuts off a response which stays unread must keep its other requests, and the caller
// gets the rest of its answer.
func TestSlowCallerIsNoFaultOfEngine(t *testing.T) {
	for _, path := range []string{resumableStreamPath, serviceStreamPath} {
		t.Run(path, func(t *testing.T) { testSlowCallerIsNoFaultOfEngine(t, path) })
	}
}

func testSlowCallerIsNoFaultOfEngine(t *testing.T, path string) {
	synctest.Test(t, func(t *testing.T) {
		const last = 700
		event := func(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("e", 1000)) }
		impatient := func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
			from := 0
			fmt.Sscan(q.Header.Get("Last"), &from)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), sealHeader)
			for i := from + 1; i <= last; i++ {
				c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event(i)), event(i)); err != nil {
					return false
				}
			}
			io.WriteString(c, "0\r\n\r\n")
			return true
		}
		s := newPathTestbed(t, path, impatient)
		c := s.slowCall(path)
		defer c.Close()
		time.Sleep(1200 * time.Millisecond)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		b, err := io.ReadAll(resp.Body)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, strings.HasSuffix(string(b), event(last)), quicktest.IsTrue)
		quicktest.Assert(t, strings.Count(string(b), "id: "), quicktest.Equals, last)
		// The only engine resumed the answer itself, which an ejected one could not have done.
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 2)
		quicktest.Assert(t, strings.Contains(s.logs.String(), "the caller had not read for a while"), quicktest.IsTrue)
	})
}

// TestTargetThatDoesNotRead guards against targets that accept a connection and never read a large
// request: its memory must be free once its time is over.
func TestTargetThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, nil)
		s.tables.Bounds.Body = 4 << 20
		s.targets = append(s.targets, &fakeTarget{Target: site.Target{ID: "t50", Pool: "plain", Address: "10.0.1.50:80", DataCentre: "dc", Slots: 16, State: site.Ready}})
		ln, err := s.net.Listen("10.0.1.50:80")
		quicktest.Assert(t, err, quicktest.IsNil)
		defer ln.Close()
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				defer c.Close()
			}
		}()
		s.tables.Version = 2
		s.publish(2)
		res := s.call(nonIdempotentPath, strings.Repeat("x", 3<<20))
		quicktest.Assert(t, res.status, quicktest.Equals, 504)
		quicktest.Assert(t, res.took, quicktest.Equals, 2*time.Second)
		quicktest.Assert(t, s.gate.requestBodies.Used(), quicktest.Equals, int64(0))
		quicktest.Assert(t, s.gate.InFlight(), quicktest.Equals, int64(0))
	})
}
