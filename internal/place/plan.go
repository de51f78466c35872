package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// plan is a possible placement of a request.
type plan struct {
	lead    *engine
	helpers []*engine
	// memory is the KV cache that the helpers keep, in tokens; nil if the lead keeps all.
	memory   []int
	partTime time.Duration
	// ttft is the predicted time to the first event.
	ttft time.Duration
	// ownLoss is the value that the request itself loses, othersLoss the value that other
	// requests lose, in tokens; see Loss.
	ownLoss, othersLoss float64
	// preference is a cost that ranks plans but does not count as a loss.
	preference float64
}

// cost returns the number by which plans are compared.
func (p *plan) cost() float64 { return p.ownLoss + p.othersLoss + p.preference }

// candidate is an engine that could prefill a part of the prompt.
type candidate struct {
	engine     *engine
	othersLoss float64
	ttft       time.Duration
	canLead    bool
	score      float64
	// decodeCost is the cost of decoding the answer there.
	decodeCost float64
}

// planParts returns the best plan that splits the prompt into that many parts, or false if
// no plan is possible.
func (c *Core) planParts(now time.Time, j *job, parts int, partTime time.Duration) (plan, bool) {
	list := c.candidates(now, j, parts, partTime)
	lead := c.chooseLead(j, list)
	if lead < 0 || len(list) < parts {
		return plan{}, false
	}
	p := plan{
		lead: list[lead].engine, partTime: partTime, ttft: list[lead].ttft, othersLoss: list[lead].othersLoss,
		preference: list[lead].decodeCost,
	}
	for i, cand := range list {
		if len(p.helpers) == parts-1 {
			break
		}
		if i == lead || cand.engine.helperParts >= cand.engine.Slots || cand.engine.limiter.IsSet() || cand.engine.cold.Limits(now) {
			// To help takes orders besides, which an engine with a limit may count.
			continue
		}
		p.helpers = append(p.helpers, cand.engine)
		p.othersLoss += cand.othersLoss
		p.ttft = max(p.ttft, cand.ttft)
	}
	if len(p.helpers) < parts-1 || !c.assignMemory(j, &p) {
		return plan{}, false
	}
	p.preference += helperCost * float64(parts-1) * j.value
	p.ownLoss = c.lateLoss(now, j, p.ttft)
	if j.late {
		p.preference += j.delayLoss(p.ttft)
	} else {
		// A request that can still be on time had better wait for an engine that is nearly
		// free.
		p.ownLoss += j.delayLoss(p.ttft)
	}
	if j.isLong() {
		p.othersLoss += c.blockingLoss(now, &p) + c.occupancyCost(now, j, &p)
	}
	return p, true
}

// candidates returns the engines that could prefill a part, the best first.
func (c *Core) candidates(now time.Time, j *job, parts int, partTime time.Duration) []candidate {
	var list []candidate
	tokens := float64(j.request.Prompt) / float64(parts)
	scarce := c.idleScarce(now)
	for _, e := range c.engines {
		if !c.available(now, e) || !c.allows(e, j) || e.isClosed(now, j) || c.limitWait(now, e) > 0 {
			continue
		}
		canLead := e.hasFreeSlot() && e.answers < e.slotLimit(now) && (parts > 1 || e.used()+j.tokens() <= c.model.Memory)
		if !canLead && (parts == 1 || e.helperParts >= e.Slots) {
			continue
		}
		cand := candidate{
			engine: e, decodeCost: c.decodeCost(j, e, scarce), othersLoss: c.othersLoss(now, e, tokens, partTime),
			ttft: c.predictTTFT(now, e, tokens, partTime), canLead: canLead,
		}
		// The score is the loss of others there and the request's own.
		cand.score = cand.othersLoss + c.lateLoss(now, j, cand.ttft) + j.delayLoss(cand.ttft)
		switch {
		case c.Standalone:
			c.rateStandalone(now, j, &cand, tokens, partTime)
		case parts == 1:
			cand.score += cand.decodeCost
		}
		list = append(list, cand)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.engine.ID, b.engine.ID))
	})
	return list
}

// hashFraction returns a pseudo-random number from 0 to 1 for a pair of request and engine.
func hashFraction(request, engine string) float64 {
	return float64(xxhash.Sum64String(request+"\x00"+engine)) / math.MaxUint64
}

// chooseLead returns the index of the best candidate to decode the answer that has memory
// for the whole request, or of the one with most free memory if none has; -1 if none can
// lead.
func (c *Core) chooseLead(j *job, list []candidate) int {
	best, mostFree := -1, -1
	cost := func(i int) float64 { return list[i].score + list[i].decodeCost }
	for i, cand := range list {
		if !cand.canLead {
			continue
		}
		if cand.engine.used()+j.tokens() <= c.model.Memory && (best < 0 || cost(i) < cost(best)) {
			best = i
		}
		if mostFree < 0 || cand.engine.used() < list[mostFree].engine.used() {
			mostFree = i
		}
	}
	if best < 0 {
		return mostFree
	}
	return best
}

// assignMemory spreads what exceeds the free memory of the lead over the helpers. It
// returns false if they lack the memory too.
func (c *Core) assignMemory(j *job, p *plan) bool {
	need := j.tokens() - (c.model.Memory - p.lead.used())
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
