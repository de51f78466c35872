// Package quorum replicates a log of commands across the control instances with the Raft
// algorithm, so that accepted commands survive the loss of a minority of them.
package quorum

import "context"

// StateMachine is a deterministic state machine that the log drives. Its methods are called
// from one goroutine, in log order, and must not depend on the clock or on randomness.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index uint64, cmd []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(b []byte) error
}

// ReplicatedLog is the replicated log as the owner of a StateMachine uses it.
type ReplicatedLog interface {
	// Propose commits a command and returns the result of applying it. Its error is a
	// *verd.Error: NotRun if the command will never be applied, MayHaveRun if that is
	// unknown.
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	// Barrier returns once the local StateMachine has applied everything committed before the
	// call. It succeeds only on a leader with a valid lease.
	Barrier(ctx context.Context) error
	// Leader returns the peer address of the leader, if one is known.
	Leader() (addr string, ok bool)
}
