package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// keptConn is a caller's connection that carries several requests.
type keptConn struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (s *testbed) dialKept() *keptConn {
	c, err := s.net.Dialer("10.0.9.9")(s.t.Context(), gateAddress)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	s.t.Cleanup(func() { c.Close() })
	return &keptConn{t: s.t, Conn: c, r: bufio.NewReader(c)}
}

// head returns the head of a request, with further headers and the empty line at its end.
func head(path, key string, headers ...string) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: %s\r\nLeft: 2500\r\n%s\r\n", path, key, strings.Join(headers, ""))
}

func (c *keptConn) send(text string) {
	_, err := io.WriteString(c, text)
	quicktest.Assert(c.t, err, quicktest.IsNil)
}

// receive returns the status and the body of the next response, which must be whole.
func (c *keptConn) receive() (status int, body string) {
	resp, err := http.ReadResponse(c.r, nil)
	quicktest.Assert(c.t, err, quicktest.IsNil)
	if resp.StatusCode == http.StatusContinue {
		return resp.StatusCode, ""
	}
	b, err := io.ReadAll(resp.Body)
	quicktest.Assert(c.t, err, quicktest.IsNil)
	return resp.StatusCode, string(b)
}

// TestKeptConnectionAnswersEach: a whole request on a kept connection must get an answer or a refusal, whatever
// time limits, tables and requests came before it.
func TestKeptConnectionAnswersEach(t *testing.T) {
	const noBody = "Content-Length: 0\r\n"
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader)}, []script{streamEvents(4, 0)})
		c := s.dialKept()
		ask := func(text string, status int) {
			t.Helper()
			c.send(text)
			got, _ := c.receive()
			quicktest.Assert(t, got, quicktest.Equals, status)
		}
		ask(head(resumableStreamPath, "key", noBody), 200)
		// The time limit of the request and writeGrace are over.
		time.Sleep(5 * time.Second)
		ask(head("/unknown/", "key", noBody), 404)
		ask(head(idempotentPath, "unknown", noBody), 401)
		time.Sleep(5 * time.Second)
		ask(head(idempotentPath, "key", "Content-Length: 4\r\n")+"body", 200)
		// The body comes in pieces, after a while.
		c.send(head(idempotentPath, "key", "Transfer-Encoding: chunked\r\n"))
		time.Sleep(2 * time.Second)
		ask("4\r\nbody\r\n0\r\n\r\n", 200)
		time.Sleep(5 * time.Second)
		ask(head(idempotentPath, "key", noBody), 200)
		ask(head(idempotentPath, "key", "Expect: 100-continue\r\nContent-Length: 4\r\n"), 100)
		ask("body", 200)
		// A refusal before the body is read: the connection ends, after the response.
		c = s.dialKept()
		ask(head("/unknown/", "key", "Expect: 100-continue\r\nContent-Length: 4\r\n"), 404)
		c = s.dialKept()
		c.send(strings.Repeat(head(idempotentPath, "key", noBody), 2))
		for range 2 {
			status, _ := c.receive()
			quicktest.Assert(t, status, quicktest.Equals, 200)
		}
		// The tables lose the route, and the targets are gone.
		s.tables.Version, s.tables.Routes = 2, s.tables.Routes[1:]
		s.publish(2)
		ask(head(idempotentPath, "key", noBody), 404)
	})
}

// TestTablesEndNoRequest: a request in progress must be answered although its target is silent for a while and
// new tables lack its route, its pool and all targets.
func TestTablesEndNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = 1900 * time.Millisecond
		slow := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			time.Sleep(1200 * time.Millisecond)
			return respond(200, "done", sealHeader)(f, c, q)
		}
		s := newTestbed(t, []script{slow, slow}, []script{silentAfter(2, silence), silentAfter(2, silence)})
		lookup, answer := s.dialKept(), s.dialKept()
		lookup.send(head(idempotentPath, "key", "Content-Length: 4\r\n") + "body")
		answer.send(head(resumableStreamPath, "key", "Content-Length: 4\r\n") + "body")
		time.Sleep(100 * time.Millisecond)
		s.tables.Version, s.tables.Routes, s.tables.Pools = 2, s.tables.Routes[2:3], s.tables.Pools[:1]
		s.tables.Routes[0].Split[0].Pool, s.tables.Bounds.Body = "plain", 1
		for _, f := range s.targets {
			f.State = site.Gone
		}
		s.publish(2)
		status, body := lookup.receive()
		quicktest.Check(t, status, quicktest.Equals, 200)
		quicktest.Check(t, body, quicktest.Equals, "done")
		status, body = answer.receive()
		quicktest.Check(t, status, quicktest.Equals, 200)
		quicktest.Check(t, body, quicktest.Equals, eventText(1, 4))
		synctest.Wait()
		quicktest.Check(t, s.logs.String(), quicktest.Contains, "trial of another target ended")
	})
}
