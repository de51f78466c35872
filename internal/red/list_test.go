package red

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

// recorder records whether a check failed instead of failing the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }

func (*recorder) Logf(string, ...any) {}

// TestCheck checks that a failed check fails the test only if it is not listed, with the
// list in a directory above the working directory.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	list := "# a comment\n" + t.Name() + ":listed the figures (issue 1)\n"
	quicktest.Assert(t, os.WriteFile(filepath.Join(dir, listFile), []byte(list), 0o600), quicktest.IsNil)
	subdir := filepath.Join(dir, "a", "b")
	quicktest.Assert(t, os.MkdirAll(subdir, 0o700), quicktest.IsNil)
	t.Chdir(subdir)
	for _, c := range []struct {
		name       string
		ok, failed bool
	}{{"listed", false, false}, {"listed", true, false}, {"other", true, false}, {"other", false, true}} {
		r := &recorder{TB: t}
		Check(r, c.name, c.ok, "figures")
		quicktest.Check(t, r.failed, quicktest.Equals, c.failed)
	}
}
