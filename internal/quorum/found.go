package quorum

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// helloEvery is how often a new replica asks the others.
const helloEvery = 300 * time.Millisecond

// Hello asks a replica who it is.
type Hello struct{}

// Welcome answers a Hello.
type Welcome struct {
	ID ID `cbor:"1,keyasint"`
	// Blank says that it never had a part of the log.
	Blank bool `cbor:"2,keyasint,omitempty"`
}

// Join asks the leader to take a replica in that lost its disk.
type Join struct {
	ID   ID     `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
}

// onHello waits for a replica that is still starting.
func (n *Node) onHello(ctx context.Context, _ any) (any, error) {
	n.setup()
	select {
	case <-n.opened:
	case <-ctx.Done():
		return nil, verd.New(verd.NotRun, verd.Unavailable, "this replica is starting")
	}
	st := n.status.Load()
	return &Welcome{ID: st.ID, Blank: st.blank}, nil
}

// onJoin takes the place of the member at the address. An address that is new
// is for the operator to add, unless the group takes members in by itself.
func (n *Node) onJoin(ctx context.Context, in any) (any, error) {
	j := in.(*Join)
	cfg := n.Status().Config
	if _, ok := cfg.Find(j.ID); ok {
		return &Done{}, nil
	}
	if _, ok := cfg.At(j.Addr); !ok && n.Voters == 0 {
		return nil, verd.New(verd.NotRun, verd.Denied, "%s is no replica's address", j.Addr)
	}
	return &Done{}, n.changeHere(ctx, AddReplica{Replica{ID: j.ID, Addr: j.Addr}})
}

// found starts a new group, or waits until there is one. It returns what the
// replica starts from.
func (n *Node) found(ctx context.Context) (Durable, error) {
	if !n.Join && (len(n.Founders) == 0 || len(n.Founders) == 1 && n.Founders[0] == n.Self) {
		return n.create([]Replica{{ID: n.disk.id, Addr: n.Self}})
	}
	tick := time.NewTicker(helloEvery)
	defer tick.Stop()
	for !n.Join && slices.Contains(n.Founders, n.Self) {
		replicas, exists := n.greet(ctx)
		if exists {
			break
		}
		if len(replicas) == len(n.Founders) {
			return n.create(replicas)
		}
		select {
		case <-ctx.Done():
			return Durable{}, nil
		case <-tick.C:
		}
	}
	n.links.wg.Go(func() { n.join(n.links.ctx) })
	return Durable{}, nil
}

// create writes the first snapshot of a group. All founders make the same.
func (n *Node) create(replicas []Replica) (Durable, error) {
	cfg := NewConfig(replicas...)
	for _, r := range cfg.Replicas {
		cfg.Group = cfg.Group*31 + uint64(r.ID)
	}
	d := Durable{State: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg}}
	return d, n.disk.save(Output{State: &d.State, Snapshot: &d.Snapshot})
}

// greet asks the other founders whether the group exists.
func (n *Node) greet(ctx context.Context) (replicas []Replica, exists bool) {
	replicas = []Replica{{ID: n.disk.id, Addr: n.Self}}
	for _, addr := range n.Founders {
		if addr == n.Self {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, n.Timing.Election)
		var w Welcome
		err := n.Calls.Call(cctx, addr, helloMethod, &Hello{}, &w)
		cancel()
		if err != nil {
			continue
		}
		if !w.Blank {
			return nil, true
		}
		replicas = append(replicas, Replica{ID: w.ID, Addr: addr})
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return replicas, false
}

// join asks the others to take this replica in, until it has a snapshot.
func (n *Node) join(ctx context.Context) {
	tick := time.NewTicker(helloEvery + rand.N(helloEvery))
	defer tick.Stop()
	for n.status.Load().blank {
		for _, addr := range n.Founders {
			if addr == n.Self {
				continue
			}
			cctx, cancel := context.WithTimeout(ctx, n.Timing.Election)
			// All but the leader refuse; the next round asks again.
			_ = n.Calls.Call(cctx, addr, joinMethod, &Join{ID: n.disk.id, Addr: n.Self}, &Done{})
			cancel()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// rejoin asks to be taken in again when no leader was heard for long: a replica
// that was away may have been replaced.
func (n *Node) rejoin(ctx context.Context) {
	tick := time.NewTicker(2 * n.Timing.Election)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		st := n.status.Load()
		if st.blank || st.Leader != 0 {
			continue
		}
		addrs := slices.Clone(n.Founders)
		for _, r := range st.Config.Replicas {
			addrs = append(addrs, r.Addr)
		}
		slices.Sort(addrs)
		for _, addr := range slices.Compact(addrs) {
			if addr == n.Self {
				continue
			}
			cctx, cancel := context.WithTimeout(ctx, n.Timing.Heartbeat)
			// All but the leader refuse; the next round asks again.
			_ = n.Calls.Call(cctx, addr, joinMethod, &Join{ID: st.ID, Addr: n.Self}, &Done{})
			cancel()
		}
	}
}
