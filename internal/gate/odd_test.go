package gate

import (
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestUndecodableTablesKeepTargets guards against instances that go on with targets that have left: an update
// whose tables couldn't be decoded was dropped as a whole, and the leader doesn't send it again on the same link.
func TestUndecodableTablesKeepTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
		draining := s.targets[0].Target
		draining.State = site.Draining
		s.gate.ApplyUpdate(&reg.Delta{Revision: 2, PackedTables: []byte("odd"), Targets: []site.Target{draining}})
		s.gate.ApplyEvacuations(reg.Evacuations{Counter: 1, DataCentres: []string{"other"}})
		v := s.gate.views.load()
		quicktest.Check(t, v.pools["plain"], quicktest.HasLen, 0)
		quicktest.Check(t, v.index.Tables.Version, quicktest.Equals, int64(1))
		quicktest.Check(t, s.gate.Revision(), quicktest.Equals, uint64(0))
		s.tables.Version = 2
		s.publish(2)
		quicktest.Check(t, s.gate.views.load().index.Tables.Version, quicktest.Equals, int64(2))
		quicktest.Check(t, s.gate.Revision(), quicktest.Equals, uint64(2))
	})
}
