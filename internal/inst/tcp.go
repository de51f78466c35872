package inst

import (
	"context"
	"net"
	"time"
)

// TCP is the network of the operating system.
type TCP struct{}

// keepAliveInterval is the time between TCP keep-alive probes on an idle connection.
const keepAliveInterval = 15 * time.Second

// Listen opens a TCP listener.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: keepAliveInterval}
	return d.DialContext(ctx, "tcp", addr)
}
