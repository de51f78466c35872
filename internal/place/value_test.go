package place

import (
	"math"
	"testing"

	"github.com/frankban/quicktest"
)

// TestHugeRanks guards against ranks whose sum overflows: the last of all would come before the first.
func TestHugeRanks(t *testing.T) {
	c := &Core{Fair: true}
	quicktest.Check(t, c.rankWeight(Request{Rank: math.MaxInt, RouteRank: math.MaxInt}), quicktest.Equals, 1.0/256)
	quicktest.Check(t, c.rankWeight(Request{Rank: math.MinInt, RouteRank: 1}), quicktest.Equals, 0.5)
	quicktest.Check(t, c.rankWeight(Request{Rank: 3, RouteRank: 2}), quicktest.Equals, 1.0/32)
}
