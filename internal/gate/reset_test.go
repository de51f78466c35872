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

// uploadBytes is the size of a request that fills the buffers of its connection.
const uploadBytes = 1 << 20

// resetUpload writes a response without a length, and resets the connection while the request is written.
func resetUpload(status int, body string) script {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sConnection: close\r\n\r\n%s", status, q.Header.Get("Id"), sealHeader, body)
		time.Sleep(time.Millisecond)
		c.(interface{ SetLinger(sec int) error }).SetLinger(0)
		return false
	}
}

// readAndThen reads the rest of the request before a script.
func readAndThen(sc script) script {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		_, err := io.Copy(io.Discard, q.Body)
		return err == nil && sc(f, c, q)
	}
}

// newUploadTestbed returns a testbed with targets that answer before they have read the request, and for requests of
// uploadBytes.
func newUploadTestbed(t *testing.T, plain, engines []script) *testbed {
	t.Helper()
	s := newTestbed(t, plain, engines)
	s.tables.Version, s.tables.Bounds.Body = s.tables.Version+1, uploadBytes
	for _, f := range s.targets {
		f.answersEarly = true
	}
	s.publish(3)
	return s
}

// TestResetDuringUpload guards against a part of a response that a caller takes for the whole one: the target answered
// before it had read the request, and then reset the connection.
func TestResetDuringUpload(t *testing.T) {
	whole, events := readAndThen(respond(200, "whole", sealHeader)), readAndThen(streamEvents(4, 0))
	late := readAndThen(func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		time.Sleep(time.Second)
		return respond(200, "late", sealHeader)(f, c, q)
	})
	part, partOfStream := resetUpload(200, "part"), resetUpload(200, eventText(1, 2))
	for name, c := range map[string]struct {
		path string
		// first and second are the scripts of the target that gets the request first, and of the other one.
		first, second script
		// want is the response to the caller; only its status, body and truncated are compared.
		want     callResult
		requests int
	}{
		"idempotent":           {idempotentPath, part, whole, callResult{status: 200, body: "whole"}, 2},
		"idempotent, both":     {idempotentPath, part, part, callResult{status: 502}, 2},
		"non-idempotent":       {nonIdempotentPath, part, whole, callResult{status: 502}, 1},
		"error":                {idempotentPath, resetUpload(400, "part"), whole, callResult{status: 200, body: "whole"}, 2},
		"hedge":                {idempotentPath, late, part, callResult{status: 200, body: "late"}, 2},
		"resumable stream":     {resumableStreamPath, partOfStream, events, callResult{status: 200, body: eventText(1, 4)}, 2},
		"non-resumable stream": {nonResumableStreamPath, partOfStream, events, callResult{status: 200, body: eventText(1, 2), truncated: true}, 1},
		"error of an engine":   {nonResumableStreamPath, resetUpload(400, "part"), events, callResult{status: 502}, 1},
		"stream of a service":  {serviceStreamPath, partOfStream, events, callResult{status: 200, body: eventText(1, 4)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := []script{c.first, c.second}
				s := newUploadTestbed(t, scripts, scripts)
				// The target with more requests in flight is tried last.
				for _, id := range []string{"t1", "t1", "t11", "t11"} {
					defer s.gate.health.track(id)()
				}
				res := s.call(c.path, strings.Repeat("x", uploadBytes))
				quicktest.Check(t, res.status, quicktest.Equals, c.want.status, quicktest.Commentf("%q", res.body))
				quicktest.Check(t, res.truncated, quicktest.Equals, c.want.truncated)
				if c.want.body != "" {
					quicktest.Check(t, res.body, quicktest.Equals, c.want.body)
				}
				quicktest.Check(t, s.requestCount(), quicktest.Equals, c.requests)
				quicktest.Check(t, s.logs.String(), quicktest.Contains, "connection reset by peer")
			})
		})
	}
}
