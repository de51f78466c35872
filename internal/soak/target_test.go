package main

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

// TestListenAgain guards against a target that can't be started again because a process that is
// being started still holds its last listener.
func TestListenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		start := time.Now()
		listenAfter := func(busy time.Duration) func() (net.Listener, error) {
			return func() (net.Listener, error) {
				if time.Since(start) < busy {
					return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
				}
				return n.Listen("10.0.0.1:80")
			}
		}
		_, err := listenAgain(listenAfter(listenTimeout / 2))
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = listenAgain(listenAfter(time.Hour))
		quicktest.Assert(t, err, quicktest.ErrorIs, syscall.EADDRINUSE)
	})
}
