package sched

import (
	"context"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

const (
	// settleTime is how long a new scheduler waits for its targets to announce
	// themselves, which they do every second.
	settleTime = 1200 * time.Millisecond
	// checkInterval is how often the holdings and new cache events of engines are
	// fetched. It also bounds these calls.
	checkInterval = 2 * time.Second
	// reconcileDelay is the time after a takeover in which no engine is reconciled: the
	// grant for a request on an engine may still be renewed and then adopted.
	reconcileDelay = policy.LeaseTime
)

// takeOver adopts the grants of the previous scheduler and then lets run start granting.
// If every entry has replied, that is after settleTime; otherwise after
// policy.LeaseTime, when the grants of the entries that did not reply have been renewed
// and adopted or have expired.
func (sc *scheduler) takeOver(ctx context.Context) {
	start := time.Now()
	wait := settleTime
	if !sc.collectGrants(ctx) {
		wait = policy.LeaseTime
	}
	t := time.NewTimer(wait - time.Since(start))
	defer t.Stop()
	select {
	case <-t.C:
		sc.send(message{takeoverDone: true})
	case <-ctx.Done():
	}
}

// collectGrants adopts the grants that the entries are using. It returns whether all
// entries have replied.
func (sc *scheduler) collectGrants(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	members := sc.Members.View().Members
	answered := make([]bool, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { answered[i] = sc.collectGrantsFrom(ctx, m) })
	}
	wg.Wait()
	for _, ok := range answered {
		if !ok {
			return false
		}
	}
	return true
}

// collectGrantsFrom adopts the grants that one entry is using. It returns whether the
// entry has replied.
func (sc *scheduler) collectGrantsFrom(ctx context.Context, m member.Member) bool {
	var rep LiveGrantsReply
	if err := sc.Calls.Call(ctx, m.PeerAddr, liveMethod, &LiveGrantsCall{Shard: sc.shard}, &rep); err != nil {
		return false
	}
	for _, g := range rep.Grants {
		sc.post(g.adoptEvent())
	}
	return true
}

// checkTargets fetches the cache events that have not been applied and the holdings of
// each engine, so that memory reserved without a grant is freed.
func (sc *scheduler) checkTargets(ctx context.Context) {
	if !sc.ready || time.Since(sc.readySince) < reconcileDelay {
		return
	}
	for _, c := range sc.cursors.lagging() {
		sc.background.Go(func() { sc.fetchCacheEvents(ctx, c) })
	}
	for _, t := range sc.core.Targets() {
		if t.Kind == table.Engine {
			sc.background.Go(func() { sc.reconcileEngine(ctx, t) })
		}
	}
}

// reconcileEngine queues the holdings of one engine for run.
func (sc *scheduler) reconcileEngine(ctx context.Context, t engine.Target) {
	ctx, stop := context.WithTimeout(ctx, checkInterval)
	defer stop()
	holdings, err := sc.Engine.Holdings(ctx, t.Addr)
	if err != nil {
		return // A failed engine is detected by its missing announcements.
	}
	sc.post(policy.Hold{Target: t.Name, Holdings: holdings})
}
