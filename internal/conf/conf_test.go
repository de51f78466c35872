package conf

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the page of settings anew")

const validSettings = `{
  "name": "i1", "data_centre": "dakar-a",
  "callers": "127.0.0.1:8400", "peers": "127.0.0.1:8401", "operators": "127.0.0.1:8402",
  "seeds": ["127.0.0.1:8401"], // itself
}
`

// TestPage checks that the settings page in the documentation matches the options.
func TestPage(t *testing.T) {
	const path = "../../docs/ops/settings.md"
	if *update {
		quicktest.Assert(t, os.WriteFile(path, []byte(Page()), 0o644), quicktest.IsNil)
	}
	b, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, string(b), quicktest.Equals, Page())
}

// TestEveryFieldIsAnOption checks that each field of Settings has exactly one option, so
// that no setting lacks documentation.
func TestEveryFieldIsAnOption(t *testing.T) {
	fields := valuesByName(Defaults())
	for _, o := range Options() {
		_, ok := fields[o.Name]
		quicktest.Check(t, ok, quicktest.IsTrue, quicktest.Commentf(o.Name))
		delete(fields, o.Name)
	}
	quicktest.Check(t, fields, quicktest.HasLen, 0)
}

// TestDecodeRejectsInvalidSettings checks that each invalid setting is rejected with its
// line, its field and the reason.
func TestDecodeRejectsInvalidSettings(t *testing.T) {
	_, err := Decode([]byte(validSettings))
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, c := range []struct{ old, with, want string }{
		{`"seeds"`, `"sedes"`, "line 4: sedes: unknown key; did you mean seeds\\?"},
		{`"seeds"`, `"zzzzzzzzz"`, "line 4: zzzzzzzzz: unknown key"},
		{`["127.0.0.1:8401"]`, `[]`, "line 4: seeds: missing"},
		{`["127.0.0.1:8401"]`, `["host:1"]`, `line 4: seeds: "host:1" is not an IP and port`},
		{`"i1"`, `"i 1"`, `line 2: name: "i 1" has a space or a slash`},
		{`"i1"`, `7`, "line 2: name: .*"},
		{`// itself`, `"max_body": 5`, "line 4: max_body: not between 1024 and 1073741824"},
		{`// itself`, `"drain": "25h"`, "line 4: drain: not between 0 and 24h0m0s"},
		{`// itself`, `"tls_cert": "c.pem"`, "line 4: tls_cert: .* together or not at all"},
		{`// itself`, `"trace": "http://collector:4318"`, `line 4: trace: host "collector" is not an IP address`},
		{`// itself`, `"trace_ratio": 2`, "line 4: trace_ratio: not between 0 and 1"},
		{`// itself`, `"log": "loud"`, `line 4: log: "loud" is not .*`},
		{`}`, ``, "line 6: file: .*"},
	} {
		_, err := Decode([]byte(strings.Replace(validSettings, c.old, c.with, 1)))
		quicktest.Check(t, err, quicktest.ErrorMatches, c.want, quicktest.Commentf(c.with))
	}
}
