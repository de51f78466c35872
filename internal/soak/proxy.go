package main

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the copy buffer.
	chunkBytes = 16 << 10
	// dialTimeout bounds every dial.
	dialTimeout = time.Second
)

// Direction is traffic from one host to another. An empty host matches any host.
type Direction struct{ From, To string }

// Proxy forwards the connections between the processes of a site, targets and clients, and
// blocks, delays or breaks them on demand. Hosts are the IPs of the endpoints themselves.
type Proxy struct {
	mu sync.Mutex
	// blocks counts the blocks of each direction, since several can overlap.
	blocks    map[Direction]int
	delays    map[Direction]time.Duration
	unblocked chan struct{}
	conns     map[*proxiedConn]struct{}
	listeners []net.Listener
	wg        sync.WaitGroup
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	from, to       string
	client, server net.Conn
	// silent means that traffic in both directions is blocked and the connection stays open.
	silent bool
}

// NewProxy returns a proxy without faults.
func NewProxy() *Proxy {
	return &Proxy{
		blocks: make(map[Direction]int), delays: make(map[Direction]time.Duration), unblocked: make(chan struct{}), conns: make(map[*proxiedConn]struct{}),
	}
}

// Listen forwards the connections to a port of an endpoint until Close.
func (p *Proxy) Listen(to Endpoint, port int) error {
	ln, err := net.Listen("tcp4", to.ProxyAddr(port))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, ln)
	p.mu.Unlock()
	p.wg.Go(func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.forward(client, to.ProcessHost(), to.ProcessAddr(port)) })
		}
	})
	return nil
}

// Close closes all listeners and connections and waits for the goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	for _, ln := range p.listeners {
		ln.Close()
	}
	p.blocks = make(map[Direction]int)
	p.wakeWaiters()
	for c := range p.conns {
		c.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// forward dials the process behind the proxy and copies in both directions.
func (p *Proxy) forward(client net.Conn, to, addr string) {
	from, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		client.Close()
		return
	}
	c := &proxiedConn{from: from, to: to, client: client}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer p.removeConn(c)
	p.waitToForward(c, Direction{from, to})
	// The process sees the IP of the client.
	server, err := dialFrom(from)(context.Background(), addr)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	c.server = server
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(c, Direction{from, to}, client, server) })
	wg.Go(func() { p.pipe(c, Direction{to, from}, server, client) })
	wg.Wait()
}

// pipe copies one direction until either side ends.
func (p *Proxy) pipe(c *proxiedConn, dir Direction, from, to net.Conn) {
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		p.waitToForward(c, dir)
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, net.ErrClosed) || !halfClose(to, err) {
			p.closeConn(c)
		}
		return
	}
}

// halfClose closes the write side of to after err ended the direction. It returns false if
// err shows that the connection broke, or if closing fails.
func halfClose(to net.Conn, err error) bool {
	var ne net.Error
	if errors.As(err, &ne) {
		return false
	}
	t, ok := to.(*net.TCPConn)
	return ok && t.CloseWrite() == nil
}

// waitToForward waits until a direction is not blocked, and then for its delay.
func (p *Proxy) waitToForward(c *proxiedConn, dir Direction) {
	for {
		p.mu.Lock()
		blocked := c.silent
		var delay time.Duration
		for _, match := range [...]Direction{dir, {dir.From, ""}, {"", dir.To}} {
			blocked = blocked || p.blocks[match] > 0
			delay = max(delay, p.delays[match])
		}
		unblocked := p.unblocked
		p.mu.Unlock()
		if !blocked {
			time.Sleep(delay)
			return
		}
		<-unblocked
	}
}

// wakeWaiters makes blocked directions check again. The caller holds p.mu.
func (p *Proxy) wakeWaiters() {
	close(p.unblocked)
	p.unblocked = make(chan struct{})
}

// Block blocks all traffic in the directions until the returned function is called.
func (p *Proxy) Block(directions ...Direction) (restore func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, dir := range directions {
		p.blocks[dir]++
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, dir := range directions {
			p.blocks[dir]--
		}
		p.wakeWaiters()
	}
}

// Delay delays the traffic in a direction until the returned function is called.
func (p *Proxy) Delay(dir Direction, by time.Duration) (restore func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays[dir] = by
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.delays, dir)
	}
}

// Reset resets the open connections of a host.
func (p *Proxy) Reset(host string) { p.eachConn(host, (*proxiedConn).reset) }

// Silence permanently blocks all traffic of the open connections of a host.
func (p *Proxy) Silence(host string) { p.eachConn(host, func(c *proxiedConn) { c.silent = true }) }

func (p *Proxy) eachConn(host string, apply func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.from == host || c.to == host {
			apply(c)
		}
	}
}

// closeConn closes both sides of a connection and wakes its blocked directions.
func (p *Proxy) closeConn(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.close()
	p.wakeWaiters()
}

func (p *Proxy) removeConn(c *proxiedConn) {
	p.closeConn(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (c *proxiedConn) close() {
	c.silent = false
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

func (c *proxiedConn) reset() {
	reset(c.client)
	if c.server != nil {
		reset(c.server)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// This fails only on a closed connection.
		_ = t.SetLinger(0)
	}
	c.Close()
}

// dialFrom returns a dial function that uses an IP as the source address.
func dialFrom(host string) func(ctx context.Context, addr string) (net.Conn, error) {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}, Timeout: dialTimeout}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp4", addr) }
}
