package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/meter"
)

const (
	// refusalTime is how long a client that is refused has to send a request and to read the answer, and
	// refusalsDivisor divides MaxConns into the number of clients that are being refused, which is minRefusals at
	// least. Others wait to be accepted meanwhile, and look for a place every acceptInterval.
	refusalTime     = 500 * time.Millisecond
	refusalsDivisor = 16
	minRefusals     = 16
	acceptInterval  = 10 * time.Millisecond
	// logInterval is the shortest time between two log lines of a port.
	logInterval = 10 * time.Second
	// turnoverTime is how long each connection ends with its next response after none could make room.
	turnoverTime = time.Second
	// relaxedShare of MaxConns is the number of connections below which the limit counts as left.
	relaxedShare = 0.75
)

// refusal is the response to a request that is refused before it is read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Port bounds the connections of an HTTP server, whose handler comes from Handler.
type Port struct {
	Name string
	// MaxConns is the largest number of connections.
	MaxConns int
	// Heads bounds the memory of the heads of requests. Ports may share it.
	Heads   *Heads
	Log     *log.Logger
	Metrics metrics.Registry

	mu    sync.Mutex
	conns map[*conn]struct{}
	// isFull is set while the limit is reached, as logged at loggedAt.
	isFull   bool
	loggedAt time.Time
	refusals int
	// fullAt is when no connection could make room for a new one, in Unix nanoseconds.
	fullAt atomic.Int64
}

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// Protect sets the hooks of srv and returns the listener that it must serve.
func (p *Port) Protect(srv *http.Server, ln net.Listener) net.Listener {
	p.conns = make(map[*conn]struct{})
	former := srv.ConnState
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		if c, ok := c.(*conn); ok {
			p.changeState(c, s)
		}
		if former != nil {
			former(c, s)
		}
	}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return &listener{Listener: ln, port: p}
}

// listener accepts the connections of a port.
type listener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection. If there are too many, another one makes room for it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.IsAny(err, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM) {
			// The client gave up, or other ports have taken what the process may have. The server would end, or wait for long.
			l.port.makeRoom()
			time.Sleep(acceptInterval)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(nc); c != nil {
			return c, nil
		}
	}
}

// admit adds a connection, or refuses it and returns nil if no other one can make room.
func (p *Port) admit(nc net.Conn) *conn {
	for {
		if c, done := p.tryAdmit(nc); done {
			return c
		}
		time.Sleep(acceptInterval)
	}
}

// tryAdmit is like admit, but returns false if neither is possible now.
func (p *Port) tryAdmit(nc net.Conn) (c *conn, done bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.MaxConns {
		p.noteFull(now)
		idlest, ok := pickIdlest(p.states, now)
		if !ok {
			p.fullAt.Store(now.UnixNano())
			return nil, p.refuse(nc)
		}
		p.evict(idlest)
	}
	c = &conn{Conn: nc, port: p, since: now}
	p.conns[c] = struct{}{}
	return c, true
}

// makeRoom closes the idlest connection, if there is one.
func (p *Port) makeRoom() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idlest, ok := pickIdlest(p.states, time.Now()); ok {
		p.evict(idlest)
	}
}

// states iterates over the connections. The caller holds p.mu.
func (p *Port) states(yield func(*conn, connState) bool) {
	for c := range p.conns {
		if !yield(c, c.state()) {
			return
		}
	}
}

// evict closes a connection. The caller holds p.mu.
func (p *Port) evict(c *conn) {
	p.remove(c)
	p.count("guard.closed")
	// The server sees the closed connection.
	_ = c.Conn.Close()
}

// remove forgets a connection. The caller holds p.mu.
func (p *Port) remove(c *conn) {
	delete(p.conns, c)
	p.Heads.release(c.headBytes)
	c.headBytes, c.isGone = 0, true
}

// refuse answers and closes a connection. It returns false if too many are being refused. The caller holds p.mu.
func (p *Port) refuse(nc net.Conn) bool {
	if p.refusals >= max(minRefusals, p.MaxConns/refusalsDivisor) {
		return false
	}
	p.count("guard.refused")
	p.refusals++
	go func() {
		defer nc.Close()
		// Clients take an answer for an error that comes before they have sent anything.
		_ = nc.SetDeadline(time.Now().Add(refusalTime))
		if _, err := nc.Read(make([]byte, 1)); err == nil {
			answerRefused(nc)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refusals--
	}()
	return true
}

// answerRefused refuses the request that comes on a connection. The client has time to read the answer: a connection
// closed with unread bytes is reset.
func answerRefused(nc net.Conn) {
	// A client that is gone needs no answer.
	_ = nc.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(nc, refusal); err != nil {
		return
	}
	closeWrite(nc)
	_, _ = io.Copy(io.Discard, nc)
}

func closeWrite(nc net.Conn) {
	if c, ok := nc.(interface{ CloseWrite() error }); ok {
		// This fails only on a closed connection.
		_ = c.CloseWrite()
	}
}

// noteFull notes that the limit is reached. The caller holds p.mu.
func (p *Port) noteFull(now time.Time) {
	if p.isFull || now.Sub(p.loggedAt) < logInterval {
		return
	}
	p.isFull, p.loggedAt = true, now
	p.Log.Warn().Str("port", p.Name).Int("limit", p.MaxConns).Msg("limit of connections reached")
}

// isCrowded reports whether no connection could make room within turnoverTime.
func (p *Port) isCrowded(now time.Time) bool {
	return now.UnixNano()-p.fullAt.Load() < int64(turnoverTime)
}

// changeState is the hook for changes of a connection.
func (p *Port) changeState(c *conn, s http.ConnState) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case http.StateNew:
	case http.StateActive:
		c.phase.Store(int32(busy))
	case http.StateIdle:
		p.Heads.release(c.headBytes)
		c.headCost, c.headBytes, c.since = 0, 0, now
		c.isFresh.Store(false)
		c.phase.Store(int32(waiting))
	case http.StateClosed, http.StateHijacked:
		p.remove(c)
		if p.isFull && float64(len(p.conns)) < relaxedShare*float64(p.MaxConns) && now.Sub(p.loggedAt) >= logInterval {
			p.isFull, p.loggedAt = false, now
			p.Log.Info().Str("port", p.Name).Int("limit", p.MaxConns).Int("connections", len(p.conns)).Msg("limit of connections left")
		}
	}
}

func (p *Port) count(name string) {
	metrics.GetOrRegisterCounter(meter.Label(name, "port", p.Name), p.Metrics).Inc(1)
}

// reserveHead reserves n more bytes for the head of a connection. It returns false if there is no memory.
func (p *Port) reserveHead(c *conn, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for !c.isGone && !p.Heads.acquire(n) {
		stalled, ok := pickStalledHead(p.states, now)
		if !ok {
			p.count("guard.heads_refused")
			return false
		}
		p.evict(stalled)
	}
	if c.isGone {
		return false
	}
	c.headBytes += n
	return true
}

// settleHead corrects what was reserved for the head of a request to its cost now that it is parsed: what was counted before
// may have been a part of the body, or come with the request before. It returns false if there is no memory, or the
// connection was closed meanwhile.
func (p *Port) settleHead(c *conn, cost int64) bool {
	need := max(0, cost-freeHeadBytes)
	p.mu.Lock()
	had := c.headBytes
	if need <= had {
		p.Heads.release(had - need)
		c.headBytes = need
	}
	gone := c.isGone
	p.mu.Unlock()
	return !gone && (need <= had || p.reserveHead(c, need-had))
}

// noteHead notes that a head begins to come on a connection, which may have been idle for long before.
func (p *Port) noteHead(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = time.Now()
}
