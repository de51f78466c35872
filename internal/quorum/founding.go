package quorum

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// foundMethod is the method of the consensus on the first members of a group.
const foundMethod = "quorum.found"

// Ballot orders the attempts of the initial members to found a group.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	// ID is that of the replica that makes the attempt.
	ID ID `cbor:"2,keyasint"`
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.ID, o.ID))
}

// FirstGroup is a group as it is founded. It has a replica for each initial member.
type FirstGroup struct {
	Replicas []Replica `cbor:"1,keyasint"`
	// Absent are the peer addresses of the initial members that couldn't be asked for their IDs, and were given new ones. They
	// take these once they hear of it, unless they have joined with their own before.
	Absent []string `cbor:"2,keyasint,omitempty"`
}

// idOf returns the ID of the replica at an address, if that has the given ID or was given one; else false.
func (g *FirstGroup) idOf(addr string, id ID) (ID, bool) {
	for _, r := range g.Replicas {
		if r.Addr == addr && (r.ID == id || slices.Contains(g.Absent, addr)) {
			return r.ID, true
		}
	}
	return 0, false
}

// Founding is the part of an initial member in the founding of its group, and outlives its process. It is single-decree
// Paxos over the first group, with the initial members as acceptors: two groups can't be founded, whichever members
// are lost, and a majority is enough. See L. Lamport, Paxos Made Simple, 2001.
type Founding struct {
	// Members are the peer addresses of the initial members, sorted.
	Members []string `cbor:"1,keyasint"`
	// Promised is the highest ballot that was answered: lower ones are refused.
	Promised Ballot `cbor:"2,keyasint"`
	// AcceptedIn is the ballot in which Accepted was accepted; Accepted is nil before.
	AcceptedIn Ballot      `cbor:"3,keyasint,omitzero"`
	Accepted   *FirstGroup `cbor:"4,keyasint,omitempty"`
	// Decided is the group that was founded; nil while that isn't known.
	Decided *FirstGroup `cbor:"5,keyasint,omitempty"`
}

// FoundRequest asks an initial member to promise to answer no lower ballot, or to accept a group.
type FoundRequest struct {
	Members []string `cbor:"1,keyasint"`
	Ballot  Ballot   `cbor:"2,keyasint"`
	// Group is the group to accept; nil asks for the promise alone.
	Group *FirstGroup `cbor:"3,keyasint,omitempty"`
	// Decided is set once a majority has accepted the group.
	Decided bool `cbor:"4,keyasint,omitempty"`
}

// Check rejects a group that doesn't have one replica for each initial member.
func (r *FoundRequest) Check() error {
	if r.Group == nil {
		if r.Decided {
			return errors.New("founding: no group is decided")
		}
		return nil
	}
	var addrs []string
	for _, x := range r.Group.Replicas {
		addrs = append(addrs, x.Addr)
	}
	if !slices.Equal(slices.Sorted(slices.Values(addrs)), r.Members) {
		return errors.Newf("founding: the replicas are at %q, the initial members at %q", addrs, r.Members)
	}
	return NewConfig(r.Group.Replicas...).Check()
}

// FoundReply answers a FoundRequest. The other fields are those of Founding.
type FoundReply struct {
	Granted    bool        `cbor:"1,keyasint,omitempty"`
	Promised   Ballot      `cbor:"2,keyasint,omitzero"`
	AcceptedIn Ballot      `cbor:"3,keyasint,omitzero"`
	Accepted   *FirstGroup `cbor:"4,keyasint,omitempty"`
	Decided    *FirstGroup `cbor:"5,keyasint,omitempty"`
}

// founder is the part of a replica in the founding of its group. It writes to the disk until it is
// closed.
type founder struct {
	mu     sync.Mutex
	disk   *disk
	closed bool
	// decided gets the group once another member tells that it is decided.
	decided chan *FirstGroup
}

// newFounder returns the part of a replica, which is closed if the replica has data.
func newFounder(d *disk) *founder {
	return &founder{disk: d, closed: !d.uninitialised, decided: make(chan *FirstGroup, 1)}
}

// close ends the part: from now on only a decided group is told.
func (f *founder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// enter writes that a group is decided, and takes the ID that this replica has in it. It returns false if the replica has
// none, so that it has to join the group.
func (f *founder) enter(g *FirstGroup, addr string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := g.idOf(addr, f.disk.id)
	if !ok {
		return false, nil
	}
	next := *f.disk.founding
	next.Decided = g
	f.disk.id = id
	return true, errors.Wrap(f.disk.saveFounding(next), "write founding")
}

// answer answers a request once the answer is on disk. It returns an error if the disk has failed.
func (f *founder) answer(r *FoundRequest) (*FoundReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.disk.founding
	if own == nil || !slices.Equal(own.Members, r.Members) {
		return &FoundReply{}, nil
	}
	if f.closed || own.Decided != nil {
		return &FoundReply{Decided: own.Decided}, nil
	}
	if r.Decided {
		select {
		case f.decided <- r.Group:
		default:
		}
		return &FoundReply{Decided: r.Group}, nil
	}
	next := *own
	if r.Ballot.compare(next.Promised) < 0 {
		return &FoundReply{Promised: next.Promised}, nil
	}
	next.Promised = r.Ballot
	if r.Group != nil {
		next.AcceptedIn, next.Accepted = r.Ballot, r.Group
	}
	if err := f.disk.saveFounding(next); err != nil {
		return nil, errors.Wrap(err, "write founding")
	}
	return &FoundReply{Granted: true, Promised: next.Promised, AcceptedIn: next.AcceptedIn, Accepted: next.Accepted}, nil
}

// state returns the part of this replica, or nil if it has none.
func (f *founder) state() *Founding {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disk.founding
}

// nextBallot returns a ballot above all that this replica knows.
func (f *founder) nextBallot() Ballot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Ballot{Round: f.disk.founding.Promised.Round + 1, ID: f.disk.id}
}

// onFound answers a FoundRequest. While the replica is starting, it waits until the disk is open or ctx ends.
func (n *Node) onFound(ctx context.Context, in any) (any, error) {
	n.setup()
	select {
	case <-n.diskOpened:
	case <-ctx.Done():
		return nil, verd.New(verd.NotRun, verd.Unavailable, "this replica is starting")
	}
	r := in.(*FoundRequest)
	if err := r.Check(); err != nil {
		return nil, verd.Wrap(err, verd.NotRun, verd.BadRequest, "invalid request")
	}
	return n.founder.answer(r)
}

// agree attempts to found the group with the given replicas. It returns the group that a majority of the initial members has
// accepted, which may be that of an earlier attempt, or nil if the attempt failed.
func (n *Node) agree(ctx context.Context, members []string, replicas []Replica) (*FirstGroup, error) {
	ballot := n.founder.nextBallot()
	promises, decided, err := n.askMembers(ctx, &FoundRequest{Members: members, Ballot: ballot})
	if err != nil || decided != nil || len(promises) <= len(members)/2 {
		return decided, err
	}
	group := newFirstGroup(members, replicas)
	if last := slices.MaxFunc(promises, func(a, b *FoundReply) int { return a.AcceptedIn.compare(b.AcceptedIn) }); last.Accepted != nil {
		group = last.Accepted
	}
	accepted, decided, err := n.askMembers(ctx, &FoundRequest{Members: members, Ballot: ballot, Group: group})
	if err != nil || decided != nil || len(accepted) <= len(members)/2 {
		return decided, err
	}
	_, _, err = n.askMembers(ctx, &FoundRequest{Members: members, Ballot: ballot, Group: group, Decided: true})
	return group, err
}

// newFirstGroup returns a group of the given replicas, and of new ones for the other initial members.
func newFirstGroup(members []string, replicas []Replica) *FirstGroup {
	g := &FirstGroup{Replicas: slices.Clone(replicas)}
	for _, addr := range members {
		if !slices.ContainsFunc(replicas, func(r Replica) bool { return r.Addr == addr }) {
			g.Replicas = append(g.Replicas, Replica{ID: ID(rand.Uint64() | 1), Addr: addr})
			g.Absent = append(g.Absent, addr)
		}
	}
	return g
}

// askMembers sends a request to all initial members at once, this replica among them. It returns the replies that grant it and the
// group, if one of them knows that it is decided. It returns an error if the disk of this replica has failed.
func (n *Node) askMembers(ctx context.Context, r *FoundRequest) (granted []*FoundReply, decided *FirstGroup, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.Timing.ElectionTimeout)
	defer cancel()
	own, err := n.founder.answer(r)
	if err != nil {
		return nil, nil, err
	}
	replies := []*FoundReply{own}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range r.Members {
		if addr == n.Addr {
			continue
		}
		wg.Go(func() {
			reply := new(FoundReply)
			if n.Calls.Call(ctx, addr, foundMethod, r, reply) == nil {
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, reply)
			}
		})
	}
	wg.Wait()
	var highest Ballot
	for _, reply := range replies {
		switch {
		case reply.Decided != nil:
			decided = reply.Decided
		case reply.Granted:
			granted = append(granted, reply)
		case highest.compare(reply.Promised) < 0:
			highest = reply.Promised
		}
	}
	return granted, decided, n.founder.observe(highest)
}

// observe raises the promised ballot to one that another member has promised, so that the next attempt is above it.
func (f *founder) observe(b Ballot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || b.compare(f.disk.founding.Promised) <= 0 {
		return nil
	}
	next := *f.disk.founding
	next.Promised = b
	return errors.Wrap(f.disk.saveFounding(next), "write founding")
}
