package site_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestRegions guards against requests that leave their regions through a data centre that the
// settings don't list, and against limits on an instance that knows no regions.
func TestRegions(t *testing.T) {
	r := site.Regions{"a": "eu", "b": "eu", "c": "us"}
	quicktest.Check(t, r.Same("a", "b"), quicktest.IsTrue)
	quicktest.Check(t, r.Same("a", "c"), quicktest.IsFalse)
	quicktest.Check(t, r.Same("x", "y"), quicktest.IsFalse)
	quicktest.Check(t, r.Same("x", "x"), quicktest.IsTrue)
	quicktest.Check(t, r.Allows([]string{"eu"}, "b"), quicktest.IsTrue)
	quicktest.Check(t, r.Allows([]string{"eu"}, "c"), quicktest.IsFalse)
	quicktest.Check(t, r.Allows([]string{"eu", ""}, "x"), quicktest.IsFalse)
	quicktest.Check(t, r.Allows(nil, "x"), quicktest.IsTrue)
	var one site.Regions
	quicktest.Check(t, one.Same("a", "x") && one.Allows([]string{"eu"}, "x"), quicktest.IsTrue)
	quicktest.Check(t, []int{r.Count(), one.Count()}, quicktest.DeepEquals, []int{2, 1})
	for _, c := range []struct {
		a, b, common []string
		ok           bool
	}{
		{nil, nil, nil, true},
		{[]string{"eu"}, nil, []string{"eu"}, true},
		{nil, []string{"us"}, []string{"us"}, true},
		{[]string{"eu", "us"}, []string{"us"}, []string{"us"}, true},
		{[]string{"eu"}, []string{"us"}, nil, false},
	} {
		common, ok := site.CommonRegions(c.a, c.b)
		quicktest.Check(t, common, quicktest.DeepEquals, c.common)
		quicktest.Check(t, ok, quicktest.Equals, c.ok)
	}
}
