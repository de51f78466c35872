package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/place"
)

// placeShort places a short request without a scheduler.
func (s *testbed) placeShort() place.Grant {
	g, err := s.gate.placer.placeLocally(s.t.Context(), place.Request{
		Pool: "engines", Prompt: 1000, Output: 10, TTFTLeft: 300 * time.Millisecond, TTFTTarget: 300 * time.Millisecond,
		MaxPause: 250 * time.Millisecond, PauseTimeout: 2 * time.Second, TimeLeft: 10 * time.Second,
	})
	quicktest.Assert(s.t, err, quicktest.IsNil)
	return g
}

// TestLocalPlacementUsesLoad: an entry without a scheduler must not choose engines that it was told are
// full with the answers of others.
func TestLocalPlacementUsesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(2, 0), streamEvents(2, 0)})
		full := s.targets[0].ID
		var grants []place.ActiveGrant
		for range 16 {
			grants = append(grants, place.ActiveGrant{Lead: full, Started: true})
		}
		s.gate.ApplyLoads([]place.PoolLoad{place.LoadOfGrants("engines", *s.tables.Pools[1].Engine, grants), {Pool: "other"}})
		for range 10 {
			g := s.placeShort()
			quicktest.Check(t, g.Lead, quicktest.Equals, s.targets[1].ID)
			s.gate.placer.release(place.End{ID: g.ID})
		}
	})
}

// TestGrantsMadeWithoutLinkAreReported: grants made while no control instance is linked must be reported
// to the next one, once, but for those that have ended or are old.
func TestGrantsMadeWithoutLinkAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{streamEvents(2, 0)})
		old := s.placeShort()
		time.Sleep(maxUnreportedAge)
		ended, kept := s.placeShort(), s.placeShort()
		s.gate.placer.release(place.End{ID: ended.ID})
		time.Sleep(time.Millisecond)
		got := s.gate.UnreportedGrants()
		quicktest.Assert(t, got, quicktest.HasLen, 1)
		quicktest.Check(t, got[0].Request.ID, quicktest.Equals, kept.ID)
		quicktest.Check(t, got[0].Age, quicktest.Equals, time.Millisecond)
		quicktest.Check(t, s.gate.UnreportedGrants(), quicktest.HasLen, 0)
		s.gate.placer.release(place.End{ID: old.ID})
	})
}
