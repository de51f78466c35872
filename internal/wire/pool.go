package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc/drpcconn"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	maxIdlePerAddr = 8
	// maxConnAge is the age from which a connection is not reused: a firewall or NAT may
	// have dropped its state.
	maxConnAge  = time.Minute
	dialTimeout = 2 * time.Second
)

// DialFunc opens a connection to addr, an IP and port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Caller makes calls to other instances.
type Caller interface {
	// Call calls the method at addr with in and decodes the response into out.
	Call(ctx context.Context, addr, method string, in, out any) error
}

// Pool calls other instances and reuses its connections to them. A drpc connection
// carries one call at a time, so there are as many connections as concurrent calls.
type Pool struct {
	Dial DialFunc
	// Self is the address of this instance. Calls to it are dispatched to Local without a
	// connection, unless Local is nil.
	Self  string
	Local *Server

	mu sync.Mutex
	// idle lists the connections without a call by address, the most recently used last.
	idle map[string][]*pooledConn
}

type pooledConn struct {
	*drpcconn.Conn
	// dialledAt is when the connection was established.
	dialledAt time.Time
}

// Call makes one call. A returned error has the verdict MayHaveRun unless it is certain
// that the method did not run.
func (p *Pool) Call(ctx context.Context, addr, method string, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return verd.Wrap(err, verd.NotRun, verd.Internal, "encode %s", method)
	}
	resp, err := p.roundTrip(ctx, addr, method, body)
	if err != nil {
		return err
	}
	if resp.Error != nil {
		return resp.Error
	}
	if err := decode(resp.Body, out); err != nil {
		return verd.Wrap(err, verd.MayHaveRun, verd.Internal, "decode response of %s at %s", method, addr)
	}
	return nil
}

// roundTrip sends one encoded call and waits for its response.
func (p *Pool) roundTrip(ctx context.Context, addr, method string, body []byte) (reply, error) {
	if addr == p.Self && p.Local != nil {
		return p.Local.dispatch(ctx, method, body), nil
	}
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return reply{}, verd.Wrap(err, verd.NotRun, verd.Unreached, "dial %s", addr)
	}
	req := request{Body: body, Trace: traceParent(ctx)}
	if deadline, ok := ctx.Deadline(); ok {
		req.Timeout = max(time.Until(deadline), time.Nanosecond) // 0 would mean none.
	}
	var resp reply
	if err := c.Invoke(ctx, method, codec{}, &req, &resp); err != nil {
		c.Close()
		switch ctx.Err() {
		case nil:
		case context.DeadlineExceeded:
			// The network may have silently dropped the other connections to this peer too.
			p.closeIdle(addr)
			err = ctx.Err()
		default:
			err = ctx.Err()
		}
		return reply{}, verd.Wrap(err, verd.MayHaveRun, verd.Unreached, "call %s at %s", method, addr)
	}
	p.release(addr, c)
	return resp, nil
}

// acquire returns an idle connection that is open and younger than maxConnAge, or a new
// one.
func (p *Pool) acquire(ctx context.Context, addr string) (*pooledConn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if time.Since(c.dialledAt) < maxConnAge && !isClosed(c.Closed()) {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &pooledConn{Conn: drpcconn.New(conn), dialledAt: time.Now()}, nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(addr string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

// release makes a connection available for another call. It closes one that is beyond
// maxIdlePerAddr.
func (p *Pool) release(addr string, c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(c.Closed()) || len(p.idle[addr]) >= maxIdlePerAddr {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*pooledConn)
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// closeIdle closes the idle connections to an address.
func (p *Pool) closeIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	for _, conns := range p.idle {
		for _, c := range conns {
			err = errors.CombineErrors(err, c.Close())
		}
	}
	p.idle = nil
	return err
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
