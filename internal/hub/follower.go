package hub

import (
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/reg"
)

// follower is the link.Follower of a control instance. It forwards heartbeats of targets
// and the instances linked here to the leader, and receives the ready instances. Its
// registry is replicated by the log, so it requests no registry updates.
type follower struct{ s *Server }

var _ link.Follower = (*follower)(nil)

// Revision returns link.NoUpdates, so that the leader sends no registry updates.
func (*follower) Revision() uint64 { return link.NoUpdates }

// ApplyUpdate does nothing: the log replicates the registry.
func (*follower) ApplyUpdate(*reg.Delta) {}

// ApplyEvacuations does nothing: the log replicates the evacuated data centres.
func (*follower) ApplyEvacuations(reg.Evacuations) {}

// HandleGrant does nothing: control instances have no requests to place.
func (*follower) HandleGrant(place.Grant) {}

// HandleRefusal does nothing: control instances have no requests to place.
func (*follower) HandleRefusal(place.Refuse) {}

// HandleQueued does nothing: control instances have no requests to place.
func (*follower) HandleQueued(string) {}

// ActiveGrants returns nil: control instances hold no grants.
func (*follower) ActiveGrants() []place.ActiveGrant { return nil }

// ApplyBlocks does nothing: control instances send no requests to engines.
func (*follower) ApplyBlocks([]poison.Block) {}

// ApplyLimits does nothing: control instances send no requests to targets.
func (*follower) ApplyLimits([]place.Limit) {}

// ApplyCold notes which targets the leader takes for cold: the next heartbeat of one of them may come
// here.
func (f *follower) ApplyCold(list []place.Cold) { f.s.noteLeaderCold(list) }

// ApplyLoads stores the loads of the pools, for instances that link here while there is no leader.
func (f *follower) ApplyLoads(loads []place.PoolLoad) { f.s.loads.hear(loads) }

// UnreportedGrants returns nil: control instances hold no grants.
func (*follower) UnreportedGrants() []place.ActiveGrant { return nil }

// FillHandover does nothing: control instances have no requests at targets.
func (*follower) FillHandover(*link.FollowerMessage) {}

// SetEntries stores the ready instances.
func (f *follower) SetEntries(entries []link.Entry) { f.s.directory.set(entries) }

// SetEntryCount does nothing: control instances don't use the number of instances.
func (*follower) SetEntryCount(int) {}

// SetSpreads stores the data centres from which look-ups send callers to others.
func (f *follower) SetSpreads(spreads []link.Spread) { f.s.directory.setSpreads(spreads) }

// SetRelays does nothing: control instances send no requests to targets.
func (*follower) SetRelays([]link.Entry) {}

// HandleLinkLost does nothing: no request of a control instance depends on the link.
func (*follower) HandleLinkLost() {}

// HandleConfirmed does nothing: the log replicates the registry.
func (*follower) HandleConfirmed() {}

// FillHeartbeat adds the instances linked here, and the targets whose heartbeats arrived since
// the last message with how much longer they are cold.
func (f *follower) FillHeartbeat(m *link.FollowerMessage) {
	m.Entries, m.HasEntries = f.s.linkedEntries(), true
	m.Cold = append(m.Cold, f.s.takeColdReports()...)
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	for id := range f.s.pendingHeartbeats {
		m.Heartbeats = append(m.Heartbeats, id)
	}
	clear(f.s.pendingHeartbeats)
}
