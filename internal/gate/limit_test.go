package gate

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
)

// TestLimitIsLogged: the log must show that a target names a limit, and once that it names none
// any more.
func TestLimitIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader, "Limit: 2.5\r\n")}, nil)
		count := func(text string) int { return strings.Count(s.logs.String(), text) }
		s.call(idempotentPath, "body")
		quicktest.Assert(t, count(`"limit":2.5,"limited":true`), quicktest.Equals, 1)
		s.targets[0].script = respond(200, "done", sealHeader)
		for range 2 {
			s.call(idempotentPath, "body")
		}
		quicktest.Assert(t, count("request limit of target changed"), quicktest.Equals, 2)
		quicktest.Assert(t, count(`"limited":false`), quicktest.Equals, 1)
	})
}
