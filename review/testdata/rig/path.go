package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// path is a way to an address that can be cut: a proxy. Of a connection that is opened while it is cut, the
// opening packet is lost and sent again after one second, then after two more, then after four more, as TCP
// does. The first of these that comes after the cut arrives, unless the caller has closed the connection by
// then. Open connections lose nothing, but what is sent during a cut arrives after it.
type path struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  bool
	heal chan struct{}
}

func newPath(listen, target string) (*path, error) {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &path{listener: ln, target: target}
	go p.serve()
	return p, nil
}

// setCut cuts the path, or ends the cut.
func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.cut {
		return
	}
	p.cut = cut
	if cut {
		p.heal = make(chan struct{})
	} else {
		close(p.heal)
	}
}

// state returns whether the path is cut and, if so, what is closed at the end of the cut.
func (p *path) state() (heal chan struct{}, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heal, p.cut
}

func (p *path) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			opened := time.Now()
			wait := time.Second
			for again := opened.Add(wait); ; again = again.Add(wait) {
				if _, cut := p.state(); !cut {
					break
				}
				time.Sleep(time.Until(again))
				wait *= 2
			}
			p.carry(c)
		}()
	}
}

// carry passes bytes on both ways. It does nothing if the caller has closed the connection already.
func (p *path) carry(c net.Conn) {
	defer c.Close()
	first := make([]byte, 32<<10)
	n, err := c.Read(first)
	if err != nil || isEnded(c) {
		return
	}
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer s.Close()
	if _, err := s.Write(first[:n]); err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(s, c) })
	wg.Go(func() { p.copy(c, s) })
	wg.Wait()
}

// isEnded reports whether the peer has closed the connection. What it has sent is taken to be read.
func isEnded(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.SetReadDeadline(time.Time{})
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// copy passes bytes on, and then the end of the connection.
func (p *path) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if heal, cut := p.state(); cut {
			<-heal
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
