package node

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
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

// TestSilentPeerIsKept guards against connections that the kernel closes because a sound peer was
// silent for two seconds. Linux sends probes after the idle time and at each interval, and gives up
// at the first one for which the user timeout is over, whatever the number of probes.
func TestSilentPeerIsKept(t *testing.T) {
	const silence = 2
	var n network
	ln, err := n.listen(t.Context(), "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ln.Close()
	c, err := n.dial(t.Context(), ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	quicktest.Assert(t, err, quicktest.IsNil)
	option := func(name int) (value int) {
		quicktest.Assert(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }), quicktest.IsNil)
		quicktest.Assert(t, err, quicktest.IsNil)
		return value
	}
	endsAfter := option(unix.TCP_KEEPIDLE)
	for endsAfter*1000 < option(unix.TCP_USER_TIMEOUT) {
		endsAfter += option(unix.TCP_KEEPINTVL)
	}
	quicktest.Assert(t, endsAfter > silence, quicktest.IsTrue, quicktest.Commentf("ended after %d s", endsAfter))
}

// TestCallersMayReadSlowly guards against the system resetting the connection of a caller that reads
// nothing for some seconds, and against megabytes in the send buffer of each such connection.
func TestCallersMayReadSlowly(t *testing.T) {
	ln, err := network{}.listenHTTP(t.Context(), "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ln.Close()
	caller, err := net.Dial("tcp4", ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer caller.Close()
	c, err := ln.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, raw.Control(func(fd uintptr) {
		timeout, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, timeout, quicktest.Equals, int(callerTimeout.Milliseconds()))
		// The system doubles the size for its own use.
		size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, size <= 2*callerSendBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", size))
	}), quicktest.IsNil)
}
