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
	// knownCrashTime is how long a segment of which there have been answers must have crashed
	// engines: an answer that began after the first crash could have survived by then.
	knownCrashTime = 2 * SurvivalTime
	// evidenceTime is how long crashes, survivals and ended blocks are remembered.
	evidenceTime = 10 * time.Minute
	// initialBlockTime is how long segments are blocked at first. It doubles each time they crash
	// an engine again after that, up to maxBlockTime.
	initialBlockTime = 2 * time.Minute
	maxBlockTime     = time.Hour
	// handoverTime is the age of the crashes that a detector passes on.
	handoverTime = 30 * time.Second
	// maxCrashes and maxSegments bound the memory for crashes and for segments with a survival.
	maxCrashes  = 256
	maxSegments = 8192
	// survivalInterval is how much later an answer must have begun than the last one known
	// with the same segments for its survival to be news.
	survivalInterval = 500 * time.Millisecond
)

// Detector finds the segments that crash engines. A segment is blamed if engines that ended had
// requests with it, and no answer with it has survived that began after they ended. The zero
// value is ready to use.
type Detector struct {
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
	at, reportedAt time.Time
	// explained is set if one of the requests has the segments of a block.
	explained bool
}

// block is a Block with its times.
type block struct {
	Block
	// since is the time of the first crash that it explains.
	since, until time.Time
}

// AddCrash adds the report of a crash. Reports of the same process are joined.
func (d *Detector) AddCrash(now time.Time, c Crash) {
	suspects := slices.DeleteFunc(slices.Clone(c.Suspects), func(segments []string) bool { return len(segments) == 0 })
	if len(suspects) == 0 {
		return
	}
	for _, known := range d.crashes {
		if known.Target == c.Target && known.StartedMs == c.StartedMs {
			known.Suspects = append(known.Suspects, suspects...)
			return
		}
	}
	if len(d.crashes) >= maxCrashes {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	c.Suspects = suspects
	d.crashes = append(d.crashes, &crash{Crash: c, at: now.Add(-c.Age), reportedAt: now})
	d.forget(now)
}

// forget drops the crashes and the ended blocks that are older than evidenceTime.
func (d *Detector) forget(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceTime })
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
// was not known.
func (d *Detector) Apply(now time.Time, b Block) (isNews bool) {
	i := slices.IndexFunc(d.blocks, func(o *block) bool { return slices.Equal(o.Segments, b.Segments) })
	switch {
	case b.Left <= 0 && i >= 0:
		d.blocks = slices.Delete(d.blocks, i, i+1)
	case b.Left <= 0:
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
		crashes = append(crashes, Crash{Target: c.Target, StartedMs: c.StartedMs, Age: now.Sub(c.at), Suspects: c.Suspects})
		for _, p := range slices.Concat(c.Suspects...) {
			if at, ok := d.survivals[p]; ok && !sent[p] {
				sent[p] = true
				survivals = append(survivals, Survival{Segments: []string{p}, Age: now.Sub(at)})
			}
		}
	}
	return crashes, survivals
}

// Evaluate judges the crashes reported at least SettleTime ago, and returns the new blocks. It
// also forgets what is old.
func (d *Detector) Evaluate(now time.Time) []Block {
	d.forget(now)
	var open []*crash
	var out []Block
	for _, c := range d.crashes {
		if c.explained || now.Sub(c.reportedAt) < SettleTime {
			continue
		}
		if b := d.blockFor(c); b != nil {
			c.explained = true
			// Requests that were sent before the block may still crash engines.
			if c.at.After(b.until) {
				out = append(out, d.renew(now, b))
			}
			continue
		}
		open = append(open, c)
	}
	slices.SortStableFunc(open, func(a, b *crash) int { return a.at.Compare(b.at) })
	for _, rule := range [...]struct {
		known bool
		limit int
	}{{false, crashLimit}, {true, knownCrashLimit}} {
		for {
			s, ok := d.worstSuspect(now, open, rule.known)
			if !ok || s.crashes < rule.limit {
				break
			}
			b := d.newBlock(now, open, s)
			out = append(out, b.report(now))
			open = slices.DeleteFunc(open, func(c *crash) bool {
				c.explained = c.hasSuspect(b.Segments)
				return c.explained
			})
		}
	}
	return out
}

// IsSettling reports whether there are crashes that were reported less than SettleTime ago.
func (d *Detector) IsSettling(now time.Time) bool {
	return slices.ContainsFunc(d.crashes, func(c *crash) bool { return now.Sub(c.reportedAt) < SettleTime })
}

// blockFor returns the block that explains a crash, or nil.
func (d *Detector) blockFor(c *crash) *block {
	for _, b := range d.blocks {
		if c.hasSuspect(b.Segments) {
			return b
		}
	}
	return nil
}

// renew blocks segments again that have crashed an engine after their block had ended.
func (d *Detector) renew(now time.Time, b *block) Block {
	b.Times++
	left := initialBlockTime
	for i := 1; i < b.Times && left < maxBlockTime; i++ {
		left *= 2
	}
	b.until = now.Add(min(left, maxBlockTime))
	return b.report(now)
}

// suspect is a segment that may have crashed engines.
type suspect struct {
	segment string
	// crashes counts the crashes that it may have caused, and requests the requests with it
	// among them.
	crashes, requests int
	first, last       time.Time
}

// worstSuspect returns the segment that explains most of the crashes, which are sorted by time. Of
// equal ones it is the one in the fewest requests: a segment of all requests is in those that
// crash, too. With known, it looks at segments of which answers have survived before the first
// of the crashes, otherwise at all others.
func (d *Detector) worstSuspect(now time.Time, crashes []*crash, known bool) (worst suspect, ok bool) {
	for _, s := range d.suspects(crashes, known) {
		// If no answer at all has survived since, the cause may be any.
		if known && (now.Sub(s.first) < knownCrashTime || !d.lastSurvival.After(s.first)) {
			continue
		}
		if !ok || s.isWorse(worst) {
			worst, ok = *s, true
		}
	}
	return worst, ok
}

// suspects returns the suspects of worstSuspect, by segment.
func (d *Detector) suspects(crashes []*crash, known bool) map[string]*suspect {
	bySegment := make(map[string]*suspect)
	for _, c := range crashes {
		for _, p := range slices.Concat(c.Suspects...) {
			if survivedAt, isKnown := d.survivals[p]; isKnown != known || survivedAt.After(c.at) {
				continue
			}
			s := bySegment[p]
			if s == nil {
				s = &suspect{segment: p, first: c.at}
				bySegment[p] = s
			}
			s.requests++
			if s.crashes == 0 || c.at.Sub(s.last) >= separation {
				s.crashes++
				s.last = c.at
			}
		}
	}
	return bySegment
}

func (s *suspect) isWorse(o suspect) bool {
	if s.crashes != o.crashes {
		return s.crashes > o.crashes
	}
	if s.requests != o.requests {
		return s.requests < o.requests
	}
	return s.segment < o.segment
}

// newBlock blocks a segment, together with those that came with it in each of the suspected
// requests and of which no answer has survived: any of them may be the cause.
func (d *Detector) newBlock(now time.Time, crashes []*crash, s suspect) *block {
	var common []string
	for _, c := range crashes {
		for _, segments := range c.Suspects {
			switch {
			case !slices.Contains(segments, s.segment):
			case common == nil:
				common = slices.Clone(segments)
			default:
				common = slices.DeleteFunc(common, func(p string) bool { return !slices.Contains(segments, p) })
			}
		}
	}
	common = slices.DeleteFunc(common, func(p string) bool {
		_, known := d.survivals[p]
		return known && p != s.segment
	})
	slices.Sort(common)
	b := &block{Block: Block{Segments: slices.Compact(common), Times: 1}, since: s.first, until: now.Add(initialBlockTime)}
	d.blocks = append(d.blocks, b)
	return b
}

// hasSuspect reports whether one of the suspected requests has all of the segments.
func (c *crash) hasSuspect(segments []string) bool {
	return slices.ContainsFunc(c.Suspects, func(s []string) bool { return containsAll(s, segments) })
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
