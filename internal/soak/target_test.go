package main

import (
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestListenAgain guards against a target that can't be started again because a process that is
// being started still holds its last listener.
func TestListenAgain(t *testing.T) {
	held, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	time.AfterFunc(listenTimeout/10, func() { held.Close() })
	ln, err := listenAgain(held.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	ln.Close()
}
