package table

import (
	"fmt"
	"reflect"
	"slices"
)

// Patch is the difference between the tables of two revisions.
type Patch struct {
	Routes RowPatch[Route] `json:"routes" cbor:"1,keyasint"`
	Pools  RowPatch[Pool]  `json:"pools" cbor:"2,keyasint"`
}

// RowPatch is the difference between two ordered lists of rows with unique names.
type RowPatch[T any] struct {
	// Drop lists the names of rows that are removed, changed or moved.
	Drop []string `json:"drop,omitempty" cbor:"1,keyasint,omitempty"`
	// Put lists the rows that are added, changed or moved, in their final order.
	Put []PlacedRow[T] `json:"put,omitempty" cbor:"2,keyasint,omitempty"`
}

// PlacedRow is a row with its index in the final list.
type PlacedRow[T any] struct {
	Index int `json:"index" cbor:"1,keyasint"`
	Row   T   `json:"row" cbor:"2,keyasint"`
}

// tableRow is the constraint for rows of a table.
type tableRow interface {
	Route | Pool
	rowName() string
}

func (r Route) rowName() string { return r.Name }
func (p Pool) rowName() string  { return p.Name }

// Diff returns the patch that transforms a into b.
func Diff(a, b *Tables) Patch {
	return Patch{Routes: diffRows(a.Routes, b.Routes), Pools: diffRows(a.Pools, b.Pools)}
}

// Empty reports whether the patch changes nothing.
func (p *Patch) Empty() bool {
	return len(p.Routes.Drop)+len(p.Routes.Put)+len(p.Pools.Drop)+len(p.Pools.Put) == 0
}

// Apply returns t with the patch applied; t is not modified. An index outside the list is an
// error.
func (p *Patch) Apply(t *Tables) (*Tables, error) {
	routes, err := applyRows(t.Routes, p.Routes)
	if err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	pools, err := applyRows(t.Pools, p.Pools)
	if err != nil {
		return nil, fmt.Errorf("pools: %w", err)
	}
	return &Tables{Routes: routes, Pools: pools}, nil
}

// diffRows returns the patch that transforms a into b. It keeps rows that are equal and in the
// same order in both lists, and lists all others in Drop and Put.
func diffRows[T tableRow](a, b []T) RowPatch[T] {
	oldIndex := make(map[string]int, len(a))
	for i, r := range a {
		oldIndex[r.rowName()] = i
	}
	var patch RowPatch[T]
	kept := make(map[string]bool, len(b))
	lastIndex := -1
	for i, r := range b {
		old, found := oldIndex[r.rowName()]
		inOrder := found && old > lastIndex
		if inOrder {
			lastIndex = old
		}
		if inOrder && reflect.DeepEqual(a[old], r) {
			kept[r.rowName()] = true
			continue
		}
		patch.Put = append(patch.Put, PlacedRow[T]{Index: i, Row: r})
	}
	for _, r := range a {
		if !kept[r.rowName()] {
			patch.Drop = append(patch.Drop, r.rowName())
		}
	}
	return patch
}

// applyRows returns a with the patch applied.
func applyRows[T tableRow](a []T, patch RowPatch[T]) ([]T, error) {
	drop := make(map[string]bool, len(patch.Drop))
	for _, n := range patch.Drop {
		drop[n] = true
	}
	out := make([]T, 0, len(a)+len(patch.Put))
	for _, r := range a {
		if !drop[r.rowName()] {
			out = append(out, r)
		}
	}
	for _, put := range patch.Put {
		if put.Index < 0 || put.Index > len(out) {
			return nil, fmt.Errorf("row %q: index %d is out of range for a list of %d rows", put.Row.rowName(), put.Index, len(out))
		}
		out = slices.Insert(out, put.Index, put.Row)
	}
	return out, nil
}

// Summary returns one line for each changed row, such as "route advice changed".
func (p *Patch) Summary() []string {
	return append(summarize("route", p.Routes), summarize("pool", p.Pools)...)
}

// summarize returns one line for each changed row, with the given kind of row.
func summarize[T tableRow](kind string, p RowPatch[T]) []string {
	put := make(map[string]bool, len(p.Put))
	for _, q := range p.Put {
		put[q.Row.rowName()] = true
	}
	dropped := make(map[string]bool, len(p.Drop))
	var out []string
	for _, n := range p.Drop {
		dropped[n] = true
		if put[n] {
			out = append(out, fmt.Sprintf("%s %s changed", kind, n))
		} else {
			out = append(out, fmt.Sprintf("%s %s removed", kind, n))
		}
	}
	for _, q := range p.Put {
		if n := q.Row.rowName(); !dropped[n] {
			out = append(out, fmt.Sprintf("%s %s added", kind, n))
		}
	}
	return out
}
