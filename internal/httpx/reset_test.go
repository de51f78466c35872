package httpx

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// startEarlyServer starts a server that reads a part of each request, and then writes answer and calls end.
func startEarlyServer(t *testing.T, answer string, end func(c *memnet.Conn)) DialFunc {
	t.Helper()
	var n memnet.Network
	ln, err := n.Listen(serverAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.CopyN(io.Discard, c, 200)
				io.WriteString(c, answer)
				end(c.(*memnet.Conn))
			}()
		}
	}()
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dialer(clientAddr)(ctx, addr) }
}

// upload sends a request that fills the buffers of its connection, and reads the response. A call without a response
// must have the verdict MayHaveRun.
func upload(t *testing.T, s *Services) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+serverAddr+"/orders", bytes.NewReader(make([]byte, 1<<20)))
	quicktest.Assert(t, err, quicktest.IsNil)
	resp, err := s.Call(t.Context(), serverAddr, r, time.Time{})
	if err != nil {
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.MayHaveRun)
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestEndDuringUpload guards against a part of a response that is taken for the whole one because the service reset the
// connection while the request was written, and against a whole one that is taken for a part.
func TestEndDuringUpload(t *testing.T) {
	const noLength, length = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
	reset := func(c *memnet.Conn) {
		time.Sleep(time.Millisecond)
		c.SetLinger(0)
	}
	drain := func(c *memnet.Conn) {
		c.CloseWrite()
		io.Copy(io.Discard, c)
	}
	halfClose := func(c *memnet.Conn) {
		c.CloseWrite()
		time.Sleep(time.Second)
	}
	for name, c := range map[string]struct {
		head    string
		end     func(c *memnet.Conn)
		isWhole bool
	}{
		"reset":                     {noLength, reset, false},
		"no length, drain":          {noLength, drain, true},
		"no length, upload blocked": {noLength, halfClose, true},
		"length, drain":             {length, drain, true},
		"length, upload blocked":    {length, halfClose, true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				synctest.Test(t, func(t *testing.T) {
					got, err := upload(t, &Services{Fresh: Fresh(startEarlyServer(t, c.head+"answer", c.end))})
					quicktest.Assert(t, err == nil, quicktest.Equals, c.isWhole, quicktest.Commentf("%q, %v", got, err))
					if c.isWhole {
						quicktest.Check(t, got, quicktest.Equals, "answer")
					}
					time.Sleep(2 * time.Second)
				})
			}
		})
	}
}
