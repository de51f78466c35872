package node

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/conf"
)

const settings = `{
  "name": "edge-a-1",
  "data_centre": "a",
  "callers": "10.1.0.40:8227",
  "peers": "10.1.0.40:7340",
  "seeds": ["10.1.0.43:8229"]
}`

// TestPeersOf turns the control addresses of the settings into those for other
// instances.
func TestPeersOf(t *testing.T) {
	p := &Process{Settings: conf.Process{Peers: "10.1.0.40:7340"}}
	got := p.peersOf([]string{"10.2.0.1:8229", "10.1.0.43:8229", "10.2.0.1:8230", "no port"})
	quicktest.Assert(t, got, quicktest.DeepEquals, []string{"10.1.0.43:7340", "10.2.0.1:7340"})
}

// TestSeedsAreReadAgain exchanges the seeds in the settings file, without a signal. A
// faulty file changes nothing and is reported, and the next good one counts.
func TestSeedsAreReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings")
		write := func(text string) {
			quicktest.Assert(t, os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
		}
		write(settings)
		s, err := conf.LoadProcess(path)
		quicktest.Assert(t, err, quicktest.IsNil)
		out := &bytes.Buffer{}
		p := &Process{Settings: s, Path: path, Log: &log.Logger{Writer: &log.IOWriter{Writer: out}}}
		p.wire()

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- p.follow(ctx) }()
		// lines are what the next look at the file says.
		lines := func() string {
			time.Sleep(reloadEvery)
			synctest.Wait()
			defer out.Reset()
			return out.String()
		}

		quicktest.Check(t, lines(), quicktest.Equals, "", quicktest.Commentf("nothing has changed"))
		write(strings.Replace(settings, "10.1.0.43", "", 1))
		quicktest.Check(t, lines(), quicktest.Contains, "settings not read again")
		write(strings.Replace(settings, "10.1.0.43", "10.1.0.99", 1))
		quicktest.Check(t, lines(), quicktest.Contains, `"seeds":["10.1.0.99:8229"]`)
		quicktest.Check(t, lines(), quicktest.Equals, "", quicktest.Commentf("read once"))
		cancel()
		quicktest.Assert(t, <-done, quicktest.IsNil)
	})
}
