package quorum

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// helloInterval is the delay between rounds of requests that a new replica sends to the
// initial members.
const helloInterval = 300 * time.Millisecond

// HelloRequest requests a replica's ID.
type HelloRequest struct{}

// HelloReply answers a HelloRequest.
type HelloReply struct {
	ID ID `cbor:"1,keyasint"`
	// Uninitialised is set while the replica has never had a snapshot or a log entry.
	Uninitialised bool `cbor:"2,keyasint,omitempty"`
}

// JoinRequest requests that the leader add a replica that is new or has lost its disk.
type JoinRequest struct {
	ID   ID     `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	// Forwarded is set by a replica that passes the request on to the leader it knows.
	Forwarded bool `cbor:"3,keyasint,omitempty"`
}

// onHello returns this replica's ID. While the replica is starting, it waits until the
// disk is open or ctx ends.
func (n *Node) onHello(ctx context.Context, _ any) (any, error) {
	n.setup()
	select {
	case <-n.diskOpened:
	case <-ctx.Done():
		return nil, verd.New(verd.NotRun, verd.Unavailable, "this replica is starting")
	}
	st := n.status.Load()
	return &HelloReply{ID: st.ID, Uninitialised: st.uninitialised}, nil
}

// onJoin adds a replica; a member with the same address is replaced. A new address is
// refused unless the group manages its members itself (Node.TargetVoters is set): otherwise an
// operator must add it. A follower passes the request on to the leader, as the new replica may
// know the addresses of followers only.
func (n *Node) onJoin(ctx context.Context, in any) (any, error) {
	join := in.(*JoinRequest)
	st := n.Status()
	cfg := st.Config
	if leader, ok := cfg.Find(st.Leader); ok && !join.Forwarded && leader.Addr != n.Addr && leader.Addr != join.Addr {
		forwarded := *join
		forwarded.Forwarded = true
		return &Empty{}, n.Calls.Call(ctx, leader.Addr, joinMethod, &forwarded, &Empty{})
	}
	if _, ok := cfg.Find(join.ID); ok {
		return &Empty{}, nil
	}
	if _, ok := cfg.FindAddr(join.Addr); !ok && n.TargetVoters == 0 {
		return nil, verd.New(verd.NotRun, verd.Denied,
			"no replica has the address %s; an operator must add it", join.Addr)
	}
	return &Empty{}, n.changeLocal(ctx, AddReplica{Replica{ID: join.ID, Addr: join.Addr}})
}

// foundingMembers returns the initial members if this replica is one of them and may create a group, else nil. A list without
// any members stands for this replica alone.
func (n *Node) foundingMembers() []string {
	switch {
	case n.JoinExisting:
		return nil
	case len(n.InitialMembers) == 0:
		return []string{n.Addr}
	case slices.Contains(n.InitialMembers, n.Addr):
		return n.InitialMembers
	default:
		return nil
	}
}

// bootstrap returns the state that a replica with an empty disk starts from. An initial member
// creates the group together with the others. If it has no place in the first group, bootstrap returns an empty state and keeps
// asking the leader to add this replica.
func (n *Node) bootstrap(ctx context.Context) (PersistentState, error) {
	defer n.founder.close()
	group, err := n.found(ctx)
	if err != nil || ctx.Err() != nil {
		return PersistentState{}, err
	}
	if group != nil {
		isMember, err := n.founder.enter(group, n.Addr)
		if err != nil {
			return PersistentState{}, err
		}
		if isMember {
			n.Log.Info().Int("replicas", len(group.Replicas)).Strs("absent", group.Absent).Msg("group of replicas founded")
			return n.createGroup(group.Replicas)
		}
	}
	n.transport.wg.Go(func() { n.requestJoin(n.transport.ctx) })
	return PersistentState{}, nil
}

// found returns the group that the initial members agree on, or nil if this replica is to join a group.
func (n *Node) found(ctx context.Context) (*FirstGroup, error) {
	own := n.founder.state()
	if own == nil {
		return nil, nil
	}
	if own.Decided != nil {
		return own.Decided, nil
	}
	if len(own.Members) == 1 {
		return &FirstGroup{Replicas: []Replica{{ID: n.disk.id, Addr: n.Addr}}}, nil
	}
	began := time.Now()
	tick := time.NewTicker(helloInterval)
	defer tick.Stop()
	for {
		replicas, exists := n.queryMembers(ctx, own.Members)
		if exists {
			_, group, err := n.askMembers(ctx, &FoundRequest{Members: own.Members})
			return group, err
		}
		if n.mayFound(replicas, own.Members, time.Since(began)) {
			group, err := n.agree(ctx, own.Members, replicas)
			if err != nil || group != nil {
				return group, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case group := <-n.founder.decided:
			return group, nil
		case <-tick.C:
		}
	}
}

// foundingDelay is for how long the initial members wait for all of them, and twice that is for how long a replica leaves the
// founding to one with a lower ID.
const foundingDelay = 3 * time.Second

// mayFound reports whether this replica attempts to found the group, after it has waited for some time: the one with the lowest ID
// does, once all initial members have answered. Without the missing ones it does only where the group manages its
// members itself, as they are added later.
func (n *Node) mayFound(replicas []Replica, members []string, waited time.Duration) bool {
	isFirst := replicas[0].ID == n.disk.id
	// Attempts at random times don't outbid each other for long.
	mayIntervene := waited >= 2*foundingDelay && rand.N(4) == 0
	if len(replicas) == len(members) {
		return isFirst || mayIntervene
	}
	return n.TargetVoters > 0 && len(replicas) > len(members)/2 && waited >= foundingDelay && (isFirst || mayIntervene)
}

// createGroup writes the first snapshot of a group. All initial members that create it write the same snapshot,
// so that they agree on the members and the group's ID.
func (n *Node) createGroup(replicas []Replica) (PersistentState, error) {
	cfg := NewConfig(replicas...)
	for _, r := range cfg.Replicas {
		cfg.GroupID = cfg.GroupID*31 + uint64(r.ID)
	}
	initial := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Config: cfg}}
	return initial, n.disk.save(Output{HardState: &initial.HardState, Snapshot: &initial.Snapshot})
}

// queryMembers requests the IDs of the other initial members. It returns those that
// answered, this replica among them, ordered by ID, and whether one of them already has data, which means that the
// group exists.
func (n *Node) queryMembers(ctx context.Context, members []string) (replicas []Replica, exists bool) {
	replicas = []Replica{{ID: n.disk.id, Addr: n.Addr}}
	for _, addr := range members {
		if addr == n.Addr {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, n.Timing.ElectionTimeout)
		var reply HelloReply
		err := n.Calls.Call(callCtx, addr, helloMethod, &HelloRequest{}, &reply)
		cancel()
		if err != nil {
			continue
		}
		if !reply.Uninitialised {
			return nil, true
		}
		replicas = append(replicas, Replica{ID: reply.ID, Addr: addr})
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return replicas, false
}

// requestJoin sends join requests to the initial members, and to a member that still sends to a former
// replica at this address, until this replica has a snapshot.
func (n *Node) requestJoin(ctx context.Context) {
	tick := time.NewTicker(helloInterval + rand.N(helloInterval))
	defer tick.Stop()
	for n.status.Load().uninitialised {
		addrs := n.InitialMembers
		if contact := n.contact.Load(); contact != nil && !slices.Contains(addrs, *contact) {
			addrs = append(slices.Clip(addrs), *contact)
		}
		for _, addr := range addrs {
			if addr == n.Addr {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, n.Timing.ElectionTimeout)
			// Only a leader, or a follower of one, accepts. Failures are retried in the next round.
			_ = n.Calls.Call(callCtx, addr, joinMethod, &JoinRequest{ID: n.disk.id, Addr: n.Addr}, &Empty{})
			cancel()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// rejoinWithoutLeader requests to join again whenever no leader is known: a replica that
// was unreachable may have been removed from the group.
func (n *Node) rejoinWithoutLeader(ctx context.Context) {
	tick := time.NewTicker(2 * n.Timing.ElectionTimeout)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		st := n.status.Load()
		if st.uninitialised || st.Leader != 0 {
			continue
		}
		addrs := slices.Clone(n.InitialMembers)
		for _, r := range st.Config.Replicas {
			addrs = append(addrs, r.Addr)
		}
		slices.Sort(addrs)
		for _, addr := range slices.Compact(addrs) {
			if addr == n.Addr {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, n.Timing.HeartbeatInterval)
			// Only a leader, or a follower of one, accepts. Failures are retried in the next round.
			_ = n.Calls.Call(callCtx, addr, joinMethod, &JoinRequest{ID: st.ID, Addr: n.Addr}, &Empty{})
			cancel()
		}
	}
}
