package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lateShare is the part of an answer's value that is lost when it is late.
	lateShare = 0.75
	// onTime and tooLate are the parts of a time limit between which the risk of
	// missing it rises from none to all.
	onTime  = 0.8
	tooLate = 1.05
	// network is the time that a request and its first event are on their way.
	network = 4 * time.Millisecond
	// longAim is the wanted time to the first event from which a prompt counts as
	// long: it may wait for engines that write no short answers.
	longAim = time.Second
	// maxParts is the number of engines that read one prompt at most.
	maxParts = 16
	// aloneParts is that number for a core that stands alone, unless memory wants
	// more: what it does not know of is on those engines too.
	aloneParts = 4
	// memoryMargin is the room in tokens that is left for rounding to blocks, and
	// the least that is worth setting aside.
	memoryMargin = 2000
	// minPart is the shortest part of a prompt worth a further engine.
	minPart = 25 * time.Millisecond
	// openCost is what it costs to write a short answer on an engine that is kept
	// free for long prompts, in parts of the answer's value.
	openCost = 0.3
	// blockFree is how long an engine may be busy reading without making the next
	// short prompt late.
	blockFree = 100 * time.Millisecond
	// bindFree is how long engines may be bound by a part without a cost; bindCost
	// is that of more, in parts of the mean worth of an engine's time.
	bindFree = 2 * time.Second
	bindCost = 0.4
	// lateWait is how long a request that comes late in any case waits for room.
	lateWait = 200 * time.Millisecond
	// fill is the part of an engine's slots that short answers fill well.
	fill = 0.75
	// partCost is the cost of each further engine, in parts of the value.
	partCost = 0.002
	// tardyCost is the cost of a second until the first event, in parts of the
	// value: what comes late must not come later and later.
	tardyCost = 0.05
	// patience is the part of the value that may be lost at once, before waiting.
	patience = 0.03
	// crowdedShare is the part of all slots in use from which late answers are
	// refused.
	crowdedShare = 0.85
	// comeBackLeast is the shortest time until a refused caller may come back;
	// comeBackSteps steps of comeBackStep spread them.
	comeBackLeast = 400 * time.Millisecond
	comeBackStep  = 100 * time.Millisecond
	comeBackSteps = 10
	// leastMargin is kept over the shortest time to the first event.
	leastMargin = 1.8
	// packCost is what a short answer costs on an engine without answers, in parts
	// of its value; a full engine costs nothing. Packed answers leave engines for
	// long prompts.
	packCost = 0.04
	// spreadCost spreads the choices of cores that stand alone, in parts of the
	// value: they know nothing of each other and must not all choose the same.
	spreadCost = 0.3
	// usualParts is the number of engines that a long prompt can count on.
	usualParts = 6
	// hopeless is what is left of a caller's time when its request is refused.
	hopeless = 50 * time.Millisecond
)

// plan is a way to place a request.
type plan struct {
	lead    *engine
	helpers []*engine
	// memory is what the helpers keep of the prompt; nil if the lead keeps all.
	memory []int
	part   time.Duration
	// first is the predicted time to the first event.
	first time.Duration
	// own is what the request itself loses, harm what others lose, in tokens.
	own, harm float64
	// wish is a cost that decides between plans, but is no loss.
	wish float64
}

func (p *plan) total() float64 { return p.own + p.harm + p.wish }

func (j *job) isLong() bool { return j.ask.Whole >= longAim }

// risk is how likely a time is to be over its limit.
func risk(t, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	r := float64(t) / float64(limit)
	return math.Min(1, math.Max(0, (r-onTime)/(tooLate-onTime)))
}

// try grants or refuses a request, or returns nil if it is to wait.
func (c *Core) try(now time.Time, j *job) Decision {
	left := j.arrived.Add(j.ask.Left).Sub(now)
	if left < hopeless {
		return c.refuse(j, "its time is nearly over", time.Second)
	}
	if j.spoilt && !j.ask.Resumed && !c.Alone && c.crowded(now) {
		return c.refuse(j, "no engine can answer in time", c.comeBack(left))
	}
	p, ok := c.best(now, j)
	if !ok || !c.Alone && (p.harm+p.own > c.limit(now, j) || !j.ask.Resumed && !c.pays(now, j, &p)) {
		if !c.Alone && !j.ask.Resumed && !j.gone.IsZero() && now.Sub(j.gone) > lateWait {
			return c.refuse(j, "the engines have more urgent work", c.comeBack(left))
		}
		return nil
	}
	c.reserve(now, j, p)
	g := Grant{ID: j.ask.ID, Lead: p.lead.ID, Urgency: j.urgency(), Expect: p.first, Waited: now.Sub(j.arrived)}
	g.Loss = Loss{Own: p.own / j.value, Others: p.harm / j.value}
	for _, h := range p.helpers {
		g.Helpers = append(g.Helpers, h.ID)
	}
	g.Memory = p.memory
	return g
}

// crowded says whether so much of the fleet is in use that an answer that comes
// late would make others late.
func (c *Core) crowded(now time.Time) bool {
	slots, used := 0, 0
	for _, e := range c.engines {
		if c.free(now, e) {
			slots += e.Slots
			used += min(e.writers, e.Slots)
		}
	}
	return float64(used) >= crowdedShare*float64(slots)
}

// pays says whether a request earns what its engines could earn otherwise.
func (c *Core) pays(now time.Time, j *job, p *plan) bool {
	gain := j.value
	if j.spoilt {
		gain *= 1 - lateShare
	}
	return gain-p.own-p.harm >= c.demand.price(now, len(c.engines))*c.work(j).Seconds()
}

// comeBack is when a refused caller may find room: it spreads the callers over
// the time in which the answers that are written now end.
func (c *Core) comeBack(left time.Duration) time.Duration {
	c.refused++
	step := time.Duration(c.refused%comeBackSteps) * comeBackStep
	return min(comeBackLeast+step, left/3)
}

// least is the shortest time in which a request can get its first event when so
// many engines read it.
func (c *Core) least(j *job, parts int) time.Duration {
	if !j.isLong() {
		parts = 1
	}
	parts = max(1, min(parts, len(c.engines)))
	return network + c.model.pass(1, 0) + c.model.read(j.ask.Prompt)/time.Duration(parts)
}

func (c *Core) refuse(j *job, reason string, retry time.Duration) Decision {
	delete(c.jobs, j.ask.ID)
	return Refuse{ID: j.ask.ID, Reason: reason, Retry: retry}
}

// limit is how much may be lost by placing a request now. It rises with the
// wait: what can't come in time in any case takes what harms others least.
func (c *Core) limit(now time.Time, j *job) float64 {
	waited := now.Sub(j.arrived)
	if j.ask.Resumed {
		return j.value
	}
	if j.spoilt {
		return j.value * (1 - lateShare)
	}
	slack := j.due.Sub(j.arrived) - scale(c.least(j, usualParts), leastMargin)
	if slack <= 0 {
		return lateShare * j.value
	}
	u := math.Min(1, float64(waited)/float64(slack))
	return j.value * (patience + (lateShare-patience)*u*u*u)
}

func (j *job) urgency() int {
	if j.isLong() {
		return 6
	}
	return 3
}

// best returns the plan with the least loss.
func (c *Core) best(now time.Time, j *job) (plan, bool) {
	read := c.model.read(j.ask.Prompt)
	var best plan
	found := false
	for _, parts := range [...]int{1, 2, 3, 4, 6, 8, 11, maxParts} {
		part := read / time.Duration(parts)
		if parts > 1 && (part < minPart || parts > len(c.engines)) {
			break
		}
		if c.Alone && parts > aloneParts && found {
			break
		}
		p, ok := c.spread(now, j, parts, part)
		if ok && (!found || p.total() < best.total()) {
			best, found = p, true
		}
	}
	return best, found
}

// option is an engine that could read a part.
type option struct {
	e     *engine
	harm  float64
	first time.Duration
	lead  bool
	score float64
}

// spread returns the best plan with a number of parts.
func (c *Core) spread(now time.Time, j *job, parts int, part time.Duration) (plan, bool) {
	opts := c.options(now, j, parts, part)
	lead := c.lead(j, opts)
	if lead < 0 || len(opts) < parts {
		return plan{}, false
	}
	p := plan{lead: opts[lead].e, part: part, first: opts[lead].first, harm: opts[lead].harm, wish: c.writing(now, j, opts[lead].e)}
	for i, o := range opts {
		if len(p.helpers) == parts-1 {
			break
		}
		if i == lead || o.e.helping >= o.e.Slots {
			continue
		}
		p.helpers = append(p.helpers, o.e)
		p.harm += o.harm
		p.first = max(p.first, o.first)
	}
	if len(p.helpers) < parts-1 || !c.setAside(j, &p) {
		return plan{}, false
	}
	p.wish += partCost * float64(parts-1) * j.value
	p.own = c.late(now, j, p.first)
	if j.spoilt {
		p.wish += j.tardy(p.first)
	} else {
		// What can come in time waits rather for an engine that is nearly free.
		p.own += j.tardy(p.first)
	}
	if j.isLong() {
		p.harm += c.block(now, &p) + c.occupy(now, j, &p)
	}
	return p, true
}

// options lists the engines that could read a part, the best first.
func (c *Core) options(now time.Time, j *job, parts int, part time.Duration) []option {
	var opts []option
	tokens := float64(j.ask.Prompt) / float64(parts)
	for _, e := range c.engines {
		if !c.free(now, e) || slices.Contains(j.ask.Avoid, e.ID) {
			continue
		}
		canLead := e.writers < e.Slots && (parts > 1 || e.held+j.size() <= c.model.Memory)
		if !canLead && (parts == 1 || e.helping >= e.Slots) {
			continue
		}
		o := option{e: e, harm: c.harm(now, e, tokens, part), first: c.first(now, e, tokens, part), lead: canLead}
		// The harm done there and the request's own delay.
		o.score = o.harm + c.late(now, j, o.first) + j.tardy(o.first)
		switch {
		case c.Alone:
			o.score += spreadCost * chance(j.ask.ID, e.ID) * j.value
		case parts == 1:
			o.score += c.writing(now, j, e)
		}
		opts = append(opts, o)
	}
	slices.SortFunc(opts, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.e.ID, b.e.ID))
	})
	return opts
}

// chance is a number from 0 to 1 that is different for each request and engine.
func chance(request, engine string) float64 {
	return float64(xxhash.Sum64String(request+"\x00"+engine)) / math.MaxUint64
}

// lead returns the first option that has room for the whole request, or the one
// with most room if none has; -1 if none can lead.
func (c *Core) lead(j *job, opts []option) int {
	best := -1
	for i, o := range opts {
		if !o.lead {
			continue
		}
		if o.e.held+j.size() <= c.model.Memory {
			return i
		}
		if best < 0 || o.e.held < opts[best].e.held {
			best = i
		}
	}
	return best
}

// setAside plans which helpers keep what of a prompt that is larger than the
// room at the lead. It returns false if they have no room either.
func (c *Core) setAside(j *job, p *plan) bool {
	need := j.size() - (c.model.Memory - p.lead.held)
	if need <= 0 {
		return true
	}
	need += memoryMargin
	slices.SortFunc(p.helpers, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.held, b.held), cmp.Compare(a.ID, b.ID))
	})
	p.memory = make([]int, 0, len(p.helpers))
	for _, h := range p.helpers {
		n := min(need, c.model.Memory-h.held-memoryMargin)
		if need <= 0 || n < memoryMargin {
			break
		}
		p.memory = append(p.memory, n)
		need -= n
	}
	return need <= 0
}

// late is what a request loses by a first event after some time: by being late,
// and by its caller giving up.
func (c *Core) late(now time.Time, j *job, first time.Duration) float64 {
	sum := (1 - lateShare) * j.value * risk(first, j.arrived.Add(j.ask.Left).Sub(now))
	if !j.spoilt {
		sum += lateShare * j.value * risk(first, j.due.Sub(now))
	}
	return sum
}

// tardy is what a request loses by a delay as such.
func (j *job) tardy(by time.Duration) float64 { return tardyCost * by.Seconds() * j.value }

// first predicts when an engine has read a part and written the first event: the
// pass in progress ends, and the event comes at the end of the pass that reads
// the part.
func (c *Core) first(now time.Time, e *engine, tokens float64, part time.Duration) time.Duration {
	c.advance(now, e)
	length, passes := c.next(e, tokens, part)
	return network + e.rest(now) + scale(time.Duration(passes)*length, e.speed(now))
}

// harm is what the work of an engine loses by a further part of a prompt.
func (c *Core) harm(now time.Time, e *engine, tokens float64, part time.Duration) float64 {
	c.advance(now, e)
	old, _ := c.next(e, 0, 0)
	next, _ := c.next(e, tokens, part)
	old, next = scale(old, e.speed(now)), scale(next, e.speed(now))
	sum := 0.0
	if next >= scale(e.shortest(), onTime) {
		for _, o := range e.jobs {
			if o.begun && o.lead == e {
				sum += o.pausing(next) - o.pausing(old)
			}
		}
	}
	for _, p := range e.reads {
		if o := p.job; !o.begun {
			t := o.first.Sub(now)
			then := max(t, p.finish.Sub(now)+next-old)
			sum += c.late(now, o, then) - c.late(now, o, t) + o.tardy(then-t)
		}
	}
	return sum
}

// pausing is what an answer that is written loses by a pause: by being late, and
// by its caller giving up.
func (j *job) pausing(pause time.Duration) float64 {
	sum := (1 - lateShare) * j.value * risk(pause, j.ask.Gap)
	if !j.spoilt {
		sum += lateShare * j.value * risk(pause, j.ask.Pause)
	}
	return sum
}

// work is the time of engines that a request takes.
func (c *Core) work(j *job) time.Duration {
	slots := max(1, c.model.Slots)
	share := float64(slots) * fill
	return c.model.read(j.ask.Prompt) + scale(c.model.write(j.ask.Output, slots, 0), 1/share)
}

// occupy is what it costs to bind engines for long, while demand may flip. Where
// nobody else wants them it costs nothing.
func (c *Core) occupy(now time.Time, j *job, p *plan) float64 {
	over := p.part - bindFree
	if over <= 0 {
		return 0
	}
	others := c.demand.others(now, j, c.work(j)) / (calm * float64(len(c.engines)))
	return min(1, others) * bindCost * c.demand.density(now) * over.Seconds() * float64(len(p.helpers)+1)
}

// block is what short prompts to come lose while engines read the parts of a long
// one: those that find no engine free to read them come late.
func (c *Core) block(now time.Time, p *plan) float64 {
	busy := p.part - blockFree
	if busy <= 0 {
		return 0
	}
	used := 0
	open := 0
	for _, e := range c.engines {
		used += e.shorts
		if c.free(now, e) && e.backlog(now) < blockFree && e != p.lead && !slices.Contains(p.helpers, e) {
			open++
		}
	}
	need := float64(used)/(fill*float64(c.model.Slots)) + 1
	lack := math.Max(0, need-float64(open)) / need
	return lateShare * lack * c.demand.shorts(now) * busy.Seconds()
}

// writing is what it costs to write an answer on an engine.
func (c *Core) writing(now time.Time, j *job, e *engine) float64 {
	if j.isLong() || c.Alone {
		return 0
	}
	cost := packCost * float64(e.Slots-e.writers) / float64(e.Slots)
	if e.writers == 0 && c.idle(now) <= c.demand.engines(now)+1 {
		cost += openCost
	}
	return cost * j.value
}

// idle is how many engines write nothing.
func (c *Core) idle(now time.Time) float64 {
	n := 0.0
	for _, o := range c.engines {
		if o.writers == 0 && c.free(now, o) {
			n++
		}
	}
	return n
}
