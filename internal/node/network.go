package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silentAfter is how long sent bytes may stay unacknowledged, and how long
	// probes of an idle connection may go unanswered, before it is given up.
	silentAfter = 1500 * time.Millisecond
	// probeIdle and probeEvery are when an idle connection is probed: the least
	// that sockets allow.
	probeIdle  = time.Second
	probeEvery = time.Second
	probes     = 2
)

// network opens connections that notice a silent other end.
type network struct {
	// bind is the IP to listen on and to call from; "" means that of each address to
	// listen on, and any to call from.
	bind string
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probes}
}

// dial opens a connection to an IP and port.
func (n network) dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive(), Control: limitSilence}
	if n.bind != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.bind)}
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// listen opens a listener whose connections notice a silent other end.
func (n network) listen(ctx context.Context, addr string) (net.Listener, error) {
	if _, port, err := net.SplitHostPort(addr); err == nil && n.bind != "" {
		addr = net.JoinHostPort(n.bind, port)
	}
	l := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: limitSilence}
	return l.Listen(ctx, "tcp4", addr)
}

// limitSilence bounds the wait for acknowledgements on a socket.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var fault error
	err := c.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}
