package node

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestConnLimits: the limits leave room for the largest sound load, and descriptors for the connections of the
// process itself.
func TestConnLimits(t *testing.T) {
	entry := newConnLimits(184<<20, 4100)
	quicktest.Check(t, entry, quicktest.Equals, connLimits{callers: 1366, control: 2944, directory: 341, probes: 64})
	control := newConnLimits(280<<20, 4096)
	// One for each of 3,000 targets.
	quicktest.Check(t, control, quicktest.Equals, connLimits{callers: 1365, control: 3072, directory: 341, probes: 64})
	quicktest.Check(t, newConnLimits(1<<20, 1<<32), quicktest.Equals, connLimits{16, 16, 16, 16})
	quicktest.Check(t, newConnLimits(1<<30, 64), quicktest.Equals, connLimits{21, 48, 16, 16})
}
