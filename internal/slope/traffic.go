package main

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts the bytes and writes on the connections of one instance.
type traffic struct {
	// host is the IP address that the instance dials from; empty means any.
	host string
	// partition blocks connections between its two sides; nil blocks none.
	partition *partition

	bytes, writes atomic.Int64
}

// partition splits a network in two while it is active: writes from one side to the other
// are dropped silently, and dials hang until their context ends.
type partition struct {
	active atomic.Bool
	// isFar reports whether an IP address is on the far side.
	isFar func(host string) bool
}

// separates reports whether a and b are on different sides of an active partition.
func (p *partition) separates(a, b net.Addr) bool {
	return p != nil && p.active.Load() && p.isFar(hostOf(a.String())) != p.isFar(hostOf(b.String()))
}

// hostOf returns the host of addr, or "" if addr has no port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return host
}

// listen opens a listener that counts the traffic of its connections.
func (t *traffic) listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	return countingListener{ln, t}, err
}

// dial opens a connection whose traffic is counted.
func (t *traffic) dial(ctx context.Context, addr string) (net.Conn, error) {
	from := &net.TCPAddr{IP: net.ParseIP(t.host)}
	to, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	if t.partition.separates(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	d := net.Dialer{LocalAddr: from}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{c, t}, nil
}

// countingListener counts the traffic of every connection that it accepts.
type countingListener struct {
	net.Listener
	t *traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.t}, nil
}

// countingConn counts its traffic, and drops writes across an active partition.
type countingConn struct {
	net.Conn
	t *traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	if c.t.partition.separates(c.LocalAddr(), c.RemoteAddr()) {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.t.bytes.Add(int64(n))
	c.t.writes.Add(1)
	return n, err
}
