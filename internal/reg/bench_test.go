package reg

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// BenchmarkAnnouncement measures encoding an announcement for the log and applying it, which a
// control instance does for each target of a fleet that starts.
func BenchmarkAnnouncement(b *testing.B) {
	w := target("i", "10.0.0.1:1", 1, 1, site.Ready)
	var m Machine
	b.ReportAllocs()
	for b.Loop() {
		w.Sequence++
		w.Slots++
		c, err := m.EncodeCommand(Command{Announce: &w})
		quicktest.Assert(b, err, quicktest.IsNil)
		m.Apply(0, c)
	}
}
