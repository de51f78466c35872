package inst

import (
	"context"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/plan"
	"github.com/bambooproxy/bambooproxy/internal/sched"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// loadSource collects the load of every engine pool from the schedulers, for the planner.
type loadSource struct {
	members    member.ViewSource
	schedulers *sched.Client
}

// Pools queries every scheduler once and adds up the load of its shards by pool. It fails
// if any scheduler fails to answer, as the engines of that scheduler would be missing.
func (s *loadSource) Pools(ctx context.Context) ([]plan.Pool, error) {
	v := s.members.View()
	loads := make(map[string]*poolLoad)
	queried := make(map[string]bool)
	for _, l := range v.Leases {
		holder, ok := v.Member(l.Holder)
		if !ok || queried[l.Holder] {
			continue
		}
		queried[l.Holder] = true
		statuses, err := s.schedulers.Status(ctx, holder.PeerAddr)
		if err != nil {
			return nil, err
		}
		for _, st := range statuses {
			loads[st.Shard.Pool] = loads[st.Shard.Pool].add(&st)
		}
	}
	var out []plan.Pool
	for _, p := range v.Tables.Pools {
		if p.Kind != table.Engine {
			continue
		}
		load := loads[p.Name]
		out = append(out, plan.Pool{Name: p.Name, Model: p.Model, Load: load.utilisation(), Targets: load.engineTargets()})
	}
	return out, nil
}

// poolLoad is the load of one pool, summed over its shards. It is nil for a pool for which
// no scheduler has reported a load.
type poolLoad struct {
	targets                      []engine.Target
	reservedTokens, memoryTokens int
	queued, inFlight             int
}

// add adds the load of one shard and returns l, or a new load if l is nil.
func (l *poolLoad) add(s *sched.Status) *poolLoad {
	if l == nil {
		l = &poolLoad{}
	}
	l.targets = append(l.targets, s.Targets...)
	l.reservedTokens += s.Reserved
	l.queued += s.Waiting
	l.inFlight += s.Granted
	for _, t := range s.Targets {
		l.memoryTokens += t.Memory
	}
	return l
}

func (l *poolLoad) engineTargets() []engine.Target {
	if l == nil {
		return nil
	}
	return l.targets
}

// utilisation estimates the fraction of the pool's KV cache that requests use or wait
// for; it exceeds 1 when the queue needs more than is free. A queued request is assumed
// to need as much as the average request in flight. Without memory, or without requests
// in flight to average over, any load counts as 1.
func (l *poolLoad) utilisation() float64 {
	switch {
	case l == nil || l.queued == 0 && l.reservedTokens == 0:
		return 0
	case l.memoryTokens == 0 || l.inFlight == 0:
		return 1
	}
	perRequest := float64(l.reservedTokens) / float64(l.inFlight)
	return (float64(l.reservedTokens) + perRequest*float64(l.queued)) / float64(l.memoryTokens)
}
