package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// regionCore returns a core with that many idle engines in each of two regions. The IDs of the
// engines begin with the name of the region.
func regionCore(now time.Time, engines int, standalone bool) *Core {
	c := &Core{Standalone: standalone, Regions: site.Regions{"a": "eu", "b": "us"}}
	f := Fleet{Engine: publishedEngine()}
	for i := range engines {
		for dc, region := range c.Regions {
			f.Targets = append(f.Targets, site.Target{ID: fmt.Sprintf("%s%02d", region, i), Pool: "p", DataCentre: dc, State: site.Ready, Slots: 16})
		}
	}
	c.Step(now, f)
	return c
}

// TestRegionsBindPlacement guards against prompts, or parts of them, at engines outside of the
// regions of their requests, with a scheduler and without, also while those engines are free and
// the allowed ones are full.
func TestRegionsBindPlacement(t *testing.T) {
	for _, standalone := range []bool{false, true} {
		grants, helpers := 0, 0
		for _, g := range placeBound(standalone) {
			grants++
			helpers += len(g.Helpers)
			for _, id := range append(slices.Clone(g.Helpers), g.Lead) {
				quicktest.Assert(t, id[:2], quicktest.Equals, "eu")
			}
		}
		quicktest.Assert(t, grants > 30 && helpers > 0, quicktest.IsTrue, quicktest.Commentf("%d grants, %d helpers", grants, helpers))
	}
}

// placeBound places more requests than the allowed engines can serve, all bound to one region, and
// returns the grants.
func placeBound(standalone bool) (grants []Grant) {
	now := time.Unix(0, 0)
	c := regionCore(now, 8, standalone)
	for i := range 400 {
		req := shortRequest(fmt.Sprint(i))
		req.Regions = []string{"eu"}
		if i%10 == 0 {
			req.Prompt, req.TTFTLeft, req.TTFTTarget = 350_000, 3*time.Second, 3*time.Second
			req.MaxPause, req.PauseTimeout, req.TimeLeft = time.Second, 9*time.Second, 9*time.Second
		}
		decisions := c.Step(now, Arrive{req})
		if !standalone {
			decisions = append(decisions, c.Step(now, Tick{})...)
		}
		for _, d := range decisions {
			if g, ok := d.(Grant); ok {
				grants = append(grants, g)
			}
		}
		now = now.Add(5 * time.Millisecond)
	}
	return grants
}

// TestNoEngineInRegion guards against requests that wait for an engine which their regions don't
// have: they must be refused at once.
func TestNoEngineInRegion(t *testing.T) {
	for _, standalone := range []bool{false, true} {
		now := time.Unix(0, 0)
		c := regionCore(now, 2, standalone)
		req := shortRequest("x")
		req.Regions = []string{"asia"}
		decisions := c.Step(now, Arrive{req})
		quicktest.Assert(t, decisions, quicktest.HasLen, 1)
		refusal, ok := decisions[0].(Refuse)
		quicktest.Assert(t, ok && refusal.RetryAfter > 0, quicktest.IsTrue, quicktest.Commentf("%v", decisions))
	}
}

// TestOtherRegionIsNotCrowded guards against late requests that are refused because the engines of
// other regions are full.
func TestOtherRegionIsNotCrowded(t *testing.T) {
	now := time.Unix(0, 0)
	c := regionCore(now, 8, false)
	for i := range 8 * 16 {
		req := shortRequest(fmt.Sprint("us", i))
		req.Regions = []string{"us"}
		c.Step(now, Arrive{req})
		c.Step(now, FirstEvent{ID: req.ID, Elapsed: 100 * time.Millisecond})
	}
	late := shortRequest("late")
	late.TTFTLeft, late.Regions = 0, []string{"eu"}
	decisions := c.Step(now, Arrive{late})
	quicktest.Assert(t, decisions, quicktest.HasLen, 1)
	g, ok := decisions[0].(Grant)
	quicktest.Assert(t, ok && g.Lead[:2] == "eu", quicktest.IsTrue, quicktest.Commentf("%v", decisions))
}
