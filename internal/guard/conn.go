package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// conn is a connection of a Port.
type conn struct {
	net.Conn
	port *Port
	// phase is a phase. It changes under Port.mu.
	phase atomic.Int32
	// writeBegan is when the current write began, in Unix nanoseconds; 0 if there is none.
	writeBegan atomic.Int64

	// headCost is the memory that the head being read takes, and pastHead how many bytes came with its end. Only the reader
	// uses them while the connection waits.
	headCost, pastHead int64
	// sendsAhead is set once a request has come together with the one before.
	sendsAhead atomic.Bool

	// The fields below are guarded by Port.mu.
	since     time.Time
	headBytes int64
	// hasHead is set while a part of the head of a request has come, and wasUsed once a request was answered.
	hasHead, wasUsed bool
	isGone           bool
}

// state returns the state of the connection. The caller holds Port.mu.
func (c *conn) state() connState {
	s := connState{phase: phase(c.phase.Load()), since: c.since, headBytes: c.headBytes}
	if began := c.writeBegan.Load(); began != 0 {
		s.blockedSince = time.Unix(0, began)
	}
	return s
}

// Read reads from the connection, and counts the memory of heads.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || phase(c.phase.Load()) != waiting {
		return n, err
	}
	if c.headCost == 0 {
		c.port.noteHead(c)
	}
	if _, rest, ends := bytes.Cut(b[:n], []byte(headEnd)); ends {
		c.pastHead = int64(len(rest))
	}
	former := max(c.headCost, freeHeadBytes)
	c.headCost += headCost(b[:n])
	if more := c.headCost - former; more > 0 && !c.port.reserveHead(c, more) {
		answerRefused(c.Conn)
		return 0, io.EOF
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.writeBegan.Store(time.Now().UnixNano())
	defer c.writeBegan.Store(0)
	return c.Conn.Write(b)
}

// CloseWrite closes the writing side, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	closeWrite(c.Conn)
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// setReading notes whether the body of a request is incomplete.
func (c *conn) setReading(isReading bool) {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	p := busy
	if isReading {
		p = reading
		c.since = time.Now()
	}
	c.phase.Store(int32(p))
}

// SendsAhead reports whether requests have come on the connection of a request before their predecessors were answered. A
// response that closes it would leave those without an answer that were read already.
func SendsAhead(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.sendsAhead.Load()
}
