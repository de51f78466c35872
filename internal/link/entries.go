package link

import (
	"cmp"
	"slices"
)

// SortEntries sorts entries by name, in place. Of several with one name, it keeps the first.
func SortEntries(list []Entry) []Entry {
	slices.SortStableFunc(list, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(list, func(a, b Entry) bool { return a.Name == b.Name })
}

// ReplaceEntries sets the whole list of ready instances.
func (m *ControlMessage) ReplaceEntries(list []Entry) {
	m.Entries, m.HasEntries = list, true
	m.AddedEntries, m.RemovedEntries = nil, nil
}

// ChangeEntries sets the list of ready instances for a receiver that was sent the former one. Both
// are sorted. The message carries only what has changed, unless it holds a whole list already.
func (m *ControlMessage) ChangeEntries(former, list []Entry) {
	if m.HasEntries {
		m.ReplaceEntries(list)
		return
	}
	if len(m.AddedEntries)+len(m.RemovedEntries) == 0 {
		m.FormerEntries = former
	}
	m.AddedEntries, m.RemovedEntries = compareEntries(m.FormerEntries, list)
}

// compareEntries returns the entries of list that former lacks, and the names of those that only
// former has. Both are sorted.
func compareEntries(former, list []Entry) (added []Entry, removed []string) {
	for len(former) > 0 || len(list) > 0 {
		switch {
		case len(former) == 0 || len(list) > 0 && list[0].Name < former[0].Name:
			added, list = append(added, list[0]), list[1:]
		case len(list) == 0 || former[0].Name < list[0].Name:
			removed, former = append(removed, former[0].Name), former[1:]
		default:
			if list[0] != former[0] {
				added = append(added, list[0])
			}
			list, former = list[1:], former[1:]
		}
	}
	return added, removed
}

// applyEntries returns the list of ready instances after a message, and whether the message
// changes it. It leaves the former list as it is.
func (m *ControlMessage) applyEntries(former []Entry) (list []Entry, changed bool) {
	if m.HasEntries {
		return m.Entries, true
	}
	if len(m.AddedEntries)+len(m.RemovedEntries) == 0 {
		return former, false
	}
	// The first of two entries of a name stays.
	list = slices.Concat(m.AddedEntries, former)
	list = slices.DeleteFunc(list, func(e Entry) bool { return slices.Contains(m.RemovedEntries, e.Name) })
	return SortEntries(list), true
}
