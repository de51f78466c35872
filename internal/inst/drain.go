package inst

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/entry"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// propagationTime bounds how long other instances still list this one to callers
	// after it has started to drain.
	propagationTime = 2 * time.Second
	// drainMargin is added to the longest time limit of a route, for the work that
	// follows the end of a request.
	drainMargin = 10 * time.Second
)

// drain removes this instance from the list of entries, waits until the copies that
// callers have cached expire, and then waits for the requests in flight. Every
// request ends within the time limit of its route, so none is cut off.
func (i *Instance) drain(ctx context.Context) {
	i.Log.Info().Msg("draining")
	i.entry.StartDraining()
	if err := i.agent.SetState(ctx, member.Leaving); err != nil {
		i.Log.Warn().Err(err).Msg("report of state leaving to the control plane failed; draining anyway")
	}
	timing.Sleep(ctx, min(entry.EntriesTTL+propagationTime, time.Duration(i.Settings.Drain)))
	ctx, cancel := context.WithTimeout(ctx, max(time.Duration(i.Settings.Drain), i.longestRouteLimit()+drainMargin))
	defer cancel()
	i.entry.WaitIdle(ctx)
	// If this report is lost, the lease expires by itself.
	_ = i.agent.SetState(context.WithoutCancel(ctx), member.Gone)
	i.Log.Info().Msg("stopped")
}

// longestRouteLimit returns the longest time limit of all routes, or 0 while the tables
// are unknown.
func (i *Instance) longestRouteLimit() time.Duration {
	var longest time.Duration
	v := i.agent.View()
	if v == nil {
		return longest
	}
	for _, r := range v.Tables.Routes {
		longest = max(longest, time.Duration(r.Limit))
	}
	return longest
}
