package inst

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/admin"
	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// postAndDiscard sends a completion request to instance 2 and discards the answer. The
// caller disconnects when ctx ends.
func (s *site) postAndDiscard(ctx context.Context, body string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.2:80/v1/completions", strings.NewReader(body))
	quicktest.Check(s.t, err, quicktest.IsNil)
	req.Header.Set("Bamboo-Organisation", "levain")
	resp, err := s.clientFrom(callerAddr).Do(req)
	if err != nil {
		return // The context has ended.
	}
	defer resp.Body.Close()
	quicktest.Check(s.t, resp.StatusCode, quicktest.Equals, http.StatusOK)
	_, _ = io.Copy(io.Discard, resp.Body)
}

// TestEngineReassignedToBusyPool keeps one pool overloaded while another one is idle. The
// planner must drain exactly one idle engine and have it load the other model and join
// the overloaded pool, and that engine must then get requests.
func TestEngineReassignedToBusyPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-a")
		time.Sleep(3 * time.Second)
		base := uint64(1)
		b, err := json.Marshal(admin.Change{Base: &base, Tables: table.Tables{
			Routes: []table.Route{
				{Name: "starter", Match: table.Match{Model: "starter"}, Pool: "advice", Limit: table.Duration(time.Hour)},
				{Name: "logs", Match: table.Match{Model: "logs"}, Pool: "logs", Limit: table.Duration(time.Hour)},
			},
			Pools: []table.Pool{
				{Name: "advice", Kind: table.Engine, Model: "starter"},
				{Name: "logs", Kind: table.Engine, Model: "logs"},
			},
		}})
		quicktest.Assert(t, err, quicktest.IsNil)
		s.do("PUT", "http://10.0.0.1:82"+admin.PathTables, string(b))
		var idleEngines []*fake.Engine
		for n := range 3 {
			idleEngines = append(idleEngines, s.startEngine(n+1, "dakar-a"))
		}
		busyEngine := &fake.Engine{Costs: fake.Costs{Prefill: time.Microsecond, Decode: 10 * time.Millisecond}}
		s.startTarget(9, "dakar-a", "logs", table.Engine, func(t engine.Target) (http.Handler, func() engine.Report) {
			busyEngine.Target = t
			return busyEngine, busyEngine.Report
		})
		time.Sleep(2 * time.Second)
		ctx, disconnect := context.WithCancel(t.Context())
		for range 3 {
			s.wg.Go(func() { s.postAndDiscard(ctx, `{"model":"logs","max_tokens":150000,"prompt":"All of the season."}`) })
		}
		time.Sleep(100 * time.Second)
		reassigned := 0
		for _, e := range idleEngines {
			orders := e.Orders.List()
			quicktest.Check(t, e.Held() > 0, quicktest.Equals, len(orders) > 0)
			for _, command := range orders {
				reassigned++
				quicktest.Check(t, command.Order(), quicktest.Equals, engine.Order(engine.LoadModel{Model: "logs", Pool: "logs"}))
			}
		}
		quicktest.Check(t, reassigned, quicktest.Equals, 1)
		disconnect()
		time.Sleep(30 * time.Second)
		for _, e := range append(idleEngines, busyEngine) {
			quicktest.Check(t, e.Held(), quicktest.Equals, 0)
		}
		s.close()
	})
}
