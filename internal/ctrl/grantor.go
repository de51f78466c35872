package ctrl

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
)

// previousGrantor is the previous grantor of this process's lease.
type previousGrantor struct {
	// name is the relay's name, "" for the leader.
	name string
	// until is when the last lease from it expires.
	until time.Time
	// pendingRelease is true while the previous grantor must still be notified that its
	// lease is no longer used.
	pendingRelease bool
}

// trackGrantor records that relay, or the leader if it is nil, granted a lease. Once the
// lease lasts as long as the last one from the previous grantor, that one is released.
func (a *Agent) trackGrantor(relay *member.Member, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.grantor != parentName(relay) {
		a.previous = previousGrantor{name: a.grantor, until: a.lease.Until(), pendingRelease: a.view != nil}
		a.grantor = parentName(relay)
	}
	if !a.previous.pendingRelease || until.Before(a.previous.until) {
		return
	}
	a.previous.pendingRelease = false
	select {
	case a.released <- a.previous.name:
	default: // The previous grantor counts the lease until it expires.
	}
}

// releaseGrantor notifies a previous grantor, in a heartbeat, that its lease is no longer
// used.
func (a *Agent) releaseGrantor(ctx context.Context, name string) {
	var relay *member.Member
	if name != "" {
		m, ok := a.View().Member(name)
		if !ok {
			return
		}
		relay = m
	}
	hb, _ := a.nextHeartbeat(relay, false)
	hb.Released = true
	// If it fails, the previous grantor counts the lease until it expires.
	_, _ = a.send(ctx, relay, hb)
}
