package guard

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

// newTestPort starts a server with a port.
func newTestPort(t *testing.T, p *Port) *testServer {
	p.Log, p.Metrics = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewRegistry()
	if p.Heads == nil {
		p.Heads = &Heads{}
	}
	return newTestServer(t, p.Protect)
}

// TestIdlestConnectionMakesRoom: clients that connect and send nothing, or half of something, don't keep out
// others, and a request in progress isn't cut off for them.
func TestIdlestConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPort(t, &Port{Name: "callers", MaxConns: 4})
		inProgress, half, body := s.dial(), s.dial(), s.dial()
		inProgress.send(fmt.Sprintf(get, "/wait"))
		half.send("GET / HT")
		time.Sleep(freshTime)
		body.send("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
		time.Sleep(time.Millisecond)
		silent := s.dial()
		time.Sleep(freshTime)
		for i, idlest := range []*client{half, body, silent} {
			c := s.dial()
			c.send(fmt.Sprintf(get, "/"))
			quicktest.Check(t, c.status(), quicktest.Equals, http.StatusOK)
			quicktest.Check(t, idlest.isClosed(), quicktest.IsTrue, quicktest.Commentf("connection %d", i))
		}
		close(s.release)
		quicktest.Check(t, inProgress.status(), quicktest.Equals, http.StatusOK)
	})
}

// TestRequestsInProgressAreNotCutOff: where all connections have requests in progress, another one is refused as
// not run.
func TestRequestsInProgressAreNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Port{Name: "callers", MaxConns: 2}
		s := newTestPort(t, p)
		a, b := s.dial(), s.dial()
		a.send(fmt.Sprintf(get, "/wait"))
		b.send("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		time.Sleep(responseTimeout / 2)
		c := s.dial()
		quicktest.Check(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)), quicktest.IsNil)
		_, err := c.r.Peek(1)
		quicktest.Check(t, errors.Is(err, os.ErrDeadlineExceeded), quicktest.IsTrue, quicktest.Commentf("an answer without a request"))
		quicktest.Check(t, c.SetReadDeadline(time.Time{}), quicktest.IsNil)
		c.send(fmt.Sprintf(get, "/"))
		resp, err := http.ReadResponse(c.r, nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
		quicktest.Check(t, resp.Header.Get("Retry-After"), quicktest.Equals, "1")
		close(s.release)
		quicktest.Check(t, a.status(), quicktest.Equals, http.StatusOK)
		quicktest.Check(t, b.status(), quicktest.Equals, http.StatusOK)
		time.Sleep(freshTime)
		d := s.dial()
		d.send(fmt.Sprintf(get, "/"))
		quicktest.Check(t, d.status(), quicktest.Equals, http.StatusOK)
	})
}

// TestConnectionsTurnOver: where no connection can make room, each one ends with its next response, so that clients that
// send without a pause don't keep out others. It stays open otherwise.
func TestConnectionsTurnOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPort(t, &Port{Name: "callers", MaxConns: 1})
		a := s.dial()
		a.send(fmt.Sprintf(get, "/"))
		quicktest.Check(t, a.status(), quicktest.Equals, http.StatusOK)
		a.send(fmt.Sprintf(get, "/wait"))
		refused := s.dial()
		refused.send(fmt.Sprintf(get, "/"))
		quicktest.Check(t, refused.status(), quicktest.Equals, http.StatusServiceUnavailable)
		a.send(fmt.Sprintf(get, "/"))
		close(s.release)
		synctest.Wait()
		quicktest.Check(t, a.status(), quicktest.Equals, http.StatusOK)
		quicktest.Check(t, a.status(), quicktest.Equals, http.StatusOK)
		synctest.Wait()
		quicktest.Check(t, a.isClosed(), quicktest.IsTrue)
		b := s.dial()
		b.send(fmt.Sprintf(get, "/"))
		quicktest.Check(t, b.status(), quicktest.Equals, http.StatusOK)
	})
}

// TestHeadsShareMemory: heads of very many fields take turns, and one that stops short makes room. Heads of
// ordinary requests need none.
func TestHeadsShareMemory(t *testing.T) {
	var fields strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	large := strings.Replace(fmt.Sprintf(get, "/wait"), "\r\n\r\n", "\r\n"+fields.String(), 1)
	synctest.Test(t, func(t *testing.T) {
		heads := &Heads{Limit: headCost([]byte(large)) + fieldBytes}
		s := newTestPort(t, &Port{Name: "callers", MaxConns: 8, Heads: heads})
		stopped := s.dial()
		stopped.send(large)
		refused := s.dial()
		// The answer may come before the whole head is taken.
		go io.WriteString(refused, large)
		quicktest.Check(t, refused.status(), quicktest.Equals, http.StatusServiceUnavailable)
		small := s.dial()
		small.send(fmt.Sprintf(get, "/"))
		quicktest.Check(t, small.status(), quicktest.Equals, http.StatusOK)
		time.Sleep(stallTime)
		served := s.dial()
		served.send(large + "\r\n")
		quicktest.Check(t, stopped.isClosed(), quicktest.IsTrue)
		close(s.release)
		quicktest.Check(t, served.status(), quicktest.Equals, http.StatusOK)
		synctest.Wait()
		quicktest.Check(t, heads.used.Load(), quicktest.Equals, int64(0))
	})
}

// TestUnreadBodyMakesRoom guards against clients that stop within a body that the handler doesn't read, and keep their places
// while the server waits for the rest.
func TestUnreadBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPort(t, &Port{Name: "ready", MaxConns: 1})
		stalled := s.dial()
		stalled.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
		time.Sleep(freshTime + time.Millisecond)
		c := s.dial()
		c.send(fmt.Sprintf(get, "/"))
		quicktest.Check(t, c.status(), quicktest.Equals, http.StatusOK)
		quicktest.Check(t, stalled.isClosed(), quicktest.IsTrue)
	})
}
