package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestRefusalIsExplained guards against a refusal of which the log doesn't say whose it was and how
// much time was left, and which isn't counted by its reason.
func TestRefusalIsExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, nil)
		quicktest.Assert(t, s.call(idempotentPath, "").status, quicktest.Equals, 503)
		for _, key := range []string{`"rank":`, `"route_rank":`, `"organisation":`, `"prompt":`, `"output":`, `"left":`} {
			quicktest.Check(t, s.logs.String(), quicktest.Contains, key)
		}
		c, ok := s.gate.Metrics.Get(meter.Label("gate.refusals", "reason", "no target is available")).(metrics.Counter)
		quicktest.Assert(t, ok, quicktest.IsTrue)
		quicktest.Check(t, c.Count(), quicktest.Equals, int64(1))
	})
}

// TestPlacementRequestNamesRanks guards against a scheduler that does not learn the rank of the
// route beside that of the organisation, or counts the route's rank twice.
func TestPlacementRequestNamesRanks(t *testing.T) {
	s := newTestbed(t, nil, []script{streamEvents(2, 0)})
	for _, c := range []struct {
		name            string
		organisation    site.Organisation
		rank, routeRank int
	}{
		{"ranked", site.Organisation{Name: "a", Keys: []string{"k"}, Rank: 1, Ranked: true}, 1, 2},
		{"unranked", site.Organisation{Name: "b", Keys: []string{"k"}}, 2, 0},
	} {
		v := *s.gate.views.load()
		v.index = site.NewIndex(&site.Tables{Keyed: true, Organisations: []site.Organisation{c.organisation}})
		x := &exchange{server: s.gate, start: time.Now(), view: &v, pool: &site.Pool{Name: "engines"}, route: &site.Route{Rank: 2}}
		x.call.Key = "k"
		quicktest.Assert(t, x.authorise(), quicktest.IsTrue)
		r := (&stream{exchange: x}).placementRequest()
		quicktest.Check(t, r.Rank, quicktest.Equals, c.rank, quicktest.Commentf(c.name))
		quicktest.Check(t, r.RouteRank, quicktest.Equals, c.routeRank, quicktest.Commentf(c.name))
		quicktest.Check(t, r.Organisation, quicktest.Equals, c.organisation.Name, quicktest.Commentf(c.name))
	}
}
