package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// heads are the heads of responses to request a1.
func heads() []string {
	const common = "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
	return []string{
		common + "Content-Length: 1234\r\n\r\n", common + "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
		common + "Connection: close\r\n\r\n",
	}
}

// cutHead writes a part of a head, stops for a while and closes the connection.
func cutHead(part string, stop time.Duration) script {
	return func(_ *fakeTarget, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, part)
		time.Sleep(stop)
		return false
	}
}

// TestHeadCutAnywhere guards against a response that a caller takes for a whole one although all targets stopped in
// its head and closed the connection, after any byte.
func TestHeadCutAnywhere(t *testing.T) {
	for _, path := range allPaths() {
		for i, head := range heads() {
			t.Run(fmt.Sprintf("%s%d", strings.Trim(path, "/"), i), func(t *testing.T) {
				for cut := range len(head) {
					synctest.Test(t, func(t *testing.T) {
						sc := cutHead(head[:cut], time.Duration(cut%3)*100*time.Millisecond)
						s := newTestbed(t, []script{sc, sc}, []script{sc, sc})
						res := s.call(path, "body")
						quicktest.Assert(t, res.status == 200, quicktest.IsFalse, quicktest.Commentf("%q: body %q, truncated %v", head[:cut], res.body, res.truncated))
						quicktest.Assert(t, s.requestCount() > 0, quicktest.IsTrue)
						if path == nonIdempotentPath || path == nonResumableStreamPath {
							quicktest.Assert(t, res.status, quicktest.Equals, 502)
							quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
						}
					})
				}
			})
		}
	}
}

// TestHeadCutInResumedStream: an engine breaks off in a stream, and the next one in its head. The caller must see a
// truncated response with the events of the first.
func TestHeadCutInResumedStream(t *testing.T) {
	for _, head := range heads() {
		for cut := range len(head) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, nil, []script{closeConn, closeConn})
				for _, f := range s.targets {
					f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
						if s.requestCount() > 1 {
							return cutHead(head[:cut], 0)(f, c, q)
						}
						return streamEvents(9, 4)(f, c, q)
					}
				}
				res := s.call(resumableStreamPath, "prompt")
				quicktest.Assert(t, res.truncated, quicktest.IsTrue, quicktest.Commentf("%q", head[:cut]))
				quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 4))
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 2)
			})
		}
	}
}
