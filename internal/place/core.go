package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Core places the requests of one pool on its engines. Its first event must be a Fleet.
type Core struct {
	// Standalone is set for a core that sees only a part of the pool's requests. It
	// places each request as soon as it can, and neither delays nor refuses it in favour of
	// others.
	Standalone bool
	// Shares is the number of instances whose cores share the limits that targets name; 0 means
	// that this core sees all requests.
	Shares int
	// ColdShares is the number of instances that share the cold rates of engines with a standalone
	// core; 0 means Shares. It may be higher, as a cold engine crashes where others refuse.
	ColdShares int
	// Fair makes requests worth less by their ranks, and organisations share the engines fairly while
	// more is wanted than these can do.
	Fair bool
	// Regions are the regions of the engines' data centres.
	Regions site.Regions

	model costModel
	// coldRate is how many requests a second a cold engine tolerates; 0 means no limit.
	coldRate float64
	engines  []*engine
	byID     map[string]*engine
	jobs     map[string]*job
	queue    []*job
	demand   demand
	values   valueEstimator
	// admission counts the requests if the core sees all of them.
	admission admission
	// lastOverdueCheck is the time of the last look for overdue first events.
	lastOverdueCheck time.Time
	// refusals counts refusals, to spread the retries of refused callers.
	refusals int
	// loadHeard is the time of the newest report of the pool's load; see PoolLoad.
	loadHeard time.Time
	// leastPause is the shortest MaxPause of the requests of a standalone core.
	leastPause time.Duration
}

// Step handles one event and returns the decisions that follow from it.
func (c *Core) Step(now time.Time, e Event) []Decision {
	if c.byID == nil {
		c.byID = make(map[string]*engine)
		c.jobs = make(map[string]*job)
	}
	switch e := e.(type) {
	case Arrive:
		c.checkOverdue(now)
		return c.arrive(now, e.Request)
	case Withdraw:
		c.withdraw(now, e.ID)
	case FirstEvent:
		c.recordFirstEvent(now, e)
	case Silence:
		c.recordSilence(now, e)
	case End:
		c.end(now, e)
	case Adopt:
		c.adopt(now, e.Grant)
	case Fleet:
		c.updateFleet(now, e)
	case Heartbeat:
		c.recordHeartbeat(now, e.Target)
	case LoadReport:
		c.recordLoad(now, e)
	case PoolLoad:
		c.applyLoad(now, e)
	case Limit:
		c.setLimit(now, e)
	case Cold:
		c.setCold(now, e)
	case Tick:
		c.checkOverdue(now)
		c.tick(now)
		return c.schedule(now)
	}
	return nil
}

// Waiting returns the number of requests that wait for a grant.
func (c *Core) Waiting() int { return len(c.queue) }

// Granted returns the number of grants in use.
func (c *Core) Granted() int { return len(c.jobs) - len(c.queue) }

// arrive places a new request if that is possible now, and otherwise queues or refuses it.
func (c *Core) arrive(now time.Time, r Request) []Decision {
	if c.jobs[r.ID] != nil {
		return nil
	}
	j := &job{request: r, arrived: now, due: now.Add(r.TTFTLeft), weight: c.rankWeight(r)}
	j.value = c.values.value(r) * j.weight
	j.late = r.TTFTLeft <= c.minTTFT(j, maxParts)
	j.work = c.engineTime(j).Seconds()
	j.large = c.values.relativeSize(r) > largeSize
	if c.sharesFairly() {
		c.admission.want(now, j)
	}
	c.demand.add(now, j, c.model.prefillTime(r.Prompt), c.engineTime(j))
	c.jobs[r.ID] = j
	if c.mustQueue(now, j) {
		j.precedence = c.admission.precedence(now, j)
	} else if d := c.decide(now, j); d != nil {
		return []Decision{d}
	}
	c.enqueue(j)
	if len(c.queue) <= maxWaiting {
		return nil
	}
	return c.refuseLast(now)
}

// mustQueue reports whether a new request must wait for the next tick, so that it does not come
// before queued requests with a higher precedence.
func (c *Core) mustQueue(now time.Time, j *job) bool {
	return len(c.queue) > 0 && !j.request.Resumed && !j.late && c.isContended(now)
}

// refuseLast refuses the last request of the queue that is not resumed.
func (c *Core) refuseLast(now time.Time) []Decision {
	for i, j := range slices.Backward(c.queue) {
		if !j.request.Resumed {
			c.queue = slices.Delete(c.queue, i, i+1)
			return []Decision{c.refuse(now, j, "too many requests wait", c.retryAfter(now, j))}
		}
	}
	return nil
}

// maxWaiting bounds the queue: more requests could not be served before their callers give
// up, and each tick goes through all of them.
const maxWaiting = 2000

// maxTickCandidates bounds the waiting requests that one tick tries to place.
const maxTickCandidates = 64

// enqueue inserts a request into the queue, which is sorted by compareQueued.
func (c *Core) enqueue(j *job) {
	i, _ := slices.BinarySearchFunc(c.queue, j, compareQueued)
	c.queue = slices.Insert(c.queue, i, j)
}

// compareQueued orders requests that can still meet their target before late ones, then by
// precedence, due time, ranks and ID.
func compareQueued(a, b *job) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(a.precedence.compare(b.precedence), a.due.Compare(b.due), cmp.Compare(a.request.Rank, b.request.Rank),
		cmp.Compare(a.request.RouteRank, b.request.RouteRank), cmp.Compare(a.request.ID, b.request.ID))
}

// schedule places the waiting requests that can be placed now. A request that waits for one
// kind of engine must not block another kind, so it tries the first maxTickCandidates of
// the queue. Requests after those are not tried in this tick: with so many before them, they
// would not be granted an engine.
func (c *Core) schedule(now time.Time) []Decision {
	var out []Decision
	kept := c.queue[:0]
	for i, j := range c.queue {
		if i >= maxTickCandidates {
			kept = append(kept, c.queue[i:]...)
			break
		}
		if d := c.decide(now, j); d != nil {
			out = append(out, d)
			continue
		}
		kept = append(kept, j)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	return out
}

// withdraw drops a request: it releases the grant, or takes the request out of the queue.
func (c *Core) withdraw(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if j.lead != nil {
		c.release(now, j)
		return
	}
	delete(c.jobs, id)
	c.queue = slices.DeleteFunc(c.queue, func(o *job) bool { return o == j })
}

// recordFirstEvent handles the first event of an answer.
func (c *Core) recordFirstEvent(now time.Time, e FirstEvent) {
	j := c.jobs[e.ID]
	if j == nil || j.lead == nil || j.started {
		return
	}
	j.started = true
	j.late = j.late || now.After(j.due)
	j.lead.Reset()
	// An answer shows that the engine is alive, even if its heartbeats get lost.
	j.lead.lastHeartbeat = now
	if len(j.helpers) == 0 && !j.request.Whole {
		j.lead.observeSlowdown(now, j, e.Elapsed)
	}
	c.markPrefilled(now, j)
	c.syncPassEnd(now, j.lead)
}

// markPrefilled marks the prompt as prefilled, even if the prediction has parts left.
func (c *Core) markPrefilled(now time.Time, j *job) {
	c.advance(now, j.lead)
	if j.prefilled {
		return
	}
	j.prefilled, j.pendingParts = true, 0
	for _, e := range j.engines() {
		e.removeParts(j)
	}
	j.lead.decoding++
	j.lead.invalidatePause()
}

// recordSilence ejects the lead of a grant, so that other requests are placed elsewhere meanwhile.
func (c *Core) recordSilence(now time.Time, e Silence) {
	if j := c.jobs[e.ID]; j != nil && j.lead != nil {
		j.lead.eject(now, false)
	}
}

// end handles the end of a request and ejects the target that failed it, if any.
func (c *Core) end(now time.Time, e End) {
	j := c.jobs[e.ID]
	if j == nil {
		return
	}
	if e.Pause > 0 && j.lead != nil {
		j.lead.pause(now, j.request.Instance, e.Pause)
	}
	if t := c.byID[e.FailedTarget]; t != nil {
		if !e.Answered || c.mayEject(now) {
			t.eject(now, e.Unreachable)
		}
	} else if j.started {
		j.lead.lastHeartbeat = now
		c.syncPassEnd(now, j.lead)
	}
	c.withdraw(now, e.ID)
}

// reserve books the resources of a grant on its engines.
func (c *Core) reserve(now time.Time, j *job, p plan) {
	j.lead, j.helpers, j.memory, j.partTime = p.lead, p.helpers, p.memory, p.partTime
	j.granted, j.firstEventAt, j.slowdown = now, now.Add(p.ttft), p.lead.slowdown(now)
	p.lead.reserved += j.leadTokens()
	p.lead.answers++
	p.lead.contextTokens += j.leadContext()
	if !j.isLong() {
		p.lead.shortAnswers++
	}
	list := j.engines()
	j.pendingParts = len(list)
	tokens := float64(j.request.Prompt) / float64(len(list))
	for i, e := range list {
		if i > 0 {
			e.helperParts++
			e.reserved += j.helperTokens(i - 1)
		}
		e.jobs = append(e.jobs, j)
		e.invalidatePause()
		c.addPart(now, e, &promptPart{job: j, tokens: tokens, perToken: float64(p.partTime) / max(1, tokens), split: len(list) > 1, arrives: now.Add(transitTime)})
	}
}

// release returns the resources of a grant.
func (c *Core) release(now time.Time, j *job) {
	delete(c.jobs, j.request.ID)
	j.ended = true
	list := j.engines()
	for i, e := range list {
		c.advance(now, e)
		e.removeParts(j)
		if i > 0 {
			e.helperParts--
			e.reserved -= j.helperTokens(i - 1)
		}
		e.jobs = slices.DeleteFunc(e.jobs, func(o *job) bool { return o == j })
		e.invalidatePause()
	}
	if j.prefilled {
		j.lead.decoding--
	}
	j.lead.reserved -= j.leadTokens()
	j.lead.answers--
	j.lead.contextTokens -= j.leadContext()
	if !j.isLong() {
		j.lead.shortAnswers--
	}
}

// adopt takes over a grant that another scheduler issued and that an instance still uses.
func (c *Core) adopt(now time.Time, g ActiveGrant) {
	lead := c.byID[g.Lead]
	if lead == nil || c.jobs[g.Request.ID] != nil {
		return
	}
	j := &job{
		request: g.Request, arrived: now.Add(-g.Age), due: now.Add(g.Request.TTFTLeft - g.Age), weight: c.rankWeight(g.Request),
	}
	j.value = c.values.value(g.Request) * j.weight
	j.late = !g.Started && j.due.Before(now)
	p := plan{lead: lead}
	for i, id := range g.Helpers {
		if e := c.byID[id]; e != nil {
			p.helpers = append(p.helpers, e)
			if i < len(g.Memory) {
				p.memory = append(p.memory, g.Memory[i])
			}
		}
	}
	if !g.Started {
		p.partTime = max(0, c.model.prefillTime(g.Request.Prompt)/time.Duration(len(p.helpers)+1)-g.Age)
		p.ttft = p.partTime
	}
	c.jobs[g.Request.ID] = j
	c.reserve(now, j, p)
	for _, e := range j.engines() {
		e.uncertainUntil = now.Add(uncertainTime)
	}
	if j.started = g.Started; j.started {
		c.markPrefilled(now, j)
	}
}

// tick marks as late the requests that have missed their target for the first event, and the
// queued ones that can no longer meet it. Late requests sort last in the queue, as a further
// delay costs them no more.
func (c *Core) tick(now time.Time) {
	for _, j := range c.jobs {
		if !j.started && now.After(j.due) {
			j.late = true
		}
	}
	contended := len(c.queue) > 0 && c.isContended(now)
	if contended {
		c.admission.update(now)
	}
	for _, j := range c.queue {
		j.precedence = precedence{}
		if contended {
			j.precedence = c.admission.precedence(now, j)
		}
		j.late = j.late || j.due.Sub(now) < c.minTTFT(j, maxParts)
		if j.late && j.lateSince.IsZero() {
			j.lateSince = now
		}
	}
	slices.SortStableFunc(c.queue, compareQueued)
}
