package conf_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

const validProcess = `// a comment
{
  "name": "edge-a-1",
  "data_centre": "a",
  "callers": "10.1.0.40:8227",
  "peers": "10.1.0.40:7340",
  "seeds": ["10.1.0.43:8229"],
  "grace": "8s"
}`

func loadText(t *testing.T, text string) (conf.Process, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	quicktest.Assert(t, os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
	return conf.LoadProcess(path)
}

func TestLoadProcess(t *testing.T) {
	p, err := loadText(t, validProcess)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, p.Callers, quicktest.Equals, "10.1.0.40:8227")
	quicktest.Assert(t, time.Duration(p.Grace), quicktest.Equals, 8*time.Second)
	quicktest.Assert(t, p.Log, quicktest.Equals, "info")
}

// TestLoadProcessRejectsInvalidSettings checks that each invalid setting is rejected with an
// error that names its field.
func TestLoadProcessRejectsInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, field string }{
		"no name":        {`"edge-a-1"`, `""`, "name"},
		"no seeds":       {`["10.1.0.43:8229"]`, `[]`, "seeds"},
		"bad address":    {`"10.1.0.40:8227"`, `"edge:8227"`, "callers"},
		"no peers":       {`"10.1.0.40:7340"`, `""`, "peers"},
		"no grace":       {`"8s"`, `"0s"`, "grace"},
		"no folder":      {`"callers"`, `"control": "10.1.0.40:1", "callers"`, "data"},
		"empty region":   {`"grace"`, `"regions": {"a": ""}, "grace"`, "regions"},
		"bind a name":    {`"grace"`, `"bind": "edge", "grace"`, "bind"},
		"unknown level":  {`"grace"`, `"log": "loud", "grace"`, "log"},
		"negative share": {`"grace"`, `"repeats": {"ratio": -1, "slack": 1, "window": "1s"}, "grace"`, "repeats.ratio"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validProcess, c.old, c.replacement, 1)
			quicktest.Assert(t, text != validProcess, quicktest.IsTrue)
			_, err := loadText(t, text)
			var field *table.FieldError
			quicktest.Assert(t, errors.As(err, &field), quicktest.IsTrue, quicktest.Commentf("%v", err))
			quicktest.Assert(t, field.Field, quicktest.Equals, c.field)
		})
	}
	_, err := conf.LoadProcess("no such file")
	quicktest.Assert(t, err, quicktest.IsNotNil)
	_, err = loadText(t, `{"nmae": "x"}`)
	quicktest.Assert(t, err, quicktest.IsNotNil)
}

// TestDeploymentTemplate fills the placeholders of the deployment template with sample
// values and checks that the result is a valid settings file.
func TestDeploymentTemplate(t *testing.T) {
	b, err := os.ReadFile("../../deploy/settings.jsonc")
	quicktest.Assert(t, err, quicktest.IsNil)
	values := map[string]string{
		"nodeName": "n", "zone": "z", "zones|json": `{"z": "r"}`, "listen.front": "10.0.0.1:1", "listen.ready": "10.0.0.1:2", "listen.control": "",
		"listen.directory": "", "ip": "10.0.0.1", "internalPorts.0": "7", "seeds|json": `["10.0.0.2:1"]`,
		"bootstrap|json": "true", "tolerate.machines": "1", "dataDir": "", "bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2",
		"bounds.retryBudgetSlack": "106", "bounds.budgetWindowS": "10", "limits.memoryMb": "284",
	}
	text := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(b), func(s string) string {
		name := strings.Trim(s, "{}")
		v, ok := values[name]
		quicktest.Assert(t, ok, quicktest.IsTrue, quicktest.Commentf("%s", name))
		return v
	})
	p, err := loadText(t, text)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, p.First, quicktest.IsTrue)
	quicktest.Assert(t, p.Repeats.Slack, quicktest.Equals, 106.0)
}

// FuzzDecodeProcess checks that DecodeProcess accepts only settings that pass Check.
func FuzzDecodeProcess(f *testing.F) {
	mutate.Add(f, []byte(validProcess))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := conf.DecodeProcess(b)
		if err == nil && p.Check() != nil {
			t.Fatalf("decoded settings fail Check: %v", p.Check())
		}
	})
}
