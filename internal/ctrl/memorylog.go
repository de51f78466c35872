package ctrl

import (
	"context"
	"sync"

	"github.com/bambooproxy/bambooproxy/internal/quorum"
)

// MemoryLog is a log with a single replica that stores nothing on disk. It is meant for trial
// sites and tests.
type MemoryLog struct {
	Machine quorum.StateMachine
	// Addr is the peer address of the instance.
	Addr string

	mu    sync.Mutex
	index uint64
}

var _ quorum.ReplicatedLog = (*MemoryLog)(nil)

// Propose applies the command without replication.
func (s *MemoryLog) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.Machine.Apply(s.index, cmd), nil
}

// Barrier returns nil: a single replica is always the leader.
func (*MemoryLog) Barrier(context.Context) error { return nil }

// Leader returns the instance's own address.
func (s *MemoryLog) Leader() (string, bool) { return s.Addr, true }
