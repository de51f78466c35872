package main

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestFitLine guards against a wrong fit: for points on a line, it must return that line.
func TestFitLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "base"), rapid.Float64Range(-1e3, 1e3).Draw(t, "slope")
		var ps []point
		for x := range rapid.IntRange(2, 9).Draw(t, "points") {
			ps = append(ps, point{float64(10 * x), base + slope*float64(10*x)})
		}
		f := fitLine(ps)
		if math.Abs(f.base-base) > 1e-6 || math.Abs(f.slope-slope) > 1e-6 {
			t.Fatalf("fit is %+v, want base %g and slope %g", f, base, slope)
		}
	})
}
