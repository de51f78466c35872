package guard

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

// TestShutdownAnswersWhatHasCome guards against a server that closes a connection whose request it has begun to read, or that
// waits for connections on which none comes.
func TestShutdownAnswersWhatHasCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.0.0.1:80"
		var n memnet.Network
		p := &Port{Name: "callers", MaxConns: 10, Heads: &Heads{Limit: 1 << 20}, Log: &log.Logger{Level: log.PanicLevel}, Metrics: metrics.NewRegistry()}
		srv := &httpx.Graceful{SendsAhead: SendsAhead, Server: &http.Server{Handler: Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(3 * time.Second) }))}}
		ln, err := n.Listen(address)
		quicktest.Assert(t, err, quicktest.IsNil)
		served := make(chan error)
		go func() { served <- srv.Serve(p.Protect(srv.Server, ln)) }()
		dial := func() net.Conn {
			c, err := n.Dialer("10.0.9.9")(t.Context(), address)
			quicktest.Assert(t, err, quicktest.IsNil)
			return c
		}
		const head, rest = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
		begun, silent, used := dial(), dial(), dial()
		_, err = io.WriteString(used, head+rest)
		quicktest.Assert(t, err, quicktest.IsNil)
		answers := bufio.NewReader(used)
		_, err = http.ReadResponse(answers, nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		// A part of the next request has come, and none on the silent connection.
		_, err = io.WriteString(used, head)
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = io.WriteString(begun, head)
		quicktest.Assert(t, err, quicktest.IsNil)
		late := dial()
		synctest.Wait()
		began := time.Now()
		done := make(chan error)
		go func() { done <- srv.Shutdown(context.Background()) }()
		time.Sleep(freshTime / 3)
		_, err = io.WriteString(late, head)
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = silent.Read(make([]byte, 1))
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, time.Since(began) <= stallTime, quicktest.IsTrue)
		for c, r := range map[net.Conn]*bufio.Reader{begun: bufio.NewReader(begun), late: bufio.NewReader(late), used: answers} {
			_, err = io.WriteString(c, rest)
			quicktest.Assert(t, err, quicktest.IsNil)
			go func() {
				resp, err := http.ReadResponse(r, nil)
				if quicktest.Check(t, err, quicktest.IsNil) {
					quicktest.Check(t, resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
				}
			}()
		}
		quicktest.Check(t, <-done, quicktest.IsNil)
		quicktest.Check(t, <-served, quicktest.Equals, http.ErrServerClosed)
		for _, c := range []net.Conn{begun, silent, late, used} {
			c.Close()
		}
		time.Sleep(time.Second)
	})
}
