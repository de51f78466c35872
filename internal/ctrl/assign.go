package ctrl

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooproxy/bambooproxy/internal/member"
)

const (
	// An instance may hold a quarter more shards than an even share, so that few shards
	// move when instances join and leave.
	maxLoadNum, maxLoadDen = 5, 4
)

// candidates is a set of instances that may hold the same shards: those of one data
// centre, or all.
type candidates struct {
	// serving are the names of the instances that take leases, sorted.
	serving []string
	// maxShards is the most shards that one instance may hold.
	maxShards int
}

// assigner spreads shard leases over the serving instances by rendezvous hashing with
// bounded loads.
type assigner struct {
	// byDataCentre has the instances by data centre.
	byDataCentre map[string]*candidates
	// load counts the shards that are assigned to each instance.
	load map[string]int
	// all are the serving instances of all data centres.
	all candidates
}

// assignLeases assigns the lease of every shard to a serving instance of its data centre,
// or of any data centre if its own has none. A holder that is still a member and should
// not keep a lease has to hand it over; one that was removed is replaced at once.
func (s *State) assignLeases() {
	shards := s.shards()
	a := newAssigner(s.Members, len(s.Tables.Pools))
	next := make([]member.Lease, 0, len(shards))
	old := s.Leases
	// Leases that stay are counted first, so that new ones go to less loaded instances.
	for _, sh := range shards {
		for len(old) > 0 && old[0].Shard.Compare(sh) < 0 {
			old = old[1:]
		}
		l := member.Lease{Shard: sh}
		if len(old) > 0 && old[0].Shard == sh {
			l = old[0]
		}
		next = append(next, a.keepHolder(l))
	}
	out := next[:0]
	for _, l := range next {
		if l = s.chooseHolder(l, a); l.Holder != "" {
			out = append(out, l)
		}
	}
	s.Leases = out
	s.Planner = s.chooseHolder(a.keepPlannerHolder(s.Planner), a)
}

// chooseHolder picks an instance for a lease that has no holder, or the next holder for a
// lease that is to be handed over. Other leases are returned as they are.
func (s *State) chooseHolder(l member.Lease, a *assigner) member.Lease {
	if l.Holder != "" && l.NextHolder != nextPending {
		return l
	}
	name := a.pickInstance(l.Shard)
	if l.Holder != "" {
		l.NextHolder = name
		return l
	}
	if name == "" {
		return member.Lease{}
	}
	s.Epoch++
	return member.Lease{Shard: l.Shard, Holder: name, Epoch: s.Epoch}
}

// yield moves a lease to its next holder, with a new epoch, after the old holder has
// confirmed that it stopped.
func (s *State) yield(c Yield) Result {
	l := s.leaseOf(c.Shard)
	if l == nil || l.Holder != c.Holder || l.Epoch != c.Epoch || l.NextHolder == "" {
		return Result{RejectReason: "the holder or epoch does not match a lease that is being handed over"}
	}
	s.Epoch++
	lease := member.Lease{Shard: l.Shard, Holder: l.NextHolder, Epoch: s.Epoch}
	if c.Shard == (member.Shard{}) {
		s.Planner = lease
	} else {
		s.Leases = slices.Clone(s.Leases)
		*s.leaseOf(c.Shard) = lease
	}
	s.publish()
	return Result{Version: s.Version}
}

// leaseOf returns the lease of a shard, or nil. The zero shard means the planner.
func (s *State) leaseOf(sh member.Shard) *member.Lease {
	if sh == (member.Shard{}) {
		return &s.Planner
	}
	i, found := slices.BinarySearchFunc(s.Leases, sh, func(l member.Lease, sh member.Shard) int {
		return l.Shard.Compare(sh)
	})
	if !found {
		return nil
	}
	return &s.Leases[i]
}

// shards lists a shard for every pool in every data centre with members, sorted.
func (s *State) shards() []member.Shard {
	var dcs []string
	seen := make(map[string]bool)
	for _, m := range s.Members {
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			dcs = append(dcs, m.DataCentre)
		}
	}
	out := make([]member.Shard, 0, len(s.Tables.Pools)*len(dcs))
	for _, p := range s.Tables.Pools {
		for _, dc := range dcs {
			out = append(out, member.Shard{Pool: p.Name, DataCentre: dc})
		}
	}
	slices.SortFunc(out, member.Shard.Compare)
	return out
}

// nextPending marks a lease whose next holder has not been picked yet. It is not a
// valid instance name.
const nextPending = "/"

func newAssigner(members []member.Member, pools int) *assigner {
	a := &assigner{byDataCentre: make(map[string]*candidates), load: make(map[string]int)}
	for _, m := range members {
		c := a.byDataCentre[m.DataCentre]
		if c == nil {
			c = &candidates{}
			a.byDataCentre[m.DataCentre] = c
		}
		if m.State == member.Serving {
			c.serving = append(c.serving, m.Name)
			a.all.serving = append(a.all.serving, m.Name)
		}
	}
	for _, c := range a.byDataCentre {
		c.maxShards = maxShards(pools, len(c.serving))
	}
	a.all.maxShards = maxShards(pools*len(a.byDataCentre), len(a.all.serving))
	return a
}

// maxShards returns the most shards that each instance may hold.
func maxShards(shards, instances int) int {
	if instances == 0 {
		return 0
	}
	return (shards*maxLoadNum + instances*maxLoadDen - 1) / (instances * maxLoadDen)
}

// candidates returns the instances that may hold a shard: those that serve in its data
// centre, or all if none does.
func (a *assigner) candidates(sh member.Shard) *candidates {
	if c := a.byDataCentre[sh.DataCentre]; c != nil && len(c.serving) > 0 {
		return c
	}
	return &a.all
}

// keepHolder leaves a lease with its holder, or with the next holder already picked, if
// that one serves and has room for it. Otherwise the lease is marked for another next
// holder.
func (a *assigner) keepHolder(l member.Lease) member.Lease {
	if l.Holder == "" {
		return l
	}
	c := a.candidates(l.Shard)
	if contains(c.serving, l.Holder) && a.load[l.Holder] < c.maxShards {
		a.load[l.Holder]++
		l.NextHolder = ""
		return l
	}
	if l.NextHolder != "" && contains(c.serving, l.NextHolder) && a.load[l.NextHolder] < c.maxShards {
		a.load[l.NextHolder]++
		return l
	}
	l.NextHolder = nextPending
	return l
}

// keepPlannerHolder is keepHolder for the planner's lease, which is not counted as load.
func (a *assigner) keepPlannerHolder(l member.Lease) member.Lease {
	switch {
	case l.Holder == "" || l.NextHolder != "" && contains(a.all.serving, l.NextHolder):
	case contains(a.all.serving, l.Holder):
		l.NextHolder = ""
	default:
		l.NextHolder = nextPending
	}
	return l
}

// pickInstance chooses by rendezvous hashing among the instances with room for another
// shard, or takes the one with the least load if all are full. It returns "" if no
// instance serves.
func (a *assigner) pickInstance(sh member.Shard) string {
	c := a.candidates(sh)
	key := sh.String()
	var best, leastLoaded string
	var bestHash uint64
	for _, name := range c.serving {
		if leastLoaded == "" || a.load[name] < a.load[leastLoaded] {
			leastLoaded = name
		}
		if a.load[name] >= c.maxShards {
			continue
		}
		if h := xxhash.Sum64String(name + " " + key); best == "" || h > bestHash {
			best, bestHash = name, h
		}
	}
	if best == "" {
		best = leastLoaded
	}
	if best != "" {
		a.load[best]++
	}
	return best
}

func contains(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}
