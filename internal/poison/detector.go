package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// SettleTime is how long a crash waits for the reports of all instances that had requests
	// at the engine before it is judged.
	SettleTime = 100 * time.Millisecond
	// separation is the time between two crashes below which they count as one: engines that
	// end together have a common cause outside of their requests.
	separation = 100 * time.Millisecond
	// crashLimit is the number of crashes that block a segment which no answer has survived, and
	// knownCrashLimit that for a segment of which there have been answers before.
	crashLimit      = 4
	knownCrashLimit = 5
	// requestCrashLimit is the number of crashes that block a request which no target has survived.
	requestCrashLimit = 3
	// silentCrashLimit is the number of targets that fell silent which blocks a segment of prompts, and
	// minInstants that of the different times at which such targets must have ended at least.
	silentCrashLimit = 5
	minInstants      = 2
	// maxRequestCrashes bounds the crashes under the same request that count against a segment of
	// its prompt: they don't tell the segment from the rest of the request.
	maxRequestCrashes = 2
	// minRequests is the number of requests that must have crashed targets until a segment that they
	// have in common is blamed: a sound one may be unlucky twice.
	minRequests = 3
	// knownCrashTime is how long a segment of which there have been answers must have crashed
	// engines: an answer that began after the first crash could have survived by then.
	knownCrashTime = 2 * SurvivalTime
	// evidenceTime is how long crashes, survivals and ended blocks are remembered.
	evidenceTime = 10 * time.Minute
	// initialBlockTime is how long segments are blocked at first. It doubles each time they crash
	// an engine again after that.
	initialBlockTime = 2 * time.Minute
	// MaxBlockTime is the longest time for which segments are blocked.
	MaxBlockTime = time.Hour
	// handoverTime is the age of the crashes that a detector passes on.
	handoverTime = 30 * time.Second
	// maxCrashes and maxSegments bound the memory for crashes and for segments with a survival.
	maxCrashes  = 256
	maxSegments = 8192
	// maxBlocks bounds the blocks with those of other detectors, and maxCrashRequests the requests of a crash.
	maxBlocks        = 1024
	maxCrashRequests = 16384
	// survivalInterval is how much later an answer must have begun than the last one known
	// with the same segments for its survival to be news.
	survivalInterval = 500 * time.Millisecond
)

// Detector finds the segments that crash targets. A segment is blamed if targets that ended had
// requests with it, and no answer with it has survived that began after they ended. A whole
// request counts as a segment of its own. The zero value is ready to use.
type Detector struct {
	// MaxApplied is the number of blocks beyond which Apply adds none; 0 means maxBlocks.
	MaxApplied int

	crashes []*crash
	// survivals holds, for each segment, when the latest answer began that survived, and told the
	// one of them that was last reported as news.
	survivals, told map[string]time.Time
	// lastSurvival is the latest of them.
	lastSurvival time.Time
	// blocks are kept for evidenceTime after their end: a single crash renews them.
	blocks []*block
}

// crash is one process that ended.
type crash struct {
	Crash
	// at is when the process had ended at the latest, and earliest when it still ran. They are equal
	// if its end itself was noticed.
	at, earliest, reportedAt time.Time
	requests                 []request
	// explained is set if one of the requests has the segments of a block, and explainedByPrompt if
	// that is a block of segments of prompts.
	explained, explainedByPrompt bool
}

// request is a request that a target had when it ended.
type request struct {
	// name is its RequestSegment; "" if it was not reported.
	name     string
	segments []string
	// sentAt is when it was sent there; zero if it was not reported. It is repeated if that was done
	// because another target had crashed.
	sentAt   time.Time
	repeated bool
}

// newRequests returns the suspects of a report, without those that have no segments.
func newRequests(at time.Time, c Crash) []request {
	var out []request
	for i, segments := range c.Suspects {
		if len(segments) == 0 {
			continue
		}
		q := request{segments: segments}
		if n := slices.IndexFunc(segments, isRequest); n >= 0 {
			q.name = segments[n]
		}
		if i < len(c.Sends) {
			q.sentAt, q.repeated = at.Add(-c.Sends[i].Age), c.Sends[i].Repeated
		}
		out = append(out, q)
	}
	return out
}

// block is a Block with its times.
type block struct {
	Block
	// since is the time of the first crash that it explains.
	since, until time.Time
}

// AddCrash adds the report of a crash. Reports of the same process are joined.
func (d *Detector) AddCrash(now time.Time, c Crash) {
	at := now.Add(-c.Age)
	requests := newRequests(at, c)
	requests = requests[:min(len(requests), maxCrashRequests)]
	if len(requests) == 0 {
		return
	}
	for _, known := range d.crashes {
		if known.Target == c.Target && known.StartedMs == c.StartedMs {
			known.requests = append(known.requests, requests[:min(len(requests), maxCrashRequests-len(known.requests))]...)
			known.narrow(at, c.Window)
			known.Unconfirmed = known.Unconfirmed && c.Unconfirmed
			return
		}
	}
	if len(d.crashes) >= maxCrashes {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	d.crashes = append(d.crashes, &crash{Crash: c, at: at, earliest: at.Add(-c.Window), reportedAt: now, requests: requests})
	d.forget(now)
}

// isExact reports whether the end of the process itself was noticed.
func (c *crash) isExact() bool { return c.earliest.Equal(c.at) }

// narrow takes over the times of another report of the same crash, as far as they tell more. A sign of life
// refutes that the process had ended before, as an instance took it that got no answer. A connection that ends
// after the process fell silent does not show when that ended: it may be the next process that resets it.
func (c *crash) narrow(at time.Time, window time.Duration) {
	earliest := at.Add(-window)
	switch {
	case window == 0 || c.isExact():
		if at.Before(c.at) {
			c.at, c.earliest = at, earliest
		}
	case at.Before(c.earliest):
	case earliest.After(c.at):
		c.at, c.earliest = at, earliest
	default:
		if at.Before(c.at) {
			c.at = at
		}
		if earliest.After(c.earliest) {
			c.earliest = earliest
		}
	}
}

// TracksRequests reports whether whole requests are suspects or blocked, so that their segments are
// needed to find and to lift blocks.
func (d *Detector) TracksRequests() bool {
	return slices.ContainsFunc(d.blocks, (*block).isRequest) ||
		slices.ContainsFunc(d.crashes, func(c *crash) bool {
			return slices.ContainsFunc(c.requests, func(q request) bool { return q.name != "" })
		})
}

// IsSuspect reports whether a whole request is blocked, or a target has crashed while it had it.
func (d *Detector) IsSuspect(requestSegment string) bool {
	want := []string{requestSegment}
	return slices.ContainsFunc(d.blocks, func(b *block) bool { return slices.Equal(b.Segments, want) }) ||
		slices.ContainsFunc(d.crashes, func(c *crash) bool { return c.hasSuspect(want) })
}

// forget drops the crashes and the ended blocks that are older than evidenceTime.
func (d *Detector) forget(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool {
		return now.Sub(c.at) > evidenceTime || c.Unconfirmed && now.Sub(c.at) > replacementTime
	})
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool { return now.Sub(b.until) > evidenceTime })
}

// AddSurvival adds the report of a survival. It returns the blocks that it lifts, and whether
// it tells anything new.
func (d *Detector) AddSurvival(now time.Time, s Survival) (lifted []Block, isNews bool) {
	began := now.Add(-s.Age)
	if d.survivals == nil {
		d.survivals, d.told = make(map[string]time.Time), make(map[string]time.Time)
	}
	if began.After(d.lastSurvival) {
		d.lastSurvival = began
	}
	for _, p := range s.Segments {
		if began.After(d.survivals[p]) {
			d.survivals[p] = began
		}
		isNews = isNews || began.Sub(d.told[p]) >= survivalInterval
	}
	if isNews {
		for _, p := range s.Segments {
			d.told[p] = d.survivals[p]
		}
	}
	if len(d.survivals) > maxSegments {
		d.dropSurvivals(now)
	}
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool {
		if !began.After(b.since) || !containsAll(s.Segments, b.Segments) {
			return false
		}
		lifted = append(lifted, Block{Segments: b.Segments})
		return true
	})
	return lifted, isNews || len(lifted) > 0
}

// dropSurvivals forgets the segments whose last survival is old, and others if these are too few.
func (d *Detector) dropSurvivals(now time.Time) {
	maps.DeleteFunc(d.survivals, func(_ string, at time.Time) bool { return now.Sub(at) > evidenceTime })
	for p := range d.survivals {
		if len(d.survivals) <= maxSegments/2 {
			break
		}
		delete(d.survivals, p)
	}
	maps.DeleteFunc(d.told, func(p string, _ time.Time) bool {
		_, ok := d.survivals[p]
		return !ok
	})
}

// Apply takes over a block from another detector, or the end of one. It reports whether that
// was not known. No detector blocks for longer than MaxBlockTime. Blocks beyond MaxApplied are ignored.
func (d *Detector) Apply(now time.Time, b Block) (isNews bool) {
	b.Left = min(b.Left, MaxBlockTime)
	i := slices.IndexFunc(d.blocks, func(o *block) bool { return slices.Equal(o.Segments, b.Segments) })
	switch {
	case b.Left <= 0 && i >= 0:
		d.blocks = slices.Delete(d.blocks, i, i+1)
	case b.Left <= 0:
		return false
	case i < 0 && d.isFull(now):
		return false
	case i < 0:
		d.blocks = append(d.blocks, &block{Block: b, since: now, until: now.Add(b.Left)})
	case b.Times > d.blocks[i].Times:
		d.blocks[i].Times, d.blocks[i].until = b.Times, now.Add(b.Left)
	default:
		return false
	}
	return true
}

// isFull reports whether Apply adds no block.
func (d *Detector) isFull(now time.Time) bool {
	limit := d.MaxApplied
	if limit == 0 {
		limit = maxBlocks
	}
	if len(d.blocks) >= limit {
		d.forget(now)
	}
	return len(d.blocks) >= limit
}

// Find returns how long requests with these shared segments are blocked.
func (d *Detector) Find(now time.Time, segments []string) (left time.Duration, blocked bool) {
	for _, b := range d.blocks {
		if now.Before(b.until) && containsAll(segments, b.Segments) {
			left = max(left, b.until.Sub(now))
		}
	}
	return left, left > 0
}

// Blocks returns the blocks in force.
func (d *Detector) Blocks(now time.Time) []Block {
	var out []Block
	for _, b := range d.blocks {
		if now.Before(b.until) {
			out = append(out, b.report(now))
		}
	}
	return out
}

func (b *block) report(now time.Time) Block {
	return Block{Segments: b.Segments, Left: b.until.Sub(now), Times: b.Times}
}

// Evidence returns the crashes of the last handoverTime, for a detector that takes over from
// another one, and the survivals of the segments that they involve. Earlier crashes have been
// judged with the survivals that followed them, which are not all known here.
func (d *Detector) Evidence(now time.Time) (crashes []Crash, survivals []Survival) {
	sent := make(map[string]bool)
	for _, c := range d.crashes {
		if now.Sub(c.at) > handoverTime {
			continue
		}
		out := Crash{Target: c.Target, StartedMs: c.StartedMs, Age: now.Sub(c.at), Window: c.at.Sub(c.earliest), Unconfirmed: c.Unconfirmed}
		for _, q := range c.requests {
			out.Suspects, out.Sends = append(out.Suspects, q.segments), append(out.Sends, q.report(c.at))
			for _, p := range q.segments {
				if at, ok := d.survivals[p]; ok && !sent[p] {
					sent[p] = true
					survivals = append(survivals, Survival{Segments: []string{p}, Age: now.Sub(at)})
				}
			}
		}
		crashes = append(crashes, out)
	}
	return crashes, survivals
}

// report returns how the request was sent to a target that crashed at that time.
func (q *request) report(at time.Time) Send {
	return Send{Age: at.Sub(q.sentAt), Repeated: q.repeated}
}

// Evaluate judges the crashes reported at least SettleTime ago, and returns the new blocks. It
// also forgets what is old.
func (d *Detector) Evaluate(now time.Time) []Block {
	d.forget(now)
	var settled []*crash
	var out []Block
	for _, c := range d.crashes {
		if now.Sub(c.reportedAt) < SettleTime {
			continue
		}
		if !c.explained {
			out = append(out, d.explain(now, c)...)
		}
		settled = append(settled, c)
	}
	slices.SortStableFunc(settled, func(a, b *crash) int { return a.at.Compare(b.at) })
	for _, rule := range [...]rule{
		{ofRequests: true, limit: requestCrashLimit, silentLimit: requestCrashLimit},
		{ofRequests: true, known: true, limit: knownCrashLimit},
		{limit: crashLimit, silentLimit: silentCrashLimit},
		{known: true, limit: knownCrashLimit},
	} {
		for {
			s, ok := d.worstSuspect(now, settled, rule)
			if !ok {
				break
			}
			b := d.newBlock(now, settled, s)
			out = append(out, b.report(now))
			for _, c := range settled {
				c.markExplained(b)
			}
		}
	}
	return out
}

// rule is a condition under which a segment is blamed.
type rule struct {
	// ofRequests is set if it is for the segments of whole requests, and known if it is for segments
	// of which answers have survived.
	ofRequests, known bool
	// limit is the number of crashes, and silentLimit that of silent targets whose order is not known; 0
	// means that these are not enough.
	limit, silentLimit int
}

// appliesTo reports whether a crash is to be judged by the rule: one that has no explanation yet. A
// request that is blocked as a whole does not explain what its prompt has in common with others.
func (r rule) appliesTo(c *crash) bool {
	if r.ofRequests {
		return !c.explained
	}
	return !c.explainedByPrompt && !c.Unconfirmed
}

// explain marks a crash that blocks explain, and renews those which had ended before it.
func (d *Detector) explain(now time.Time, c *crash) (renewed []Block) {
	for _, b := range d.blocks {
		// Requests that were sent before the block may still crash targets.
		if c.markExplained(b) && c.earliest.After(b.until) {
			renewed = append(renewed, d.renew(now, b))
		}
	}
	return renewed
}

// markExplained notes whether a block explains the crash, and returns that.
func (c *crash) markExplained(b *block) bool {
	if !c.hasSuspect(b.Segments) {
		return false
	}
	c.explained = true
	c.explainedByPrompt = c.explainedByPrompt || !b.isRequest()
	return true
}

// IsSettling reports whether there are crashes that were reported less than SettleTime ago.
func (d *Detector) IsSettling(now time.Time) bool {
	return slices.ContainsFunc(d.crashes, func(c *crash) bool { return now.Sub(c.reportedAt) < SettleTime })
}

// isRequest reports whether the block is one of a whole request.
func (b *block) isRequest() bool { return slices.ContainsFunc(b.Segments, isRequest) }

// renew blocks segments again that have crashed an engine after their block had ended.
func (d *Detector) renew(now time.Time, b *block) Block {
	b.Times++
	left := initialBlockTime
	for i := 1; i < b.Times && left < MaxBlockTime; i++ {
		left *= 2
	}
	b.until = now.Add(min(left, MaxBlockTime))
	return b.report(now)
}

// suspect is a segment that may have crashed targets.
type suspect struct {
	segment string
	// crashes counts the crashes that it may have caused, and requests the requests with it
	// among them.
	crashes, requests int
	first, last       time.Time
	// unconfirmed counts those of the crashes that no replacement has confirmed yet, and exact those whose
	// time is known.
	unconfirmed, exact int
	// silent is the number of processes that fell silent and were replaced, silentBy counts them by the
	// request, and latest is the last of them.
	silent   int
	silentBy map[string]int
	latest   *crash
	// byRequest counts the crashes by the requests that had the segment.
	byRequest map[string]int
	// group is how often the last group of crashes counts, and chains holds its requests.
	group  int
	chains map[string]chain
}

// worstSuspect returns the segment that explains most of the crashes, which are sorted by time, among those
// that are to be blamed by a rule. Of equal ones it is the one in the fewest requests: a segment of all
// requests is in those that crash, too.
func (d *Detector) worstSuspect(now time.Time, crashes []*crash, r rule) (worst suspect, ok bool) {
	for _, s := range d.suspects(crashes, r) {
		if !s.isConvicted(r) || r.known && now.Sub(s.first) < knownCrashTime {
			continue
		}
		// If no answer at all has survived since, the cause may be any. Only suspects are known to
		// survive among whole requests.
		if r.known && !r.ofRequests && !d.lastSurvival.After(s.first) {
			continue
		}
		if !ok || s.isWorse(worst) {
			worst, ok = *s, true
		}
	}
	return worst, ok
}

// suspects returns the suspects of worstSuspect, by segment. With rule.known, they are segments of
// which answers have survived before the first of the crashes, otherwise all others.
func (d *Detector) suspects(crashes []*crash, r rule) map[string]*suspect {
	bySegment := make(map[string]*suspect)
	for _, c := range crashes {
		if !r.appliesTo(c) {
			continue
		}
		for _, q := range c.requests {
			for _, p := range q.segments {
				if !d.mayHaveCaused(c, p, r) {
					continue
				}
				s := bySegment[p]
				if s == nil {
					s = &suspect{segment: p, first: c.at, byRequest: make(map[string]int), silentBy: make(map[string]int)}
					bySegment[p] = s
				}
				s.add(c, q, r)
			}
		}
	}
	return bySegment
}

// mayHaveCaused reports whether a segment is of the kind that a rule is for, and no answer with it has
// survived since the crash.
func (d *Detector) mayHaveCaused(c *crash, segment string, r rule) bool {
	survivedAt, isKnown := d.survivals[segment]
	return isRequest(segment) == r.ofRequests && isKnown == r.known && !survivedAt.After(c.at)
}

// add counts a crash under a request that has the segment. Crashes within separation of the last one
// that counted form a group, which counts as often as one request of it has crashed targets one after
// the other, so that these did not end together. That is so if it was sent to the next target, whose end was
// noticed, when the one before had ended, or if the next one gave a sign of life after that. A request that was
// sent to a silent target tells nothing of when that fell silent.
func (s *suspect) add(c *crash, q request, r rule) {
	s.requests++
	s.countProcess(c, q, r)
	if s.crashes == 0 || c.earliest.Sub(s.last) >= separation {
		s.group, s.chains = 0, make(map[string]chain)
	}
	length := 1
	former, known := s.chains[q.name]
	switch {
	case !known:
	case q.name != "" && q.endedLater(c, former):
		length = former.length + 1
	default:
		return
	}
	s.chains[q.name] = chain{length, c.at, c.isExact()}
	if length <= s.group || q.name != "" && !r.ofRequests && s.byRequest[q.name] >= maxRequestCrashes {
		return
	}
	s.byRequest[q.name]++
	s.crashes++
	s.group, s.last = length, c.at
	if c.Unconfirmed {
		s.unconfirmed++
	}
	if c.isExact() {
		s.exact++
	}
}

// endedLater reports whether a target that ended while it had the request ended later than another one
// before.
func (q *request) endedLater(c *crash, former chain) bool {
	if c.isExact() {
		return c.at.After(former.last) && (q.repeated && former.exact || q.sentAt.After(former.last))
	}
	return c.earliest.After(former.last)
}

// countProcess counts the processes that fell silent, as a segment of prompts at most maxRequestCrashes of
// them under the same request.
func (s *suspect) countProcess(c *crash, q request, r rule) {
	if s.latest == c || c.isExact() || c.Unconfirmed || !r.ofRequests && q.name != "" && s.silentBy[q.name] >= maxRequestCrashes {
		return
	}
	s.latest = c
	s.silentBy[q.name]++
	s.silent++
}

// isConvicted reports whether the crashes suffice for a rule. The order in which targets fell silent is known
// for some of them only. So a number of silent targets is enough, too, if they ended at several instants. For a
// whole request, the last of these may be the end of a target that nothing has replaced yet.
func (s *suspect) isConvicted(r rule) bool {
	hasRequests := func(crashes map[string]int) bool { return r.ofRequests || countRequests(crashes) >= minRequests }
	return s.crashes-s.unconfirmed >= r.limit && hasRequests(s.byRequest) ||
		r.silentLimit > 0 && s.silent >= r.silentLimit && s.crashes-s.exact >= minInstants && hasRequests(s.silentBy)
}

// countRequests returns the number of requests that crashes are counted by. Those without a name are all
// different.
func countRequests(crashes map[string]int) int {
	unnamed, ok := crashes[""]
	if ok {
		return len(crashes) - 1 + unnamed
	}
	return len(crashes)
}

// chain is a number of targets that ended one after the other under the same request.
type chain struct {
	length int
	last   time.Time
	// exact is crash.isExact of the last one.
	exact bool
}

func (s *suspect) isWorse(o suspect) bool {
	if s.crashes != o.crashes {
		return s.crashes > o.crashes
	}
	if s.silent != o.silent {
		return s.silent > o.silent
	}
	if s.requests != o.requests {
		return s.requests < o.requests
	}
	return s.segment < o.segment
}

// newBlock blocks a segment. If it belongs to prompts, those that came with it in each of the
// suspected requests and of which no answer has survived are blocked together with it: any of them
// may be the cause.
func (d *Detector) newBlock(now time.Time, crashes []*crash, s suspect) *block {
	common := []string{s.segment}
	if !isRequest(s.segment) {
		common = d.commonSegments(crashes, s.segment)
	}
	b := &block{Block: Block{Segments: common, Times: 1}, since: s.first, until: now.Add(initialBlockTime)}
	d.blocks = append(d.blocks, b)
	return b
}

// commonSegments returns a segment and those for which newBlock blocks it with it, sorted.
func (d *Detector) commonSegments(crashes []*crash, segment string) []string {
	var common []string
	for _, c := range crashes {
		if c.explainedByPrompt {
			continue
		}
		for _, q := range c.requests {
			switch {
			case !slices.Contains(q.segments, segment):
			case common == nil:
				common = slices.Clone(q.segments)
			default:
				common = slices.DeleteFunc(common, func(p string) bool { return !slices.Contains(q.segments, p) })
			}
		}
	}
	common = slices.DeleteFunc(common, func(p string) bool {
		_, known := d.survivals[p]
		return isRequest(p) || known && p != segment
	})
	slices.Sort(common)
	return slices.Compact(common)
}

// hasSuspect reports whether one of the suspected requests has all of the segments.
func (c *crash) hasSuspect(segments []string) bool {
	return slices.ContainsFunc(c.requests, func(q request) bool { return containsAll(q.segments, segments) })
}

// containsAll reports whether all contains each of the segments.
func containsAll(all, segments []string) bool {
	for _, p := range segments {
		if !slices.Contains(all, p) {
			return false
		}
	}
	return true
}
