package quorum

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// ChangeRequest is an operator's request to change the members, which it names by their peer
// addresses.
type ChangeRequest struct {
	// Add is the address of a replica to add, Remove that of one to remove. If both are
	// set, the added replica replaces the removed one once it has caught up.
	Add    string `cbor:"1,keyasint,omitempty" json:"add,omitempty"`
	Remove string `cbor:"2,keyasint,omitempty" json:"remove,omitempty"`
}

// Check rejects a request without addresses or with the same address twice.
func (r *ChangeRequest) Check() error {
	if r.Add == "" && r.Remove == "" || r.Add == r.Remove {
		return verd.New(verd.NotRun, verd.BadRequest,
			"set add, remove or both, to different addresses; have add %q and remove %q", r.Add, r.Remove)
	}
	return nil
}

func (n *Node) onChange(ctx context.Context, in any) (any, error) {
	return &Empty{}, n.applyChangeRequest(ctx, *in.(*ChangeRequest))
}

// ChangeMembers executes the request, locally or through the leader. It returns once the change is
// committed; an added replica becomes a voter later.
func (n *Node) ChangeMembers(ctx context.Context, r ChangeRequest) error {
	if err := r.Check(); err != nil {
		return err
	}
	addr, ok := n.Leader()
	if !ok {
		return verd.New(verd.NotRun, verd.Unavailable, "no leader of the control instances is known")
	}
	if addr == n.Addr {
		return n.applyChangeRequest(ctx, r)
	}
	return n.Calls.Call(ctx, addr, changeMethod, &r, &Empty{})
}

// applyChangeRequest executes a request on the leader.
func (n *Node) applyChangeRequest(ctx context.Context, r ChangeRequest) error {
	if !n.Status().IsLeader {
		return notLeaderError()
	}
	var removed Replica
	if r.Remove != "" {
		var ok bool
		if removed, ok = n.Status().Config.FindAddr(r.Remove); !ok {
			return verd.New(verd.NotRun, verd.BadRequest, "remove: no replica has the address %s", r.Remove)
		}
	}
	if r.Add == "" {
		return n.changeLocal(ctx, RemoveReplica{ID: removed.ID})
	}
	if existing, ok := n.Status().Config.FindAddr(r.Add); ok {
		return verd.New(verd.NotRun, verd.Conflict, "add: %s is already the address of replica %x", r.Add, uint64(existing.ID))
	}
	var reply HelloReply
	callCtx, cancel := context.WithTimeout(ctx, n.Timing.ElectionTimeout)
	defer cancel()
	if err := n.Calls.Call(callCtx, r.Add, helloMethod, &HelloRequest{}, &reply); err != nil {
		// No change has been proposed yet, so the verdict is NotRun.
		return verd.New(verd.NotRun, verd.Target, "add: replica at %s did not return its ID: %s", r.Add, err)
	}
	if !reply.Uninitialised {
		return verd.New(verd.NotRun, verd.Conflict,
			"add: replica at %s must have an empty data folder, but it already holds a log", r.Add)
	}
	return n.changeLocal(ctx, AddReplica{Replica{ID: reply.ID, Addr: r.Add, Replaces: removed.ID}})
}

// changeLocal commits a membership change if this replica leads.
func (n *Node) changeLocal(ctx context.Context, c ConfigChange) error {
	n.setup()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	done := make(chan result, 1)
	n.events.push(changeEvent{change: c, done: done})
	_, err := awaitResult(ctx, done)
	return err
}

// changeTimeout bounds the wait until a membership change is committed.
const changeTimeout = 5 * time.Second
