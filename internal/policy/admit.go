package policy

import (
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// maxRetryAfter caps the retry-after time of a refusal.
	maxRetryAfter = time.Minute
	// predictedFraction is the fraction of a time limit that the predicted wait and
	// service time may use; the rest is a safety margin.
	predictedFraction = 0.85
	// urgentFraction is the fraction of a time limit: a request that has less than this
	// left until its grant deadline is granted before all others.
	urgentFraction = 0.25
	// maxUrgent bounds the urgent requests considered after one event.
	maxUrgent = 4
)

// enqueue adds a request to the queue, or refuses it if it is predicted to exceed its
// time limit. It ignores a request that is already queued or granted.
func (c *Core) enqueue(now time.Time, req Ask) []Decision {
	if c.queue.byID[req.ID] != nil || c.grants[req.ID] != nil {
		return nil
	}
	b := BandOf(req.Prompt)
	r := &queuedRequest{
		req: req, band: b, lane: laneOf(req.Class, b), arrived: now, deadline: now.Add(req.Left),
		backlogIndex: notInHeap, deadlineIndex: notInHeap,
	}
	r.work = c.Model.Prefill(req.Prompt, 0)
	c.demand.add(now, r.work, b.isLong())
	service := c.serviceTime(r)
	r.grantDeadline = now.Add(scale(req.Left, predictedFraction) - service)
	if c.enabled(Admission) && c.Model.trained() && len(c.fleet.active) > 0 {
		if excess := c.queueWait(now, r) + service - scale(req.Left, predictedFraction); excess > 0 {
			return []Decision{Refuse{
				ID: req.ID, Reason: verd.Overloaded, Message: "predicted time to answer exceeds the request's time limit",
				RetryAfter: clampRetryAfter(excess),
			}}
		}
	}
	r.org = c.accounts.get(req.Organisation)
	c.queue.push(r)
	return nil
}

// clampRetryAfter limits d to the range from minRetryAfter to maxRetryAfter.
func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// serviceTime predicts the time from the grant to the end of the answer. It is 0 until
// the model is trained.
func (c *Core) serviceTime(r *queuedRequest) time.Duration {
	if !c.Model.trained() {
		return 0
	}
	targets := time.Duration(1)
	if c.fleet.maxMemory > 0 {
		targets = time.Duration(max((r.req.Prompt+r.req.Output+c.fleet.maxMemory-1)/c.fleet.maxMemory, 1))
	}
	return r.work/targets + c.Model.ExpectedAnswer(r.req.Output, r.band.isLong())
}

// queueWait predicts how long a new request waits, in the queue and in the engine, before
// its prefill starts.
func (c *Core) queueWait(now time.Time, r *queuedRequest) time.Duration {
	return c.laneWait(now, r.lane)
}

// laneWait predicts the wait of a new request in a lane: the shortest wait in an engine,
// plus the queued prefill work of this lane and those before it, divided by the number of
// targets that share it. For a long prompt only the lanes of long prompts count, for a
// short one only those of short prompts.
func (c *Core) laneWait(now time.Time, id laneID) time.Duration {
	band := id.band()
	targets := len(c.fleet.active)
	if band.isLong() && c.enabled(Partition) {
		targets = min(c.demand.longTargets, targets)
	}
	if targets == 0 {
		return 0
	}
	var queued time.Duration
	for i := laneID(0); i <= id; i++ {
		if i.band().isLong() == band.isLong() {
			queued += c.queue.lanes[i].work
		}
	}
	return c.engineWait(now, band) + queued/time.Duration(targets)
}

// engineWait returns the shortest wait in an engine for a prompt of the band. A long
// prompt that may not start on another target waits for one with a long prompt; other
// prompts use the targets without long prompts, or all targets if there are none.
func (c *Core) engineWait(now time.Time, b Band) time.Duration {
	withLong, haveLong := shortestWait(now, b, c.fleet.withLong[b])
	if b.isLong() && !c.mayStartLong() && haveLong {
		return withLong
	}
	if withoutLong, haveFree := shortestWait(now, b, c.fleet.withoutLong[b]); haveFree {
		return withoutLong
	}
	return withLong
}

// refuse removes a request from the queue and returns the refusal.
func (c *Core) refuse(r *queuedRequest, reason verd.Reason, msg string, after time.Duration) Decision {
	c.queue.remove(r)
	c.clearReservation(r)
	c.accounts.deleteIdle(r.org)
	return Refuse{ID: r.req.ID, Reason: reason, Message: msg, RetryAfter: after}
}

// withdraw removes a queued request whose caller has disconnected.
func (c *Core) withdraw(id string) {
	if r := c.queue.byID[id]; r != nil {
		c.queue.remove(r)
		c.clearReservation(r)
		c.accounts.deleteIdle(r.org)
	}
}

// schedule refuses overdue requests, then grants what fits: urgent requests first, then
// the lanes in order.
func (c *Core) schedule(now time.Time) []Decision {
	out := c.refuseOverdue(now)
	if c.enabled(Ageing) {
		out = append(out, c.scheduleUrgent(now)...)
	}
	for i := range c.queue.lanes {
		out = c.scheduleLane(now, &c.queue.lanes[i], out)
	}
	return out
}

// refuseOverdue refuses the queued requests that can no longer be granted in time.
func (c *Core) refuseOverdue(now time.Time) []Decision {
	var out []Decision
	for c.queue.byDeadline.len() > 0 && c.queue.byDeadline.first().overdue(now, c.enabled(Admission)) {
		r := c.queue.byDeadline.first()
		out = append(out, c.refuse(r, verd.Overloaded, "request can no longer be answered within its time limit", minRetryAfter))
	}
	return out
}

// overdue reports whether a request can no longer be granted in time: with predictions
// once its grant deadline has passed, without them once its time limit has.
func (r *queuedRequest) overdue(now time.Time, usePredictions bool) bool {
	if usePredictions {
		return now.After(r.grantDeadline)
	}
	return !now.Before(r.deadline)
}

// scheduleUrgent grants the requests that are close to their grant deadlines before any
// others. A request is not urgent in its first second in the queue.
func (c *Core) scheduleUrgent(now time.Time) []Decision {
	var out []Decision
	for range maxUrgent {
		if c.queue.byDeadline.len() == 0 {
			return out
		}
		r := c.queue.byDeadline.first()
		limit := r.deadline.Sub(r.arrived)
		if r.grantDeadline.Sub(now) > scale(limit, urgentFraction) || now.Sub(r.arrived) < time.Second {
			return out
		}
		d := c.place(now, r)
		if d == nil {
			c.reserveTargets(now, r)
			return out
		}
		out = append(out, d)
	}
	return out
}

// scheduleLane grants the requests of a lane in order until one has to wait.
func (c *Core) scheduleLane(now time.Time, l *lane, out []Decision) []Decision {
	for r := l.head(); r != nil; r = l.head() {
		d := c.place(now, r)
		if d == nil {
			c.reserveTargets(now, r)
			return out
		}
		out = append(out, d)
	}
	return out
}
