package gate

import (
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/meter"
)

// TestTimesByKind guards against times of plain services among those of engines, and against waits for engines that are missing.
func TestTimesByKind(t *testing.T) {
	for path, want := range map[string]struct{ engineEvents, plainEvents, waits int64 }{
		resumableStreamPath: {1, 0, 1}, serviceStreamPath: {0, 1, 0}, engineOrderPath: {0, 0, 1}, nonIdempotentPath: {0, 0, 0},
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathTestbed(t, path, answerFor(path))
				quicktest.Check(t, s.call(path, "body").status, quicktest.Equals, 200)
				synctest.Wait()
				count := func(name string) int64 { return meter.Times(name, s.gate.Metrics).Count() }
				quicktest.Check(t, count(meter.Label("gate.first_event", "kind", "engine")), quicktest.Equals, want.engineEvents)
				quicktest.Check(t, count(meter.Label("gate.first_event", "kind", "plain")), quicktest.Equals, want.plainEvents)
				quicktest.Check(t, count("gate.wait"), quicktest.Equals, want.waits)
			})
		})
	}
}
