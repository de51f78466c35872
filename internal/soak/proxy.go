package main

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// chunk is what the proxy carries at a time, in bytes.
	chunk = 16 << 10
	// openTimeout bounds the wait for the process behind the proxy.
	openTimeout = time.Second
)

// Way is a direction between two hosts; "" stands for any host.
type Way struct{ From, To string }

// Proxy carries the connections between the processes of a site and all that meets
// them, and harms them on demand. Hosts are the IPs of the processes themselves.
type Proxy struct {
	mu sync.Mutex
	// cuts counts the cuts of each way: they overlap.
	cuts   map[Way]int
	delays map[Way]time.Duration
	healed chan struct{}
	conns  map[*carried]struct{}
	lns    []net.Listener
	wg     sync.WaitGroup
}

// carried is one connection on its way.
type carried struct {
	from, to string
	in, out  net.Conn
	// mute says that nothing passes any more, in either direction, without a sign.
	mute bool
}

// NewProxy returns a proxy that harms nothing.
func NewProxy() *Proxy {
	return &Proxy{
		cuts: make(map[Way]int), delays: make(map[Way]time.Duration), healed: make(chan struct{}), conns: make(map[*carried]struct{}),
	}
}

// Listen carries the connections to a port of a place until Close.
func (p *Proxy) Listen(to Place, port int) error {
	ln, err := net.Listen("tcp4", to.At(port))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.lns = append(p.lns, ln)
	p.mu.Unlock()
	p.wg.Go(func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.carry(in, to.Own(), to.OwnAt(port)) })
		}
	})
	return nil
}

// Close ends everything.
func (p *Proxy) Close() {
	p.mu.Lock()
	for _, ln := range p.lns {
		ln.Close()
	}
	p.cuts = make(map[Way]int)
	p.heal()
	for c := range p.conns {
		c.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// carry joins a connection to the process behind it.
func (p *Proxy) carry(in net.Conn, to, addr string) {
	from, _, err := net.SplitHostPort(in.RemoteAddr().String())
	if err != nil {
		in.Close()
		return
	}
	c := &carried{from: from, to: to, in: in}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer p.forget(c)
	p.await(c, Way{from, to})
	// The process behind sees who calls.
	out, err := dialFrom(from)(context.Background(), addr)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	c.out = out
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(c, Way{from, to}, in, out) })
	wg.Go(func() { p.pipe(c, Way{to, from}, out, in) })
	wg.Wait()
}

// pipe carries one direction until either side ends.
func (p *Proxy) pipe(c *carried, w Way, from, to net.Conn) {
	b := make([]byte, chunk)
	for {
		n, err := from.Read(b)
		p.await(c, w)
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, net.ErrClosed) || !halfClose(to, err) {
			p.end(c)
		}
		return
	}
}

// halfClose passes on the end of a direction; false means that the connection broke.
func halfClose(to net.Conn, err error) bool {
	var ne net.Error
	if errors.As(err, &ne) {
		return false
	}
	t, ok := to.(*net.TCPConn)
	return ok && t.CloseWrite() == nil
}

// await holds a direction up for as long as it is cut, and for its delay.
func (p *Proxy) await(c *carried, w Way) {
	for {
		p.mu.Lock()
		held := c.mute
		var delay time.Duration
		for _, x := range [...]Way{w, {w.From, ""}, {"", w.To}} {
			held = held || p.cuts[x] > 0
			delay = max(delay, p.delays[x])
		}
		healed := p.healed
		p.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		<-healed
	}
}

// heal wakes what is held up; p.mu is held.
func (p *Proxy) heal() {
	close(p.healed)
	p.healed = make(chan struct{})
}

// Cut holds up all that goes these ways until the returned function is called.
func (p *Proxy) Cut(ways ...Way) (heal func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range ways {
		p.cuts[w]++
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, w := range ways {
			p.cuts[w]--
		}
		p.heal()
	}
}

// Delay slows a way down until the returned function is called.
func (p *Proxy) Delay(w Way, by time.Duration) (heal func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays[w] = by
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.delays, w)
	}
}

// Reset breaks the open connections that a host has.
func (p *Proxy) Reset(host string) { p.each(host, (*carried).reset) }

// Mute lets the open connections of a host fall silent for good.
func (p *Proxy) Mute(host string) { p.each(host, func(c *carried) { c.mute = true }) }

func (p *Proxy) each(host string, harm func(*carried)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.from == host || c.to == host {
			harm(c)
		}
	}
}

// end closes both sides of a connection; what holds it up lets go of it.
func (p *Proxy) end(c *carried) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.close()
	p.heal()
}

func (p *Proxy) forget(c *carried) {
	p.end(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (c *carried) close() {
	c.mute = false
	c.in.Close()
	if c.out != nil {
		c.out.Close()
	}
}

func (c *carried) reset() {
	reset(c.in)
	if c.out != nil {
		reset(c.out)
	}
}

// reset closes a connection so that the other side sees it broken.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// It fails only on a connection that is closed.
		_ = t.SetLinger(0)
	}
	c.Close()
}

// dialFrom returns a dialler that calls from an IP.
func dialFrom(host string) func(ctx context.Context, addr string) (net.Conn, error) {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}, Timeout: openTimeout}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp4", addr) }
}
