package table

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawTables generates tables whose names come from a small set, so that two of them share
// rows that are changed or moved.
func drawTables(t *rapid.T, label string) *Tables {
	var out Tables
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 8, rapid.ID).Draw(t, label) {
		limit := Duration(rapid.IntRange(1, 2).Draw(t, "limit"))
		out.Routes = append(out.Routes, Route{Name: fmt.Sprintf("r%d", n), Limit: limit})
		out.Pools = append(out.Pools, Pool{Name: fmt.Sprintf("p%d", n), Kind: Engine})
	}
	return &out
}

// TestDiffAppliesToTarget guards against a patch that doesn't transform its first tables into
// its second, as may happen when rows move and change at once, and against a non-empty patch
// between equal tables.
func TestDiffAppliesToTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTables(t, "a"), drawTables(t, "b")
		p := Diff(a, b)
		got, err := p.Apply(a)
		if err != nil {
			t.Fatal(err)
		}
		if remaining := Diff(got, b); !remaining.Empty() {
			t.Fatalf("difference after applying the patch: %v", remaining.Summary())
		}
		if unchanged := Diff(a, a); !unchanged.Empty() {
			t.Fatalf("difference between equal tables: %v", unchanged.Summary())
		}
	})
}

// TestSummaryListsChangedRows guards against a changed row that is listed as removed and added,
// or not at all.
func TestSummaryListsChangedRows(t *testing.T) {
	a := &Tables{Routes: []Route{{Name: "x"}, {Name: "y"}}, Pools: []Pool{{Name: "p"}}}
	b := &Tables{Routes: []Route{{Name: "x", Once: true}, {Name: "z"}}, Pools: []Pool{{Name: "p"}}}
	p := Diff(a, b)
	quicktest.Check(t, p.Summary(), quicktest.DeepEquals, []string{"route x changed", "route y removed", "route z added"})
}
