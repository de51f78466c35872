package hop

import (
	"bufio"
	"fmt"
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

// TestInvalidFieldName guards against responses with a field whose name HTTP doesn't allow, wherever it is in the head:
// net/http passes a blank on, and then doesn't see a length or chunks.
func TestInvalidFieldName(t *testing.T) {
	names := []string{
		"X Y", "X ", "X\t", "X\tY", "X\x00", "X\x01Y", "X\x7f", "X\rY", "X\u00e9", "", "X(Y)", "Content-Length ", "Transfer-Encoding ",
	}
	for _, name := range names {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			for _, field := range []string{name + ": 2\r\n", name + ":chunked\r\n"} {
				checkGarbled(t, "HTTP/1.1 200 OK\r\n"+field+"Id: 1\r\nContent-Length: 4\r\n\r\nbody")
				checkGarbled(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+field+"Connection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
				checkGarbled(t, "HTTP/1.1 103 X\r\nLink: a\r\n"+field+"\r\n"+response("1", "body"))
				checkGarbled(t, "HTTP/1.1 200 OK\r\nId: 0\r\n"+field+"Content-Length: 4\r\n\r\nbody"+response("1", "body"))
			}
		})
	}
	checkGarbled(t, "HTTP/1.1 200 OK\r\n X: z\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
}

// TestInvalidTrailer is TestInvalidFieldName for the trailer, which comes with the end of the body.
func TestInvalidTrailer(t *testing.T) {
	for trailer, isValid := range map[string]bool{
		"": true, "Seal: s\r\n": true, "Seal: s\r\n t\r\n": true, "X Y: z\r\n": false, "Seal : s\r\n": false, "Seal: s\r\nX : y\r\n": false,
		"X\x01: z\r\n": false, "Seal: \x01\r\n": false,
	} {
		t.Run(fmt.Sprintf("%q", trailer), func(t *testing.T) {
			testWithTarget(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Seal\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
			}, func(t *testing.T, cl *Client, _ *scriptedTarget) {
				body, err := roundTrip(t.Context(), cl, newRequest("1"))
				quicktest.Check(t, err == nil, quicktest.Equals, isValid, quicktest.Commentf("%q, %v", body, err))
				cl.Close()
			})
		})
	}
}
