package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// sendWithoutEnd writes a prefix and then a unit again and again until the connection is
// closed. It returns the number of bytes written.
func sendWithoutEnd(c net.Conn, prefix, unit string, pause time.Duration) int {
	n, err := io.WriteString(c, prefix)
	for err == nil {
		var m int
		m, err = io.WriteString(c, unit)
		n += m
		time.Sleep(pause)
	}
	return n
}

// endlessHeads are responses whose heads never end.
func endlessHeads() map[string][2]string {
	return map[string][2]string{
		"status line":             {"HTTP/1.1 200 ", strings.Repeat("O", 512)},
		"no response at all":      {"", strings.Repeat("x", 512)},
		"header value":            {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("a", 512)},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("a", 512) + "\r\n"},
		"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other responses":         {"", response("other", strings.Repeat("x", 512))},
		"body of another":         {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", 8<<10)},
	}
}

// TestEndlessHead has a target send bytes without end before a response is complete. The
// request must fail after a bounded number of them, and the connection must be closed.
func TestEndlessHead(t *testing.T) {
	// maxBuffered is what the buffers of the connection hold besides.
	const maxBuffered = 1 << 20
	for name, c := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			testWithTarget(t, func(conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				sent <- sendWithoutEnd(conn, c[0], c[1], 0)
			}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
				_, err := roundTrip(t.Context(), cl, newRequest("1"))
				var garbled *engine.Garbled
				quicktest.Assert(t, errors.As(err, &garbled), quicktest.IsTrue, quicktest.Commentf("%v", err))
				n := <-sent
				quicktest.Assert(t, n <= maxHeadBytes+maxStaleBytes+maxBuffered, quicktest.IsTrue, quicktest.Commentf("%d bytes", n))
			})
		})
	}
}

// TestSlowEndlessHead has a target send a byte a second of a head without end. The request
// must end at its timeout, however many bytes came.
func TestSlowEndlessHead(t *testing.T) {
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		sendWithoutEnd(c, "HTTP/1.1 200 OK\r\nX: ", "a", time.Second)
	}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
		r := newRequest("1")
		r.HeadTimeout = 5500 * time.Millisecond
		began := time.Now()
		_, err := roundTrip(t.Context(), cl, r)
		var silent *engine.Silent
		quicktest.Assert(t, errors.As(err, &silent), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Assert(t, time.Since(began), quicktest.Equals, r.HeadTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began = time.Now()
		_, err = roundTrip(ctx, cl, newRequest("2"))
		quicktest.Assert(t, err, quicktest.IsNotNil)
		quicktest.Assert(t, time.Since(began), quicktest.Equals, 3*time.Second)
		// The target notices the closed connection at its next byte.
		time.Sleep(2 * time.Second)
	})
}

// TestEndlessTrailer: neither trailer headers without end nor a chunk length without end may
// be buffered.
func TestEndlessTrailer(t *testing.T) {
	for name, c := range map[string][2]string{
		"trailer":      {"4\r\ndone\r\n0\r\n", "X: " + strings.Repeat("a", 512) + "\r\n"},
		"chunk length": {"", strings.Repeat("0", 512)},
	} {
		t.Run(name, func(t *testing.T) {
			testWithTarget(t, func(conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				sendWithoutEnd(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+c[0], c[1], 0)
			}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
				_, err := roundTrip(t.Context(), cl, newRequest("1"))
				quicktest.Assert(t, err, quicktest.IsNotNil)
			})
		})
	}
}

// listenOnLoopback runs a script on the first connection to a real socket, after its first
// request. It returns the socket's address and a channel that is closed when the script ends.
func listenOnLoopback(t *testing.T, script func(c net.Conn)) (addr string, ended <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { ln.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		readRequest(bufio.NewReader(c))
		script(c)
	}()
	return ln.Addr().String(), done
}

// newSocketClient returns a client that dials real sockets.
func newSocketClient() *Client {
	return &Client{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
}

// TestEndlessHeadOnSocket is TestEndlessHead on real sockets.
func TestEndlessHeadOnSocket(t *testing.T) {
	for name, c := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			addr, ended := listenOnLoopback(t, func(conn net.Conn) { sendWithoutEnd(conn, c[0], c[1], 0) })
			_, err := newSocketClient().Do(t.Context(), addr, newRequest("1"))
			var garbled *engine.Garbled
			quicktest.Assert(t, errors.As(err, &garbled), quicktest.IsTrue, quicktest.Commentf("%v", err))
			<-ended
		})
	}
}

// TestBytesAfterResponse has a target send bytes without end after a whole response. The
// connection must be closed without a further request on it.
func TestBytesAfterResponse(t *testing.T) {
	addr, ended := listenOnLoopback(t, func(c net.Conn) {
		whole := strings.Replace(response("1", "whole"), "Id:", "Keep-Alive: timeout=86400\r\nId:", 1)
		sendWithoutEnd(c, whole, strings.Repeat("x", 512), 0)
	})
	cl := newSocketClient()
	resp, err := cl.Do(t.Context(), addr, newRequest("1"))
	quicktest.Assert(t, err, quicktest.IsNil)
	b, err := io.ReadAll(resp.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, string(b), quicktest.Equals, "whole")
	resp.Close(true)
	for {
		cl.CloseExpired()
		select {
		case <-ended:
			return
		default:
		}
	}
}

// TestEndlessStreamOnSocket has an engine send on a real socket what never becomes a further event.
// The stream must fail after a bounded number of bytes, or be read on without being kept, and its
// connection must be closed with it.
func TestEndlessStreamOnSocket(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nid: 1\ndata: e\n\n"
	for name, c := range map[string]struct {
		unit  string
		fails bool
	}{
		"a line without end":   {strings.Repeat("x", 512), true},
		"an event without end": {"data: " + strings.Repeat("x", 512) + "\n", true},
		"comments":             {": still here\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			addr, ended := listenOnLoopback(t, func(conn net.Conn) { sendWithoutEnd(conn, head, c.unit, 0) })
			resp, err := newSocketClient().Do(t.Context(), addr, newRequest("1"))
			quicktest.Assert(t, err, quicktest.IsNil)
			read := &countingReader{Reader: resp.Body}
			events := NewEventReader(read)
			ev, err := events.Next()
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, ev.ID, quicktest.Equals, int64(1))
			for err == nil && read.n < 8*maxEventBytes {
				_, err = events.Next()
			}
			quicktest.Check(t, err != nil, quicktest.Equals, c.fails)
			quicktest.Check(t, c.fails && read.n > 2*maxEventBytes, quicktest.IsFalse, quicktest.Commentf("%d bytes", read.n))
			resp.Close(false)
			<-ended
		})
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	n int
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.n += n
	return n, err
}
