package gate

import (
	"math"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestOddTargetsAreLeftOut guards against requests to targets that can't be used, which a build that checks
// less has committed: each one takes attempts, and connections through other instances, for nothing.
func TestOddTargetsAreLeftOut(t *testing.T) {
	for name, change := range map[string]func(t *site.Target){
		"port out of range": func(t *site.Target) { t.Address = "10.0.1.50:99999" },
		"port 0":            func(t *site.Target) { t.Address = "10.0.1.50:0" },
		"no port":           func(t *site.Target) { t.Address = "10.0.1.50" },
		"line in the ID":    func(t *site.Target) { t.ID = "t50\r\nX: y" },
		"huge slots":        func(t *site.Target) { t.Slots = math.MaxInt },
		"unknown state":     func(t *site.Target) { t.State = 77 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sound := []script{respond(200, "done", sealHeader)}
				s := newTestbed(t, sound, []script{streamEvents(3, 0)})
				for _, pool := range []string{"plain", "engines"} {
					odd := site.Target{ID: "t50" + pool, Pool: pool, Address: "10.0.1.50:80", DataCentre: "dc", Slots: 16, State: site.Ready}
					change(&odd)
					odd.ID += pool
					s.targets = append(s.targets, &fakeTarget{Target: odd})
				}
				s.publish(2)
				quicktest.Check(t, s.gate.views.load().targets, quicktest.HasLen, 2)
				for _, path := range allPaths() {
					for range 5 {
						quicktest.Check(t, s.call(path, "body").status, quicktest.Equals, 200, quicktest.Commentf("%s", path))
					}
				}
				// The others change as before.
				s.targets[0].State = site.Draining
				s.publish(3)
				quicktest.Check(t, s.gate.views.load().pools["plain"], quicktest.HasLen, 0)
			})
		})
	}
}

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
