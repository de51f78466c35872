package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
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
	// callerTimeout is userTimeout for the connections of callers. It also bounds how long a peer
	// may leave what was sent unread, and callers may read slowly: with 3 s they lost responses.
	callerTimeout = 10 * time.Second
	// callerSendBytes is the size of the send buffer of such a connection. The system would let it
	// grow to megabytes, which many callers that don't read would multiply.
	callerSendBytes = 256 << 10
)

// network opens TCP connections that fail within seconds when the peer stops responding.
type network struct {
	// bind is the local IP for listeners and outgoing connections. If it is "", listeners
	// use the IP of their address, and the system chooses that of outgoing connections.
	bind string
	// targetReceiveBytes is the size of the receive buffers of connections to targets; 0 leaves it to the system, which
	// lets them grow to megabytes, too.
	targetReceiveBytes int
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// dial opens a connection to an IP and port.
func (n network) dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.dialWith(ctx, addr, setUserTimeout)
}

// dialTarget is dial for connections to targets, whose bytes may stay unread.
func (n network) dialTarget(ctx context.Context, addr string) (net.Conn, error) {
	return n.dialWith(ctx, addr, func(_, _ string, c syscall.RawConn) error {
		options := [][3]int{userTimeoutOption()}
		if n.targetReceiveBytes > 0 {
			options = append(options, [3]int{unix.SOL_SOCKET, unix.SO_RCVBUF, n.targetReceiveBytes})
		}
		return setOptions(c, options...)
	})
}

// dialWith opens a connection whose socket options set sets.
func (n network) dialWith(ctx context.Context, addr string, set func(network, address string, c syscall.RawConn) error) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: set}
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

// listenHTTP is listen for the connections of callers, operators and targets, which may read slowly.
func (n network) listenHTTP(ctx context.Context, addr string) (net.Listener, error) {
	ln, err := n.listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	// Connections inherit the options of their listener.
	c, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = setOptions(c, [3]int{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(callerTimeout.Milliseconds())},
			[3]int{unix.SOL_SOCKET, unix.SO_SNDBUF, callerSendBytes})
	}
	if err != nil {
		return nil, errors.CombineErrors(err, ln.Close())
	}
	return ln, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return setOptions(c, userTimeoutOption())
}

func userTimeoutOption() [3]int {
	return [3]int{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())}
}

// setOptions sets options of a socket, each given as level, name and value.
func setOptions(c syscall.RawConn, options ...[3]int) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		for _, o := range options {
			sockErr = errors.CombineErrors(sockErr, unix.SetsockoptInt(int(fd), o[0], o[1], o[2]))
		}
	})
	return errors.CombineErrors(err, sockErr)
}
