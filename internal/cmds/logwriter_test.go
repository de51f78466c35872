package cmds

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
)

// TestLogAfterCloseEndsNoProcess guards against a panic of a process that is ending, because a timer of one of its components
// still logs.
func TestLogAfterCloseEndsNoProcess(t *testing.T) {
	var out bytes.Buffer
	w := newLogWriter(&out)
	l := &log.Logger{Writer: w}
	l.Info().Msg("before")
	quicktest.Assert(t, w.Close(), quicktest.IsNil)
	l.Info().Msg("after")
	quicktest.Check(t, out.String(), quicktest.Contains, "before")
	quicktest.Check(t, out.String(), quicktest.Not(quicktest.Contains), "after")
}
