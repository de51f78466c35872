package ctrl

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/plan"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Names of the methods that only the leader serves.
const (
	heartbeatMethod = "ctrl.beat"
	joinMethod      = "ctrl.join"
	yieldMethod     = "ctrl.yield"
	applyMethod     = "ctrl.apply"
)

// VersionReply answers a Join or a Yield.
type VersionReply struct {
	// Version is the first view version that includes the change.
	Version uint64 `cbor:"1,keyasint"`
}

// response is what a control instance answers: the leader's reply, or a redirect to the
// leader.
type response struct {
	// Leader is the leader's address in a redirect.
	Leader string `cbor:"1,keyasint,omitempty"`
	// Body is the encoded reply of the leader.
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// Methods returns the RPC methods that a control instance serves.
func (s *Server) Methods() []wire.Method {
	return []wire.Method{
		leaderMethod(s, heartbeatMethod, s.heartbeat),
		leaderMethod(s, joinMethod, s.join),
		leaderMethod(s, yieldMethod, s.yield),
		leaderMethod(s, applyMethod, s.apply),
		leaderMethod(s, ledger.BeginMethod, s.begin),
		leaderMethod(s, ledger.EndMethod, s.end),
		leaderMethod(s, ledger.WaitMethod, s.wait),
		leaderMethod(s, ledger.FindMethod, s.find),
		leaderMethod(s, plan.OpenMethod, s.openOrder),
		leaderMethod(s, plan.CloseMethod, s.closeOrder),
		leaderMethod(s, plan.ListMethod, s.listOrders),
	}
}

// leaderMethod returns a method that only the leader runs. Other control instances
// redirect the caller to the leader.
func leaderMethod[In, Out any](s *Server, name string, run func(context.Context, *In) (*Out, error)) wire.Method {
	return wire.Method{
		Name: name,
		New:  func() any { return new(In) },
		Run: func(ctx context.Context, in any) (any, error) {
			if err := s.ensureLeader(ctx); err != nil {
				return s.redirect(err)
			}
			out, err := run(ctx, in.(*In))
			if err != nil {
				return nil, err
			}
			b, err := cbor.Marshal(out)
			if err != nil {
				return nil, verd.Wrap(err, verd.MayHaveRun, verd.Internal, "encode the reply of %s", name)
			}
			return &response{Body: b}, nil
		},
	}
}

// redirect returns a redirect to the leader, or an error if the leader is unknown.
func (s *Server) redirect(err error) (*response, error) {
	if addr, ok := s.Replicated.Leader(); ok {
		return &response{Leader: addr}, nil
	}
	e := verd.From(err)
	return nil, &verd.Error{Verdict: verd.NotRun, Reason: verd.Unavailable, Message: "no control leader is known: " + e.Message}
}

// yield records that the holder of a lease has stopped using it.
func (s *Server) yield(ctx context.Context, y *Yield) (*VersionReply, error) {
	r, err := s.propose(ctx, *y)
	if err != nil {
		return nil, err
	}
	if r.RejectReason != "" {
		return nil, verd.New(verd.NotRun, verd.Conflict, "hand over the lease of shard %s, epoch %d: %s", y.Shard, y.Epoch, r.RejectReason)
	}
	return &VersionReply{Version: r.Version}, nil
}

func (s *Server) begin(ctx context.Context, c *ledger.Call) (*ledger.CallStatus, error) {
	r, err := s.propose(ctx, Begin{Call: *c})
	if err != nil {
		return nil, err
	}
	if r.CallStatus == nil {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "begin a call from instance %s: %s", c.Entry, r.RejectReason)
	}
	return r.CallStatus, nil
}

func (s *Server) end(ctx context.Context, e *ledger.EndRequest) (*ledger.EndReply, error) {
	r, err := s.propose(ctx, End{Call: e.Call, Verdict: e.Verdict, Response: e.Response})
	if err != nil {
		return nil, err
	}
	if r.RejectReason != "" {
		return nil, verd.New(verd.NotRun, verd.Conflict, "end attempt %s: %s", e.Call.Attempt, r.RejectReason)
	}
	return &ledger.EndReply{}, nil
}

// wait returns the state of a call when it is no longer open, or after longPollTime.
func (s *Server) wait(ctx context.Context, c *ledger.Call) (*ledger.CallStatus, error) {
	ctx, stop := context.WithTimeout(ctx, longPollTime)
	defer stop()
	for {
		b, found, changed := s.Machine.LookupCall(c)
		if !found {
			// The attempt did not run, so another may use the key.
			return &ledger.CallStatus{State: ledger.Completed, Verdict: verd.NotRun}, nil
		}
		if changed == nil {
			return &b, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &b, nil
		}
	}
}

func (s *Server) openOrder(ctx context.Context, p *plan.Permit) (*plan.Done, error) {
	return s.proposeOrder(ctx, Open{Permit: *p})
}

func (s *Server) closeOrder(ctx context.Context, c *plan.Closing) (*plan.Done, error) {
	return s.proposeOrder(ctx, Close{Closing: *c})
}

func (s *Server) proposeOrder(ctx context.Context, c Command) (*plan.Done, error) {
	r, err := s.propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if r.RejectReason != "" {
		return nil, verd.New(verd.NotRun, verd.Conflict, "open or close an order to an engine: %s", r.RejectReason)
	}
	return &plan.Done{}, nil
}

// listOrders returns the open orders to engines.
func (s *Server) listOrders(context.Context, *plan.Listing) (*plan.Book, error) {
	return s.Machine.Orders(), nil
}

// find returns the ledger's record of a call, if it has one.
func (s *Server) find(_ context.Context, id *ledger.ID) (*ledger.FindReply, error) {
	r, ok := s.Machine.Record(*id)
	if !ok {
		return &ledger.FindReply{}, nil
	}
	return &ledger.FindReply{Record: &r}, nil
}
