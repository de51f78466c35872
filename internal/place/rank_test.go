package place

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// ranked gives all requests the same ranks, and records the decisions.
type ranked struct {
	*Core
	rank, routeRank int
	decisions       []Decision
}

func (r *ranked) Step(now time.Time, e Event) []Decision {
	if a, ok := e.(Arrive); ok {
		a.Request.Rank, a.Request.RouteRank = r.rank, r.routeRank
		e = a
	}
	out := r.Core.Step(now, e)
	for _, d := range out {
		if refused, ok := d.(Refuse); ok {
			// It repeats the request, which has the ranks.
			refused.Request = Request{}
			d = refused
		}
		r.decisions = append(r.decisions, d)
	}
	return out
}

// TestEqualRanksChangeNothing compares all decisions under a load beyond capacity, bit by bit.
// It guards against ranks that act where all requests have the same.
func TestEqualRanksChangeNothing(t *testing.T) {
	play := func(rank, routeRank int) []Decision {
		p := &ranked{Core: &Core{Fair: true}, rank: rank, routeRank: routeRank}
		s := newSim(5, 16, p)
		s.addLoad(short(), 0, 6*second, 120)
		s.addLoad(medium(), 0, 6*second, 3)
		s.addLoad(long(), 0, 6*second, 1.5)
		s.run(16 * second)
		return p.decisions
	}
	want := play(0, 0)
	quicktest.Check(t, len(want) > 500, quicktest.IsTrue)
	for _, ranks := range [][2]int{{1, 0}, {1, 2}, {3, 1}, {9, 9}} {
		quicktest.Check(t, play(ranks[0], ranks[1]), quicktest.DeepEquals, want, quicktest.Commentf("ranks %v", ranks))
	}
}
