package hub

import (
	"math"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
)

// follower is the link.Follower of a control instance. It forwards heartbeats of targets
// and the instances linked here to the leader, and receives the ready instances. Its
// registry is replicated by the log, so it requests no registry updates.
type follower struct{ s *Server }

var _ link.Follower = (*follower)(nil)

// Have returns the highest revision, so that the leader sends no registry updates.
func (*follower) Have() uint64 { return math.MaxUint64 }

// Update does nothing: the log replicates the registry.
func (*follower) Update(*reg.Update) {}

// Granted does nothing: control instances have no requests to place.
func (*follower) Granted(place.Grant) {}

// Refused does nothing: control instances have no requests to place.
func (*follower) Refused(place.Refuse) {}

// Waiting does nothing: control instances have no requests to place.
func (*follower) Waiting(string) {}

// Holdings returns nil: control instances hold no grants.
func (*follower) Holdings() []place.ActiveGrant { return nil }

// Listed stores the ready instances.
func (f *follower) Listed(entries []link.Entry) { f.s.directory.set(entries) }

// Counted does nothing: control instances don't use the number of instances.
func (*follower) Counted(int) {}

// Lost does nothing: no request of a control instance depends on the link.
func (*follower) Lost() {}

// Pulse adds the instances linked here and the targets whose heartbeats arrived since the
// last message.
func (f *follower) Pulse(u *link.Up) {
	u.Entries, u.Listed = f.s.linkedEntries(), true
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	for id := range f.s.pendingHeartbeats {
		u.Heartbeats = append(u.Heartbeats, id)
	}
	clear(f.s.pendingHeartbeats)
}
