package gate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// schedulerTimeout bounds the wait for the scheduler's first message about a request:
	// a grant, a refusal or a notice that it is queued. After that the instance places
	// the request itself. The scheduler normally answers within milliseconds; short
	// prompts reach their first event after 150 ms, and callers want it within 300 ms.
	schedulerTimeout = 120 * time.Millisecond
	// maxLinkSilence is the age of the last link message above which the scheduler counts
	// as unreachable: one heartbeat interval plus the delay of a busy process.
	maxLinkSilence = link.HeartbeatInterval + 150*time.Millisecond
	// linkStartupWait is how long a request waits for the link after the start of the
	// instance; linkPollInterval is how often it checks for it.
	linkStartupWait  = 400 * time.Millisecond
	linkPollInterval = 20 * time.Millisecond
	// schedulerGap is how long after the last word of the scheduler a long prompt still waits
	// for the next one: the silence is noticed, and a leader elected, within that time.
	schedulerGap = 2500 * time.Millisecond
	// gapWaitShare is the fraction of the time left until the wanted first event for which
	// it waits at most. The rest is enough to prefill it on the engines chosen locally.
	gapWaitShare = 0.4
	// localRetryInterval is the pause between attempts to place a request locally.
	localRetryInterval = 50 * time.Millisecond
)

// placer obtains engines for requests: from the scheduler of the site, or from a local
// placement core while no scheduler answers.
type placer struct {
	server *Server
	idSeq  atomic.Uint64

	mu      sync.Mutex
	pending map[string]*waiter
	// active holds the grants in use, by the ID of the request for placement.
	active map[string]*activeGrant
	// localCores holds, by pool, the placement cores for local placement. They see only the
	// requests of this instance.
	localCores map[string]*place.Core
	// unreported are grants made locally that no control instance was told of.
	unreported []place.ActiveGrant
}

// waiter receives the scheduler's messages about one pending request.
type waiter struct {
	granted chan place.Grant
	refused chan place.Refuse
	// queued receives the notice that the request is queued; lost is closed when the link
	// is lost.
	queued chan struct{}
	lost   chan struct{}
}

// activeGrant is a grant in use.
type activeGrant struct {
	place.ActiveGrant
	grantedAt time.Time
}

// refusedError reports that no engine accepts the request.
type refusedError struct{ place.Refuse }

func (r *refusedError) Error() string { return r.Reason }

// errNoEngine reports that no engine became free before the request's deadline.
var errNoEngine = errors.New("no engine was free in time")

func (p *placer) setup() {
	p.pending = make(map[string]*waiter)
	p.active = make(map[string]*activeGrant)
	p.localCores = make(map[string]*place.Core)
}

// newID returns a unique ID for a request for placement.
func (p *placer) newID() string {
	return fmt.Sprintf("%s/%x/%x", p.server.Name, p.server.startedAt.UnixNano(), p.idSeq.Add(1))
}

// acquire returns engines for a request; the caller must call release when it is done. It
// returns a *refusedError or errNoEngine if there are none. It updates the ID and the times
// left if the request was sent to a second scheduler.
func (p *placer) acquire(ctx context.Context, req *place.Request) (place.Grant, error) {
	g, err := p.requestGrant(ctx, *req)
	if errors.Is(err, errSchedulerUnavailable) && p.awaitScheduler(ctx, req) {
		g, err = p.requestGrant(ctx, *req)
	}
	if !errors.Is(err, errSchedulerUnavailable) {
		return g, err
	}
	return p.placeLocally(ctx, *req)
}

// awaitScheduler waits for a new scheduler if the last one has only just been lost and the
// request is long enough to afford it. Instances that place long prompts at the same time
// without knowing of each other choose the same engines, and delay the short prompts there.
// It updates the times left in the request, and returns whether there is a scheduler.
func (p *placer) awaitScheduler(ctx context.Context, req *place.Request) bool {
	if !req.IsLong() || req.Resumed {
		return false
	}
	began := time.Now()
	defer func() {
		waited := time.Since(began)
		req.TTFTLeft, req.TimeLeft, req.CallerLeft = req.TTFTLeft-waited, req.TimeLeft-waited, req.CallerLeft-waited
	}()
	wait := min(time.Duration(gapWaitShare*float64(req.TTFTLeft)), schedulerGap-p.server.Link.SinceLeader())
	for time.Since(began) < wait && timing.Sleep(ctx, linkPollInterval) {
		if p.server.Link.IsLinkedToLeader() {
			// The last scheduler may still answer under the former ID.
			former := req.ID
			req.ID = p.newID()
			p.server.Log.Info().Str("ask", former).Str("again", req.ID).Dur("after", time.Since(began)).Msg("request sent to a new scheduler")
			return true
		}
	}
	return false
}

// awaitLink waits for the link to a control instance if this instance has only just started:
// other instances don't know what it places locally, and could choose the same engines. It
// returns as soon as any control instance is linked, even one that knows no leader: then
// there is no scheduler to wait for.
func (p *placer) awaitLink(ctx context.Context) {
	for range int(linkStartupWait / linkPollInterval) {
		if p.server.Link.IsLinked() || time.Since(p.server.startedAt) > startupPeriod || ctx.Err() != nil {
			return
		}
		time.Sleep(linkPollInterval)
	}
}

// errSchedulerUnavailable reports that the scheduler did not answer in time, or that no link
// to it exists.
var errSchedulerUnavailable = errors.New("no answer from the scheduler: no link to it, or timeout")

// requestGrant requests engines from the scheduler of the site and waits for its decision.
// It returns errSchedulerUnavailable, a *refusedError or errNoEngine.
func (p *placer) requestGrant(ctx context.Context, req place.Request) (place.Grant, error) {
	if p.server.Link.SinceLastReceived() > maxLinkSilence {
		// The link is about to be closed, and the scheduler would not answer.
		return place.Grant{}, errSchedulerUnavailable
	}
	w := &waiter{
		granted: make(chan place.Grant, 1), refused: make(chan place.Refuse, 1),
		queued: make(chan struct{}, 1), lost: make(chan struct{}),
	}
	p.mu.Lock()
	p.pending[req.ID] = w
	p.mu.Unlock()
	if !p.server.Link.Send(func(m *link.FollowerMessage) { m.Requests = append(m.Requests, req) }) {
		p.removePending(req.ID)
		return place.Grant{}, errSchedulerUnavailable
	}
	timer := time.NewTimer(schedulerTimeout)
	defer timer.Stop()
	isQueued := false
	for {
		select {
		case g := <-w.granted:
			p.recordGrant(req, g, true)
			return g, nil
		case r := <-w.refused:
			p.removePending(req.ID)
			return place.Grant{}, &refusedError{r}
		case <-w.queued:
			if isQueued = true; req.NoQueue {
				timer.Reset(turnTime)
			} else {
				timer.Stop()
			}
			continue
		case <-timer.C:
		case <-w.lost:
		case <-ctx.Done():
		}
		p.withdraw(req.ID)
		switch {
		case ctx.Err() != nil:
			return place.Grant{}, errNoEngine
		case isQueued && req.NoQueue:
			return place.Grant{}, errShuttingDown
		default:
			return place.Grant{}, errSchedulerUnavailable
		}
	}
}

func (p *placer) removePending(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// withdraw cancels a pending request. A grant that arrives later is returned unused.
func (p *placer) withdraw(id string) {
	p.removePending(id)
	p.server.Link.Send(func(m *link.FollowerMessage) { m.Cancelled = append(m.Cancelled, id) })
}

// recordGrant records a grant as in use. With adopt, it also passes the grant to the local
// core.
func (p *placer) recordGrant(req place.Request, g place.Grant, adopt bool) place.ActiveGrant {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, req.ID)
	active := &activeGrant{ActiveGrant: place.ActiveGrant{Request: req, Lead: g.Lead, Helpers: g.Helpers, Memory: g.Memory}, grantedAt: time.Now()}
	p.active[req.ID] = active
	if c := p.localCore(req.Pool); c != nil && adopt {
		c.Step(active.grantedAt, place.Adopt{Grant: active.ActiveGrant})
	}
	return active.ActiveGrant
}

// localCore returns the local core of a pool, or nil if its engines aren't known. The
// caller holds mu.
func (p *placer) localCore(pool string) *place.Core { return p.localCores[pool] }

// placeLocally places a request without the scheduler, and reports the grant if a link
// exists.
func (p *placer) placeLocally(ctx context.Context, req place.Request) (place.Grant, error) {
	started := time.Now()
	// A new ID is needed because the scheduler may still answer under the first one.
	originalID := req.ID
	req.ID = p.newID()
	for ctx.Err() == nil {
		p.mu.Lock()
		c := p.localCore(req.Pool)
		var decisions []place.Decision
		var loadAge time.Duration
		informed := false
		if c != nil {
			loadAge, informed = c.LoadAge(time.Now())
			c.ColdShares = p.server.coldShares()
			decisions = c.Step(time.Now(), place.Arrive{Request: req})
		}
		p.mu.Unlock()
		for _, d := range decisions {
			switch d := d.(type) {
			case place.Grant:
				active := p.recordGrant(req, d, false)
				p.reportLocal(active)
				d.Waited = time.Since(started)
				metrics.GetOrRegisterCounter("gate.placed_locally", p.server.Metrics).Inc(1)
				line := p.server.Log.Info().Str("ask", originalID).Str("grant", req.ID).Str("lead", d.Lead).Int("parts", len(d.Helpers)+1)
				if informed {
					line = line.Dur("load_age", loadAge)
				}
				line.Msg("placed locally without the scheduler")
				return d, nil
			case place.Refuse:
				return place.Grant{}, &refusedError{d}
			}
		}
		if c != nil {
			p.mu.Lock()
			c.Step(time.Now(), place.Withdraw{ID: req.ID})
			p.mu.Unlock()
		}
		if req.NoQueue {
			return place.Grant{}, errShuttingDown
		}
		timing.Sleep(ctx, localRetryInterval)
	}
	return place.Grant{}, errNoEngine
}

// reportFirstEvent reports the time from sending a request to the first event of its answer.
func (p *placer) reportFirstEvent(id string, after time.Duration) {
	e := place.FirstEvent{ID: id, Elapsed: after}
	p.mu.Lock()
	if g := p.active[id]; g != nil {
		g.Started = true
		if c := p.localCore(g.Request.Pool); c != nil {
			c.Step(time.Now(), e)
		}
	}
	p.mu.Unlock()
	p.server.Link.Send(func(m *link.FollowerMessage) { m.Started = append(m.Started, e) })
}

// reportSilence reports that the lead of a grant is silent.
func (p *placer) reportSilence(id string) {
	e := place.Silence{ID: id}
	p.mu.Lock()
	if g := p.active[id]; g != nil {
		if c := p.localCore(g.Request.Pool); c != nil {
			c.Step(time.Now(), e)
		}
	}
	p.mu.Unlock()
	p.server.Link.Send(func(m *link.FollowerMessage) { m.Silences = append(m.Silences, e) })
}

// release returns the engines of a grant.
func (p *placer) release(e place.End) {
	p.mu.Lock()
	if g := p.active[e.ID]; g != nil {
		delete(p.active, e.ID)
		if c := p.localCore(g.Request.Pool); c != nil {
			c.Step(time.Now(), e)
		}
	}
	p.mu.Unlock()
	p.server.Link.Send(func(m *link.FollowerMessage) { m.Ended = append(m.Ended, e) })
}

// updateCores passes the engines of a new view to the local cores.
func (p *placer) updateCores(v *view) {
	if v.index == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range v.index.Tables.Pools {
		pool := &v.index.Tables.Pools[i]
		if pool.Engine == nil {
			continue
		}
		c := p.localCores[pool.Name]
		if c == nil {
			c = &place.Core{Standalone: true, Shares: p.server.limitShares(), Fair: p.server.Fair, Regions: p.server.Regions}
			p.localCores[pool.Name] = c
		}
		c.Step(time.Now(), place.Fleet{Engine: *pool.Engine, Targets: v.pools[pool.Name], ColdRate: pool.ColdRate})
		p.syncCold(c, v.pools[pool.Name])
		for _, l := range p.server.health.limits(v) {
			l.Phase = p.server.health.drawPhase()
			c.Step(time.Now(), l)
		}
	}
}

// pendingWaiter returns the waiter of a pending request, or nil if it is not pending.
func (p *placer) pendingWaiter(id string) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pending[id]
}
