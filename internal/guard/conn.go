package guard

import (
	"bytes"
	"io"
	"net"
	"net/http"
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

	// headCost is the memory that the head being read takes. Only the reader uses it while the connection waits.
	headCost int64
	// isFresh is set if the head of the request was read after the response to the one before, and received is how many bytes
	// have come since. headLength is that of the head; 0 until its end has come, of which headTail may be the beginning.
	isFresh    atomic.Bool
	received   atomic.Int64
	headLength int64
	headTail   []byte

	// The fields below are guarded by Port.mu.
	since     time.Time
	headBytes int64
	isGone    bool
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
	if n == 0 {
		return n, err
	}
	if phase(c.phase.Load()) != waiting {
		c.received.Add(int64(n))
		return n, err
	}
	if c.headCost == 0 {
		c.port.noteHead(c)
	}
	c.findHeadEnd(b[:n])
	former := max(c.headCost, freeHeadBytes)
	c.headCost += headCost(b[:n])
	if more := c.headCost - former; more > 0 && !c.port.reserveHead(c, more) {
		answerRefused(c.Conn)
		return 0, io.EOF
	}
	return n, err
}

// findHeadEnd looks for the end of the head in the bytes that have come.
func (c *conn) findHeadEnd(b []byte) {
	if c.isFresh.CompareAndSwap(false, true) {
		c.headLength, c.headTail = 0, nil
		c.received.Store(0)
	}
	before := c.received.Add(int64(len(b))) - int64(len(b))
	if c.headLength > 0 {
		return
	}
	seen := b
	if len(c.headTail) > 0 {
		seen = append(c.headTail, b...)
	}
	if i := bytes.Index(seen, []byte(headEnd)); i >= 0 {
		c.headLength = before - int64(len(c.headTail)) + int64(i+len(headEnd))
		return
	}
	c.headTail = bytes.Clone(seen[max(0, len(seen)-len(headEnd)+1):])
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

// SendsAhead reports whether more has come on the connection of a request than the request, or it came with the one before. A
// response that closes the connection would leave a further request without an answer that was read already. Of a
// request with a body in chunks, it isn't known.
func SendsAhead(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ContentLength < 0 {
		return false
	}
	return !c.isFresh.Load() || c.headLength > 0 && c.received.Load() > c.headLength+r.ContentLength
}

// HasBegun reports whether a part of a request has come since the last one was answered.
func (c *conn) HasBegun() bool { return c.isFresh.Load() }
