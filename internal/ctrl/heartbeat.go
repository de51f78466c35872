package ctrl

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Heartbeat renews the lease of a process and of its descendants in the relay tree, and
// requests changes of the view. Relays and the leader answer it in the same way.
type Heartbeat struct {
	Process member.Process `cbor:"1,keyasint"`
	// ViewVersion is the version of the process's view, 0 if it has none.
	ViewVersion uint64 `cbor:"2,keyasint"`
	// MinVersion is the lowest view version in use by the process and its descendants.
	MinVersion uint64 `cbor:"3,keyasint"`
	// LongPoll requests that the reply be delayed until something changes, for at most
	// longPollTime.
	LongPoll bool `cbor:"4,keyasint,omitempty"`
	// Subtree lists the process and its descendants, sorted. It is nil if the receiver has
	// acknowledged the same list before.
	Subtree []member.Process `cbor:"5,keyasint,omitempty"`
	// Seq grows with every heartbeat of the process. The content of one that arrives
	// after a later one is ignored.
	Seq uint64 `cbor:"6,keyasint"`
	// Released is true if the process no longer uses a lease of this grantor.
	Released bool `cbor:"7,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
func (hb *Heartbeat) Check() error {
	if hb.Process.Name == "" {
		return verd.New(verd.NotRun, verd.BadRequest, "heartbeat without a process name")
	}
	if hb.MinVersion > hb.ViewVersion {
		return verd.New(verd.NotRun, verd.BadRequest, "heartbeat of %s: lowest version in use %d is above the view version %d", hb.Process.Name, hb.MinVersion, hb.ViewVersion)
	}
	return nil
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// LeaseTerm is the length of the lease, counted from before the heartbeat was sent.
	// It is 0 if no lease is granted.
	LeaseTerm time.Duration `cbor:"1,keyasint,omitempty"`
	// View is the whole view, for a process whose version is too old for Deltas.
	View   *member.View   `cbor:"2,keyasint,omitempty"`
	Deltas []member.Delta `cbor:"3,keyasint,omitempty"`
	// NeedSubtree requests the list of descendants with the next heartbeat.
	NeedSubtree bool `cbor:"4,keyasint,omitempty"`
	// MustJoin is true if the process is not a member and has to join.
	MustJoin bool `cbor:"5,keyasint,omitempty"`
}

// versionAfter returns the view version of a process at version have after it applies the
// reply.
func (r *HeartbeatReply) versionAfter(have uint64) uint64 {
	if r.View != nil {
		return r.View.Version
	}
	if k := len(r.Deltas); k > 0 {
		return r.Deltas[k-1].To
	}
	return have
}
