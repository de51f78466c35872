package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferBytes bounds the bytes that are written but not yet read in one direction.
const bufferBytes = 256 << 10

// Conn is one end of an in-memory connection.
type Conn struct {
	local, remote address
	in, out       *pipe
	peer          *Conn
	// resets is set if Close resets the connection.
	resets atomic.Bool
}

// newConnPair returns the two ends of a connection between a and b.
func newConnPair(a, b address) (near, far *Conn) {
	ab, ba := newPipe(), newPipe()
	var atA, atB reset
	ab.atWriter, ab.atReader, ba.atWriter, ba.atReader = &atA, &atB, &atB, &atA
	near = &Conn{local: a, remote: b, in: ba, out: ab}
	far = &Conn{local: b, remote: a, in: ab, out: ba}
	near.peer, far.peer = far, near
	return near, far
}

// Read blocks until the other end has written data or closed the connection.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write blocks while the buffer is full.
func (c *Conn) Write(b []byte) (int, error) { return c.out.write(b) }

// SetLinger is that of net.TCPConn: with 0, Close resets the connection. Other values change nothing.
func (c *Conn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return nil
}

// CloseWrite closes the direction that this end writes.
func (c *Conn) CloseWrite() error {
	c.out.closeWrite()
	return nil
}

// Close closes both directions. A reset is reported to the other end as by the kernel: to one call, which is a write
// if one is blocked. After that reads end with io.EOF, and writes with EPIPE.
func (c *Conn) Close() error {
	if c.resets.Load() {
		c.in.resetWriter()
	}
	// A reader that learns of it can write no more.
	c.out.closeWrite()
	c.in.closeRead()
	return nil
}

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error { c.in.setReadDeadline(t); return nil }

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { c.out.setWriteDeadline(t); return nil }

func (c *Conn) blackhole() {
	c.in.blackhole()
	c.out.blackhole()
}

// pipe is one direction of a connection. If it is blackholed, reads block and written data
// is discarded without an error.
type pipe struct {
	mu   sync.Mutex
	cond *sync.Cond
	buf  []byte
	// writerClosed and readerClosed are set when the end that writes, or the end that
	// reads, has closed the connection.
	writerClosed, readerClosed bool
	blackholed                 bool
	readDeadline               deadline
	writeDeadline              deadline
	// writers is the number of blocked writes.
	writers int
	// atWriter and atReader are the resets of the connection for the end that writes, and the one that reads.
	atWriter, atReader *reset
}

// reset is the reset of a connection for one end, which one call reports.
type reset struct {
	mu sync.Mutex
	// isSet is set with the reset, and pending until it is reported. Then forWriter is set if that is left to a write.
	isSet, pending, forWriter bool
}

// set resets the connection.
func (r *reset) set(forWriter bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isSet, r.pending, r.forWriter = true, true, forWriter
}

// take returns the error of a read or write after the other end has closed the connection, which is orderly unless there
// was a reset.
func (r *reset) take(isWrite bool, orderly error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.pending && (isWrite || !r.forWriter):
		r.pending = false
		return syscall.ECONNRESET
	case r.isSet && isWrite:
		return syscall.EPIPE
	default:
		return orderly
	}
}

// deadline is a point in time and the timer that then wakes blocked calls.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newPipe() *pipe {
	p := &pipe{}
	p.cond = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.readerClosed {
			return 0, net.ErrClosed
		}
		if p.readDeadline.expired() {
			return 0, os.ErrDeadlineExceeded
		}
		if len(p.buf) > 0 && !p.blackholed {
			n := copy(b, p.buf)
			p.buf = p.buf[n:]
			p.cond.Broadcast()
			return n, nil
		}
		if p.writerClosed && !p.blackholed {
			return 0, p.atReader.take(false, io.EOF)
		}
		p.cond.Wait()
	}
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(b) {
		if p.writerClosed {
			return n, net.ErrClosed
		}
		if p.readerClosed && !p.blackholed {
			return n, p.atWriter.take(true, io.ErrClosedPipe)
		}
		if p.writeDeadline.expired() {
			return n, os.ErrDeadlineExceeded
		}
		if p.blackholed {
			return len(b), nil
		}
		free := bufferBytes - len(p.buf)
		if free <= 0 {
			p.writers++
			p.cond.Wait()
			p.writers--
			continue
		}
		k := min(free, len(b)-n)
		p.buf = append(p.buf, b[n:n+k]...)
		n += k
		p.cond.Broadcast()
	}
	return n, nil
}

func (p *pipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writerClosed = true
	p.cond.Broadcast()
}

func (p *pipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerClosed = true
	p.cond.Broadcast()
}

// resetWriter resets the connection for the end that writes.
func (p *pipe) resetWriter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atWriter.set(p.writers > 0)
}

func (p *pipe) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = true
	p.cond.Broadcast()
}

func (p *pipe) setReadDeadline(t time.Time)  { p.setDeadline(&p.readDeadline, t) }
func (p *pipe) setWriteDeadline(t time.Time) { p.setDeadline(&p.writeDeadline, t) }

func (p *pipe) setDeadline(d *deadline, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	if remaining := time.Until(t); !t.IsZero() && remaining > 0 {
		d.timer = time.AfterFunc(remaining, p.wake)
	}
	p.cond.Broadcast()
}

// wake makes blocked reads and writes check their conditions again.
func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cond.Broadcast()
}
