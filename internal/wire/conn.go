package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcwire"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// minHeldBytes is the size up to which messages are covered by memoryPerConn. Those of tunnels are smaller.
	minHeldBytes = 32 << 10
	// keptPackets is how many packets in a row of less than a quarter of its size a buffer of drpc outlasts.
	keptPackets = 11
	// smallMessage is the size up to which messages are decoded at once, in bytes when decoded.
	smallMessage = 64 << 10
)

// errEnded is the error of a Receive that goes on after its stream has ended.
var errEnded = errors.New("stream has ended")

// peerConn is a connection of a peer, within the limits of a server.
type peerConn struct {
	net.Conn
	table  *connTable
	frames frameReader
	// decoding is shared by all connections of the server.
	decoding *decodeMemory
	// ctx ends when the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// begun is set from the first byte of a message, or of the name of its method, to the last.
	begun bool
	// kept is the size of the buffer that drpc keeps for messages, and small counts the packets in a row
	// that are much smaller. Only the goroutine that reads uses these.
	kept, small int

	mu sync.Mutex
	// decoded is what the connection has acquired of decoding.
	decoded int64
	// received is set once the message that it was acquired for is decoded.
	received bool
}

func newPeerConn(ctx context.Context, c net.Conn, t *connTable, decoding *decodeMemory) *peerConn {
	p := &peerConn{Conn: c, table: t, decoding: decoding}
	p.ctx, p.cancel = context.WithCancel(ctx)
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

// Close closes the connection.
func (c *peerConn) Close() error {
	c.cancel()
	return c.Conn.Close()
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

// acquire waits for the memory to decode a message of a call or a stream; the latter is nil for a call. Any that was
// acquired before is released.
func (c *peerConn) acquire(s *Stream, bytes int64) error {
	if !c.releaseFor(s) {
		return errEnded
	}
	if bytes <= smallMessage {
		return nil
	}
	if bytes > c.table.limits.decodeBytes {
		return verd.New(verd.NotRun, verd.TooLarge, "message takes %d bytes when decoded, limit is %d", bytes, c.table.limits.decodeBytes)
	}
	ctx, cancel := context.WithTimeout(c.ctx, decodeTimeout)
	defer cancel()
	if err := c.decoding.acquire(ctx, bytes); err != nil {
		return verd.Wrap(err, verd.NotRun, verd.Overloaded, "no memory to decode a message of %d bytes", bytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != nil && s.ended {
		c.decoding.release(bytes)
		return errEnded
	}
	c.decoded, c.received = bytes, false
	return nil
}

// release releases what acquire has acquired.
func (c *peerConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
}

func (c *peerConn) releaseLocked() {
	if c.decoded > 0 {
		c.decoding.release(c.decoded)
		c.decoded = 0
	}
}

// releaseFor releases what a call or a stream has acquired. It returns false if the stream has ended: what is
// acquired then belongs to another call.
func (c *peerConn) releaseFor(s *Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != nil && s.ended {
		return false
	}
	c.releaseLocked()
	return true
}

// finishReceive notes that a stream has decoded the message for which memory was acquired.
func (c *peerConn) finishReceive(s *Stream) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ended {
		return errEnded
	}
	c.received = true
	return c.table.openStream(c)
}

// releaseReceived releases what a stream has acquired for a message, unless that is still being decoded.
func (c *peerConn) releaseReceived(s *Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received && !s.ended {
		c.releaseLocked()
	}
}

// endStream releases what a stream has acquired. It acquires no more, and no longer marks the connection.
func (c *peerConn) endStream(s *Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ended = true
	c.releaseLocked()
}
