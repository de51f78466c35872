package memnet

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
)

// TestResetIsReportedOnce requires resets as the kernel reports them: to one call, and to a blocked write before a read.
func TestResetIsReportedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		isBlocked           bool
		wantRead, wantWrite error
	}{
		"read first":    {false, syscall.ECONNRESET, syscall.EPIPE},
		"blocked write": {true, nil, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var n Network
				ln, err := n.Listen("10.0.0.2:80")
				quicktest.Assert(t, err, quicktest.IsNil)
				defer ln.Close()
				near, err := n.Dialer("10.0.0.1")(context.Background(), "10.0.0.2:80")
				quicktest.Assert(t, err, quicktest.IsNil)
				far, err := ln.Accept()
				quicktest.Assert(t, err, quicktest.IsNil)
				io.WriteString(far, "part")
				written := make(chan error, 1)
				write := func() {
					_, err := near.Write(make([]byte, bufferBytes+1))
					written <- err
				}
				if c.isBlocked {
					go write()
					synctest.Wait()
				}
				far.(*Conn).SetLinger(0)
				far.Close()
				got, err := io.ReadAll(near)
				quicktest.Check(t, string(got), quicktest.Equals, "part")
				quicktest.Check(t, err, quicktest.ErrorIs, c.wantRead)
				if !c.isBlocked {
					write()
				}
				quicktest.Check(t, <-written, quicktest.ErrorIs, c.wantWrite)
				_, err = near.Write([]byte("x"))
				quicktest.Check(t, err, quicktest.ErrorIs, syscall.EPIPE)
			})
		})
	}
}
