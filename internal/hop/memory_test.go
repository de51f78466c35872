package hop

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// TestStalledHeadMakesRoom guards against large heads that stand still and take the memory of others.
func TestStalledHeadMakesRoom(t *testing.T) {
	var fields strings.Builder
	for i := range 200 {
		fmt.Fprintf(&fields, "%d: x\r\n", i)
	}
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		for q, ok := readRequest(r); ok; q, ok = readRequest(r) {
			switch id := q.Header.Get(idHeader); id {
			case "ordinary":
				io.WriteString(c, response(id, id))
			case "large":
				io.WriteString(c, strings.Replace(response(id, id), "Id:", fields.String()+"Id:", 1))
			default:
				sendWithoutEnd(c, "HTTP/1.1 200 OK\r\n"+fields.String(), "a", 500*time.Millisecond)
			}
		}
	}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
		var logged bytes.Buffer
		cl.Responses = &guard.Responses{Bodies: guard.Bodies{Limit: 60 << 10}, Name: "heads", Free: 16 << 10, Log: &log.Logger{Writer: &log.IOWriter{Writer: &logged}}, Metrics: metrics.NewRegistry()}
		for range 3 {
			stalled := make(chan error, 1)
			go func() {
				_, err := roundTrip(t.Context(), cl, newRequest("stalled"))
				stalled <- err
			}()
			time.Sleep(50 * time.Millisecond)
			_, err := roundTrip(t.Context(), cl, newRequest("large"))
			quicktest.Assert(t, errors.Is(err, guard.ErrResponsesFull), quicktest.IsTrue, quicktest.Commentf("%v", err))
			for _, id := range []string{"ordinary", "large", "ordinary"} {
				got, err := roundTrip(t.Context(), cl, newRequest(id))
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Assert(t, got, quicktest.Equals, id)
				// Then it has stood still for long enough.
				time.Sleep(1200 * time.Millisecond)
			}
			err = <-stalled
			var broken *engine.Broken
			quicktest.Assert(t, errors.As(err, &broken), quicktest.IsTrue, quicktest.Commentf("%v", err))
			quicktest.Assert(t, errors.Is(err, guard.ErrResponseStalled), quicktest.IsTrue, quicktest.Commentf("%v", err))
		}
		quicktest.Assert(t, cl.Responses.Used(), quicktest.Equals, int64(0))
		quicktest.Assert(t, metrics.GetOrRegisterCounter(`guard.responses_closed{part="heads"}`, cl.Responses.Metrics).Count(), quicktest.Equals, int64(6))
		quicktest.Assert(t, strings.Count(logged.String(), "reached"), quicktest.Equals, 1)
		cl.Close()
	})
}
