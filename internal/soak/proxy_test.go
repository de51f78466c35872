package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// startEcho starts an echo server behind the proxy. It returns the endpoints of a client
// and of the server.
func startEcho(t *testing.T, p *Proxy) (from, to Endpoint) {
	t.Helper()
	from, to = Endpoint{81, Outside, 0}, Endpoint{81, Plain, 0}
	ln, err := net.Listen("tcp4", to.ProcessAddr(targetPort))
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	quicktest.Assert(t, p.Listen(to, targetPort), quicktest.IsNil)
	t.Cleanup(p.Close)
	return from, to
}

func dialEcho(t *testing.T, from, to Endpoint) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := dialFrom(from.ProcessHost())(context.Background(), to.ProxyAddr(targetPort))
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func checkEcho(t *testing.T, c net.Conn, r *bufio.Reader) {
	t.Helper()
	io.WriteString(c, "line\n")
	got, err := r.ReadString('\n')
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, got, quicktest.Equals, "line\n")
}

// TestProxyFaults guards against faults that do not take effect or outlast their end. It
// blocks one direction twice and ends one of the blocks, silences and resets connections
// while new ones must work, and delays a direction.
func TestProxyFaults(t *testing.T) {
	p := NewProxy()
	from, to := startEcho(t, p)
	c, r := dialEcho(t, from, to)
	checkEcho(t, c, r)

	unblock := p.Block(Direction{to.ProcessHost(), from.ProcessHost()})
	unblockAll := p.Block(Direction{From: to.ProcessHost()})
	io.WriteString(c, "held\n")
	answered := make(chan string)
	go func() {
		line, _ := r.ReadString('\n')
		answered <- line
	}()
	unblock()
	select {
	case <-answered:
		t.Fatal("an answer passed through a blocked direction")
	default:
	}
	unblockAll()
	quicktest.Assert(t, <-answered, quicktest.Equals, "held\n")

	p.Silence(to.ProcessHost())
	io.WriteString(c, "lost\n")
	fresh, freshReader := dialEcho(t, from, to)
	checkEcho(t, fresh, freshReader)
	p.Reset(to.ProcessHost())
	_, err := freshReader.ReadString('\n')
	quicktest.Assert(t, err, quicktest.IsNotNil)

	restore := p.Delay(Direction{From: from.ProcessHost()}, time.Millisecond)
	defer restore()
	delayed, delayedReader := dialEcho(t, from, to)
	checkEcho(t, delayed, delayedReader)
}

// TestProxyWithoutProcess guards against connections that stay open although no process
// listens behind the proxy.
func TestProxyWithoutProcess(t *testing.T) {
	p := NewProxy()
	to := Endpoint{81, Plain, 1}
	quicktest.Assert(t, p.Listen(to, targetPort), quicktest.IsNil)
	defer p.Close()
	c, err := dialFrom(Endpoint{81, Outside, 1}.ProcessHost())(t.Context(), to.ProxyAddr(targetPort))
	if err != nil {
		return // The proxy reset the connection before the dial returned.
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	quicktest.Assert(t, err, quicktest.IsNotNil)
	quicktest.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), quicktest.IsFalse)
}
