package table

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// validTables returns tables that pass the check.
func validTables() *Tables {
	return &Tables{
		Routes: []Route{
			{Name: "questions", Match: Match{Model: "starter"}, Pool: "advice", Limit: Duration(time.Minute)},
			{Name: "orders", Match: Match{Path: "/orders/"}, Pool: "orders", Limit: Duration(time.Second), Once: true},
		},
		Pools: []Pool{
			{Name: "advice", Kind: Engine, Limits: []Limit{{Organisation: "*", Tokens: 10}}},
			{Name: "orders", Kind: Service},
		},
	}
}

// TestCheckReportsInvalidField guards against invalid tables that pass the check, and against
// errors that name the wrong field. Each case makes one field of valid tables invalid.
func TestCheckReportsInvalidField(t *testing.T) {
	quicktest.Assert(t, validTables().Check(), quicktest.IsNil)
	for _, c := range []struct {
		corrupt   func(*Tables)
		wantError string
	}{
		{func(t *Tables) { t.Routes[0].Pool = "gone" }, `routes\[0\].pool: unknown pool "gone"`},
		{func(t *Tables) { t.Routes[0].Once = true }, `routes\[0\].once: .*once requires a pool of kind service`},
		{func(t *Tables) { t.Routes[1].Name = "questions" }, `routes\[1\].name: duplicate route "questions"`},
		{func(t *Tables) { t.Routes[1].Match.Path = "orders" }, `routes\[1\].match.path: "orders" does not start with /`},
		{func(t *Tables) { t.Routes[0].Limit = 0 }, `routes\[0\].limit: missing or not positive`},
		{func(t *Tables) { t.Routes[0].Limit = Duration(25 * time.Hour) }, `routes\[0\].limit: 25h0m0s is longer than the maximum of 24h.*`},
		{func(t *Tables) { t.Routes[0].Class = "vip" }, `routes\[0\].class: .*`},
		{func(t *Tables) { t.Pools[1].Name = "advice" }, `pools\[1\].name: duplicate pool "advice"`},
		{func(t *Tables) { t.Pools[1].Name = "a/b" }, `pools\[1\].name: .*`},
		{func(t *Tables) { t.Pools[1].Kind = "" }, `pools\[1\].kind: .*`},
		{func(t *Tables) { t.Pools[0].Blocking = 2 }, `pools\[0\].blocking: .*`},
		{func(t *Tables) { t.Pools[0].Limits[0].Tokens = -1 }, `pools\[0\].limits\[0\].tokens: -1 is not a rate; must be finite and not negative`},
		{func(t *Tables) { t.Pools[0].Limits[0].Concurrent = -1 }, `pools\[0\].limits\[0\].concurrent: -1 is negative`},
		{func(t *Tables) { t.Pools[0].Limits[0].Organisation = "" }, `pools\[0\].limits\[0\].organisation: missing`},
	} {
		tables := validTables()
		c.corrupt(tables)
		quicktest.Check(t, tables.Check(), quicktest.ErrorMatches, c.wantError)
	}
}
