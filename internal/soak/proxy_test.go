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

// echo answers each line, behind the proxy.
func echo(t *testing.T, p *Proxy) (from, to Place) {
	t.Helper()
	from, to = Place{81, Outside, 0}, Place{81, Plain, 0}
	ln, err := net.Listen("tcp4", to.OwnAt(targetPort))
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

func open(t *testing.T, from, to Place) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := dialFrom(from.Own())(context.Background(), to.At(targetPort))
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func exchangeLine(t *testing.T, c net.Conn, r *bufio.Reader) {
	t.Helper()
	io.WriteString(c, "line\n")
	got, err := r.ReadString('\n')
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, got, quicktest.Equals, "line\n")
}

// TestProxyHarms carries lines, holds them up in one direction, breaks connections and
// lets them fall silent while new ones work.
func TestProxyHarms(t *testing.T) {
	p := NewProxy()
	from, to := echo(t, p)
	c, r := open(t, from, to)
	exchangeLine(t, c, r)

	heal := p.Cut(Way{to.Own(), from.Own()})
	other := p.Cut(Way{From: to.Own()})
	io.WriteString(c, "held\n")
	answered := make(chan string)
	go func() {
		line, _ := r.ReadString('\n')
		answered <- line
	}()
	heal()
	select {
	case <-answered:
		t.Fatal("an answer came through a cut")
	default:
	}
	other()
	quicktest.Assert(t, <-answered, quicktest.Equals, "held\n")

	p.Mute(to.Own())
	io.WriteString(c, "lost\n")
	fresh, fr := open(t, from, to)
	exchangeLine(t, fresh, fr)
	p.Reset(to.Own())
	_, err := fr.ReadString('\n')
	quicktest.Assert(t, err, quicktest.IsNotNil)

	slow := p.Delay(Way{From: from.Own()}, time.Millisecond)
	defer slow()
	again, ar := open(t, from, to)
	exchangeLine(t, again, ar)
}

// TestProxyWithoutProcess breaks connections to a process that does not run.
func TestProxyWithoutProcess(t *testing.T) {
	p := NewProxy()
	to := Place{81, Plain, 1}
	quicktest.Assert(t, p.Listen(to, targetPort), quicktest.IsNil)
	defer p.Close()
	c, err := dialFrom(Place{81, Outside, 1}.Own())(t.Context(), to.At(targetPort))
	if err != nil {
		return // It was reset before the dial had returned.
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	quicktest.Assert(t, err, quicktest.IsNotNil)
	quicktest.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), quicktest.IsFalse)
}
