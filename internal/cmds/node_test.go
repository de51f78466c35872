package cmds

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestLoadProcessRetriesPartialFile reads a settings file while it is being written. A soak
// test found that the process then exited with the code for an invalid file.
func TestLoadProcessRetriesPartialFile(t *testing.T) {
	const settings = `{"name": "e", "data_centre": "a", "peers": "10.0.0.1:7", "callers": "10.0.0.1:8", "seeds": ["10.0.0.2:9"]}`
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings")
		write := func(s string) { quicktest.Assert(t, os.WriteFile(path, []byte(s), 0o600), quicktest.IsNil) }
		write(settings[:20])
		time.AfterFunc(loadRetryDelay+time.Millisecond, func() { write(settings) })
		s, err := loadProcess(t.Context(), path)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, s.Name, quicktest.Equals, "e")

		write(settings[:20])
		began := time.Now()
		_, err = loadProcess(t.Context(), path)
		quicktest.Assert(t, err, quicktest.IsNotNil)
		quicktest.Assert(t, time.Since(began) < maxLoadAttempts*loadRetryDelay, quicktest.IsTrue)
	})
}
