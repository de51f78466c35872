package cmds

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestLoadProcessRetriesPartialFile starts a process while its settings are written. A
// soak found it: the process ended with the code for a faulty file.
func TestLoadProcessRetriesPartialFile(t *testing.T) {
	const whole = `{"name": "e", "data_centre": "a", "peers": "10.0.0.1:7", "callers": "10.0.0.1:8", "seeds": ["10.0.0.2:9"]}`
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings")
		write := func(s string) { quicktest.Assert(t, os.WriteFile(path, []byte(s), 0o600), quicktest.IsNil) }
		write(whole[:20])
		time.AfterFunc(loadRetryDelay+time.Millisecond, func() { write(whole) })
		s, err := loadProcess(t.Context(), path)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, s.Name, quicktest.Equals, "e")

		write(whole[:20])
		began := time.Now()
		_, err = loadProcess(t.Context(), path)
		quicktest.Assert(t, err, quicktest.IsNotNil)
		quicktest.Assert(t, time.Since(began) < maxLoadAttempts*loadRetryDelay, quicktest.IsTrue)
	})
}
