// Package memnet is a network in memory for tests on a paused clock. Its
// connections are buffered and can be made to go silent or to break.
package memnet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxPendingConns bounds the connections that wait to be accepted.
const maxPendingConns = 128

// ErrRefused is the error of a dial to an address where nothing listens.
var ErrRefused = errors.New("connection refused")

// Network connects the parts of one test. The zero value is ready.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       []*Conn
	partitioned map[[2]string]bool
}

// Listen opens a listener at an address.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errors.Newf("address %s is in use", addr)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{net: n, addr: address(addr), queue: make(chan *Conn, maxPendingConns), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a dial function for the host with the address.
func (n *Network) Dialer(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return n.dial(ctx, from, addr)
	}
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	lost := n.partitioned[hostPair(from, to)]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
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

// Cut makes open connections between two hosts silent and new dials hang,
// both ways, until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	if n.partitioned == nil {
		n.partitioned = make(map[[2]string]bool)
	}
	n.partitioned[hostPair(a, b)] = true
	n.mu.Unlock()
	n.Silence(a, b)
}

// Heal lets new connections between two hosts work again.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, hostPair(a, b))
}

// Silence makes the open connections between two hosts silent for good:
// what is written vanishes, and reads wait. New ones work.
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
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, string(l.addr))
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// address is a host and port.
type address string

func (address) Network() string  { return "mem" }
func (a address) String() string { return string(a) }
