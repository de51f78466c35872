package site_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

func validTables() site.Tables {
	return site.Tables{
		Version: 7,
		Pools:   []site.Pool{{Name: "engines"}, {Name: "orders"}},
		Routes: []site.Route{
			{Name: "a", Host: "h", Prefix: "/a/", Kind: site.Streaming, Limit: time.Second, Split: []site.PoolWeight{{Pool: "engines", Weight: 9}, {Pool: "orders", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/a/b/", Kind: site.NonIdempotent, Limit: time.Second, Split: []site.PoolWeight{{Pool: "orders", Weight: 1}}},
		},
		Organisations: []site.Organisation{{Name: "o", Keys: []string{"k1", "k2"}}, {Name: "p", Keys: []string{"k3"}}},
	}
}

func TestTablesCheck(t *testing.T) {
	valid := validTables()
	quicktest.Assert(t, valid.Check(), quicktest.IsNil)
	for name, invalidate := range map[string]func(*site.Tables){
		"unknown pool":              func(t *site.Tables) { t.Routes[0].Split[0].Pool = "x" },
		"duplicate host and prefix": func(t *site.Tables) { t.Routes[1].Prefix = "/a/" },
		"no weight":                 func(t *site.Tables) { t.Routes[1].Split[0].Weight = 0 },
		"negative weight":           func(t *site.Tables) { t.Routes[0].Split[1].Weight = -1 },
		"weights that overflow": func(t *site.Tables) {
			for range 2 {
				t.Routes[0].Split = append(t.Routes[0].Split, site.PoolWeight{Pool: "orders", Weight: math.MaxInt})
			}
		},
		"negative aim":               func(t *site.Tables) { t.Routes[0].Aim = -1 },
		"negative pause":             func(t *site.Tables) { t.Routes[0].Pause = -1 },
		"no time limit":              func(t *site.Tables) { t.Routes[0].Limit = 0 },
		"no kind":                    func(t *site.Tables) { t.Routes[0].Kind = 0 },
		"no host":                    func(t *site.Tables) { t.Routes[0].Host = "" },
		"prefix without final slash": func(t *site.Tables) { t.Routes[0].Prefix = "/a" },
		"duplicate key":              func(t *site.Tables) { t.Organisations[1].Keys = []string{"k1"} },
		"duplicate pool":             func(t *site.Tables) { t.Pools[1].Name = "engines" },
		"empty engine":               func(t *site.Tables) { t.Pools[0].Engine = &site.Engine{} },
	} {
		t.Run(name, func(t *testing.T) {
			invalid := validTables()
			invalidate(&invalid)
			var field *table.FieldError
			quicktest.Assert(t, errors.As(invalid.Check(), &field), quicktest.IsTrue)
		})
	}
}

// TestEngineOutOfRange guards against schedulers that never end a step: with declared numbers that overflow,
// or a pass that takes no time, the predicted end of a pass never comes after the present.
func TestEngineOutOfRange(t *testing.T) {
	valid := site.Engine{Slots: 16, Memory: 405_000, Step: time.Millisecond, Rate: 154_000, Pairs: 162 * time.Microsecond, Chunk: 2048, Stride: 34}
	for name, invalidate := range map[string]func(*site.Engine){
		"valid":                  nil,
		"pass that overflows":    func(e *site.Engine) { e.Stride = math.MaxInt },
		"context that overflows": func(e *site.Engine) { e.PerContext = math.MaxInt64 },
		"answers that overflow":  func(e *site.Engine) { e.PerAnswer, e.Slots = time.Hour, 1<<30 },
		"negative time":          func(e *site.Engine) { e.PerAnswer = -time.Hour },
		"negative pairs":         func(e *site.Engine) { e.Pairs = -1 },
		"step of no time":        func(e *site.Engine) { e.Step = 1 },
		"chunks that overflow":   func(e *site.Engine) { e.Chunk = math.MaxInt },
		"huge memory":            func(e *site.Engine) { e.Memory = math.MaxInt },
		"huge rate":              func(e *site.Engine) { e.Rate = math.MaxFloat64 },
		"rate near 0":            func(e *site.Engine) { e.Rate = math.SmallestNonzeroFloat64 },
		"huge pairs":             func(e *site.Engine) { e.Pairs = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			tables, e := validTables(), valid
			tables.Pools[0].Engine = &e
			if invalidate == nil {
				quicktest.Assert(t, tables.Check(), quicktest.IsNil)
				return
			}
			invalidate(&e)
			var field *table.FieldError
			quicktest.Assert(t, errors.As(tables.Check(), &field), quicktest.IsTrue)
		})
	}
}

func TestIndexLongestPrefix(t *testing.T) {
	tables := validTables()
	x := site.NewIndex(&tables)
	for path, want := range map[string]string{"/a/x": "a", "/a/b/x": "b", "/a/b": "a", "/a/b/": "b", "/c/": "", "/a": ""} {
		r, ok := x.Route("h", path)
		name := ""
		if ok {
			name = r.Name
		}
		quicktest.Assert(t, name, quicktest.Equals, want, quicktest.Commentf("%s", path))
	}
	_, ok := x.Route("other", "/a/x")
	quicktest.Assert(t, ok, quicktest.IsFalse)
	o, ok := x.Organisation("k2")
	quicktest.Assert(t, ok && o.Name == "o", quicktest.IsTrue)
}

// TestRoutePickPool checks with evenly spaced draws that each pool gets requests in
// proportion to its weight, and a pool of weight 0 none.
func TestRoutePickPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 5).Draw(t, "weights")
		var r site.Route
		total := 0
		for i, w := range weights {
			r.Split = append(r.Split, site.PoolWeight{Pool: fmt.Sprint(i), Weight: w})
			total += w
		}
		if total == 0 {
			t.Skip("all weights are 0")
		}
		got := make(map[string]int)
		for i := range total {
			got[r.PickPool((float64(i)+0.5)/float64(total))]++
		}
		for i, w := range weights {
			if got[fmt.Sprint(i)] != w {
				t.Fatalf("pool %d got %d of %d draws, want %d", i, got[fmt.Sprint(i)], total, w)
			}
		}
	})
}

func TestRouteMayRetry(t *testing.T) {
	for _, c := range []struct {
		kind      site.Kind
		resumable bool
		want      bool
	}{
		{site.Idempotent, false, true},
		{site.NonIdempotent, false, false},
		{site.NonIdempotent, true, false},
		{site.Streaming, false, false},
		{site.Streaming, true, true},
	} {
		r := site.Route{Kind: c.kind, Resumable: c.resumable}
		quicktest.Assert(t, r.MayRetry(), quicktest.Equals, c.want)
	}
}

func TestTargetCheck(t *testing.T) {
	valid := site.Target{ID: "i", Pool: "p", Address: "10.0.0.1:80", Slots: 1, State: site.Ready}
	quicktest.Assert(t, valid.Check(), quicktest.IsNil)
	for name, invalidate := range map[string]func(*site.Target){
		"no id":                  func(t *site.Target) { t.ID = "" },
		"no pool":                func(t *site.Target) { t.Pool = "" },
		"address is a host name": func(t *site.Target) { t.Address = "host:80" },
		"no port":                func(t *site.Target) { t.Address = "10.0.0.1" },
		"no slots":               func(t *site.Target) { t.Slots = 0 },
		"state gone":             func(t *site.Target) { t.State = site.Gone },
	} {
		invalid := valid
		invalidate(&invalid)
		quicktest.Assert(t, invalid.Check(), quicktest.IsNotNil, quicktest.Commentf("%s", name))
	}
}
