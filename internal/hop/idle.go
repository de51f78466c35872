package hop

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxIdle bounds the connections kept to one target.
	maxIdle = 8
	// defaultKeep is how long a connection is kept whose target names no time.
	defaultKeep = 4 * time.Second
	// keepMargin is how long before the target's own time a connection is given
	// up, so that no request crosses its end.
	keepMargin = 500 * time.Millisecond
)

// idle keeps connections between requests.
type idle struct {
	mu     sync.Mutex
	byAddr map[string][]*conn
}

// connect returns a kept connection that shows no sign of its end, or a new one.
func (c *Client) connect(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if !fresh {
		for cn := c.idle.take(addr); cn != nil; cn = c.idle.take(addr) {
			if cn.isUsable() {
				return cn, nil
			}
			cn.Close()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, readBuffer)}, nil
}

func (i *idle) take(addr string) *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byAddr[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	i.byAddr[addr] = list[:len(list)-1]
	return cn
}

func (i *idle) give(cn *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byAddr == nil {
		i.byAddr = make(map[string][]*conn)
	}
	list := i.byAddr[cn.addr]
	if len(list) >= maxIdle {
		list[0].Close()
		list = list[1:]
	}
	i.byAddr[cn.addr] = append(list, cn)
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(addr string) {
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

// Sweep closes connections whose time is over.
func (c *Client) Sweep() {
	now := time.Now()
	c.idle.mu.Lock()
	defer c.idle.mu.Unlock()
	for addr, list := range c.idle.byAddr {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.until) {
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

// isUsable looks whether an idle connection has ended, or has bytes that no
// request has asked for.
func (c *conn) isUsable() bool {
	if !time.Now().Before(c.until) || c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// isEnd says that a connection ended before the answer did.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// skip reads an answer that belongs to another request.
func skip(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray))
	if err == nil && n == maxStray {
		return io.ErrShortBuffer
	}
	return err
}

func headerParts(s string) []string {
	parts := strings.Split(s, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
