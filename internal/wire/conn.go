package wire

import (
	"bufio"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcwire"
)

// peerConn is a connection of a peer, within the limits of a server.
type peerConn struct {
	net.Conn
	table  *connTable
	frames frameReader
	// begun is set from the first byte of a message, or of the name of its method, to the last. Only the
	// goroutine that reads uses it.
	begun bool
}

func newPeerConn(c net.Conn, t *connTable) *peerConn {
	p := &peerConn{Conn: c, table: t}
	p.frames = frameReader{in: bufio.NewReaderSize(c, readBufferBytes), onBegin: p.begin, onData: func(drpcwire.Kind, int) error { return nil }, onPacket: p.finish}
	return p
}

// Read reads frames; it implements drpc.Transport.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.frames.read(p)
	if errors.Is(err, errFrames) {
		c.table.note(causeFrames)
	}
	return n, err
}

// begin notes that a message has begun.
func (c *peerConn) begin() {
	if c.begun {
		return
	}
	c.begun = true
	c.table.change(c, func(s *connState) { s.begun, s.checks = true, 0 })
}

// finish notes that a packet is complete.
func (c *peerConn) finish(kind drpcwire.Kind, _ int) {
	// After the name of a method, its message is still to come.
	c.begun = kind == drpcwire.KindInvoke
	if c.begun {
		return
	}
	c.table.change(c, func(s *connState) {
		s.begun, s.checks = false, 0
		if kind == drpcwire.KindMessage {
			s.called, s.since = true, time.Now()
		}
	})
}
