package gate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fullTime is how long after the last sign of a shortage a pool is no longer taken for full.
	fullTime = time.Second
	// rateCut is the factor by which the rate of sends falls when a target refuses, and lateCut the one
	// when an answer takes longer than its caller wants; at most once per cutInterval, since requests sent
	// before a cut may still be refused.
	rateCut     = 0.85
	lateCut     = 0.95
	cutInterval = 100 * time.Millisecond
	// rateRise is by how many requests a second the rate rises each second, or by which part of the rate
	// if that is more: the same amount for all entries makes their rates equal, and one that is alone
	// must get to hundreds a second.
	rateRise     = 1.0
	ratePartRise = 0.2
	// calmPartRise replaces ratePartRise after calmSends without a cut: the rate is far too low then.
	calmPartRise = 0.6
	calmSends    = 10
	// inFlightPart is the part of the requests in flight from which the first rate is derived after a quiet time:
	// by the time that answers have taken until now, which grows while a pool fills up.
	inFlightPart = 0.5
	// minRate is the lowest rate in requests a second: only a send can show that there is room again. At
	// 195 entries, it is less than three services with 6 slots serve.
	minRate = 2.0
	// maxDebt is how many turns a request may be sent early that is more urgent than all others, and in
	// proportion if it is more urgent than some: at a few sends a second, the time until the next turn
	// is as long as its answer may take. Less urgent ones wait longer for that.
	maxDebt = 3.0
	// lateAim is the part of the target latency from which an answer counts as slow: what waits at the
	// targets is lost for their callers as well.
	lateAim = 0.8
	// overloadRatio is how many times the rate must arrive for the pool to be overloaded for longer. Callers
	// that come again then take the place of others that could still be on time, so they are told at
	// least overloadReturn.
	overloadRatio  = 1.2
	overloadReturn = 700 * time.Millisecond
	// burstRatio is how many times the mean of the others an organisation must send to count as a burst, which
	// comes last whatever its rank: at a few requests a second, chance makes twice the mean common.
	burstRatio = 3.0
	// maxTurns is how many unused turns are kept. More would send a burst to targets that are full; with 2,
	// entries with a few requests a second left 3 in 100 of the capacity unused.
	maxTurns = 4.0
	// countTime is the time constant of counts of arrivals, sends and answers; the present load counts.
	countTime = time.Second
	// spareTurns is how many sends pay for one of an organisation that gets hardly any, whatever its rank.
	spareTurns = 8
	// answerWeight is the weight of the last answer in the mean time that answers take.
	answerWeight = 0.1
	// minWaitPart is the part of the target latency for which a request may wait even if it is late then.
	minWaitPart = 0.25
	// minReturn and maxReturn bound the Retry-After of refused requests, before returnSpread, over which
	// callers that were refused together come again.
	minReturn    = 200 * time.Millisecond
	maxReturn    = 3 * time.Second
	returnSpread = 300 * time.Millisecond
	// minCount is the count below which an organisation is forgotten.
	minCount = 0.01
)

// ticket is a request to a plain service that waits for its turn.
type ticket struct {
	rank         int
	organisation string
	// aim is the target latency. When the ticket arrives, left is the time that the caller still waits, and
	// waited is how old the request is.
	aim, left, waited time.Duration
	// phase, from 0 to 1, spreads the times at which refused callers return.
	phase float64

	// due is until when the request may wait.
	due time.Time
	// decided is set once the ticket was granted or refused, and retryAfter is when to try again.
	decided    bool
	retryAfter time.Duration
	// done is closed with the decision.
	done chan struct{}
}

// admission decides which requests of this instance are sent to a pool of plain services, which wait and
// which are refused. It has no clock of its own. While a target has room,
// every request is sent at once. Once all have, sends are spaced out at a rate that falls with each refusal.
// Those that wait are sent in the order of their ranks; at equal rank, organisations with fewer sends
// come first, then the earliest due. A burst of one organisation comes last.
type admission struct {
	// full is set while all targets refuse requests. shortAt is when they last did or a request was
	// refused here, and cutAt when the rate was last cut.
	full    bool
	shortAt time.Time
	cutAt   time.Time
	// rate is the number of sends a second while the pool is full, and turns how many are possible now.
	rate, turns float64
	// spare are the turns that organisations without sends may use.
	spare float64
	// answers is the decayed count of answers, and answerTime how long they take.
	answers    float64
	answerTime time.Duration
	waiting    []*ticket
	classes    map[class]*classCounts
	steppedAt  time.Time
}

// class are the requests of one rank and organisation.
type class struct {
	rank         int
	organisation string
}

// classCounts are the decayed counts of the arrivals and sends of a class: those of the last second or so.
type classCounts struct {
	arrived, sent float64
	// isBurst is set while the organisation sends much more than the others.
	isBurst bool
}

// admitDecision is what becomes of a request that arrives.
type admitDecision int

const (
	admitSend admitDecision = iota
	admitWait
	admitRefuse
)

// advance brings counts, rate and turns up to date.
func (a *admission) advance(now time.Time) {
	elapsed := max(0, now.Sub(a.steppedAt))
	if a.steppedAt.IsZero() {
		elapsed = 0
	}
	a.steppedAt = now
	decay := math.Exp(-elapsed.Seconds() / countTime.Seconds())
	a.answers *= decay
	for k, c := range a.classes {
		if c.arrived, c.sent = c.arrived*decay, c.sent*decay; c.arrived+c.sent < minCount {
			delete(a.classes, k)
		}
	}
	if !a.full {
		return
	}
	a.markBursts()
	a.turns = min(maxTurns, a.turns+a.rate*elapsed.Seconds())
	part := ratePartRise
	if now.Sub(a.cutAt).Seconds()*a.rate > calmSends {
		part = calmPartRise
	}
	a.rate += max(rateRise, part*a.rate) * elapsed.Seconds()
	if len(a.waiting) == 0 && now.Sub(a.shortAt) > fullTime {
		a.full = false
	}
}

// markBursts finds the organisations that send much more than the others.
func (a *admission) markBursts() {
	all, byOrganisation := 0.0, make(map[string]float64)
	for k, c := range a.classes {
		all += c.arrived
		byOrganisation[k.organisation] += c.arrived
	}
	others := float64(len(byOrganisation) - 1)
	for k, c := range a.classes {
		own := byOrganisation[k.organisation]
		c.isBurst = others > 0 && own > burstRatio*(all-own)/others
	}
}

// arrive takes in a request. If it must wait, a later step decides about it.
func (a *admission) arrive(now time.Time, t *ticket, isNew bool) admitDecision {
	a.advance(now)
	c := a.counts(t)
	if isNew {
		c.arrived++
	}
	if !a.full {
		c.sent++
		return admitSend
	}
	aim := t.aim
	if aim <= 0 {
		aim = t.left
	}
	t.due = now.Add(min(t.left-a.answerTime, max(aim-t.waited-a.answerTime, time.Duration(minWaitPart*float64(aim)))))
	if a.useSpare(c) {
		return admitSend
	}
	a.waiting = append(a.waiting, t)
	a.step(now)
	switch {
	case !t.decided:
		return admitWait
	case t.retryAfter > 0:
		return admitRefuse
	default:
		return admitSend
	}
}

// useSpare sends a request of an organisation that has had no send for countTime, or less than half of an equal
// part, if there is a turn for that.
func (a *admission) useSpare(c *classCounts) bool {
	if a.spare < 1 || c.sent >= max(1/math.E, a.rate*countTime.Seconds()/float64(2*len(a.classes))) {
		return false
	}
	a.spare--
	a.turns--
	c.sent++
	return true
}

// counts returns the counts of the class of a request.
func (a *admission) counts(t *ticket) *classCounts {
	if a.classes == nil {
		a.classes = make(map[class]*classCounts)
	}
	k := class{t.rank, t.organisation}
	if a.classes[k] == nil {
		a.classes[k] = &classCounts{}
	}
	return a.classes[k]
}

// step sends the requests whose turn has come and refuses those that can't be sent in time. It returns
// how long it takes until the next turn; 0 if none waits.
func (a *admission) step(now time.Time) time.Duration {
	a.advance(now)
	a.sort()
	for len(a.waiting) > 0 && (!a.full || a.turns >= a.turnsFor(a.waiting[0])) {
		t := a.waiting[0]
		a.waiting = a.waiting[1:]
		c := a.counts(t)
		c.sent++
		a.turns--
		a.spare = min(1, a.spare+1.0/spareTurns)
		t.decide(0)
		a.sort()
	}
	// The last ones give way first. Those before them don't wait any longer for that, so that one refusal
	// may be enough.
	for i := len(a.waiting) - 1; i >= 0; i-- {
		t := a.waiting[i]
		if wait := a.waitOf(t, i); now.Add(wait).After(t.due) {
			a.waiting = slices.Delete(a.waiting, i, i+1)
			a.shortAt = now
			t.decide(a.returnAfter(t, wait))
		}
	}
	if len(a.waiting) == 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration((a.turnsFor(a.waiting[0])-a.turns)/a.rate*float64(time.Second)))
}

// isAhead reports whether requests of a class are sent before a request.
func (a *admission) isAhead(k class, c *classCounts, t *ticket) bool {
	return k.organisation != t.organisation && compareClasses(k.rank, c, t.rank, a.counts(t)) < 0 || k.organisation == t.organisation && k.rank < t.rank
}

// compareClasses compares two classes by when their requests are sent.
func compareClasses(rank int, c *classCounts, otherRank int, other *classCounts) int {
	switch {
	case c.isBurst != other.isBurst && other.isBurst:
		return -1
	case c.isBurst != other.isBurst:
		return 1
	default:
		return cmp.Or(cmp.Compare(rank, otherRank), cmp.Compare(c.sent, other.sent))
	}
}

// turnsFor returns how many turns there must be for a request to be sent.
func (a *admission) turnsFor(t *ticket) float64 {
	behind, all := 0.0, 0.0
	for k, c := range a.classes {
		all += c.arrived
		if !a.isAhead(k, c, t) && (k.rank != t.rank || k.organisation != t.organisation) {
			behind += c.arrived
		}
	}
	return 1 - maxDebt*behind/max(all, 1)
}

// sort sorts the waiting requests into the order in which they are sent.
func (a *admission) sort() {
	slices.SortStableFunc(a.waiting, func(x, y *ticket) int {
		return cmp.Or(compareClasses(x.rank, a.counts(x), y.rank, a.counts(y)), x.due.Compare(y.due))
	})
}

// waitOf returns how long a request waits with a number of others ahead of it: for these, and for those
// that will arrive meanwhile and go first.
func (a *admission) waitOf(t *ticket, ahead int) time.Duration {
	first := 0.0
	for k, c := range a.classes {
		if a.isAhead(k, c, t) {
			first += c.arrived / countTime.Seconds()
		}
	}
	rate := max(a.rate-first, a.rate/spareTurns)
	return time.Duration(max(0, float64(ahead)+a.turnsFor(t)-a.turns) / rate * float64(time.Second))
}

// decide ends the wait of a request: it is sent, or refused with a time after which to try again.
func (t *ticket) decide(retryAfter time.Duration) {
	t.decided, t.retryAfter = true, retryAfter
	if t.done != nil {
		close(t.done)
	}
}

// returnAfter returns when a refused caller should come again: when its request could have been sent, and a
// part of returnSpread later.
func (a *admission) returnAfter(t *ticket, wait time.Duration) time.Duration {
	arrived := 0.0
	for _, c := range a.classes {
		arrived += c.arrived
	}
	earliest := minReturn
	if arrived > overloadRatio*a.rate*countTime.Seconds() {
		earliest = overloadReturn
	}
	return min(max(wait, earliest), maxReturn) + time.Duration(t.phase*float64(returnSpread))
}

// withdraw removes a request that waits no longer.
func (a *admission) withdraw(t *ticket) {
	a.waiting = slices.DeleteFunc(a.waiting, func(o *ticket) bool { return o == t })
}

// answered takes in that a target has answered a request after a time, and that its caller, who wants that within aim, had
// the answer or its first event after the time latency.
func (a *admission) answered(now time.Time, took, latency, aim time.Duration) {
	a.advance(now)
	a.answers++
	if a.answerTime == 0 {
		a.answerTime = took
	}
	a.answerTime += time.Duration(answerWeight * float64(took-a.answerTime))
	if a.full && aim > 0 && latency > time.Duration(lateAim*float64(aim)) {
		a.cut(now, lateCut)
	}
}

// refused takes in that a target has refused a request because it is full, and whether another target has
// not. This instance has a number of other requests in flight there. It returns true if the pool was
// not known to be full. One target that refuses all requests makes no shortage.
func (a *admission) refused(now time.Time, anotherIsFree bool, inFlight int) bool {
	a.advance(now)
	if !anotherIsFree {
		a.shortAt = now
	}
	if a.full {
		a.cut(now, rateCut)
		return false
	}
	if anotherIsFree || a.answerTime == 0 {
		// Without an answer, there is no measure for a rate.
		return false
	}
	a.full, a.cutAt = true, now
	a.rate, a.turns, a.spare = max(minRate, a.answers/countTime.Seconds()), 1, 0
	if a.answers < float64(inFlight) {
		// After a quiet time there are few answers yet.
		a.rate = max(a.rate, inFlightPart*float64(inFlight)/a.answerTime.Seconds())
	}
	return true
}

// cut lowers the rate.
func (a *admission) cut(now time.Time, factor float64) {
	if now.Sub(a.cutAt) >= cutInterval {
		a.rate, a.cutAt = max(minRate, a.rate*factor), now
	}
}
