package member

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Delta is the difference between two versions of the view.
type Delta struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Revision is the revision of the tables at To.
	Revision uint64       `cbor:"3,keyasint"`
	Tables   *table.Patch `cbor:"4,keyasint,omitempty"`
	// Members holds new and changed members, RemovedMembers the names of removed ones.
	Members        []Member `cbor:"5,keyasint,omitempty"`
	RemovedMembers []string `cbor:"6,keyasint,omitempty"`
	// Leases holds new and changed leases, RemovedLeases the shards whose lease was removed.
	Leases        []Lease `cbor:"7,keyasint,omitempty"`
	RemovedLeases []Shard `cbor:"8,keyasint,omitempty"`
	// Planner is the planner's new lease; nil if unchanged.
	Planner *Lease `cbor:"9,keyasint,omitempty"`
	// OutOfService holds the engines that stopped accepting new requests, BackInService
	// those that accept them again.
	OutOfService  []string `cbor:"10,keyasint,omitempty"`
	BackInService []string `cbor:"11,keyasint,omitempty"`
}

// Diff returns the delta from view a to view b.
func Diff(a, b *View) Delta {
	d := Delta{From: a.Version, To: b.Version, Revision: b.Revision}
	if a.Revision != b.Revision {
		p := table.Diff(&a.Tables, &b.Tables)
		d.Tables = &p
	}
	d.Members, d.RemovedMembers = diffSorted(a.Members, b.Members, memberName, cmp.Compare[string])
	d.Leases, d.RemovedLeases = diffSorted(a.Leases, b.Leases, leaseShard, Shard.Compare)
	if a.PlannerLease != b.PlannerLease {
		d.Planner = &b.PlannerLease
	}
	d.OutOfService, d.BackInService = diffSorted(a.OutOfService, b.OutOfService, identity, cmp.Compare[string])
	return d
}

// Apply returns a new view with the delta applied; v is not changed. It returns an error
// if the delta does not start at the version of v.
func (v *View) Apply(d *Delta) (*View, error) {
	if d.From != v.Version || d.To <= v.Version || d.Revision < v.Revision {
		return nil, fmt.Errorf("delta from version %d to %d (revision %d) does not apply to version %d (revision %d)",
			d.From, d.To, d.Revision, v.Version, v.Revision)
	}
	out := *v
	out.Version, out.Revision = d.To, d.Revision
	if d.Tables != nil {
		t, err := d.Tables.Apply(&v.Tables)
		if err != nil {
			return nil, fmt.Errorf("apply the tables of the delta to version %d: %w", d.To, err)
		}
		out.Tables = *t
	}
	out.Members = mergeSorted(v.Members, d.Members, d.RemovedMembers, memberName, cmp.Compare[string])
	out.Leases = mergeSorted(v.Leases, d.Leases, d.RemovedLeases, leaseShard, Shard.Compare)
	if d.Planner != nil {
		out.PlannerLease = *d.Planner
	}
	out.OutOfService = mergeSorted(v.OutOfService, d.OutOfService, d.BackInService, identity, cmp.Compare[string])
	return &out, nil
}

func identity(s string) string   { return s }
func memberName(m Member) string { return m.Name }
func leaseShard(l Lease) Shard   { return l.Shard }

// diffSorted compares two lists that are sorted by key. It returns the elements of b that
// are new or changed, and the keys of a that b lacks.
func diffSorted[T comparable, K any](a, b []T, key func(T) K, compare func(K, K) int) (changed []T, removed []K) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && compare(key(a[0]), key(b[0])) < 0:
			removed = append(removed, key(a[0]))
			a = a[1:]
		case len(a) == 0 || compare(key(a[0]), key(b[0])) > 0:
			changed = append(changed, b[0])
			b = b[1:]
		default:
			if a[0] != b[0] {
				changed = append(changed, b[0])
			}
			a, b = a[1:], b[1:]
		}
	}
	return changed, removed
}

// mergeSorted returns a list, sorted by key, with elements inserted or replaced and
// others removed. The given list is not changed.
func mergeSorted[T any, K any](list, changed []T, removed []K, key func(T) K, compare func(K, K) int) []T {
	if len(changed)+len(removed) == 0 {
		return list
	}
	out := slices.Clone(list)
	byKey := func(e T, k K) int { return compare(key(e), k) }
	for _, k := range removed {
		if i, found := slices.BinarySearchFunc(out, k, byKey); found {
			out = slices.Delete(out, i, i+1)
		}
	}
	for _, e := range changed {
		i, found := slices.BinarySearchFunc(out, key(e), byKey)
		if found {
			out[i] = e
		} else {
			out = slices.Insert(out, i, e)
		}
	}
	return out
}
