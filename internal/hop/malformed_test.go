package hop

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// checkGarbled sends a request to a target that writes bytes, and requires that they aren't taken for a response.
func checkGarbled(t *testing.T, bytes string) {
	t.Helper()
	testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, bytes)
	}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
		body, err := roundTrip(t.Context(), cl, newRequest("1"))
		var garbled *engine.Garbled
		quicktest.Check(t, errors.As(err, &garbled), quicktest.IsTrue, quicktest.Commentf("%q: body %q, error %v", bytes, body, err))
		cl.Close()
	})
}

// TestInvalidStatus guards against responses with a status that HTTP doesn't have, and against a response that follows
// one and is taken for the answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "-00", "+99", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkGarbled(t, "HTTP/1.1 "+status+" X\r\nId: 1\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody")
			checkGarbled(t, "HTTP/1.1 "+status+" X\r\nId: 1\r\nSeal: s\r\nConnection: close\r\n\r\nbody")
			checkGarbled(t, "HTTP/1.1 "+status+" X\r\n\r\n"+response("1", "body"))
		})
	}
}

// TestInformationalResponses requires that valid informational responses are passed over, known ones or not.
func TestInformationalResponses(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, "HTTP/1.1 "+status+" X\r\nLink: a\r\n\r\n"+response("1", "body"))
		}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
			body, err := roundTrip(t.Context(), cl, newRequest("1"))
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, body, quicktest.Equals, "body")
			cl.Close()
		})
	}
}
