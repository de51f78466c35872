package place

import "time"

// Limits and weights of the decisions. Where no line says otherwise they come from
// replays of all load patterns, which they move by less than a hundredth.
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
