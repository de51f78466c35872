package place

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// MaxLoadAge is the age from which a PoolLoad is not used: most answers of that time have
	// ended.
	MaxLoadAge = 5 * time.Second
	// otherAnswersDecay is the time constant with which the answers of other instances fade in a
	// standalone core, which does not see their ends. An answer is decoded in 1.5 to 2.5 s, and half
	// of that is over. With 2 and 4 s, 2 and 4 in 100 requests fewer were on time (TestGapReplay).
	otherAnswersDecay = time.Second
	// minFreeSlots bounds the free slots from below where the estimate has an engine full, so that
	// an estimate alone never keeps all requests from it.
	minFreeSlots = 0.1
	// minSlack is the same for the part of the time left that is not used up by the wait.
	minSlack = 0.01
	// longAnswersCost and longQueueCost are the costs of a long prompt on an engine whose slots are
	// all in use, and on one with a second of prompts ahead, as fractions of the value.
	// longJitterCost spreads those of different instances over engines with equal costs.
	longAnswersCost = 1
	longQueueCost   = 0.5
	longJitterCost  = 0.1
	// engineLoadBytes is the size of a packed EngineLoad: four bytes identify the engine.
	engineLoadBytes = 6
	// loadQueueUnit is the unit of the queued time in a packed EngineLoad.
	loadQueueUnit = 10 * time.Millisecond
)

// PoolLoad is a compact report of what the engines of a pool have to do, for standalone cores.
type PoolLoad struct {
	Pool string `cbor:"1,keyasint"`
	// Age is the time since the load was as reported.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Packed holds an engineLoad for each engine that has any.
	Packed []byte `cbor:"3,keyasint,omitempty"`
	// Added is set if the load comes on top of what is known; otherwise it is the whole load.
	Added bool `cbor:"4,keyasint,omitempty"`
}

// Check rejects a load that is cut off or from the future.
func (l *PoolLoad) Check() error {
	if len(l.Packed)%engineLoadBytes != 0 || l.Age < 0 {
		return errors.Newf("pool load of %d bytes and age %s", len(l.Packed), l.Age)
	}
	return nil
}

// engineLoad is the number of answers that an engine decodes or will decode, and the time of the
// prompts that it has yet to prefill.
type engineLoad struct {
	answers int
	queued  time.Duration
}

// engineHash identifies an engine in a PoolLoad. Two of 135 engines have the same one in fewer than
// one of 100,000 fleets.
func engineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// add appends the load of an engine, unless it has none.
func (l *PoolLoad) add(id string, e engineLoad) {
	if e.answers <= 0 && e.queued < loadQueueUnit/2 {
		return
	}
	b := binary.BigEndian.AppendUint32(l.Packed, engineHash(id))
	queued := (e.queued + loadQueueUnit/2) / loadQueueUnit
	l.Packed = append(b, byte(min(math.MaxUint8, max(0, e.answers))), byte(min(math.MaxUint8, max(0, queued))))
}

// unpack returns the loads by the hashes of the engines.
func (l *PoolLoad) unpack() map[uint32]engineLoad {
	out := make(map[uint32]engineLoad, len(l.Packed)/engineLoadBytes)
	for b := l.Packed; len(b) >= engineLoadBytes; b = b[engineLoadBytes:] {
		out[binary.BigEndian.Uint32(b)] = engineLoad{answers: int(b[4]), queued: time.Duration(b[5]) * loadQueueUnit}
	}
	return out
}

// Load returns the load of the pool, without its name.
func (c *Core) Load(now time.Time) PoolLoad {
	var l PoolLoad
	for _, e := range c.engines {
		c.advance(now, e)
		l.add(e.ID, engineLoad{answers: e.answers + e.unaccountedAnswers, queued: scale(e.backlog(now), e.slowdown(now))})
	}
	return l
}

// LoadOfGrants returns the load that grants add to the engines of a pool.
func LoadOfGrants(pool string, m site.Engine, grants []ActiveGrant) PoolLoad {
	out := PoolLoad{Pool: pool, Added: true}
	var order []string
	loads := make(map[string]engineLoad)
	add := func(id string, answers int, queued time.Duration) {
		l, ok := loads[id]
		if !ok {
			order = append(order, id)
		}
		loads[id] = engineLoad{answers: l.answers + answers, queued: l.queued + queued}
	}
	for _, g := range grants {
		var part time.Duration
		if !g.Started {
			part = max(0, costModel{m}.prefillTime(g.Request.Prompt)/time.Duration(len(g.Helpers)+1)-g.Age)
		}
		add(g.Lead, 1, part)
		for _, h := range g.Helpers {
			add(h, 0, part)
		}
	}
	for _, id := range order {
		out.add(id, loads[id])
	}
	return out
}

// otherLoad is the estimated load of an engine by requests that a standalone core doesn't see.
type otherLoad struct {
	answers float64
	queued  time.Duration
	at      time.Time
}

// current returns the load at a later time: prompts are prefilled and answers end meanwhile.
func (o otherLoad) current(now time.Time) otherLoad {
	age := max(0, now.Sub(o.at))
	return otherLoad{
		answers: o.answers * math.Exp(-float64(age)/float64(otherAnswersDecay)), queued: max(0, o.queued-age), at: now,
	}
}

// applyLoad takes a report of the pool's load as the load of others in a standalone core. Its own
// grants are part of a report of the whole load.
func (c *Core) applyLoad(now time.Time, l PoolLoad) {
	asOf := now.Add(-l.Age)
	if !c.Standalone || l.Age > MaxLoadAge || !l.Added && !asOf.After(c.loadHeard) {
		return
	}
	c.loadHeard = asOf
	loads := l.unpack()
	for _, e := range c.engines {
		heard := loads[engineHash(e.ID)]
		if l.Added {
			o := e.others.current(now)
			o.answers += float64(heard.answers)
			o.queued += max(0, heard.queued-l.Age)
			e.others = o
			continue
		}
		c.advance(now, e)
		e.others = otherLoad{
			answers: max(0, float64(heard.answers-e.answers)), queued: max(0, heard.queued-e.backlog(now)), at: asOf,
		}
	}
}

// rateStandalone adjusts a candidate of a standalone core by the load of others, and sets its score:
// short prompts are spread over the engines in proportion to the capacity that each has left, and
// long ones use those with the fewest answers. Instances do not know what the others choose at the
// same time, so their choices must differ.
func (c *Core) rateStandalone(now time.Time, j *job, cand *candidate, tokens float64, partTime time.Duration) {
	e := cand.engine
	o := e.others.current(now)
	cand.ttft += c.otherWait(e, o)
	cand.othersLoss += c.otherAnswersLoss(now, j, e, o, tokens, partTime)
	answers := float64(e.answers) + o.answers
	random := hashFraction(j.request.ID, e.ID)
	if j.isLong() {
		cost := longAnswersCost*answers/float64(max(1, e.Slots)) + longQueueCost*o.queued.Seconds() + longJitterCost*random
		cand.score = cand.othersLoss + c.lateLoss(now, j, cand.ttft) + j.delayLoss(cand.ttft) + cost*j.value
		return
	}
	// The least of exponentially distributed numbers with different rates is each one's in proportion
	// to its rate.
	capacity := max(minFreeSlots, float64(e.Slots)-answers) * c.slack(now, j, cand.ttft)
	cand.score = cand.othersLoss - math.Log(max(random, math.SmallestNonzeroFloat64))/capacity*j.value
}

// otherAnswersLoss returns the value that the answers of other instances lose by the pause that a
// further part makes. Their limits aren't known, so the shortest limit of this core's requests is
// taken for it, and the lowest mean value for theirs.
func (c *Core) otherAnswersLoss(now time.Time, j *job, e *engine, o otherLoad, tokens float64, partTime time.Duration) float64 {
	if c.leastPause == 0 || j.request.MaxPause < c.leastPause {
		c.leastPause = j.request.MaxPause
	}
	base := c.model.passTime(e.answers+int(o.answers), e.contextTokens) + e.queuedTime + o.queued
	longest := c.model.passTime(e.answers, e.contextTokens) + scale(partTime, min(1, c.model.passTokens()/max(1, tokens)))
	pass := max(longest, min(base+partTime, longest+o.queued))
	slowdown := e.slowdown(now)
	risk := missRisk(scale(pass, slowdown), c.leastPause) - missRisk(scale(base, slowdown), c.leastPause)
	return o.answers * c.values.lowestMean() * latePenalty * max(0, risk)
}

// slack returns the part of the time left for the first event that a request has to spare.
func (c *Core) slack(now time.Time, j *job, ttft time.Duration) float64 {
	left := j.due.Sub(now)
	if j.late || left <= 0 {
		// What is late anyway goes where it comes first.
		left = j.arrived.Add(j.request.TimeLeft).Sub(now)
	}
	if left <= 0 {
		return minSlack
	}
	return max(minSlack, 1-float64(ttft)/float64(left))
}

// otherWait returns by how much the load of others delays a first event: their prompts come first,
// and an engine that decodes answers works in passes.
func (c *Core) otherWait(e *engine, o otherLoad) time.Duration {
	wait := o.queued
	if o.answers < 1 {
		return wait
	}
	own := c.model.stepTime(0, 0)
	if e.answers > 0 {
		own = c.model.passTime(e.answers, e.contextTokens)
	}
	pass := c.model.passTime(e.answers+int(o.answers), e.contextTokens)
	wait += max(0, pass-own)
	if e.passEnd.IsZero() {
		// A pass of theirs is in progress.
		wait += pass / 2
	}
	return wait
}

// LoadAge returns the age of what a standalone core was last told of the load of the pool, or false
// if that is too old to matter.
func (c *Core) LoadAge(now time.Time) (time.Duration, bool) {
	age := now.Sub(c.loadHeard)
	return age, !c.loadHeard.IsZero() && age <= MaxLoadAge
}
