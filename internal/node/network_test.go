package node

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"
)

// TestNetworkBind checks that listeners and outgoing connections use the bind IP. Where
// ports are forwarded to the host, the address that others use is not an IP of the host,
// and listening on it would fail.
func TestNetworkBind(t *testing.T) {
	const bindIP = "127.0.0.9"
	n := network{bind: bindIP}
	ln, err := n.listen(t.Context(), "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ln.Close()
	host, _, err := net.SplitHostPort(ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, host, quicktest.Equals, bindIP)

	c, err := n.dial(t.Context(), ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer c.Close()
	host, _, err = net.SplitHostPort(c.LocalAddr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, host, quicktest.Equals, bindIP)
}
