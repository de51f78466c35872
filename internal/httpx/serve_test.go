package httpx

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

// countedListener counts the bytes that its connections read.
type countedListener struct {
	net.Listener
	read *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.read}, nil
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// TestServeAnswersWhatItReads guards against requests that a server reads while it closes, on connections that are new or
// bring the rest of a head, and whose connections it then closes without a response: callers take them for requests that
// may have run.
func TestServeAnswersWhatItReads(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, early := range map[string]int{"new connection": 0, "part of a head": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network memnet.Network
				var read atomic.Int64
				ln, err := network.Listen("10.0.0.1:80")
				quicktest.Assert(t, err, quicktest.IsNil)
				ctx, stop := context.WithCancel(t.Context())
				g, _ := errgroup.WithContext(t.Context())
				srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })}
				var refused atomic.Int64
				Serve(ctx, g, &Graceful{Server: srv, OnRefuse: func(*http.Request) { refused.Add(1) }}, countedListener{ln, &read}, func() time.Duration { return 300 * time.Millisecond })
				conn, err := network.Dialer("10.0.0.2")(ctx, "10.0.0.1:80")
				quicktest.Assert(t, err, quicktest.IsNil)
				_, err = io.WriteString(conn, request[:early])
				quicktest.Assert(t, err, quicktest.IsNil)
				time.Sleep(time.Second)
				stop()
				time.Sleep(10 * time.Millisecond)
				if _, err = io.WriteString(conn, request[early:]); err == nil {
					_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				}
				unread := read.Load() < int64(len(request))
				quicktest.Check(t, unread || err == nil, quicktest.IsTrue, quicktest.Commentf("%d of %d bytes read, then %v", read.Load(), len(request), fmt.Sprint(err)))
				quicktest.Check(t, refused.Load() == 1, quicktest.Equals, err == nil)
				quicktest.Check(t, g.Wait(), quicktest.IsNil)
			})
		})
	}
}
