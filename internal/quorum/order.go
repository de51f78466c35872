package quorum

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Order is an operator's change of the replicas, by their addresses.
type Order struct {
	// Add is the address of a replica that joins, Remove of one that leaves.
	// With both, the first replaces the second once it has caught up.
	Add    string `cbor:"1,keyasint,omitempty" json:"add,omitempty"`
	Remove string `cbor:"2,keyasint,omitempty" json:"remove,omitempty"`
}

// Check refuses orders that change nothing.
func (o *Order) Check() error {
	if o.Add == "" && o.Remove == "" || o.Add == o.Remove {
		return verd.New(verd.NotRun, verd.BadRequest, "an order adds a replica, removes one, or both")
	}
	return nil
}

func (n *Node) onChange(ctx context.Context, in any) (any, error) {
	return &Empty{}, n.applyOrder(ctx, *in.(*Order))
}

// Change carries out an operator's order, here or through the leader. It
// returns once the change is committed; a learner becomes a voter later.
func (n *Node) Change(ctx context.Context, o Order) error {
	if err := o.Check(); err != nil {
		return err
	}
	addr, ok := n.Leader()
	if !ok {
		return verd.New(verd.NotRun, verd.Unavailable, "no control leader is known")
	}
	if addr == n.Self {
		return n.applyOrder(ctx, o)
	}
	return n.Calls.Call(ctx, addr, changeMethod, &o, &Empty{})
}

// applyOrder carries out an applyOrder on the leader.
func (n *Node) applyOrder(ctx context.Context, o Order) error {
	if !n.Status().Leads {
		return notLeaderError()
	}
	var old Replica
	if o.Remove != "" {
		var ok bool
		if old, ok = n.Status().Config.FindAddr(o.Remove); !ok {
			return verd.New(verd.NotRun, verd.BadRequest, "%s is no replica's address", o.Remove)
		}
	}
	if o.Add == "" {
		return n.changeLocal(ctx, RemoveReplica{ID: old.ID})
	}
	if have, ok := n.Status().Config.FindAddr(o.Add); ok {
		return verd.New(verd.NotRun, verd.Conflict, "%s is replica %x already", o.Add, uint64(have.ID))
	}
	var w HelloReply
	cctx, cancel := context.WithTimeout(ctx, n.Timing.Election)
	defer cancel()
	if err := n.Calls.Call(cctx, o.Add, helloMethod, &HelloRequest{}, &w); err != nil {
		// Nothing was changed yet.
		return verd.New(verd.NotRun, verd.Target, "ask %s for its identity: %s", o.Add, err)
	}
	if !w.Uninitialised {
		return verd.New(verd.NotRun, verd.Conflict, "%s has data of its own", o.Add)
	}
	return n.changeLocal(ctx, AddReplica{Replica{ID: w.ID, Addr: o.Add, Replaces: old.ID}})
}

// changeLocal commits a change if this replica leads.
func (n *Node) changeLocal(ctx context.Context, c ConfigChange) error {
	n.setup()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	done := make(chan result, 1)
	n.events.push(changeEvent{change: c, done: done})
	_, err := awaitResult(ctx, done)
	return err
}

// changeTimeout bounds the wait for a change to be committed.
const changeTimeout = 5 * time.Second
