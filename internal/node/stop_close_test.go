package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/platform"
)

// lateHandler finishes responses late, as a process does that waits for its turn of a shared processor.
type lateHandler struct{ http.Handler }

func (h lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Handler.ServeHTTP(w, r)
	time.Sleep(2 * closeTimeout)
}

// TestPlannedStopAnswersRequestsAtItsClose guards against requests that an entry reads when its drain has just ended, seconds
// after SIGTERM, and closes without a response although its grace period goes on: it hardly gets its processor.
func TestPlannedStopAnswersRequestsAtItsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
		p.fleet = newFleet(ctx, t, 1, 1, 1, nil)
		defer p.close(cancel)
		g := p.entries[0].Handler.(*gate.Server)
		proc, group, stop := p.startProcess(ctx, g, lateHandler{g})
		conn, err := p.net.Dialer("10.0.8.1")(ctx, stopAddr)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		began := time.Now()
		proc.drain()
		c := gate.CallInfo{ID: "1", Key: "key", TimeLimit: time.Second}
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+orderPath, nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		q.Header = platform.EncodeCall(c)
		quicktest.Assert(t, q.Write(conn), quicktest.IsNil)
		synctest.Wait()
		stop()
		resp, err := http.ReadResponse(bufio.NewReader(conn), q)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
		quicktest.Check(t, group.Wait(), quicktest.IsNil)
		quicktest.Check(t, time.Since(began) < stopGrace, quicktest.IsTrue, quicktest.Commentf("ended after %s", time.Since(began)))
	})
}

// TestPlannedStopAnswersRequestsSentAhead guards against requests that an entry reads together with the one before, and
// drops with the response to that one, which closes the connection.
func TestPlannedStopAnswersRequestsSentAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
		p.fleet = newFleet(ctx, t, 1, 0, 1, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			time.Sleep(300 * time.Millisecond)
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
		})
		defer p.close(cancel)
		g := p.entries[0].Handler.(*gate.Server)
		proc, group, stop := p.startProcess(ctx, g, g)
		conn, err := p.net.Dialer("10.0.8.1")(ctx, stopAddr)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		began := time.Now()
		stopped := make(chan error)
		go func() {
			proc.drain()
			stop()
			stopped <- group.Wait()
		}()
		time.Sleep(time.Second)
		var requests bytes.Buffer
		for i := range 3 {
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+orderPath, strings.NewReader("order"))
			quicktest.Assert(t, err, quicktest.IsNil)
			q.Header = platform.EncodeCall(gate.CallInfo{ID: strconv.Itoa(i), Key: "key", TimeLimit: time.Second})
			quicktest.Assert(t, q.Write(&requests), quicktest.IsNil)
		}
		_, err = conn.Write(requests.Bytes())
		quicktest.Assert(t, err, quicktest.IsNil)
		answers := bufio.NewReader(conn)
		for range 3 {
			resp, err := http.ReadResponse(answers, nil)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, resp.StatusCode, quicktest.Equals, http.StatusOK)
			_, err = io.Copy(io.Discard, resp.Body)
			quicktest.Check(t, err, quicktest.IsNil)
		}
		quicktest.Check(t, <-stopped, quicktest.IsNil)
		quicktest.Check(t, time.Since(began) < stopGrace/2, quicktest.IsTrue, quicktest.Commentf("ended after %s", time.Since(began)))
	})
}
