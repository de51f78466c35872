package strict

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

// TestResetIsNoOrderlyEnd guards against an end of the stream that is taken for an orderly one because a write got the
// error of the reset: one that was blocked, or one that came later.
func TestResetIsNoOrderlyEnd(t *testing.T) {
	for name, c := range map[string]struct {
		reset   bool
		written int
		want    error
	}{
		"close":                 {false, 0, nil},
		"reset":                 {true, 0, syscall.ECONNRESET},
		"reset, write":          {true, 1, syscall.ECONNRESET},
		"reset, blocked write":  {true, 1 << 20, syscall.ECONNRESET},
		"close, blocked write":  {false, 1 << 20, io.ErrClosedPipe},
		"close, write after it": {false, 1, io.ErrClosedPipe},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := connect(t)
				io.WriteString(far, "part")
				if c.reset {
					far.(*memnet.Conn).SetLinger(0)
				}
				isBlocked := c.written > 1
				if !isBlocked {
					far.Close()
				}
				go near.Write(make([]byte, c.written))
				synctest.Wait()
				if isBlocked {
					far.Close()
				}
				got, err := io.ReadAll(near)
				quicktest.Check(t, string(got), quicktest.Equals, "part")
				quicktest.Check(t, err, quicktest.ErrorIs, c.want)
				near.Close()
			})
		})
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (near *Conn, far net.Conn) {
	t.Helper()
	var n memnet.Network
	const addr = "10.0.0.2:80"
	ln, err := n.Listen(addr)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ln.Close()
	c, err := n.Dialer("10.0.0.1")(context.Background(), addr)
	quicktest.Assert(t, err, quicktest.IsNil)
	far, err = ln.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	return NewConn(c), far
}

// TestEndStopsWrite guards against an orderly end that waits for a write to a peer that reads nothing more. It needs a
// socket that is closed in one direction.
func TestEndStopsWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	near := NewConn(c)
	defer near.Close()
	far, err := ln.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer far.Close()
	written := make(chan error)
	go func() {
		_, err := near.Write(make([]byte, 64<<20))
		written <- err
	}()
	quicktest.Assert(t, far.(*net.TCPConn).CloseWrite(), quicktest.IsNil)
	_, err = io.ReadAll(near)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, <-written, quicktest.IsNotNil)
}
