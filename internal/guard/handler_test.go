package guard

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

// testServer is a server in the bubble of a test.
type testServer struct {
	t       *testing.T
	network memnet.Network
	count   int
	// release ends requests for /wait and /body.
	release chan struct{}
}

const serverAddress = "10.0.0.1:80"

// newTestServer starts a server that answers /wait and /body when told to, and reads the bodies of /body only.
func newTestServer(t *testing.T, protect func(*http.Server, net.Listener) net.Listener) *testServer {
	s := &testServer{t: t, release: make(chan struct{})}
	ln, err := s.network.Listen(serverAddress)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Hour, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			<-s.release
		case "/body":
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			<-s.release
		}
		fmt.Fprint(w, "answer")
	}))}
	if protect != nil {
		ln = protect(srv, ln)
	}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return s
}

// client is a connection to the server.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *testServer) dial() *client {
	s.count++
	c, err := s.network.Dialer(fmt.Sprintf("10.1.0.%d:1", s.count))(context.Background(), serverAddress)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	s.t.Cleanup(func() { c.Close() })
	synctest.Wait()
	return &client{c, s.t, bufio.NewReader(c)}
}

// send sends text and lets the server act.
func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	quicktest.Assert(c.t, err, quicktest.IsNil)
	synctest.Wait()
}

// status returns the status of the next response.
func (c *client) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	quicktest.Assert(c.t, err, quicktest.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	quicktest.Assert(c.t, err, quicktest.IsNil)
	return resp.StatusCode
}

// isClosed reports whether the server has closed the connection without an answer.
func (c *client) isClosed() bool {
	// This fails only on a closed connection.
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	netErr, ok := err.(net.Error)
	return err != nil && (!ok || !netErr.Timeout())
}

const get = "GET %s HTTP/1.1\r\nHost: h\r\n\r\n"

// TestUnreadBodyEnds: a body that the handler leaves unread and that stops short ends its connection, after the
// answer.
func TestUnreadBodyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, nil)
		c := s.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
		time.Sleep(bodyTimeout + time.Second)
		quicktest.Check(t, c.status(), quicktest.Equals, http.StatusOK)
		quicktest.Check(t, c.isClosed(), quicktest.IsTrue)
	})
}

// TestBodyTimeoutSparesRequest: the deadline of a body doesn't end the request that it belongs to.
func TestBodyTimeoutSparesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, nil)
		c := s.dial()
		c.send("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		time.Sleep(2 * bodyTimeout)
		close(s.release)
		synctest.Wait()
		quicktest.Check(t, c.status(), quicktest.Equals, http.StatusOK)
		c.send(fmt.Sprintf(get, "/"))
		quicktest.Check(t, c.status(), quicktest.Equals, http.StatusOK)
	})
}
