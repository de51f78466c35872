package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	targetAddr = "10.0.0.2:80"
	idHeader   = "Id"
)

// scriptedTarget runs a script on each connection.
type scriptedTarget struct {
	script func(c net.Conn, r *bufio.Reader)
	// connections is the number of accepted connections.
	connections int
}

func (tgt *scriptedTarget) listen(t *testing.T, n *memnet.Network) {
	t.Helper()
	ln, err := n.Listen(targetAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tgt.connections++
			go func() {
				defer c.Close()
				tgt.script(c, bufio.NewReader(c))
			}()
		}
	}()
}

// readRequest reads one request including its body.
func readRequest(r *bufio.Reader) (*http.Request, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err == nil
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	h := http.Header{}
	h.Set(idHeader, id)
	return &Request{
		Method: http.MethodPost, URI: "/x?y", Host: "h", Header: h, Body: []byte("question"),
		Matches: func(h http.Header, _ bool) bool { return h.Get(idHeader) == id },
	}
}

// roundTrip sends a request and reads the whole response.
func roundTrip(ctx context.Context, c *Client, r *Request) (string, error) {
	resp, err := c.Do(ctx, targetAddr, r)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	resp.Close(err == nil)
	return string(b), err
}

// testWithTarget runs a test in a synctest bubble against a target with this script.
func testWithTarget(t *testing.T, script func(c net.Conn, r *bufio.Reader), run func(t *testing.T, c *Client, tgt *scriptedTarget)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		tgt := &scriptedTarget{script: script}
		tgt.listen(t, &n)
		run(t, &Client{Dial: n.Dialer("10.0.0.1")}, tgt)
	})
}

// TestConnectionReuse requires that a connection is reused while the target keeps it open, but
// not for a request with NewConn, nor after it has expired.
func TestConnectionReuse(t *testing.T) {
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		for q, ok := readRequest(r); ok; q, ok = readRequest(r) {
			io.WriteString(c, response(q.Header.Get(idHeader), "answer "+q.Header.Get(idHeader)))
		}
	}, func(t *testing.T, c *Client, tgt *scriptedTarget) {
		for _, id := range []string{"1", "2", "3"} {
			got, err := roundTrip(t.Context(), c, newRequest(id))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, got, quicktest.Equals, "answer "+id)
		}
		quicktest.Assert(t, tgt.connections, quicktest.Equals, 1)
		q := newRequest("4")
		q.NewConn = true
		_, err := roundTrip(t.Context(), c, q)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, tgt.connections, quicktest.Equals, 2)
		time.Sleep(defaultKeepAlive + time.Second)
		c.CloseExpired()
		_, err = roundTrip(t.Context(), c, newRequest("5"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, tgt.connections, quicktest.Equals, 3)
		c.CloseIdle(targetAddr)
	})
}

// singleUseConn is a connection that must not be kept, such as a tunnel.
type singleUseConn struct{ net.Conn }

func (singleUseConn) SingleUse() {}

// TestSingleUseConnection has the target write each response twice, on connections that must not be
// kept: no request may come to see the second copy, be it without an ID.
func TestSingleUseConnection(t *testing.T) {
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		for q, ok := readRequest(r); ok; q, ok = readRequest(r) {
			text := response("", "answer "+q.Header.Get(idHeader))
			io.WriteString(c, text)
			io.WriteString(c, text)
		}
	}, func(t *testing.T, c *Client, tgt *scriptedTarget) {
		dial := c.Dial
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			return singleUseConn{conn}, err
		}
		quicktest.Assert(t, c.IsRefused(t.Context(), targetAddr), quicktest.IsFalse)
		for _, id := range []string{"1", "2"} {
			q := newRequest(id)
			q.Matches = nil
			got, err := roundTrip(t.Context(), c, q)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, got, quicktest.Equals, "answer "+id)
		}
		quicktest.Assert(t, tgt.connections, quicktest.Equals, 3)
	})
}

// TestDuplicateResponsesAreSkipped has the target send each response twice. The second
// copy arrives where the response to the next request is expected, and must not be taken
// for it.
func TestDuplicateResponsesAreSkipped(t *testing.T) {
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		last := ""
		for q, ok := readRequest(r); ok; q, ok = readRequest(r) {
			id := q.Header.Get(idHeader)
			if last != "" {
				io.WriteString(c, response(last, "again"))
			}
			io.WriteString(c, response(id, "answer "+id))
			last = id
		}
	}, func(t *testing.T, c *Client, _ *scriptedTarget) {
		for _, id := range []string{"1", "2", "3"} {
			got, err := roundTrip(t.Context(), c, newRequest(id))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, got, quicktest.Equals, "answer "+id)
		}
		c.CloseIdle(targetAddr)
	})
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, head)
			}, func(t *testing.T, c *Client, _ *scriptedTarget) {
				_, err := roundTrip(t.Context(), c, newRequest("1"))
				quicktest.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
			})
		})
	}
}

// TestResponseWithoutLengthEndsConnection has a target send responses without a length, each
// ended by closing the connection. Such a connection must not be reused.
func TestResponseWithoutLengthEndsConnection(t *testing.T) {
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
	}, func(t *testing.T, c *Client, tgt *scriptedTarget) {
		for range 2 {
			got, err := roundTrip(t.Context(), c, newRequest("1"))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, got, quicktest.Equals, "whole")
		}
		quicktest.Assert(t, tgt.connections, quicktest.Equals, 2)
	})
}

// TestFailureKinds requires each kind of failure to return the engine.Failure from which
// callers conclude whether the request may have run.
func TestFailureKinds(t *testing.T) {
	is := func(want engine.Failure) func(error) bool {
		return func(err error) bool { return fmt.Sprintf("%T", engine.FailureOf(err)) == fmt.Sprintf("%T", want) }
	}
	for name, c := range map[string]struct {
		script func(c net.Conn, r *bufio.Reader)
		want   func(error) bool
	}{
		"closed without an answer": {func(_ net.Conn, r *bufio.Reader) { readRequest(r) }, is(&engine.Broken{})},
		"bytes that are no answer": {func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, "no answer at all\r\n\r\n")
		}, is(&engine.Garbled{})},
		"another request's answer only": {func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, strings.Repeat(response("other", "x"), maxStaleResponses))
		}, is(&engine.Garbled{})},
	} {
		t.Run(name, func(t *testing.T) {
			testWithTarget(t, c.script, func(t *testing.T, cl *Client, _ *scriptedTarget) {
				_, err := roundTrip(t.Context(), cl, newRequest("1"))
				quicktest.Assert(t, c.want(err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		_, err := roundTrip(t.Context(), &Client{Dial: n.Dialer("10.0.0.1")}, newRequest("1"))
		quicktest.Assert(t, is(&engine.Unreachable{})(err), quicktest.IsTrue)
	})
}

// TestHeadTimeout has a target that sends nothing, which must fail at the timeout, and
// one that sends the headers in time and the body later, which must succeed.
func TestHeadTimeout(t *testing.T) {
	testWithTarget(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
	}, func(t *testing.T, c *Client, _ *scriptedTarget) {
		r := newRequest("1")
		r.HeadTimeout = 300 * time.Millisecond
		began := time.Now()
		_, err := roundTrip(t.Context(), c, r)
		var silent *engine.Silent
		quicktest.Assert(t, errors.As(err, &silent), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Assert(t, time.Since(began), quicktest.Equals, r.HeadTimeout)
	})
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n")
		time.Sleep(time.Second)
		io.WriteString(c, "late")
	}, func(t *testing.T, c *Client, _ *scriptedTarget) {
		r := newRequest("1")
		r.HeadTimeout = 300 * time.Millisecond
		got, err := roundTrip(t.Context(), c, r)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.Equals, "late")
		c.Close()
	})
}

// TestCancelClosesConnection: the target must see at once that the response is no longer
// wanted.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	testWithTarget(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, err := r.ReadByte()
		if err != nil {
			closed <- time.Now()
		}
	}, func(t *testing.T, c *Client, _ *scriptedTarget) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		_, err := roundTrip(ctx, c, newRequest("1"))
		quicktest.Assert(t, err, quicktest.IsNotNil)
		quicktest.Assert(t, (<-closed).Sub(began), quicktest.Equals, 3*time.Second)
	})
}

// TestResponseBeforeBodyIsSent has the target respond while a long body is still being
// sent. The connection must not be reused, or the target takes the rest of the body for a
// request.
func TestResponseBeforeBodyIsSent(t *testing.T) {
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, response(q.Header.Get(idHeader), "early"))
		time.Sleep(time.Second)
		io.Copy(io.Discard, q.Body)
		if q, ok := readRequest(r); ok {
			io.WriteString(c, response(q.Header.Get(idHeader), "next"))
		}
	}, func(t *testing.T, c *Client, tgt *scriptedTarget) {
		r := newRequest("1")
		r.Body = make([]byte, 8<<20)
		got, err := roundTrip(t.Context(), c, r)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.Equals, "early")
		got, err = roundTrip(t.Context(), c, newRequest("2"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.Equals, "early")
		quicktest.Assert(t, tgt.connections, quicktest.Equals, 2)
		time.Sleep(2 * time.Second)
		c.CloseIdle(targetAddr)
	})
}

func TestKeepAliveTimeout(t *testing.T) {
	h := http.Header{}
	quicktest.Assert(t, keepAliveTimeout(h), quicktest.Equals, defaultKeepAlive)
	h.Set("Keep-Alive", "max=5, timeout=7")
	quicktest.Assert(t, keepAliveTimeout(h), quicktest.Equals, 7*time.Second-keepAliveMargin)
}
