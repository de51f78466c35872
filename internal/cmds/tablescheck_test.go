package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestTablesCheck checks the report on tables of both layouts: errors, routes and pools without effect,
// limits that contradict each other, and differences, but no keys.
func TestTablesCheck(t *testing.T) {
	for _, name := range []string{"site", "tables"} {
		file, former := filepath.Join("testdata", name+".json"), filepath.Join("testdata", name+"-former.json")
		out, code, err := runProgram(t, "tables", "check", "--against", former, file)
		checkGolden(t, name+".golden", out)
		if name == "site" {
			quicktest.Check(t, code, quicktest.Equals, Failed)
			quicktest.Check(t, err, quicktest.ErrorMatches, `testdata/site.json: \d+ errors`)
		} else {
			quicktest.Check(t, err, quicktest.IsNil)
		}
		quicktest.Check(t, strings.Contains(out, "secret"), quicktest.IsFalse)
		out, _, _ = runProgram(t, "tables", "check", "--json", "--against", former, file)
		checkGolden(t, name+".golden.json", out)
	}
}

// checkGolden compares text with a file in testdata; UPDATE_GOLDEN=1 writes the file anew.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		quicktest.Assert(t, os.WriteFile(path, []byte(got), 0o600), quicktest.IsNil)
	}
	want, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, got, quicktest.Equals, string(want))
}

// TestTablesCheckExitCode: warnings alone must not fail, and what can't be compared or read must.
func TestTablesCheckExitCode(t *testing.T) {
	former, broken := filepath.Join("testdata", "site-former.json"), filepath.Join(t.TempDir(), "broken")
	quicktest.Assert(t, os.WriteFile(broken, []byte(`{"version": 1, "routes": [`), 0o600), quicktest.IsNil)
	incomplete := filepath.Join(t.TempDir(), "incomplete")
	quicktest.Assert(t, os.WriteFile(incomplete, []byte(`{"version": 1, "tenants": null}`), 0o600), quicktest.IsNil)
	routesAlone := filepath.Join(t.TempDir(), "routes")
	quicktest.Assert(t, os.WriteFile(routesAlone, []byte(`{"routes": []}`), 0o600), quicktest.IsNil)
	for _, c := range []struct {
		args []string
		code Exit
		out  string
	}{
		{[]string{incomplete}, Failed, "4 errors"},
		{[]string{routesAlone}, Failed, "pools: missing"},
		{[]string{"--against", incomplete, former}, Success, "8 differences"},
		{[]string{former}, Success, "0 errors, 0 warnings"},
		{[]string{"--against", former, former}, Success, "0 differences"},
		{[]string{filepath.Join("testdata", "tables.json")}, Success, "0 errors, 2 warnings"},
		{[]string{broken}, Failed, "1 errors"},
		{[]string{"--against", filepath.Join("testdata", "tables.json"), former}, BadFile, ""},
		{[]string{"--against", "none", former}, BadFile, ""},
		{[]string{"none"}, BadFile, ""},
		{nil, Usage, ""},
		{[]string{former, former}, Usage, ""},
	} {
		out, code, err := runProgram(t, append([]string{"tables", "check"}, c.args...)...)
		quicktest.Check(t, code, quicktest.Equals, c.code, quicktest.Commentf("%v: %v", c.args, err))
		quicktest.Check(t, out, quicktest.Contains, c.out, quicktest.Commentf("%v", c.args))
	}
	_, code, _ := runProgram(t, "tables", "other")
	quicktest.Check(t, code, quicktest.Equals, Usage)
}
