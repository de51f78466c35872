package guard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

// manyFields returns fields of a head, about 4 kB.
func manyFields() string {
	var b strings.Builder
	for i := range 600 {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

// TestFieldsAreCountedWhereverTheyCome guards against fields of requests that take memory and are not counted, because they
// come behind a body or in the same piece as the request before; and against lines of bodies that are counted as fields.
func TestFieldsAreCountedWhereverTheyCome(t *testing.T) {
	const head = "POST /hold HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct {
		first, second string
		counted       bool
	}{
		"head":            {"", head + manyFields() + "Content-Length: 0\r\n\r\n", true},
		"trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n", "0\r\n" + manyFields() + "\r\n", true},
		"behind another":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n", "x" + head + manyFields() + "Content-Length: 0\r\n\r\n", true},
		"lines of a body": {"", head + "Content-Length: 4000\r\n\r\n" + strings.Repeat("1,2,3,4\n", 500), false},
	} {
		t.Run(name, func(t *testing.T) {
			heads := &Heads{Limit: 11 << 20}
			held, release := make(chan struct{}), make(chan struct{})
			p := &Port{Name: "callers", MaxConns: 10, Heads: heads, Log: &log.Logger{Level: log.PanicLevel}, Metrics: metrics.NewRegistry()}
			srv := &http.Server{Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The test closes the connection if this fails.
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/hold" {
					held <- struct{}{}
					<-release
				}
			}))}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			go srv.Serve(p.Protect(srv, ln))
			defer srv.Close()
			conn, err := net.Dial("tcp", ln.Addr().String())
			quicktest.Assert(t, err, quicktest.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, c.first)
			quicktest.Assert(t, err, quicktest.IsNil)
			if c.first != "" {
				// The head is read apart from what follows.
				for p.waiting() {
					time.Sleep(time.Millisecond)
				}
			}
			_, err = io.WriteString(conn, c.second)
			quicktest.Assert(t, err, quicktest.IsNil)
			<-held
			quicktest.Check(t, heads.used.Load() > 100_000, quicktest.Equals, c.counted, quicktest.Commentf("%d bytes counted", heads.used.Load()))
			close(release)
			conn.Close()
		})
	}
}

// waiting reports whether no connection has a complete head.
func (p *Port) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if phase(c.phase.Load()) != waiting {
			return false
		}
	}
	return true
}

// failingListener fails to accept for a while.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.Wrap(syscall.ENOBUFS, "accept")
	}
	return l.Listener.Accept()
}

// TestLackOfDescriptorsEndsNoServer guards against a port that ends with its process because the system lacked descriptors
// or memory for a connection.
func TestLackOfDescriptorsEndsNoServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	failing := &failingListener{Listener: ln}
	failing.failures.Store(3)
	p := &Port{Name: "callers", MaxConns: 10, Heads: &Heads{}, Log: &log.Logger{Level: log.PanicLevel}, Metrics: metrics.NewRegistry()}
	srv := &http.Server{Handler: Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}
	go srv.Serve(p.Protect(srv, failing))
	defer srv.Close()
	resp, err := http.Get("http://" + ln.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	resp.Body.Close()
	quicktest.Check(t, resp.StatusCode, quicktest.Equals, http.StatusOK)
}
