package hop

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// earlyTarget is a target on a TCP socket that answers before it has read the request.
type earlyTarget struct {
	// readFirst is the number of bytes that it reads before, and head and body are the answer.
	readFirst  int64
	head, body string
	// end ends the connection.
	end func(c *net.TCPConn)
}

// serve returns the address of the target, and a client for it.
func (e *earlyTarget) serve(t *testing.T) (addr string, cl *Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.answer(c.(*net.TCPConn))
		}
	}()
	cl = &Client{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
	t.Cleanup(cl.Close)
	return ln.Addr().String(), cl
}

func (e *earlyTarget) answer(c *net.TCPConn) {
	defer c.Close()
	if _, err := io.CopyN(io.Discard, c, e.readFirst); err == nil {
		io.WriteString(c, e.head+e.body)
		e.end(c)
	}
}

// resetAfter resets the connection after a pause.
func resetAfter(pause time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(pause)
		c.SetLinger(0)
	}
}

// newUpload returns a request with a body of size bytes.
func newUpload(size int) *Request {
	q := newRequest("1")
	q.Body = bytes.Repeat([]byte("x"), size)
	return q
}

// upload sends a request with a body of size bytes and reads the whole response.
func upload(t *testing.T, cl *Client, addr string, size int) (string, error) {
	t.Helper()
	resp, err := cl.Do(t.Context(), addr, newUpload(size))
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	resp.Close(err == nil)
	return string(b), err
}

// TestResetDuringUpload guards against a part of a response that is taken for the whole one, because the write of the
// request got the error of the reset and the read an orderly end. It needs the sockets of the kernel.
func TestResetDuringUpload(t *testing.T) {
	const attempts = 20
	for _, size := range []int{12 << 10, 1 << 20, 16 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%s", size, pause), func(t *testing.T) {
				target := earlyTarget{
					readFirst: 60, head: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n", body: "half of it", end: resetAfter(pause),
				}
				addr, cl := target.serve(t)
				whole := 0
				for range attempts {
					_, err := upload(t, cl, addr, size)
					if err == nil {
						whole++
						continue
					}
					var broken *engine.Broken
					var netErr net.Error
					quicktest.Check(t, errors.As(err, &broken) || errors.As(err, &netErr), quicktest.IsTrue, quicktest.Commentf("%v", err))
				}
				quicktest.Assert(t, whole, quicktest.Equals, 0, quicktest.Commentf("taken for whole, of %d", attempts))
			})
		}
	}
}

// TestEarlyResponseIsWhole guards against whole responses that are taken for broken ones: those of targets that
// answer during the upload, and those that end with their connection.
func TestEarlyResponseIsWhole(t *testing.T) {
	const size = 16 << 20
	closeNow := func(*net.TCPConn) {}
	// drain ends the response in order, and reads on.
	drain := func(c *net.TCPConn) {
		c.CloseWrite()
		io.Copy(io.Discard, c)
	}
	// halfClose ends the response in order, and reads nothing more.
	tested := make(chan struct{})
	defer close(tested)
	halfClose := func(c *net.TCPConn) {
		c.CloseWrite()
		<-tested
	}
	const (
		noLength = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n"
		length   = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n"
		chunked  = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	for name, target := range map[string]*earlyTarget{
		"length, reset":             {60, length, "whole", resetAfter(time.Millisecond)},
		"length, close":             {60, length, "whole", closeNow},
		"length, drain":             {60, length, "whole", drain},
		"chunks, reset":             {60, chunked, "5\r\nwhole\r\n0\r\n\r\n", resetAfter(time.Millisecond)},
		"chunks, close":             {60, chunked, "5\r\nwhole\r\n0\r\n\r\n", closeNow},
		"no length, drain":          {60, noLength, "whole", drain},
		"no length, upload blocked": {60, noLength, "whole", halfClose},
		"no length, after upload":   {int64(len(newUpload(size).encode()) + size), noLength, "whole", closeNow},
	} {
		t.Run(name, func(t *testing.T) {
			addr, cl := target.serve(t)
			for range 10 {
				got, err := upload(t, cl, addr, size)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Assert(t, got, quicktest.Equals, "whole")
			}
		})
	}
}
