package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes bounds what is written and not yet read on one connection.
const bufferBytes = 256 << 10

// Conn is one end of a connection in memory.
type Conn struct {
	local, remote address
	in, out       *pipe
	peer          *Conn
}

func newConnPair(a, b address) (near, far *Conn) {
	ab, ba := newPipe(), newPipe()
	near = &Conn{local: a, remote: b, in: ba, out: ab}
	far = &Conn{local: b, remote: a, in: ab, out: ba}
	near.peer, far.peer = far, near
	return near, far
}

// Read waits for bytes from the other end.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write waits while the buffer is full.
func (c *Conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close ends both directions.
func (c *Conn) Close() error {
	c.in.closeRead()
	c.out.closeWrite()
	return nil
}

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error { c.in.setReadDeadline(t); return nil }

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { c.out.setWriteDeadline(t); return nil }

func (c *Conn) blackhole() {
	c.in.blackhole()
	c.out.blackhole()
}

// pipe is one direction of a connection.
type pipe struct {
	mu   sync.Mutex
	cond *sync.Cond
	buf  []byte
	// writerClosed says that the writer has writerClosed, readerClosed that the reader has.
	writerClosed, readerClosed bool
	blackholed                 bool
	readDeadline               deadline
	writeDeadline              deadline
}

// deadline is a deadline with the timer that wakes its waiters.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (l *deadline) expired() bool { return !l.at.IsZero() && !time.Now().Before(l.at) }

func newPipe() *pipe {
	h := &pipe{}
	h.cond = sync.NewCond(&h.mu)
	return h
}

func (h *pipe) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		if h.readerClosed {
			return 0, net.ErrClosed
		}
		if h.readDeadline.expired() {
			return 0, os.ErrDeadlineExceeded
		}
		if len(h.buf) > 0 && !h.blackholed {
			n := copy(b, h.buf)
			h.buf = h.buf[n:]
			h.cond.Broadcast()
			return n, nil
		}
		if h.writerClosed && !h.blackholed {
			return 0, io.EOF
		}
		h.cond.Wait()
	}
}

func (h *pipe) write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for n < len(b) {
		if h.writerClosed {
			return n, net.ErrClosed
		}
		if h.readerClosed && !h.blackholed {
			return n, io.ErrClosedPipe
		}
		if h.writeDeadline.expired() {
			return n, os.ErrDeadlineExceeded
		}
		if h.blackholed {
			return len(b), nil
		}
		room := bufferBytes - len(h.buf)
		if room <= 0 {
			h.cond.Wait()
			continue
		}
		k := min(room, len(b)-n)
		h.buf = append(h.buf, b[n:n+k]...)
		n += k
		h.cond.Broadcast()
	}
	return n, nil
}

func (h *pipe) closeWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writerClosed = true
	h.cond.Broadcast()
}

func (h *pipe) closeRead() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readerClosed = true
	h.cond.Broadcast()
}

func (h *pipe) blackhole() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blackholed = true
	h.cond.Broadcast()
}

func (h *pipe) setReadDeadline(t time.Time)  { h.setDeadline(&h.readDeadline, t) }
func (h *pipe) setWriteDeadline(t time.Time) { h.setDeadline(&h.writeDeadline, t) }

func (h *pipe) setDeadline(l *deadline, t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	l.at = t
	if left := time.Until(t); !t.IsZero() && left > 0 {
		l.timer = time.AfterFunc(left, h.wake)
	}
	h.cond.Broadcast()
}

func (h *pipe) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cond.Broadcast()
}
