package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestRequestHeadersAreBounded: the bound that the tables set holds, and it may change while
// connections are open.
func TestRequestHeadersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
		large := strings.Repeat("x", 4<<10)
		for i, c := range []struct{ bound, status int }{{0, 200}, {3 << 10, 431}, {5 << 10, 200}, {100, 431}} {
			s.tables.Version, s.tables.Bounds.Header = int64(i+2), c.bound
			s.publish(uint64(i + 2))
			quicktest.Check(t, s.call(idempotentPath, "body", "Note", large).status, quicktest.Equals, c.status, quicktest.Commentf("%d", c.bound))
		}
		quicktest.Check(t, s.requestCount(), quicktest.Equals, 2)
	})
}

// TestRequestBodiesAreBounded guards against callers that together send more than the memory of
// the instance: what exceeds it is refused as not run, and there is room again once requests
// have ended.
func TestRequestBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{neverRespond, neverRespond}, nil)
		s.gate.requestBodies.Limit = 1 << 20
		s.tables.Version, s.tables.Bounds.Body = 2, 1<<20
		s.publish(2)
		large := strings.Repeat("x", 300<<10)
		const callers = 8
		statuses := make(chan int, callers)
		for range callers {
			go func() { statuses <- s.call(nonIdempotentPath, large).status }()
		}
		synctest.Wait()
		refused := len(statuses)
		quicktest.Assert(t, refused >= callers-3 && refused < callers, quicktest.IsTrue, quicktest.Commentf("%d refused", refused))
		for range refused {
			quicktest.Assert(t, <-statuses, quicktest.Equals, 503)
		}
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, callers-refused)
		for range callers - refused {
			quicktest.Assert(t, <-statuses, quicktest.Equals, 504)
		}
		for _, f := range s.targets {
			f.script = respond(200, "done", sealHeader)
		}
		quicktest.Assert(t, s.call(nonIdempotentPath, large).status, quicktest.Equals, 200)
		quicktest.Assert(t, s.gate.requestBodies.Used(), quicktest.Equals, int64(0))
	})
}

// TestStalledRequestBody: a caller that doesn't finish its request must get an answer at its time
// limit, and not hold a place and memory for as long as it likes.
func TestStalledRequestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
		c, err := s.net.Dialer("10.0.9.9")(context.Background(), gateAddress)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer c.Close()
		const head = "POST " + idempotentPath + "x HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: key\r\nLeft: 2000\r\nContent-Length: %d\r\n\r\n%s"
		began := time.Now()
		fmt.Fprintf(c, head, 100, "half")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, resp.StatusCode, quicktest.Equals, http.StatusRequestTimeout)
		quicktest.Assert(t, time.Since(began) <= 2100*time.Millisecond, quicktest.IsTrue)
		_, err = io.ReadAll(resp.Body)
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = c.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.Equals, io.EOF)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 0)

		// A request that is read late leaves no limit on the next one of the connection.
		c, err = s.net.Dialer("10.0.9.9")(context.Background(), gateAddress)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer c.Close()
		r := bufio.NewReader(c)
		for range 3 {
			fmt.Fprintf(c, head, 8, "half")
			time.Sleep(1500 * time.Millisecond)
			io.WriteString(c, "half")
			resp, err := http.ReadResponse(r, nil)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, resp.StatusCode, quicktest.Equals, 200)
			_, err = io.ReadAll(resp.Body)
			quicktest.Assert(t, err, quicktest.IsNil)
		}
	})
}
