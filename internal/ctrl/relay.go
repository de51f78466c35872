package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/lease"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// relayMethod is the name of the method by which a relay answers heartbeats.
const relayMethod = "ctrl.relay"

// Methods returns the RPC methods that members call on their relay.
func (a *Agent) Methods() []wire.Method {
	return []wire.Method{{
		Name: relayMethod,
		New:  func() any { return new(Heartbeat) },
		Run:  func(ctx context.Context, in any) (any, error) { return a.relayHeartbeat(ctx, in.(*Heartbeat)) },
	}}
}

// relayHeartbeat replies to a heartbeat of a child in the relay tree. The child's lease
// ends no later than this member's own.
func (a *Agent) relayHeartbeat(ctx context.Context, hb *Heartbeat) (*HeartbeatReply, error) {
	arrived := time.Now()
	hctx, stop := context.WithTimeout(ctx, longPollTime)
	defer stop()
	known := a.recordHeartbeat(hb)
	if !known || hb.Released {
		return &HeartbeatReply{NeedSubtree: !hb.Released}, nil
	}
	a.waitUntil(hctx, func() bool { return a.mayGrant(hb) })
	if hb.LongPoll {
		a.waitForChange(hctx, hb.ViewVersion)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	until := a.lease.Until()
	term := lease.Remaining(until, arrived)
	if !a.lease.Live(time.Now()) || !a.mayGrant(hb) {
		// The child retries while its lease lasts.
		return &HeartbeatReply{}, nil
	}
	reply := &HeartbeatReply{LeaseTerm: term}
	reply.View, reply.Deltas = a.changesSince(hb.ViewVersion)
	a.children.extend(hb, reply.versionAfter(hb.ViewVersion), lease.Expiry(time.Now(), time.Until(until)))
	return reply, nil
}

// recordHeartbeat records a child's heartbeat. If the lowest version in use has risen,
// a heartbeat is sent to the parent immediately.
func (a *Agent) recordHeartbeat(hb *Heartbeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.children.record(hb)
	if a.view == nil {
		return known
	}
	if a.children.minVersion(time.Now(), a.view.Version) > a.acked.minVersion {
		a.requestReport()
	}
	return known
}

// requestReport requests a heartbeat without a long poll, to report changes in the subtree.
func (a *Agent) requestReport() {
	select {
	case a.reportNow <- struct{}{}:
	default:
	}
}

// mayGrant reports whether this process may grant the lease that the heartbeat requests:
// its view is not older than the child's, and the parent has acknowledged the child and
// all its descendants. Only then does the leader wait until their leases expire.
func (a *Agent) mayGrant(hb *Heartbeat) bool {
	if a.view == nil || a.view.Version < hb.ViewVersion {
		return false
	}
	for _, p := range a.children.subtree(hb.Process) {
		if _, found := slices.BinarySearchFunc(a.acked.subtree, p, member.Process.Compare); !found {
			return false
		}
	}
	return true
}

// waitUntil waits until done, which is called under the lock, returns true or ctx ends.
// It checks again whenever the lease is renewed, and requests a heartbeat before each
// wait.
func (a *Agent) waitUntil(ctx context.Context, done func() bool) {
	for {
		a.mu.Lock()
		satisfied, renewed := done(), a.leaseRenewed
		a.mu.Unlock()
		if satisfied {
			return
		}
		a.requestReport()
		select {
		case <-renewed:
		case <-ctx.Done():
			return
		}
	}
}

// waitForChange waits for a view newer than the version have, a longer lease, or the end
// of ctx.
func (a *Agent) waitForChange(ctx context.Context, have uint64) {
	a.mu.Lock()
	behind := a.view != nil && a.view.Version > have
	changed, renewed := a.viewChanged, a.leaseRenewed
	a.mu.Unlock()
	if behind {
		return
	}
	select {
	case <-changed:
	case <-renewed:
	case <-ctx.Done():
	}
}

// changesSince returns the changes after the version have: deltas, or the whole view if
// not all of them are kept.
func (a *Agent) changesSince(have uint64) (*member.View, []member.Delta) {
	if have >= a.view.Version {
		return nil, nil
	}
	if d, ok := a.deltas.since(have); ok {
		return nil, d
	}
	return a.view, nil
}

// reportSubtree reports changes in the subtree to the parent until ctx ends, without
// waiting for the reply to a long-polling heartbeat. Expired leases raise the lowest
// version in use too, so it also checks periodically.
func (a *Agent) reportSubtree(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !a.minVersionRisen() {
				continue
			}
		case <-a.reportNow:
		case grantor := <-a.released:
			a.releaseGrantor(ctx, grantor)
			continue
		}
		// If it fails, the next heartbeat reports the same.
		_ = a.heartbeat(ctx, false)
	}
}

// minVersionRisen reports whether the lowest version in use is above the one that the
// parent has acknowledged.
func (a *Agent) minVersionRisen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.children.prune(time.Now())
	if a.view == nil || len(a.children.byProcess) == 0 {
		return false
	}
	return a.children.minVersion(time.Now(), a.view.Version) > a.acked.minVersion
}
