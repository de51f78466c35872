package hop

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/bambooproxy/bambooproxy/internal/strict"
)

const (
	// DefaultMaxIdle bounds the idle connections to one target if a request sets no bound.
	DefaultMaxIdle = 8
	// defaultKeepAlive is how long an idle connection is kept if the target names no
	// timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the target's timeout, so that no request is sent
	// while the target closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// closingTime is how long a new connection must last for its target to count as there: a process that is killed closes
	// its sockets one after the other, and the one that it listens on may come after connections.
	closingTime = 15 * time.Millisecond
	// refusalTimeout bounds the wait of IsRefused: a host in the region refuses within
	// milliseconds.
	refusalTimeout = 100 * time.Millisecond
)

// idlePool holds idle connections, by address.
type idlePool struct {
	mu     sync.Mutex
	byAddr map[string][]*conn
}

// connect returns a usable idle connection, or a new one.
func (c *Client) connect(ctx context.Context, addr string, newConn bool) (*conn, error) {
	if !newConn {
		for cn := c.idle.get(addr); cn != nil; cn = c.idle.get(addr) {
			if cn.isUsable() {
				return cn, nil
			}
			cn.Close()
		}
	}
	return c.dial(ctx, addr, dialTimeout)
}

func (c *Client) dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: strict.NewConn(nc), addr: addr, headLeft: bodyUnlimited}
	cn.r = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

// IsRefused reports whether an address refuses a new connection, so that no process listens
// there. A connection that is accepted is kept for the next request.
func (c *Client) IsRefused(ctx context.Context, addr string) bool {
	cn, err := c.dial(ctx, addr, refusalTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if _, once := cn.NetConn().(SingleUse); once {
		cn.Close()
		return false
	}
	cn.expiresAt = time.Now().Add(defaultKeepAlive)
	c.idle.put(cn)
	return false
}

// IsClosed is like IsRefused, but also waits for a moment whether the address stops to accept connections.
func (c *Client) IsClosed(ctx context.Context, addr string) bool {
	cn, err := c.dial(ctx, addr, refusalTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer cn.Close()
	if _, once := cn.NetConn().(SingleUse); once {
		return false
	}
	// This fails only on a closed connection.
	_ = cn.Conn.SetReadDeadline(time.Now().Add(closingTime))
	if _, err := cn.Conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	// A target that has enough connections resets others, too.
	return c.IsRefused(ctx, addr)
}

// get removes the connection to an address that was put last, and returns it; nil if there
// is none.
func (p *idlePool) get(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byAddr[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	p.byAddr[addr] = list[:len(list)-1]
	return cn
}

// put adds a connection. If its address has as many as it allows, it closes those that were put
// first.
func (p *idlePool) put(cn *conn) {
	limit := cn.maxIdle
	if limit == 0 {
		limit = DefaultMaxIdle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddr == nil {
		p.byAddr = make(map[string][]*conn)
	}
	list := append(p.byAddr[cn.addr], cn)
	for len(list) > max(0, limit) {
		list[0].Close()
		list = list[1:]
	}
	p.byAddr[cn.addr] = list
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(addr string) {
	c.idle.mu.Lock()
	list := c.idle.byAddr[addr]
	delete(c.idle.byAddr, addr)
	c.idle.mu.Unlock()
	for _, cn := range list {
		cn.Close()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.idle.mu.Lock()
	all := c.idle.byAddr
	c.idle.byAddr = nil
	c.idle.mu.Unlock()
	for _, list := range all {
		for _, cn := range list {
			cn.Close()
		}
	}
}

// CloseExpired closes the idle connections that have expired, that their targets closed, and
// those on which targets send bytes that no request asked for.
func (c *Client) CloseExpired() {
	c.idle.mu.Lock()
	defer c.idle.mu.Unlock()
	for addr, list := range c.idle.byAddr {
		kept := list[:0]
		for _, cn := range list {
			if cn.isUsable() {
				kept = append(kept, cn)
				continue
			}
			cn.Close()
		}
		clear(list[len(kept):])
		c.idle.byAddr[addr] = kept
		if len(kept) == 0 {
			delete(c.idle.byAddr, addr)
		}
	}
}

// isUsable reports whether an idle connection has not expired, is still open and holds no
// unexpected bytes.
func (c *conn) isUsable() bool {
	if !time.Now().Before(c.expiresAt) || c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// isEOF reports whether err means that the connection ended before the response did.
func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// discardResponse reads and discards a response that belongs to another request.
func discardResponse(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes))
	if err == nil && n == maxStaleBytes {
		return io.ErrShortBuffer
	}
	return err
}

func splitList(s string) []string {
	parts := strings.Split(s, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
