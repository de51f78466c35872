package httpx

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

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// refusal returns a refusal that names a request, unless the ID is "".
func refusal(id string) string {
	head := "HTTP/1.1 503 X\r\n" + verd.Header + ": " + verd.NotRun.String() + "\r\nContent-Length: 4\r\n"
	if id != "" {
		head += HeaderID + ": " + id + "\r\n"
	}
	return head + "\r\nfull"
}

// startRawServer starts a server that calls serve for each request, with its number on the connection.
func startRawServer(t *testing.T, n *memnet.Network, serve func(c net.Conn, number int)) DialFunc {
	t.Helper()
	ln, err := n.Listen(serverAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, serve)
		}
	}()
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dialer(clientAddr)(ctx, addr) }
}

func serveRaw(c net.Conn, serve func(c net.Conn, number int)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for number := 1; ; number++ {
		q, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, q.Body)
		}
		if err != nil {
			return
		}
		serve(c, number)
	}
}

func generate(t *testing.T, e *Engine, id string) error {
	t.Helper()
	st, err := e.Generate(t.Context(), serverAddr, engine.Generate{ID: id, Body: strings.NewReader("{}"), Size: 2})
	if err == nil {
		st.Close()
	}
	return err
}

// TestRepeatedRefusal has an engine write a refusal once more when it runs the next request on the
// connection. That must not be taken for a refusal of this one, as another engine would run it too.
func TestRepeatedRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		// refusals are the IDs in the responses to the requests r0 and r1; "" if they name none.
		refusals []string
		want     []verd.Verdict
	}{
		"own refusals":              {[]string{"r0", "r1"}, []verd.Verdict{verd.NotRun, verd.NotRun}},
		"copy":                      {[]string{"r0", "r0"}, []verd.Verdict{verd.NotRun, verd.MayHaveRun}},
		"copy without an ID":        {[]string{"", ""}, []verd.Verdict{verd.NotRun, verd.MayHaveRun}},
		"foreign on new connection": {[]string{"r9"}, []verd.Verdict{verd.MayHaveRun}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial := startRawServer(t, &memnet.Network{}, func(conn net.Conn, number int) {
					io.WriteString(conn, refusal(c.refusals[number-1]))
				})
				pooled := PooledTransport(dial)
				defer pooled.CloseIdleConnections()
				e := &Engine{Pooled: pooled, Fresh: Fresh(dial)}
				for i, want := range c.want {
					err := generate(t, e, fmt.Sprintf("r%d", i))
					quicktest.Assert(t, verd.From(err).Verdict, quicktest.Equals, want)
					// The entry resumes the stream after Garbled, and leaves the engine after Refused.
					_, isGarbled := engine.FailureOf(err).(*engine.Garbled)
					quicktest.Assert(t, isGarbled, quicktest.Equals, want == verd.MayHaveRun, quicktest.Commentf("%T", engine.FailureOf(err)))
					synctest.Wait()
				}
			})
		})
	}
}

// TestRepeatedRefusalOfService has a service write a refusal once more on its connection when the next
// call comes. That call must get its own answer.
func TestRepeatedRefusalOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refused net.Conn
		dial := startRawServer(t, &memnet.Network{}, func(c net.Conn, _ int) {
			if refused == nil {
				refused = c
				io.WriteString(c, refusal(""))
				return
			}
			// The client has closed that connection.
			_, _ = io.WriteString(refused, refusal(""))
			fmt.Fprint(c, "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone")
		})
		s := Services{Fresh: Fresh(dial)}
		_, err := s.Call(t.Context(), serverAddr, idempotentPost(t), time.Time{})
		quicktest.Assert(t, verd.From(err).Verdict, quicktest.Equals, verd.NotRun)
		resp, err := s.Call(t.Context(), serverAddr, idempotentPost(t), time.Time{})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, resp.StatusCode, quicktest.Equals, http.StatusOK)
		resp.Body.Close()
	})
}

// TestHeadCutAnywhere guards against a response that is taken for a whole one, or a request that is sent again or
// called not run, after a target stopped in the head of its response and closed the connection.
func TestHeadCutAnywhere(t *testing.T) {
	for _, end := range []string{"Content-Length: 1234\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		head := "HTTP/1.1 200 OK\r\n" + HeaderID + ": r1\r\n" + end + "\r\n"
		for cut := range len(head) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				dial := startRawServer(t, &memnet.Network{}, func(c net.Conn, _ int) {
					requests++
					io.WriteString(c, head[:cut])
					time.Sleep(time.Duration(cut%2) * time.Second)
					c.Close()
				})
				pooled := PooledTransport(dial)
				defer pooled.CloseIdleConnections()
				e, s := &Engine{Pooled: pooled, Fresh: Fresh(dial)}, Services{Fresh: Fresh(dial)}
				_, err := s.Call(t.Context(), serverAddr, idempotentPost(t), time.Time{})
				for _, err := range []error{err, generate(t, e, "r1")} {
					quicktest.Assert(t, err, quicktest.IsNotNil, quicktest.Commentf("%q", head[:cut]))
					quicktest.Assert(t, verd.From(err).Verdict, quicktest.Equals, verd.MayHaveRun, quicktest.Commentf("%q: %v", head[:cut], err))
				}
				quicktest.Assert(t, requests, quicktest.Equals, 2)
			})
		}
	}
}
