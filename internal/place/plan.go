package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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

// option is an engine that could read a part.
type option struct {
	e     *engine
	harm  float64
	first time.Duration
	lead  bool
	score float64
	// write is what it costs to write the answer there.
	write float64
}

// spread returns the best plan with a number of parts.
func (c *Core) spread(now time.Time, j *job, parts int, part time.Duration) (plan, bool) {
	opts := c.options(now, j, parts, part)
	lead := c.lead(j, opts)
	if lead < 0 || len(opts) < parts {
		return plan{}, false
	}
	p := plan{lead: opts[lead].e, part: part, first: opts[lead].first, harm: opts[lead].harm, wish: opts[lead].write}
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
	scarce := c.isScarce(now)
	for _, e := range c.engines {
		if !c.free(now, e) || slices.Contains(j.ask.Avoid, e.ID) {
			continue
		}
		canLead := e.hasSlot() && (parts > 1 || e.used()+j.size() <= c.model.Memory)
		if !canLead && (parts == 1 || e.helping >= e.Slots) {
			continue
		}
		o := option{e: e, write: c.writing(j, e, scarce), harm: c.harm(now, e, tokens, part), first: c.first(now, e, tokens, part), lead: canLead}
		// The harm done there and the request's own delay.
		o.score = o.harm + c.late(now, j, o.first) + j.tardy(o.first)
		switch {
		case c.Alone:
			o.score += spreadCost * chance(j.ask.ID, e.ID) * j.value
		case parts == 1:
			o.score += o.write
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

// lead returns the best option to write the answer that has room for the whole
// request, or the one with most room if none has; -1 if none can lead.
func (c *Core) lead(j *job, opts []option) int {
	best, roomiest := -1, -1
	cost := func(i int) float64 { return opts[i].score + opts[i].write }
	for i, o := range opts {
		if !o.lead {
			continue
		}
		if o.e.used()+j.size() <= c.model.Memory && (best < 0 || cost(i) < cost(best)) {
			best = i
		}
		if roomiest < 0 || o.e.used() < opts[roomiest].e.used() {
			roomiest = i
		}
	}
	if best < 0 {
		return roomiest
	}
	return best
}

// setAside plans which helpers keep what of a prompt that is larger than the
// room at the lead. It returns false if they have no room either.
func (c *Core) setAside(j *job, p *plan) bool {
	need := j.size() - (c.model.Memory - p.lead.used())
	if need <= 0 {
		return true
	}
	need += memoryMargin
	slices.SortFunc(p.helpers, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.used(), b.used()), cmp.Compare(a.ID, b.ID))
	})
	p.memory = make([]int, 0, len(p.helpers))
	for _, h := range p.helpers {
		n := min(need, c.model.Memory-h.used()-memoryMargin)
		if need <= 0 || n < memoryMargin {
			break
		}
		p.memory = append(p.memory, n)
		need -= n
	}
	return need <= 0
}
