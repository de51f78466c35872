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

// writeText returns a script that writes a text and closes the connection.
func writeText(text string) script {
	return func(_ *fakeTarget, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, text)
		return false
	}
}

// TestCrashIsLogged: the log must tell an engine whose process ended while it had a request from
// one that only closed the connection or stopped sending.
func TestCrashIsLogged(t *testing.T) {
	const line = `"message":"target process ended during a request"`
	for name, c := range map[string]struct {
		engine  script
		crashes bool
		want    bool
	}{
		"before the head":     {closeConn, true, true},
		"within the stream":   {streamEvents(9, 4), true, true},
		"only the connection": {streamEvents(9, 4), false, false},
		"silence":             {neverRespond, true, false},
		"not HTTP":            {writeText("no response\r\n\r\n"), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEngineTestbed(t, nil)
				s.targets[0].script = func(f *fakeTarget, conn net.Conn, q *http.Request) bool {
					if c.crashes {
						f.listener.Close()
					}
					return c.engine(f, conn, q)
				}
				s.call(nonResumableStreamPath, "prompt", "Parts", "a,b")
				quicktest.Assert(t, strings.Contains(s.logs.String(), line), quicktest.Equals, c.want)
				quicktest.Assert(t, s.logs.String(), quicktest.Contains, `"prefix":["a","b"]`)
			})
		})
	}
}
