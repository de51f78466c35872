package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the value of TCP_USER_TIMEOUT: how long sent bytes or keep-alive probes
	// may stay unacknowledged before the connection is closed. It also overrides keepAliveProbes,
	// so it is no shorter than those: a peer may be silent for a second or two and go on.
	userTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval
	// keepAliveIdle and keepAliveInterval have the least value that sockets allow.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// network opens TCP connections that fail within seconds when the peer stops responding.
type network struct {
	// bind is the local IP for listeners and outgoing connections. If it is "", listeners
	// use the IP of their address, and the system chooses that of outgoing connections.
	bind string
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// dial opens a connection to an IP and port.
func (n network) dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	if n.bind != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.bind)}
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// listen listens on the port of addr, at the bind IP if there is one.
func (n network) listen(ctx context.Context, addr string) (net.Listener, error) {
	if _, port, err := net.SplitHostPort(addr); err == nil && n.bind != "" {
		addr = net.JoinHostPort(n.bind, port)
	}
	lc := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	return lc.Listen(ctx, "tcp4", addr)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
