package memnet

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"
)

// TestAddressIsFreeAfterAccept guards against an address that is still taken when Accept has
// returned net.ErrClosed: a server that was stopped could then not listen there again, if it
// was restarted at once.
func TestAddressIsFreeAfterAccept(t *testing.T) {
	var n Network
	for range 10_000 {
		ln, err := n.Listen("10.0.0.1:81")
		quicktest.Assert(t, err, quicktest.IsNil)
		closed := make(chan error)
		go func() { closed <- ln.Close() }()
		_, err = ln.Accept()
		quicktest.Assert(t, err, quicktest.Equals, net.ErrClosed)
		again, err := n.Listen("10.0.0.1:81")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, again.Close(), quicktest.IsNil)
		quicktest.Assert(t, <-closed, quicktest.IsNil)
	}
}
