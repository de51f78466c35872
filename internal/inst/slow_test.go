package inst

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/fake"
)

// writeRaw opens a caller's connection to instance 1 and writes a completion request that
// announces a body of contentLength bytes, followed by body, which may be shorter.
func (s *site) writeRaw(contentLength int, body string) io.ReadWriteCloser {
	s.t.Helper()
	c, err := s.net.Dialer(callerAddr)(s.t.Context(), "10.0.0.1:80")
	quicktest.Assert(s.t, err, quicktest.IsNil)
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: site\r\nBamboo-Organisation: levain\r\n"+
		"Content-Length: %d\r\n\r\n%s", contentLength, body)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	return c
}

// TestSlowReader has a caller request a long answer and read nothing of it. The request
// must be ended well before its time limit, and its memory on the engine be freed.
func TestSlowReader(t *testing.T) {
	withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
		body := `{"model":"starter","stream":true,"max_tokens":20000,"prompt":"x"}`
		c := s.writeRaw(len(body), body)
		defer c.Close()
		time.Sleep(time.Second)
		quicktest.Check(t, engines[0].Held()+engines[1].Held(), quicktest.Not(quicktest.Equals), 0)
		time.Sleep(45 * time.Second)
		quicktest.Check(t, engines[0].Held()+engines[1].Held(), quicktest.Equals, 0)
	})
}

// TestSlowWriter has a caller send a part of its request body and then nothing more. It
// must be refused as not run, and no engine may get the request.
func TestSlowWriter(t *testing.T) {
	withSite(t, func(t *testing.T, s *site, engines []*fake.Engine) {
		c := s.writeRaw(1000, `{"model":"starter","prompt":"`)
		defer c.Close()
		b, err := io.ReadAll(c)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, strings.Contains(string(b), "Bamboo-Verdict: not-run"), quicktest.IsTrue, quicktest.Commentf("%s", b))
		quicktest.Check(t, engines[0].Runs()+engines[1].Runs(), quicktest.Equals, 0)
	})
}
