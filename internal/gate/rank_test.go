package gate

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

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
