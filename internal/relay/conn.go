package relay

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// Conn is a connection to a target through a relay. It ends like a direct one: io.EOF means that
// the target has closed it, and a connection that the relay lost is reset.
type Conn struct {
	// Conn is one end of a pipe; copyUp and copyDown serve the other one.
	net.Conn
	// Relay is the address of the relay for other instances.
	Relay  string
	target address
	stream *wire.Stream
	// closedByTarget is set before the other end of the pipe is closed.
	closedByTarget atomic.Bool
}

// newConn returns a connection over a tunnel that is open. Its goroutines end when it is closed.
func newConn(relay, target string, st *wire.Stream) *Conn {
	near, far := net.Pipe()
	c := &Conn{Conn: near, Relay: relay, target: address(target), stream: st}
	go c.copyUp(far)
	go c.copyDown(far)
	return c
}

// copyUp sends what is written to the connection until it is closed, and then ends the tunnel.
func (c *Conn) copyUp(far net.Conn) {
	defer c.stream.Close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := far.Read(buf)
		if err != nil || c.stream.Send(&upMessage{Data: buf[:n]}) != nil {
			return
		}
	}
}

// copyDown passes on what the target sends until the tunnel ends.
func (c *Conn) copyDown(far net.Conn) {
	defer far.Close()
	for {
		var m downMessage
		if c.stream.Receive(&m) != nil {
			return
		}
		if len(m.Data) > 0 {
			if _, err := far.Write(m.Data); err != nil {
				return
			}
		}
		if m.End {
			c.closedByTarget.Store(true)
			return
		}
	}
}

// Read reads what the target sent.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && !c.closedByTarget.Load() {
		return n, syscall.ECONNRESET
	}
	return n, err
}

// Write writes to the target. Like a socket, it returns EPIPE once the target has closed the connection.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == io.ErrClosedPipe && c.closedByTarget.Load() {
		return n, syscall.EPIPE
	}
	return n, err
}

// RemoteAddr returns the address of the target.
func (c *Conn) RemoteAddr() net.Addr { return c.target }

// Notify tells the relay what the target asked for in a response: it has the connection, so that
// binds it as well.
func (c *Conn) Notify(n Notice) {
	// Without the relay there is nobody to tell.
	_ = c.stream.Send(&upMessage{Notice: &n})
}

// SingleUse implements hop.SingleUse: an idle tunnel would keep its relay from shutting down.
func (c *Conn) SingleUse() {}

// address is an IP and port. It implements net.Addr.
type address string

func (address) Network() string  { return "relay" }
func (a address) String() string { return string(a) }
