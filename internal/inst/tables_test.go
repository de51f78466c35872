package inst

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/admin"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// TestTablesSession compares a session of two operators at two instances with a golden
// file: tables read and compared, a change, the same change sent again, changes that
// conflict or are invalid, and the outcomes of calls.
func TestTablesSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-b")
		s.startService(2, "dakar-a")
		time.Sleep(3 * time.Second)
		const first, second = "http://10.0.0.1:82", "http://10.0.0.2:82"
		body := func(id, operator string, base uint64, limit time.Duration, pool string) string {
			b, err := json.Marshal(admin.Change{ID: id, Operator: operator, Base: &base, Tables: table.Tables{
				Routes: []table.Route{{Name: "orders", Match: table.Match{Path: "/orders/"}, Pool: pool, Limit: table.Duration(limit), Once: true}},
				Pools:  []table.Pool{{Name: "orders", Kind: table.Service}},
			}})
			quicktest.Assert(t, err, quicktest.IsNil)
			return string(b)
		}
		var out strings.Builder
		out.WriteString(s.do("GET", first+admin.PathTables, ""))
		out.WriteString(s.do("PUT", first+admin.PathTables, body("x", "awa", 1, time.Minute, "orders")))
		out.WriteString(s.do("PUT", second+admin.PathTables, body("y", "ion", 1, time.Hour, "orders")))
		out.WriteString(s.do("PUT", second+admin.PathTables, body("x", "awa", 1, time.Minute, "orders")))
		out.WriteString(s.do("PUT", second+admin.PathTables, body("x", "awa", 2, time.Hour, "orders")))
		out.WriteString(s.do("PUT", second+admin.PathTables, body("z", "ion", 9, time.Hour, "orders")))
		out.WriteString(s.do("PUT", second+admin.PathTables, body("b", "ion", 2, time.Hour, "ordres")))
		out.WriteString(s.do("PUT", second+admin.PathTables, `{"tables":{}}`))
		out.WriteString(s.do("PUT", second+admin.PathTables, `{"base":2}`))
		out.WriteString(s.do("PUT", second+admin.PathTables, `{"base":2,"tables":{"routes":null,"pools":[]}}`))
		out.WriteString(s.do("POST", second+admin.PathDiff, `{"pools":[]}`))
		out.WriteString(s.do("POST", second+admin.PathDiff, `{"routes":[],"pools":[{"name":"orders","kind":"service"}]}`))
		s.do("POST", "http://10.0.0.2:80/orders/renew", `{"jar":7}`, "Bamboo-Organisation", "levain", "Idempotency-Key", "k1")
		out.WriteString(s.do("GET", first+admin.PathOutcome+"?organisation=levain&key=k1", ""))
		out.WriteString(s.do("GET", first+admin.PathOutcome+"?organisation=levain&key=k2", ""))
		checkGolden(t, "tables.golden", out.String())
		s.close()
	})
}
