package wire

import (
	"bufio"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcwire"
)

const (
	// minHeldBytes is the size up to which messages are covered by memoryPerConn. Those of tunnels are smaller.
	minHeldBytes = 32 << 10
	// keptPackets is how many packets in a row of less than a quarter of its size a buffer of drpc outlasts.
	keptPackets = 11
)

// peerConn is a connection of a peer, within the limits of a server.
type peerConn struct {
	net.Conn
	table  *connTable
	frames frameReader
	// begun is set from the first byte of a message, or of the name of its method, to the last.
	begun bool
	// kept is the size of the buffer that drpc keeps for messages, and small counts the packets in a row
	// that are much smaller. Only the goroutine that reads uses these.
	kept, small int
}

func newPeerConn(c net.Conn, t *connTable) *peerConn {
	p := &peerConn{Conn: c, table: t}
	p.frames = frameReader{in: bufio.NewReaderSize(c, readBufferBytes), onBegin: p.begin, onData: p.grow, onPacket: p.finish}
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
	c.table.change(c, func(s *connState) { s.begun, s.checks, s.changed = true, 0, time.Now() })
}

// grow accounts for a packet of which size bytes are announced.
func (c *peerConn) grow(kind drpcwire.Kind, size int) error {
	if kind != drpcwire.KindMessage || size <= max(minHeldBytes, c.kept) {
		return nil
	}
	c.kept = min(maxMessageBytes, max(size, c.kept+c.kept/4))
	// A buffer that grows is there twice while it is copied.
	return c.table.hold(c, int64(2*c.kept))
}

// finish accounts for a complete packet. drpc drops its buffer after a run of small packets.
func (c *peerConn) finish(kind drpcwire.Kind, size int) {
	if size < c.kept/4 {
		if c.small++; c.small >= keptPackets {
			c.kept, c.small = 0, 0
		}
	} else {
		c.small = 0
	}
	c.kept = max(c.kept, size)
	// After the name of a method, its message is still to come.
	c.begun = kind == drpcwire.KindInvoke
	held := int64(0)
	if c.kept > minHeldBytes {
		held = int64(c.kept) * 5 / 4
	}
	c.table.change(c, func(s *connState) {
		c.table.held += held - s.held
		s.held = held
		if c.begun {
			return
		}
		s.begun, s.checks = false, 0
		if kind == drpcwire.KindMessage {
			now := time.Now()
			s.called, s.since, s.changed = true, now, now
		}
	})
}
