package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// TestBrokenResponseIsNotStored guards against a response of a service that broke off or is malformed and that is taken
// for the outcome of a call: its caller would get it, and all later calls with the same key.
func TestBrokenResponseIsNotStored(t *testing.T) {
	for name, text := range map[string]string{
		"reset":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"000":     "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\npart",
		"101":     "HTTP/1.1 101 X\r\n\r\n",
		"600":     "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\npart",
		"blank":   "HTTP/1.1 200 X\r\nX Y: z\r\nContent-Length: 4\r\n\r\npart",
		"trailer": "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX Y: z\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				// The handler doesn't read the request, which fills the buffers of the connection.
				e := newTestEntry(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					requests++
					c, _, err := http.NewResponseController(w).Hijack()
					quicktest.Check(t, err, quicktest.IsNil)
					defer c.Close()
					io.WriteString(c, text)
					time.Sleep(time.Millisecond)
					c.(interface{ SetLinger(sec int) error }).SetLinger(0)
				}))
				for range 2 {
					w := e.send(t.Context(), "k1", strings.Repeat("x", 1<<20))
					quicktest.Check(t, w.Code >= http.StatusBadRequest, quicktest.IsTrue, quicktest.Commentf("%d %q", w.Code, w.Body))
					quicktest.Check(t, w.Header().Get(verd.Header), quicktest.Not(quicktest.Equals), verd.NotRun.String())
					quicktest.Check(t, w.Body.String(), quicktest.Not(quicktest.Contains), "part")
				}
				quicktest.Check(t, requests, quicktest.Equals, 1)
			})
		})
	}
}
