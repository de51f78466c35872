package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	addr   = "10.0.0.2:80"
	idName = "Id"
)

// target serves each connection with a script.
type target struct {
	script func(c net.Conn, r *bufio.Reader)
	// dials counts the connections.
	dials int
}

func (g *target) run(t *testing.T, n *memnet.Network) {
	t.Helper()
	ln, err := n.Listen(addr)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.dials++
			go func() {
				defer c.Close()
				g.script(c, bufio.NewReader(c))
			}()
		}
	}()
}

// read takes one request in with its body.
func read(r *bufio.Reader) (*http.Request, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err == nil
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	h := http.Header{}
	h.Set(idName, id)
	return &Request{
		Method: http.MethodPost, URI: "/x?y", Host: "h", Header: h, Body: []byte("question"),
		Mine: func(h http.Header) bool { return h.Get(idName) == id },
	}
}

// ask sends a request and reads the whole answer.
func ask(ctx context.Context, c *Client, r *Request) (string, error) {
	resp, err := c.Do(ctx, addr, r)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	resp.Close(err == nil)
	return string(b), err
}

// each runs a test on a paused clock with a target of that script.
func each(t *testing.T, script func(c net.Conn, r *bufio.Reader), run func(t *testing.T, c *Client, g *target)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		g := &target{script: script}
		g.run(t, &n)
		run(t, &Client{Dial: n.Dialer("10.0.0.1")}, g)
	})
}

func TestKeepsConnections(t *testing.T) {
	each(t, func(c net.Conn, r *bufio.Reader) {
		for q, ok := read(r); ok; q, ok = read(r) {
			io.WriteString(c, reply(q.Header.Get(idName), "answer "+q.Header.Get(idName)))
		}
	}, func(t *testing.T, c *Client, g *target) {
		for _, id := range []string{"1", "2", "3"} {
			got, err := ask(t.Context(), c, request(id))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, got, quicktest.Equals, "answer "+id)
		}
		quicktest.Assert(t, g.dials, quicktest.Equals, 1)
		fresh := request("4")
		fresh.Fresh = true
		_, err := ask(t.Context(), c, fresh)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, g.dials, quicktest.Equals, 2)
		time.Sleep(defaultKeep + time.Second)
		c.Sweep()
		_, err = ask(t.Context(), c, request("5"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, g.dials, quicktest.Equals, 3)
		c.Forget(addr)
	})
}

// TestLateSecondAnswer doubles each answer: the second lies where the next one
// is expected.
func TestLateSecondAnswer(t *testing.T) {
	each(t, func(c net.Conn, r *bufio.Reader) {
		last := ""
		for q, ok := read(r); ok; q, ok = read(r) {
			id := q.Header.Get(idName)
			if last != "" {
				io.WriteString(c, reply(last, "again"))
			}
			io.WriteString(c, reply(id, "answer "+id))
			last = id
		}
	}, func(t *testing.T, c *Client, _ *target) {
		for _, id := range []string{"1", "2", "3"} {
			got, err := ask(t.Context(), c, request(id))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, got, quicktest.Equals, "answer "+id)
		}
		c.Forget(addr)
	})
}

func TestTruncatedAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			each(t, func(c net.Conn, r *bufio.Reader) {
				read(r)
				io.WriteString(c, head)
			}, func(t *testing.T, c *Client, _ *target) {
				_, err := ask(t.Context(), c, request("1"))
				quicktest.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
			})
		})
	}
}

// TestAnswerWithoutLength ends with its connection, which is not used again.
func TestAnswerWithoutLength(t *testing.T) {
	each(t, func(c net.Conn, r *bufio.Reader) {
		read(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
	}, func(t *testing.T, c *Client, g *target) {
		for range 2 {
			got, err := ask(t.Context(), c, request("1"))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, got, quicktest.Equals, "whole")
		}
		quicktest.Assert(t, g.dials, quicktest.Equals, 2)
	})
}

func TestFailures(t *testing.T) {
	is := func(want engine.Failure) func(error) bool {
		return func(err error) bool { return fmt.Sprintf("%T", engine.FailureOf(err)) == fmt.Sprintf("%T", want) }
	}
	for name, c := range map[string]struct {
		script func(c net.Conn, r *bufio.Reader)
		want   func(error) bool
	}{
		"closed without an answer": {func(_ net.Conn, r *bufio.Reader) { read(r) }, is(&engine.Broken{})},
		"bytes that are no answer": {func(c net.Conn, r *bufio.Reader) {
			read(r)
			io.WriteString(c, "no answer at all\r\n\r\n")
		}, is(&engine.Garbled{})},
		"another request's answer only": {func(c net.Conn, r *bufio.Reader) {
			read(r)
			io.WriteString(c, strings.Repeat(reply("other", "x"), maxStrays))
		}, is(&engine.Garbled{})},
	} {
		t.Run(name, func(t *testing.T) {
			each(t, c.script, func(t *testing.T, cl *Client, _ *target) {
				_, err := ask(t.Context(), cl, request("1"))
				quicktest.Assert(t, c.want(err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		_, err := ask(t.Context(), &Client{Dial: n.Dialer("10.0.0.1")}, request("1"))
		quicktest.Assert(t, is(&engine.Unreachable{})(err), quicktest.IsTrue)
	})
}

// TestPatience has a target that says nothing, and one that says the head in time
// and the rest much later.
func TestPatience(t *testing.T) {
	each(t, func(_ net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = r.ReadByte()
	}, func(t *testing.T, c *Client, _ *target) {
		r := request("1")
		r.Patience = 300 * time.Millisecond
		began := time.Now()
		_, err := ask(t.Context(), c, r)
		var silent *engine.Silent
		quicktest.Assert(t, errors.As(err, &silent), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Assert(t, time.Since(began), quicktest.Equals, r.Patience)
	})
	each(t, func(c net.Conn, r *bufio.Reader) {
		read(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n")
		time.Sleep(time.Second)
		io.WriteString(c, "late")
	}, func(t *testing.T, c *Client, _ *target) {
		r := request("1")
		r.Patience = 300 * time.Millisecond
		got, err := ask(t.Context(), c, r)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.Equals, "late")
		c.Close()
	})
}

// TestCancelClosesTheConnection wants the target to see at once that its answer
// is not waited for.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan time.Time, 1)
	each(t, func(_ net.Conn, r *bufio.Reader) {
		read(r)
		_, err := r.ReadByte()
		if err != nil {
			gone <- time.Now()
		}
	}, func(t *testing.T, c *Client, _ *target) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		_, err := ask(ctx, c, request("1"))
		quicktest.Assert(t, err, quicktest.IsNotNil)
		quicktest.Assert(t, (<-gone).Sub(began), quicktest.Equals, 3*time.Second)
	})
}

// TestAnswerBeforeTheBody comes while a long body is still being sent: what is
// left of it must not be taken for another request.
func TestAnswerBeforeTheBody(t *testing.T) {
	each(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, reply(q.Header.Get(idName), "early"))
		time.Sleep(time.Second)
		io.Copy(io.Discard, q.Body)
		if q, ok := read(r); ok {
			io.WriteString(c, reply(q.Header.Get(idName), "next"))
		}
	}, func(t *testing.T, c *Client, g *target) {
		r := request("1")
		r.Body = make([]byte, 8<<20)
		got, err := ask(t.Context(), c, r)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.Equals, "early")
		got, err = ask(t.Context(), c, request("2"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.Equals, "early")
		quicktest.Assert(t, g.dials, quicktest.Equals, 2)
		time.Sleep(2 * time.Second)
		c.Forget(addr)
	})
}

func TestKeepFor(t *testing.T) {
	h := http.Header{}
	quicktest.Assert(t, keepFor(h), quicktest.Equals, defaultKeep)
	h.Set("Keep-Alive", "max=5, timeout=7")
	quicktest.Assert(t, keepFor(h), quicktest.Equals, 7*time.Second-keepMargin)
}
