package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
)

// malformed returns a script that writes a response, with the ID of the request and a seal in place of ID.
func malformed(text string) script {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		io.WriteString(c, strings.ReplaceAll(text, "ID", "Id: "+q.Header.Get("Id")+"\r\nSeal: s\r\n"))
		return false
	}
}

// malformedResponses are complete responses with an invalid status or field name.
func malformedResponses() map[string]string {
	return map[string]string{
		"000":             "HTTP/1.1 000 X\r\nIDContent-Length: 4\r\n\r\npart",
		"000, to the end": "HTTP/1.1 000 X\r\nID\r\npart",
		"000, then 200":   "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"099, then 200":   "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"101, then 200":   "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"600":             "HTTP/1.1 600 X\r\nIDContent-Length: 4\r\n\r\npart",
		"999":             "HTTP/1.1 999 X\r\nIDContent-Length: 4\r\n\r\npart",
		"blank":           "HTTP/1.1 200 X\r\nIDX Y: z\r\nContent-Length: 4\r\n\r\npart",
		"blank at end":    "HTTP/1.1 200 X\r\nIDX : z\r\nContent-Length: 4\r\n\r\npart",
		"control byte":    "HTTP/1.1 200 X\r\nIDX\x01: z\r\nContent-Length: 4\r\n\r\npart",
		"length":          "HTTP/1.1 200 X\r\nIDContent-Length : 2\r\n\r\npart",
		"chunks":          "HTTP/1.1 200 X\r\nIDTransfer-Encoding : chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
		"informational":   "HTTP/1.1 103 X\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"trailer":         "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX Y: z\r\n\r\n",
		"error":           "HTTP/1.1 400 X\r\nIDX Y: z\r\nContent-Length: 4\r\n\r\npart",
		"HTTP/2.0":        "HTTP/2.0 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"chunks in 1.0":   "HTTP/1.0 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
		"chunks, length":  "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\npart\r\n0\r\n\r\n",
		"folded length":   "HTTP/1.1 200 OK\r\nIDContent-Length:\r\n 4\r\n\r\npart",
		"informational 2": "HTTP/2.0 103 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"refusal":         "HTTP/1.1 503 X\r\nIDNot-Run: 1\r\nX Y: z\r\nContent-Length: 4\r\n\r\npart",
	}
}

// TestMalformedResponse guards against a malformed response that reaches a caller. A request that may be repeated must
// succeed on the other target.
func TestMalformedResponse(t *testing.T) {
	for name, text := range malformedResponses() {
		for path, want := range map[string]callResult{
			idempotentPath:         {status: 200, body: "whole"},
			nonIdempotentPath:      {status: 502},
			resumableStreamPath:    {status: 200, body: eventText(1, 4)},
			nonResumableStreamPath: {status: 502},
			serviceStreamPath:      {status: 200, body: "whole"},
		} {
			t.Run(strings.Trim(path, "/")+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					bad := malformed(text)
					s := newTestbed(t, []script{bad, respond(200, "whole", sealHeader)}, []script{bad, streamEvents(4, 0)})
					// The target with more requests in flight is tried last.
					for _, id := range []string{"t1", "t1", "t11", "t11"} {
						defer s.gate.health.track(id)()
					}
					res := s.call(path, "body")
					quicktest.Check(t, res.status, quicktest.Equals, want.status, quicktest.Commentf("%q", res.body))
					quicktest.Check(t, res.truncated, quicktest.IsFalse)
					if want.status == 200 {
						quicktest.Check(t, res.body, quicktest.Equals, want.body)
					}
					quicktest.Check(t, res.status == 200 || s.requestCount() == 1, quicktest.IsTrue)
				})
			})
		}
	}
}

// TestMalformedTrailerOfStream guards against a stream that looks complete although its trailer is malformed.
func TestMalformedTrailerOfStream(t *testing.T) {
	for path, want := range map[string]string{resumableStreamPath: eventText(1, 4), nonResumableStreamPath: eventText(1, 2)} {
		synctest.Test(t, func(t *testing.T) {
			events := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(eventText(1, 2)), eventText(1, 2))
			bad := malformed("HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n" + events + "X Y: z\r\n\r\n")
			s := newTestbed(t, nil, []script{bad, streamEvents(4, 0)})
			defer s.gate.health.track("t11")()
			res := s.call(path, "prompt")
			quicktest.Check(t, res.body, quicktest.Equals, want)
			quicktest.Check(t, res.truncated, quicktest.Equals, path == nonResumableStreamPath)
		})
	}
}
