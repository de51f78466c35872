package node

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"
)

// TestBind listens on and calls from another IP than the one that others use.
func TestBind(t *testing.T) {
	const own = "127.0.0.9"
	n := network{bind: own}
	ln, err := n.listen(t.Context(), "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ln.Close()
	host, _, err := net.SplitHostPort(ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, host, quicktest.Equals, own)

	c, err := n.dial(t.Context(), ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer c.Close()
	host, _, err = net.SplitHostPort(c.LocalAddr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, host, quicktest.Equals, own)
}
