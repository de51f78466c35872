package quorum

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	stepMethod    = "quorum.step"
	helloMethod   = "quorum.hello"
	joinMethod    = "quorum.join"
	proposeMethod = "quorum.propose"
	changeMethod  = "quorum.change"

	// leaderRetryInterval is the delay before a proposal or a change is retried.
	leaderRetryInterval = 50 * time.Millisecond
)

// ProposeRequest carries a command to the leader.
type ProposeRequest struct {
	Command []byte `cbor:"1,keyasint"`
}

// Check rejects a command of more than maxCommandBytes bytes.
func (p *ProposeRequest) Check() error { return checkCommand(p.Command) }

// ProposeReply returns the result of applying a command.
type ProposeReply struct {
	Value []byte `cbor:"1,keyasint,omitempty"`
}

func checkCommand(cmd []byte) error {
	if len(cmd) > maxCommandBytes {
		return verd.New(verd.NotRun, verd.TooLarge, "command has %d bytes, limit is %d", len(cmd), maxCommandBytes)
	}
	return nil
}

// Methods returns the calls that a replica serves for other replicas and for Client.
func (n *Node) Methods() []wire.Method {
	n.setup()
	return []wire.Method{
		{Name: stepMethod, New: func() any { return new(Batch) }, Run: n.onStep},
		{Name: helloMethod, New: func() any { return new(HelloRequest) }, Run: n.onHello},
		{Name: foundMethod, New: func() any { return new(FoundRequest) }, Run: n.onFound},
		{Name: joinMethod, New: func() any { return new(JoinRequest) }, Run: n.onJoin},
		{Name: proposeMethod, New: func() any { return new(ProposeRequest) }, Run: n.onPropose},
		{Name: changeMethod, New: func() any { return new(ChangeRequest) }, Run: n.onChange},
		{Name: reportMethod, New: func() any { return new(ReportRequest) }, Run: n.onReport},
	}
}

func (n *Node) onStep(_ context.Context, in any) (any, error) {
	n.events.push(stepEvent{batch: in.(*Batch)})
	return &Empty{}, nil
}

func (n *Node) onPropose(ctx context.Context, in any) (any, error) {
	value, err := n.ProposeLocal(ctx, in.(*ProposeRequest).Command)
	if err != nil {
		return nil, err
	}
	return &ProposeReply{Value: value}, nil
}

// Leader returns the peer address of the leader, if one is known.
func (n *Node) Leader() (addr string, ok bool) {
	st := n.status.Load()
	if st == nil || st.Leader == 0 {
		return "", false
	}
	r, ok := st.Config.Find(st.Leader)
	return r.Addr, ok
}

// Status returns the replica's latest published status, or a zero Status before Run has
// opened the disk.
func (n *Node) Status() Status {
	if st := n.status.Load(); st != nil {
		return st.Status
	}
	return Status{}
}

// CompleteVoters returns the addresses of the group's voters if this replica is one of them and its
// StateMachine has applied all commands in its log; otherwise it returns nil. Of what was committed, all is
// in one such StateMachine of any majority.
func (n *Node) CompleteVoters() []string {
	st := n.status.Load()
	if st == nil || !st.hasAllApplied {
		return nil
	}
	var addrs []string
	for _, r := range st.Config.Replicas {
		if r.Voter {
			addrs = append(addrs, r.Addr)
		}
	}
	return addrs
}

// Propose commits a command, locally or through the leader, and returns the result of
// applying it. It retries until ctx ends while no leader accepts the command.
func (n *Node) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	if err := checkCommand(cmd); err != nil {
		return nil, err
	}
	for {
		value, err := n.proposeOnce(ctx, cmd)
		if err == nil {
			return value, nil
		}
		// Only a command that certainly did not run is retried.
		e := verd.From(err)
		if !isRetryable(e) {
			return nil, e
		}
		select {
		case <-ctx.Done():
			return nil, e
		case <-time.After(leaderRetryInterval):
		}
	}
}

// isRetryable reports whether a request that was not executed may succeed on another
// replica or later.
func isRetryable(e *verd.Error) bool {
	return e.Verdict == verd.NotRun && (e.Reason == verd.Unavailable || e.Reason == verd.Unreached)
}

func (n *Node) proposeOnce(ctx context.Context, cmd []byte) ([]byte, error) {
	addr, ok := n.Leader()
	if !ok {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "no leader of the control instances is known")
	}
	if addr == n.Addr {
		return n.ProposeLocal(ctx, cmd)
	}
	var a ProposeReply
	if err := n.Calls.Call(ctx, addr, proposeMethod, &ProposeRequest{Command: cmd}, &a); err != nil {
		return nil, err
	}
	return a.Value, nil
}

// ProposeLocal commits a command if this replica leads, and returns the result of applying it.
// It returns the same errors as Propose, and NotRun if this replica doesn't lead.
func (n *Node) ProposeLocal(ctx context.Context, cmd []byte) ([]byte, error) {
	if err := checkCommand(cmd); err != nil {
		return nil, err
	}
	n.setup()
	done := make(chan result, 1)
	n.events.push(proposeEvent{cmd: cmd, done: done})
	return awaitResult(ctx, done)
}

func awaitResult(ctx context.Context, done <-chan result) ([]byte, error) {
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		return nil, verd.Wrap(ctx.Err(), verd.MayHaveRun, verd.Timeout, "the log entry was not committed before the call ended")
	}
}

// Barrier returns once the local StateMachine has applied everything committed before the
// call. It succeeds only on a leader with a valid lease.
func (n *Node) Barrier(ctx context.Context) error {
	n.setup()
	done := make(chan error, 1)
	n.events.push(readEvent{ctx: ctx, done: done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return verd.Wrap(ctx.Err(), verd.NotRun, verd.Timeout, "the leader's lease was not confirmed before the call ended")
	}
}
