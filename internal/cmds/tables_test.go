package cmds

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// TestRevisionOf checks that only a complete and valid first line gives a revision.
func TestRevisionOf(t *testing.T) {
	n := revisionOf([]byte("// revision 42\n{}"))
	quicktest.Assert(t, n, quicktest.Not(quicktest.IsNil))
	quicktest.Check(t, *n, quicktest.Equals, uint64(42))
	for _, s := range []string{"{}", "// revision\n", "// revision 99999999999999999999\n", "\n// revision 1\n"} {
		quicktest.Check(t, revisionOf([]byte(s)), quicktest.IsNil, quicktest.Commentf("%q", s))
	}
}

// TestApplyExitCode checks that errors after which a change may have been accepted exit with
// Unreachable and name the id for sending it again, and that other errors do neither.
func TestApplyExitCode(t *testing.T) {
	dial := errors.Mark(errors.Wrap(&net.OpError{Op: "dial", Err: errors.New("refused")}, "a"), errNoAnswer)
	read := errors.Mark(errors.Wrap(&net.OpError{Op: "read", Err: errors.New("reset")}, "a"), errNoAnswer)
	for _, c := range []struct {
		err  error
		code Exit
		id   bool
	}{
		{verd.New(verd.NotRun, verd.Conflict, "lost"), Conflict, false},
		{verd.New(verd.NotRun, verd.BadRequest, "bad"), Refused, false},
		{verd.New(verd.MayHaveRun, verd.Unavailable, "send it again with the id x1"), Unreachable, true},
		{dial, Unreachable, false},
		{read, Unreachable, true},
	} {
		err := withResendHint(c.err, "x1")
		quicktest.Check(t, ExitCode(err), quicktest.Equals, c.code, quicktest.Commentf("%v", err))
		quicktest.Check(t, strings.Contains(err.Error(), "x1"), quicktest.Equals, c.id, quicktest.Commentf("%v", err))
	}
}

// TestCallIdempotentReportsUncertainty sends a change to an address that closes the
// connection and then to one where nothing listens. The error must state that the change may
// have been accepted, although the last attempt certainly did not send it.
func TestCallIdempotentReportsUncertainty(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	file := filepath.Join(t.TempDir(), "tables")
	quicktest.Assert(t, os.WriteFile(file, []byte(`{"routes": [], "pools": []}`), 0o600), quicktest.IsNil)
	aborting := strings.TrimPrefix(srv.URL, "http://")
	_, code, err := runProgram(t, "apply", "--base", "1", "--operators", aborting, "--operators", closedAddr(t), file)
	quicktest.Check(t, code, quicktest.Equals, Unreachable)
	quicktest.Check(t, err, quicktest.ErrorMatches, "the change may have been accepted, send it again with --id .*")
}

// TestMalformedResponseIsNoAnswer guards against a change that is reported as accepted after a response that isn't valid.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		quicktest.Check(t, err, quicktest.IsNil)
		io.WriteString(c, "HTTP/1.1 000 X\r\nContent-Length: 13\r\n\r\n{\"version\":2}")
		c.Close()
	}))
	defer srv.Close()
	file := filepath.Join(t.TempDir(), "tables")
	quicktest.Assert(t, os.WriteFile(file, []byte(`{"routes": [], "pools": []}`), 0o600), quicktest.IsNil)
	out, code, err := runProgram(t, "apply", "--base", "1", "--operators", strings.TrimPrefix(srv.URL, "http://"), file)
	quicktest.Check(t, code, quicktest.Equals, Unreachable, quicktest.Commentf("%s", out))
	quicktest.Check(t, err, quicktest.ErrorMatches, "(?s).*malformed response.*")
}
