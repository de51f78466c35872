package trial

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// reportTimeout is the time after an engine's last report during which a baseline still
// sends requests to it.
const reportTimeout = 8 * time.Second

// strategy is the rule by which a baseline orders requests and selects engines.
type strategy int

const (
	roundRobin strategy = iota
	randomOfTwo
	leastTokens
	firstCome
	shortestFirst
)

// baseline is a common load-balancing policy to compare the system's own with.
type baseline struct {
	strategy strategy
	// sendPriority sends the rank of the request's class as its priority in the engine.
	sendPriority bool

	rand    *rand.Rand
	engines []*engineState // by name
	// next is the index of the next engine in round-robin order.
	next  int
	queue []policy.Ask
	// granted holds the requests in flight by grant.
	granted map[string]*inFlight
}

// engineState is a baseline's view of one engine.
type engineState struct {
	engine.Target
	lastReport time.Time
	// tokens and requests count what is in flight on the engine; prefills counts the
	// prompts among it that are not prefilled yet.
	tokens, requests, prefills int
}

// inFlight is a granted request.
type inFlight struct {
	engines []*engineState
	// tokens is the KV cache reserved on each engine.
	tokens    int
	prefilled bool
}

// Step implements Policy.
func (b *baseline) Step(now time.Time, e policy.Event) []policy.Decision {
	switch e := e.(type) {
	case policy.Arrive:
		b.queue = append(b.queue, e.Ask)
		if b.strategy == shortestFirst {
			slices.SortStableFunc(b.queue, func(x, y policy.Ask) int { return cmp.Compare(x.Prompt, y.Prompt) })
		}
	case policy.Withdraw:
		b.queue = slices.DeleteFunc(b.queue, func(a policy.Ask) bool { return a.ID == e.ID })
	case policy.Renew:
		if r := b.granted[e.Grant]; r != nil && e.Progress.First > 0 {
			r.endPrefill()
		}
	case policy.Release:
		b.release(e.Grant)
	case policy.Announce:
		b.recordReport(now, e.News.Target)
	}
	return b.schedule(now)
}

// recordReport updates the time of an engine's last report and adds engines that are
// new.
func (b *baseline) recordReport(now time.Time, t engine.Target) {
	for _, es := range b.engines {
		if es.Name == t.Name {
			es.lastReport = now
			return
		}
	}
	b.engines = append(b.engines, &engineState{Target: t, lastReport: now})
	slices.SortFunc(b.engines, func(x, y *engineState) int { return cmp.Compare(x.Name, y.Name) })
}

// endPrefill removes the request from the prefill counts of its engines, once.
func (r *inFlight) endPrefill() {
	if r.prefilled {
		return
	}
	r.prefilled = true
	for _, es := range r.engines {
		es.prefills--
	}
}

// release frees what a grant reserved; later calls do nothing.
func (b *baseline) release(id string) {
	r := b.granted[id]
	if r == nil {
		return
	}
	delete(b.granted, id)
	r.endPrefill()
	for _, es := range r.engines {
		es.tokens -= r.tokens
		es.requests--
	}
}

// schedule grants requests from the head of the queue until one has to wait.
func (b *baseline) schedule(now time.Time) []policy.Decision {
	var out []policy.Decision
	for len(b.queue) > 0 {
		a := b.queue[0]
		available := b.available(now, a)
		if len(available) == 0 {
			out = append(out, policy.Refuse{ID: a.ID, Reason: verd.Unavailable})
			b.queue = b.queue[1:]
			continue
		}
		tokens := a.Prompt + a.Output
		count := (tokens + available[0].Memory - 1) / available[0].Memory
		if count > len(available) {
			out = append(out, policy.Refuse{ID: a.ID, Reason: verd.TooLarge})
			b.queue = b.queue[1:]
			continue
		}
		chosen := b.selectEngines(available, count, (tokens+count-1)/count)
		if chosen == nil {
			return out
		}
		b.queue = b.queue[1:]
		out = append(out, b.grant(a, chosen, (tokens+count-1)/count))
	}
	return out
}

// available returns the engines that have reported recently and that the request
// doesn't avoid.
func (b *baseline) available(now time.Time, a policy.Ask) []*engineState {
	var out []*engineState
	for _, es := range b.engines {
		if now.Sub(es.lastReport) <= reportTimeout && !slices.Contains(a.Avoid, es.Name) {
			out = append(out, es)
		}
	}
	return out
}

// grant reserves share tokens on each chosen engine and returns the decision.
func (b *baseline) grant(a policy.Ask, chosen []*engineState, share int) policy.Decision {
	if b.granted == nil {
		b.granted = make(map[string]*inFlight)
	}
	g := policy.Grant{ID: a.ID, Share: share}
	if b.sendPriority {
		g.Priority = a.Class.Rank()
	}
	for _, es := range chosen {
		es.tokens += share
		es.requests++
		es.prefills++
		g.Targets = append(g.Targets, es.Target)
	}
	b.granted[a.ID] = &inFlight{engines: chosen, tokens: share}
	return g
}

// selectEngines returns count engines for share tokens each, or nil if the request has
// to wait.
func (b *baseline) selectEngines(available []*engineState, count, share int) []*engineState {
	switch b.strategy {
	case roundRobin:
		var out []*engineState
		for i := range count {
			out = append(out, available[(b.next+i)%len(available)])
		}
		b.next += count
		return out
	case randomOfTwo:
		return b.bestOfTwo(available, count)
	case leastTokens:
		sorted := slices.Clone(available)
		slices.SortStableFunc(sorted, func(x, y *engineState) int { return cmp.Compare(x.tokens, y.tokens) })
		return sorted[:count]
	default:
		return idleEngines(available, count, share)
	}
}

// bestOfTwo selects count engines: each is the one with fewer requests in flight of two
// drawn at random.
func (b *baseline) bestOfTwo(available []*engineState, count int) []*engineState {
	var out []*engineState
	remaining := slices.Clone(available)
	for range count {
		i, j := b.rand.IntN(len(remaining)), b.rand.IntN(len(remaining))
		if remaining[j].requests < remaining[i].requests {
			i = j
		}
		out = append(out, remaining[i])
		remaining = slices.Delete(remaining, i, i+1)
	}
	return out
}

// idleEngines returns the count engines with the fewest tokens in flight of those that
// have share tokens free and prefill no prompt, or nil if there are
// too few.
func idleEngines(available []*engineState, count, share int) []*engineState {
	var out []*engineState
	for _, es := range available {
		if es.prefills == 0 && es.Memory-es.tokens >= share {
			out = append(out, es)
		}
	}
	if len(out) < count {
		return nil
	}
	slices.SortStableFunc(out, func(x, y *engineState) int { return cmp.Compare(x.tokens, y.tokens) })
	return out[:count]
}
