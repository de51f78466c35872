package table

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestFindings: routes that earlier ones hide, and pools that no route leads to, must be found, and no
// route that some request still reaches.
func TestFindings(t *testing.T) {
	tables := Tables{Pools: []Pool{{Name: "p", Kind: Service}, {Name: "q", Kind: Service, Limits: []Limit{{Organisation: "*"}}}}}
	for _, r := range []Route{
		{Name: "exact", Match: Match{Path: "/a/b"}},
		{Name: "below", Match: Match{Path: "/a/"}},
		{Name: "of-an-organisation", Match: Match{Path: "/a/", Organisation: "o"}, Pool: "q"},
		{Name: "of-a-model", Match: Match{Model: "m"}},
		{Name: "deeper", Match: Match{Path: "/a/b/c/"}},
		{Name: "another-path", Match: Match{Path: "/b/"}},
		{Name: "path-and-model", Match: Match{Path: "/c/", Model: "m"}},
		{Name: "all"},
		{Name: "after-all", Match: Match{Path: "/d/"}},
	} {
		r.Limit = Duration(time.Second)
		if r.Pool == "" {
			r.Pool = "p"
		}
		tables.Routes = append(tables.Routes, r)
	}
	var fields []string
	for _, f := range tables.Findings() {
		quicktest.Check(t, f.Severity, quicktest.Equals, Warning)
		fields = append(fields, f.Field)
	}
	quicktest.Check(t, fields, quicktest.DeepEquals, []string{"routes[2]", "routes[4]", "routes[6]", "routes[8]", "pools[1]", "pools[1].limits[0]"})

	tables.Routes[1].Pool = "none"
	got := tables.Findings()
	quicktest.Assert(t, got, quicktest.HasLen, 1)
	quicktest.Check(t, got[0].Severity, quicktest.Equals, Error)
}
