package hub

import (
	"net"
	"sync"
	"time"
)

// The processor time of a control instance, for which a third of its time is used while 300 entries and
// 3,000 targets are at rest. Large sites use 34 to 57% of it.
const (
	costPerByte       = 20 * time.Nanosecond
	costPerWrite      = 60 * time.Microsecond
	costPerMessage    = 120 * time.Microsecond
	costPerHeartbeat  = 600 * time.Microsecond
	costPerConnection = 600 * time.Microsecond
)

// processor is the processor of a control instance: work waits until what came before it is done. The
// clock of synctest stands still while code runs, so that without it no instance is ever overloaded.
type processor struct {
	mu     sync.Mutex
	freeAt time.Time
}

// add adds work and returns the time until it is done.
func (p *processor) add(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(d)
	return p.freeAt.Sub(now)
}

// processorConn is a connection of an instance whose processor handles what it receives and sends. Only
// reads wait: senders hold locks, in which the clock of synctest can't go on.
type processorConn struct {
	net.Conn
	processor *processor
	perRead   time.Duration
}

func (c *processorConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		time.Sleep(c.processor.add(c.perRead + time.Duration(n)*costPerByte))
	}
	return n, err
}

func (c *processorConn) Write(b []byte) (int, error) {
	c.processor.add(costPerWrite + time.Duration(len(b))*costPerByte)
	return c.Conn.Write(b)
}

// processorListener is a listener of such an instance.
type processorListener struct {
	net.Listener
	processor *processor
	perRead   time.Duration
}

func (l *processorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	time.Sleep(l.processor.add(costPerConnection))
	return &processorConn{Conn: c, processor: l.processor, perRead: l.perRead}, nil
}
