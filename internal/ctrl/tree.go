package ctrl

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooproxy/bambooproxy/internal/member"
)

const (
	// maxDirectMembers is the largest number of members that all send heartbeats to the
	// leader.
	maxDirectMembers = 32
	// relayFanOut is the number of children of each relay.
	relayFanOut = 4
)

// relayOf returns the member that an instance sends its heartbeats to. It returns false
// in a small site and for the first member of a data centre: these call the leader. The
// members of a data centre form a complete tree in the order of their hashes, as in a
// binary heap, so that each computes its parent on its own, and few change parents when
// one leaves.
func relayOf(v *member.View, self string) (*member.Member, bool) {
	me, ok := v.Member(self)
	if !ok || len(v.Members) <= maxDirectMembers {
		return nil, false
	}
	list := sortedByHash(v, me.DataCentre, self)
	i := slices.IndexFunc(list, func(m *member.Member) bool { return m.Name == self })
	if i <= 0 {
		return nil, false
	}
	return list[(i-1)/relayFanOut], true
}

// sortedByHash lists the serving members of a data centre, and self, sorted by hash.
func sortedByHash(v *member.View, dc, self string) []*member.Member {
	var list []*member.Member
	for i := range v.Members {
		m := &v.Members[i]
		if m.DataCentre == dc && (m.State == member.Serving || m.Name == self) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name))
	})
	return list
}
