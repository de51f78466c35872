package policy

import (
	"cmp"
	"slices"
	"time"
)

// maxCandidates and maxLongCandidates limit how many targets of one list a placement
// considers. The limit for long prompts is higher: they are few, and they need targets
// with much free memory, by which the lists are not sorted.
const (
	maxCandidates     = 16
	maxLongCandidates = 64
)

// fleet holds the targets of a shard and sorted lists of those that accept work.
type fleet struct {
	byName map[string]*target
	// active lists the targets that accept work, sorted by name.
	active []*target
	// withoutLong and withLong list the active targets without and with a long prompt in
	// prefill. There is one list for each band, sorted by when a prompt of it could
	// start.
	withoutLong, withLong [NumBands][]*target
	// maxMemory is the memory of the largest active target, totalMemory that of all, in
	// tokens.
	maxMemory, totalMemory int
}

// activeWithout returns the number of active targets that are not in avoid.
func (f *fleet) activeWithout(avoid []string) int {
	n := len(f.active)
	for i, name := range avoid {
		if t := f.byName[name]; t != nil && t.available && !slices.Contains(avoid[:i], name) {
			n--
		}
	}
	return n
}

// lists returns the lists that a target belongs to, by band.
func (f *fleet) lists(t *target) *[NumBands][]*target {
	if t.hasLong {
		return &f.withLong
	}
	return &f.withoutLong
}

// activate lets a target accept work.
func (f *fleet) activate(t *target) {
	if t.available {
		return
	}
	t.available = true
	i, _ := slices.BinarySearchFunc(f.active, t, compareNames)
	f.active = slices.Insert(f.active, i, t)
	f.totalMemory += t.Memory
	f.maxMemory = max(f.maxMemory, t.Memory)
	f.index(t)
}

// deactivate stops new work for a target.
func (f *fleet) deactivate(t *target) {
	if !t.available {
		return
	}
	t.available = false
	f.unindex(t)
	i, _ := slices.BinarySearchFunc(f.active, t, compareNames)
	f.active = slices.Delete(f.active, i, i+1)
	f.totalMemory -= t.Memory
	f.maxMemory = 0
	for _, o := range f.active {
		f.maxMemory = max(f.maxMemory, o.Memory)
	}
}

// update calls modify, which changes the prefills of a target, and keeps the lists
// sorted.
func (f *fleet) update(t *target, modify func()) {
	if !t.available {
		modify()
		return
	}
	f.unindex(t)
	modify()
	f.index(t)
}

// index inserts a target into its lists.
func (f *fleet) index(t *target) {
	lists := f.lists(t)
	for b := range lists {
		i, _ := slices.BinarySearchFunc(lists[b], t, comparePrefillEnd(Band(b)))
		lists[b] = slices.Insert(lists[b], i, t)
	}
}

// unindex removes a target from its lists.
func (f *fleet) unindex(t *target) {
	lists := f.lists(t)
	for b := range lists {
		if i, ok := slices.BinarySearchFunc(lists[b], t, comparePrefillEnd(Band(b))); ok {
			lists[b] = slices.Delete(lists[b], i, i+1)
		}
	}
}

// visitSoonest calls visit for the targets, with and without a long prompt in prefill, on
// which a prompt of the band could start the soonest.
func (f *fleet) visitSoonest(b Band, visit func(*target)) {
	n := maxCandidates
	if b.isLong() {
		n = maxLongCandidates
	}
	for _, list := range [][]*target{f.withoutLong[b], f.withLong[b]} {
		for _, t := range list[:min(len(list), n)] {
			visit(t)
		}
	}
}

func compareNames(x, y *target) int { return cmp.Compare(x.Name, y.Name) }

// shortestWait returns the shortest wait of a band in a sorted list, and false if the
// list is empty.
func shortestWait(now time.Time, b Band, list []*target) (time.Duration, bool) {
	if len(list) == 0 {
		return 0, false
	}
	return list[0].wait(now, b), true
}
