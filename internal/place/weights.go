package place

import "time"

// Limits and weights of placement decisions. Replays are insensitive to them: unless a
// comment states otherwise, they change the results of all load patterns by less than a
// hundredth.
const (
	// latePenalty is the fraction of an answer's value that is lost when it is late.
	latePenalty = 0.75
	// riskStart and riskEnd are the fractions of a time limit between which the risk of
	// missing it rises from 0 to 1.
	riskStart = 0.8
	riskEnd   = 1.05
	// networkDelay is the time in transit of a request and its first event.
	networkDelay = 4 * time.Millisecond
	// transitTime is the time from a grant until its part is at the engine, plus the time until
	// the end of a pass there is known: two messages each. A pass that ends within it has begun
	// when the part is there.
	transitTime = 8 * time.Millisecond
	// passShift is a typical error of the predicted start of a pass, of either sign, and
	// shiftWeight the probability of each.
	passShift   = 20 * time.Millisecond
	shiftWeight = 0.25
	// longTarget is the least target for the first event with which a prompt counts as
	// long: it may wait for engines that decode no short answers.
	longTarget = time.Second
	// maxParts is the maximum number of engines that prefill one prompt.
	maxParts = 16
	// standaloneParts is maxParts for a standalone core, unless the prompt needs the memory
	// of more engines: engines also run work that such a core does not know of.
	standaloneParts = 4
	// memoryMargin is kept free, in tokens, for rounding to blocks. It is also the least
	// memory worth reserving on a helper.
	memoryMargin = 2000
	// minPartTime is the shortest prefill time of a part that is worth a further engine.
	minPartTime = 25 * time.Millisecond
	// idleEngineCost is the cost of decoding a short answer on an engine that is kept idle
	// for long prompts, as a fraction of the answer's value.
	idleEngineCost = 0.3
	// maxShortDelay is how long an engine may be busy with prefill without making the next
	// short prompt late.
	maxShortDelay = 100 * time.Millisecond
	// freeOccupancy is the prefill time for which occupying engines costs nothing.
	// occupancyWeight is the cost of time beyond it, as a fraction of the mean value of
	// engine time.
	freeOccupancy   = 2 * time.Second
	occupancyWeight = 0.4
	// maxLateWait is how long a late request stays queued before it is refused.
	maxLateWait = 200 * time.Millisecond
	// targetFill is the fraction of an engine's slots that short answers fill well.
	targetFill = 0.75
	// helperCost is the cost of each further engine, as a fraction of the value.
	helperCost = 0.002
	// delayCost is the cost of each second until the first event, as a fraction of the
	// value, so that late requests are not delayed further and further.
	delayCost = 0.05
	// initialLossLimit is the fraction of the value that may be lost without waiting first.
	initialLossLimit = 0.03
	// crowdedLoad is the fraction of all slots in use from which late answers are refused.
	crowdedLoad = 0.85
	// minRetryAfter is the shortest retry time of a refused caller; retryAfterSteps steps
	// of retryAfterStep spread the retries above it.
	minRetryAfter   = 400 * time.Millisecond
	retryAfterStep  = 100 * time.Millisecond
	retryAfterSteps = 10
	// excessRetrySpread is the time over which retries are spread for each time that what is
	// wanted exceeds what the engines can do; maxRetrySpread bounds it: callers
	// wait for a third of the time that they have left, mostly 3.3 s.
	excessRetrySpread = 4 * time.Second
	maxRetrySpread    = 2800 * time.Millisecond
	// goldenRatio spreads numbers evenly, however many there are.
	goldenRatio = 0.6180339887498949
	// closedRetryAfter is the retry time if no engine takes the request and none says for how
	// long.
	closedRetryAfter = time.Second
	// ttftMargin multiplies the shortest possible time to the first event.
	ttftMargin = 1.8
	// packingCost is the cost of a short answer on an engine without answers, as a fraction
	// of its value; it falls to zero on a full engine. Packing answers leaves engines for
	// long prompts.
	packingCost = 0.04
	// typicalParts is the number of engines that a long prompt can count on.
	typicalParts = 6
	// minTimeLeft is the time left to the caller below which a request is refused.
	minTimeLeft = 50 * time.Millisecond
	// shortUrgency and longUrgency are the priorities of short and long prompts in the
	// engine, from 0, the first, to 9.
	shortUrgency = 3
	longUrgency  = 6
)
