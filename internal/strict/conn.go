// Package strict detects HTTP responses that broke off or are malformed, and that net/http takes for complete ones.
package strict

import (
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection on which io.EOF means that the peer closed it in order. The kernel reports the failure of a
// connection, such as a reset, to one system call only. If that is a write, reads end with io.EOF, and a response whose
// body ends with the connection looks complete.
type Conn struct {
	net.Conn

	mu sync.Mutex // held during writes
	// failure is the error with which the connection failed, if a write got it.
	failure error
}

// NewConn returns c as a Conn.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && !leavesFailure(err) {
		c.failure = cmp.Or(c.failure, err)
	}
	return n, err
}

// leavesFailure reports whether a write that ended with err left the failure of the connection, if there is one, to the
// next read. EPIPE means that the peer had closed the connection before, or that a failure was reported already.
func leavesFailure(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}

// Read reads from the connection. If the connection has failed, it returns the error of the write that failed instead of
// io.EOF. After io.EOF, writes fail.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = cmp.Or(c.writeFailure(), err)
	}
	return n, err
}

// writeFailure returns the error with which the connection failed, if a write got it. It ends a write in progress, which
// could otherwise block for as long as the peer reads nothing.
func (c *Conn) writeFailure() error {
	// This fails only on a closed connection, on which no write is blocked.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}
