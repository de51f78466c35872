package inst

import (
	"context"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/entry"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// spreadTime is how long the other instances may take to learn that this
	// one leaves, and so go on naming it to callers.
	spreadTime = 2 * time.Second
	// lastGrace is added to the longest time limit of a request, for what
	// follows its end.
	lastGrace = 10 * time.Second
)

// drain leaves the list of entries, waits out the lifetimes of the lists
// handed out, and waits for the requests in progress. Each of them ends
// within the time limit of its route, so that none is cut off.
func (i *Instance) drain(ctx context.Context) {
	i.Log.Info().Msg("leaving")
	i.entries.Leave()
	if err := i.agent.SetState(ctx, member.Leaving); err != nil {
		i.Log.Warn().Err(err).Msg("leaving without word to control")
	}
	timing.Sleep(ctx, min(entry.EntriesLifetime+spreadTime, time.Duration(i.Settings.Drain)))
	ctx, stop := context.WithTimeout(ctx, max(time.Duration(i.Settings.Drain), i.longest()+lastGrace))
	defer stop()
	i.entries.Wait(ctx)
	// Without this word the lease runs out by itself.
	_ = i.agent.SetState(context.WithoutCancel(ctx), member.Gone)
	i.Log.Info().Msg("stopped")
}

// longest returns the longest time limit of all routes.
func (i *Instance) longest() time.Duration {
	var d time.Duration
	v := i.agent.View()
	if v == nil {
		return d
	}
	for _, r := range v.Tables.Routes {
		d = max(d, time.Duration(r.Limit))
	}
	return d
}
