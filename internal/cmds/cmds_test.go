package cmds

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// runProgram runs the root command and returns its output, exit code and error.
func runProgram(t *testing.T, args ...string) (out string, code Exit, err error) {
	t.Helper()
	var b bytes.Buffer
	c := New()
	c.Writer, c.ErrWriter = &b, &b
	err = c.Run(context.Background(), append([]string{"bamboo"}, args...))
	return b.String(), ExitCode(err), err
}

// closedAddr returns a loopback address where nothing listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, ln.Close(), quicktest.IsNil)
	return ln.Addr().String()
}

// TestBadInput checks that each invalid input gives a one-line error and the right exit
// code, and that it changes neither a file nor the state of an instance.
func TestBadInput(t *testing.T) {
	changes := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Header.Get("Authorization") == "Bearer right" {
			changes++
		}
		w.WriteHeader(http.StatusUnauthorized)
		w.Write([]byte(`{"verdict":"not-run","reason":"denied","message":"unknown or missing token"}`))
	}))
	defer srv.Close()
	live, dead := strings.TrimPrefix(srv.URL, "http://"), closedAddr(t)
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		quicktest.Assert(t, os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
		return path
	}
	missing := filepath.Join(dir, "missing")
	wrong := file("wrong", "wrong\n")
	tables := file("tables", "{\"routes\": [\n{\"name\": \"a\", \"pool\": \"b\", \"limit\": \"1s\"}], \"pools\": []}")
	good := file("good", "{\"routes\": [], \"pools\": []}")
	tokens := file("tokens", `{"tokens": [{"name": "a"}]}`)
	settings := file("settings", "{\"name\": \"a\",\n\"calers\": \"127.0.0.1:1\"}")
	for _, c := range []struct {
		args string
		code Exit
		want string
	}{
		{"nope", Usage, `no command "nope".*`},
		{"--nope", Usage, ".*-nope"},
		{"serve", Usage, "serve takes one settings file.*"},
		{"serve --nope x", Usage, ".*-nope"},
		{"serve " + missing, BadFile, ".*no such file.*"},
		{"serve " + settings, BadFile, ".*line 2: calers: unknown key; did you mean callers\\?"},
		{"check", Usage, "check takes files.*"},
		{"check " + missing, BadFile, ".*no such file.*"},
		{"check " + tables, BadFile, `.*tables: line 2: routes\[0\].pool: unknown pool "b"`},
		{"check " + tokens, BadFile, `.*tokens: line 1: tokens\[0\].sha256: not 64 hexadecimal digits`},
		{"check " + settings, BadFile, ".*settings: line 2: calers.*"},
		{"status x", Usage, "status takes no arguments.*"},
		{"status --operators x", Usage, `.*"x" is not an IP and port.*`},
		{"status --operators " + dead, Unreachable, "no answer from .*"},
		{"status --operators " + live, Refused, "unknown or missing token"},
		{"status --operators " + live + " --token-file " + missing, BadFile, ".*no such file.*"},
		{"status --operators " + live + " --token-file " + wrong, Refused, "unknown or missing token"},
		{"drain a b", Usage, "drain takes .*"},
		{"drain --operators " + dead, Unreachable, "no answer from .*"},
		{"drain --operators " + live + " --token-file " + wrong, Refused, "unknown or missing token"},
		{"drain a --operators " + live, Refused, "unknown or missing token"},
		{"apply", Usage, "apply takes .*"},
		{"apply " + missing, BadFile, ".*no such file.*"},
		{"apply --base 1 " + tables + " --operators " + dead, BadFile, `.*routes\[0\].pool: unknown pool "b"`},
		{"apply --base 1 " + good + " --operators " + dead, Unreachable, "no answer from .*connection refused"},
		{"apply --base 1 " + good + " --operators " + live + " --token-file " + wrong, Refused, "unknown or missing token"},
		{"diff", Usage, "diff takes .*"},
		{"diff " + missing, BadFile, ".*no such file.*"},
		{"diff " + good + " --operators " + dead, Unreachable, "no answer from .*"},
		{"diff " + good + " --operators " + live, Refused, "unknown or missing token"},
		{"get --operators " + dead, Unreachable, "no answer from .*"},
		{"get --operators " + live, Refused, "unknown or missing token"},
		{"token", Usage, "token takes one name.*"},
		{"help nope", Usage, `no page on "nope".*`},
		{"load", Usage, ".*entry.*"},
		{"load --entry 10.0.0.1:80", Usage, ".*not a loopback address"},
		{"load --entry 127.0.0.1:80 --rate 0", Usage, "rate .*"},
		{"load --entry 127.0.0.1:80 --mix 5", Usage, `--mix: "5" is not TOKENS:WEIGHT`},
		{"load --entry 127.0.0.1:80 --token-file " + missing, BadFile, ".*no such file.*"},
		{"fake", Usage, "Required flags.*"},
		{"fake --name a --addr x --data-centre d --pool p --entry " + dead, BadFile, ".*not an IP and port"},
	} {
		before := readDir(t, dir)
		out, code, err := runProgram(t, strings.Fields(c.args)...)
		about := quicktest.Commentf("bamboo %s: %s", c.args, out)
		quicktest.Check(t, code, quicktest.Equals, c.code, about)
		quicktest.Check(t, err, quicktest.ErrorMatches, c.want, about)
		quicktest.Check(t, readDir(t, dir), quicktest.DeepEquals, before, about)
		if err != nil {
			quicktest.Check(t, strings.Contains(err.Error(), "\n"), quicktest.IsFalse, about)
		}
	}
	quicktest.Check(t, changes, quicktest.Equals, 0)
}

// readDir returns the contents of the files in dir by name.
func readDir(t *testing.T, dir string) map[string]string {
	t.Helper()
	out := make(map[string]string)
	list, err := os.ReadDir(dir)
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, e := range list {
		b, err := os.ReadFile(filepath.Join(dir, e.Name()))
		quicktest.Assert(t, err, quicktest.IsNil)
		out[e.Name()] = string(b)
	}
	return out
}

// TestEveryTopicHasItsPage checks that the main help page lists every command and that every
// topic has a page.
func TestEveryTopicHasItsPage(t *testing.T) {
	mainPage, _, err := runProgram(t, "help")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, c := range commands() {
		if c.Name != "help" {
			quicktest.Check(t, mainPage, quicktest.Contains, "    "+c.Name+" ")
		}
	}
	for _, topic := range topics() {
		page, _, err := runProgram(t, "help", topic)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, strings.HasPrefix(page, "# "), quicktest.IsTrue, quicktest.Commentf(topic))
	}
}
