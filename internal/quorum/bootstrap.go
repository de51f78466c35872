package quorum

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// helloInterval is how often a new replica asks the others.
const helloInterval = 300 * time.Millisecond

// HelloRequest asks a replica who it is.
type HelloRequest struct{}

// HelloReply answers a Hello.
type HelloReply struct {
	ID ID `cbor:"1,keyasint"`
	// Uninitialised says that it never had a part of the log.
	Uninitialised bool `cbor:"2,keyasint,omitempty"`
}

// JoinRequest asks the leader to take a replica in that lost its disk.
type JoinRequest struct {
	ID   ID     `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
}

// onHello waits for a replica that is still starting.
func (n *Node) onHello(ctx context.Context, _ any) (any, error) {
	n.setup()
	select {
	case <-n.diskOpened:
	case <-ctx.Done():
		return nil, verd.New(verd.NotRun, verd.Unavailable, "this replica is starting")
	}
	st := n.status.Load()
	return &HelloReply{ID: st.ID, Uninitialised: st.blank}, nil
}

// onJoin takes the place of the member at the address. An address that is new
// is for the operator to add, unless the group takes members in by itself.
func (n *Node) onJoin(ctx context.Context, in any) (any, error) {
	j := in.(*JoinRequest)
	cfg := n.Status().Config
	if _, ok := cfg.Find(j.ID); ok {
		return &Empty{}, nil
	}
	if _, ok := cfg.FindAddr(j.Addr); !ok && n.Voters == 0 {
		return nil, verd.New(verd.NotRun, verd.Denied, "%s is no replica's address", j.Addr)
	}
	return &Empty{}, n.changeLocal(ctx, AddReplica{Replica{ID: j.ID, Addr: j.Addr}})
}

// bootstrap starts a new group, or waits until there is one. It returns what the
// replica starts from.
func (n *Node) bootstrap(ctx context.Context) (PersistentState, error) {
	if !n.Join && (len(n.Founders) == 0 || len(n.Founders) == 1 && n.Founders[0] == n.Self) {
		return n.createGroup([]Replica{{ID: n.disk.id, Addr: n.Self}})
	}
	tick := time.NewTicker(helloInterval)
	defer tick.Stop()
	for !n.Join && slices.Contains(n.Founders, n.Self) {
		replicas, exists := n.queryFounders(ctx)
		if exists {
			break
		}
		if len(replicas) == len(n.Founders) {
			return n.createGroup(replicas)
		}
		select {
		case <-ctx.Done():
			return PersistentState{}, nil
		case <-tick.C:
		}
	}
	n.transport.wg.Go(func() { n.requestJoin(n.transport.ctx) })
	return PersistentState{}, nil
}

// createGroup writes the first snapshot of a group. All founders make the same.
func (n *Node) createGroup(replicas []Replica) (PersistentState, error) {
	cfg := NewConfig(replicas...)
	for _, r := range cfg.Replicas {
		cfg.GroupID = cfg.GroupID*31 + uint64(r.ID)
	}
	d := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg}}
	return d, n.disk.save(Output{HardState: &d.HardState, Snapshot: &d.Snapshot})
}

// queryFounders asks the other founders whether the group exists.
func (n *Node) queryFounders(ctx context.Context) (replicas []Replica, exists bool) {
	replicas = []Replica{{ID: n.disk.id, Addr: n.Self}}
	for _, addr := range n.Founders {
		if addr == n.Self {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, n.Timing.Election)
		var w HelloReply
		err := n.Calls.Call(cctx, addr, helloMethod, &HelloRequest{}, &w)
		cancel()
		if err != nil {
			continue
		}
		if !w.Uninitialised {
			return nil, true
		}
		replicas = append(replicas, Replica{ID: w.ID, Addr: addr})
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return replicas, false
}

// requestJoin asks the others to take this replica in, until it has a snapshot.
func (n *Node) requestJoin(ctx context.Context) {
	tick := time.NewTicker(helloInterval + rand.N(helloInterval))
	defer tick.Stop()
	for n.status.Load().blank {
		for _, addr := range n.Founders {
			if addr == n.Self {
				continue
			}
			cctx, cancel := context.WithTimeout(ctx, n.Timing.Election)
			// All but the leader refuse; the next round asks again.
			_ = n.Calls.Call(cctx, addr, joinMethod, &JoinRequest{ID: n.disk.id, Addr: n.Self}, &Empty{})
			cancel()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// rejoinWithoutLeader asks to be taken in again when no leader was heard for long: a replica
// that was away may have been replaced.
func (n *Node) rejoinWithoutLeader(ctx context.Context) {
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
			_ = n.Calls.Call(cctx, addr, joinMethod, &JoinRequest{ID: st.ID, Addr: n.Self}, &Empty{})
			cancel()
		}
	}
}
