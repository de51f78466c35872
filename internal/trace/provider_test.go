package trace

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
)

// recordSpan records one span and shuts the provider down.
func recordSpan(t *testing.T, p Place) {
	t.Helper()
	tp, err := Open(t.Context(), p)
	quicktest.Assert(t, err, quicktest.IsNil)
	_, sp := tp.Tracer("test").Start(t.Context(), "hop")
	sp.End()
	quicktest.Assert(t, tp.Shutdown(t.Context()), quicktest.IsNil)
}

// TestFileReceivesSampledSpans checks that a span is written to the file with its resource
// attributes if it is sampled, and not at all if the ratio is 0.
func TestFileReceivesSampledSpans(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	recordSpan(t, Place{To: path, Ratio: 1, Instance: "i1"})
	b, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, strings.Contains(string(b), `"Name":"hop"`), quicktest.IsTrue, quicktest.Commentf("%s", b))
	quicktest.Check(t, strings.Contains(string(b), `"i1"`), quicktest.IsTrue)

	none := filepath.Join(t.TempDir(), "spans")
	recordSpan(t, Place{To: none, Ratio: 0})
	b, err = os.ReadFile(none)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, string(b), quicktest.Equals, "")
}

// TestCollectorReceivesSpans checks that Shutdown sends the queued spans to the default path
// of an OTLP collector.
func TestCollectorReceivesSpans(t *testing.T) {
	var mu sync.Mutex
	var paths []string
	size := 0
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body) // The test checks only that something arrived.
		mu.Lock()
		defer mu.Unlock()
		paths = append(paths, r.URL.Path)
		size += len(b)
	}))
	defer srv.Close()
	recordSpan(t, Place{To: srv.URL, Ratio: 1})
	mu.Lock()
	defer mu.Unlock()
	quicktest.Check(t, paths, quicktest.DeepEquals, []string{"/v1/traces"})
	quicktest.Check(t, size > 0, quicktest.IsTrue)
}

// TestCheckDestination checks that a collector URL must have an IP address as its host.
func TestCheckDestination(t *testing.T) {
	for _, ok := range []string{"", Off, "spans.json", "http://127.0.0.1:4318", "https://[::1]:4318/v1/traces"} {
		quicktest.Check(t, CheckDestination(ok), quicktest.IsNil, quicktest.Commentf(ok))
	}
	for _, bad := range []string{"http://collector:4318", "http://", "http://%zz"} {
		quicktest.Check(t, CheckDestination(bad), quicktest.IsNotNil, quicktest.Commentf(bad))
	}
}
