package hop

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// cutResponses are whole responses to request 1.
func cutResponses() map[string]string {
	const events = "id: 1\ndata: e\n\nid: 2\ndata: e\n\n"
	return map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 1234\r\n\r\n" + strings.Repeat("x", 1234),
		"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 1\r\nSeal: s\r\n\r\nabcdefghijkl",
		"chunks":            "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nSeal: s\r\n\r\n1e\r\n" + events + "\r\n0\r\n\r\n",
		"chunks, trailer":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSeal: s\r\n\r\n",
		"after 100":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"after another":     response("0", "other") + response("1", "body"),
		"line feeds only":   "HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nbody",
		"folded header":     "HTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n b\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"no length":         "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nSeal: s\r\n\r\n" + events,
		"no length, no end": "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\n\r\n" + events,
	}
}

// TestResponseCutAnywhere guards against a response that is taken for a whole one although its target closed the
// connection in it, in its head above all: after each byte, at once or after a stop.
func TestResponseCutAnywhere(t *testing.T) {
	for name, whole := range cutResponses() {
		for _, stop := range []time.Duration{0, time.Second} {
			t.Run(name+"/"+stop.String(), func(t *testing.T) {
				cut := 0
				testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
					readRequest(r)
					io.WriteString(c, whole[:cut])
					time.Sleep(stop)
				}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
					for ; cut < len(whole); cut++ {
						checkCut(t, cl, name, whole, cut)
					}
					_, err := roundTrip(t.Context(), cl, newRequest("1"))
					quicktest.Assert(t, err, quicktest.IsNil)
					cl.Close()
					time.Sleep(2 * stop)
				})
			})
		}
	}
}

// checkCut sends a request whose response is cut after a number of bytes.
func checkCut(t *testing.T, cl *Client, name, whole string, cut int) {
	t.Helper()
	headEnd := strings.Index(whole, "\r\n\r\n") + 4
	q := newRequest("1")
	q.NewConn = cut%2 == 0
	body, err := roundTrip(t.Context(), cl, q)
	if strings.HasPrefix(name, "no length") && cut >= headEnd {
		// Only the end of the process tells; see Response.EndsWithConnection.
		quicktest.Assert(t, err, quicktest.IsNil)
		return
	}
	quicktest.Assert(t, err, quicktest.IsNotNil, quicktest.Commentf("%q: body %q", whole[:cut], body))
	if cut < headEnd {
		var broken *engine.Broken
		var garbled *engine.Garbled
		quicktest.Assert(t, errors.As(err, &broken) || errors.As(err, &garbled), quicktest.IsTrue, quicktest.Commentf("%q: %v", whole[:cut], err))
	}
}
