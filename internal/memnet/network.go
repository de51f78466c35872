// Package memnet is an in-memory network for tests that run on the virtual clock of
// testing/synctest. Its connections are buffered, and tests can partition hosts, blackhole
// connections or close them.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// maxPendingConns bounds the connections that wait to be accepted by one listener.
const maxPendingConns = 128

// ErrRefused is returned by a dial to an address without a listener.
var ErrRefused error = syscall.ECONNREFUSED

// Network connects the hosts of one test. The zero value is ready to use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       []*Conn
	partitioned map[[2]string]bool
	refused     map[[2]string]bool
}

// Listen opens a listener on an address. It fails if the address is in use.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errors.Newf("address %s is already in use", addr)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{net: n, addr: address(addr), queue: make(chan *Conn, maxPendingConns), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a dial function whose connections have the local address from. While the
// two hosts are partitioned, a dial blocks until its context ends.
func (n *Network) Dialer(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return n.dial(ctx, from, addr)
	}
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	unreachable, refused := n.partitioned[hostPair(from, to)], n.refused[hostPair(from, to)]
	n.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil || refused {
		return nil, ErrRefused
	}
	near, far := newConnPair(address(from), address(to))
	n.mu.Lock()
	n.conns = append(n.conns, near)
	n.mu.Unlock()
	select {
	case l.queue <- far:
		return near, nil
	case <-l.done:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Cut partitions two hosts: it permanently blackholes their open connections and makes new
// dials in both directions block until Heal is called.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	if n.partitioned == nil {
		n.partitioned = make(map[[2]string]bool)
	}
	n.partitioned[hostPair(a, b)] = true
	n.mu.Unlock()
	n.Silence(a, b)
}

// Refuse refuses new dials between two hosts until Heal is called. Their open connections live on.
func (n *Network) Refuse(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = make(map[[2]string]bool)
	}
	n.refused[hostPair(a, b)] = true
}

// Heal allows new connections between two hosts again, after Cut or Refuse.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, hostPair(a, b))
	delete(n.refused, hostPair(a, b))
}

// Silence permanently blackholes the open connections between two hosts: written data is
// discarded and reads block. New connections work.
func (n *Network) Silence(a, b string) {
	for _, c := range n.connsBetween(a, b) {
		c.blackhole()
	}
}

// Break closes the open connections between two hosts.
func (n *Network) Break(a, b string) {
	for _, c := range n.connsBetween(a, b) {
		c.Close()
	}
}

// connsBetween returns the connections that were ever dialled between two hosts.
func (n *Network) connsBetween(a, b string) []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*Conn
	for _, c := range n.conns {
		if hostPair(string(c.local), string(c.remote)) == hostPair(a, b) {
			out = append(out, c)
		}
	}
	return out
}

// hostPair returns the two hosts in sorted order, so that it does not depend on the
// direction.
func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

type listener struct {
	net   *Network
	addr  address
	queue chan *Conn
	once  sync.Once
	done  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, string(l.addr))
		l.net.mu.Unlock()
		// The address must be free when Accept returns.
		close(l.done)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// address is a host and port. It implements net.Addr.
type address string

func (address) Network() string  { return "mem" }
func (a address) String() string { return string(a) }
