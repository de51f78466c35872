package ctrl

import (
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/member"
)

// maxDeltas is the minimum number of newest deltas kept. A member whose view is older gets
// the whole view instead.
const maxDeltas = 512

// deltas holds the newest changes of the view, oldest first and without gaps. The zero
// value is empty and ready to use.
type deltas struct {
	list []member.Delta
}

// add appends a delta. If it does not follow on the last one, the older ones are removed.
func (d *deltas) add(delta member.Delta) {
	if k := len(d.list); k > 0 && d.list[k-1].To != delta.From {
		d.list = nil
	}
	d.list = append(d.list, delta)
	if n := len(d.list) - maxDeltas; n > maxDeltas/2 {
		d.list = slices.Clone(d.list[n:])
	}
}

// since returns the deltas after the version have, or false if they are not all kept. A
// new member, whose version is 0, always needs the whole view.
func (d *deltas) since(have uint64) ([]member.Delta, bool) {
	if have == 0 {
		return nil, false
	}
	for i := len(d.list) - 1; i >= 0 && d.list[i].From >= have; i-- {
		if d.list[i].From == have {
			return slices.Clip(d.list[i:]), true
		}
	}
	return nil, false
}
