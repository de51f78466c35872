package gate

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
)

// malformed returns a script that writes a response with a seal, and with ID as its request has.
func malformed(text string) script {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		io.WriteString(c, strings.ReplaceAll(text, "ID", "Id: "+q.Header.Get("Id")+"\r\nSeal: s\r\n"))
		return false
	}
}

// malformedResponses are responses that HTTP doesn't have, whole otherwise.
func malformedResponses() map[string]string {
	return map[string]string{
		"000":             "HTTP/1.1 000 X\r\nIDContent-Length: 4\r\n\r\npart",
		"000, to the end": "HTTP/1.1 000 X\r\nID\r\npart",
		"000, then 200":   "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"099, then 200":   "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"101, then 200":   "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 4\r\n\r\npart",
		"600":             "HTTP/1.1 600 X\r\nIDContent-Length: 4\r\n\r\npart",
		"999":             "HTTP/1.1 999 X\r\nIDContent-Length: 4\r\n\r\npart",
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
					s := newServiceStreamTestbed(t, []script{bad, respond(200, "whole", sealHeader)}, []script{bad, streamEvents(4, 0)})
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
