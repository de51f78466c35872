package hub

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// spreadAbove is how many times the mean load of its region the callers of a data centre must
	// cause before some of them are sent to others, and spreadBelow when that ends: traffic between
	// data centres has a cost. spreadTo is what the data centre keeps.
	spreadAbove = 2.0
	spreadBelow = 1.5
	spreadTo    = 1.25
	// minSpreadLoad is the load, in requests in progress per instance, below which nothing is spread: so
	// few are no burden for an instance with a fifth of a core.
	minSpreadLoad = 2.0
	// busyDelay is the mean delay of timers from which the instances of a data centre have as much to do
	// as they can, and calmDelay that from which they no longer do. A process that uses up its processor
	// time waits up to 100 ms for more.
	busyDelay = 40 * time.Millisecond
	calmDelay = 10 * time.Millisecond
	// spareBelow is how many times the mean load of the region a data centre may have to get callers of
	// others.
	spareBelow = 1.1
	// minShareChange is the least change of the part of the callers that is sent away, and
	// minSpreadInterval the shortest time between two changes: callers use an answer for 3 s, so that
	// the effect of a change is not known before. A spread ends only after spreadHold.
	minShareChange    = 0.1
	minSpreadInterval = 4 * time.Second
	spreadHold        = 10 * time.Second
	// maxShare bounds the part of the callers that is sent away.
	maxShare = 0.8
	// loadTime is the time constant of the mean load of a data centre; answerTime is that with which the
	// load follows a changed answer: the 3 s for which it is used, and the requests in progress then.
	loadTime   = time.Second
	answerTime = 4 * time.Second
	// loadMaxAge is how long a spread is used without a report of the load.
	loadMaxAge = 5 * time.Second
)

// balance decides which part of the callers of each data centre look-ups send to others, from the load
// that the instances report. It has no clock of its own.
type balance struct {
	regions site.Regions
	centres map[string]*centreLoad
	// steppedAt is when step was last called.
	steppedAt time.Time
}

// centreReport is the load of the instances of a data centre.
type centreReport struct {
	// instances is the number of ready instances, and reporting that of those that report their load.
	instances, reporting int
	// requests and delay are the sums of what these report.
	requests int
	delay    time.Duration
}

// centreLoad is what is known of a data centre.
type centreLoad struct {
	instances int
	// load is the smoothed number of requests in progress per instance, and delay that of the delays.
	load  float64
	delay time.Duration
	// reportedAt is when the load was last reported by half of the instances; zero if never.
	reportedAt time.Time
	// spread is in force since changedAt. effective is the share that callers use by now: they look up
	// again some seconds later.
	spread    link.Spread
	changedAt time.Time
	effective float64
	// demand is the estimated load per instance that the callers of this data centre cause in all data
	// centres.
	demand float64
}

// newBalance returns a balance that goes on with spreads that a former leader has decided.
func newBalance(now time.Time, regions site.Regions, former []link.Spread) *balance {
	b := &balance{regions: regions, centres: make(map[string]*centreLoad), steppedAt: now}
	for _, s := range former {
		b.centres[s.DataCentre] = &centreLoad{reportedAt: now, spread: s, changedAt: now, effective: s.Share()}
	}
	return b
}

// spreads returns the decisions in force, sorted by data centre.
func (b *balance) spreads() []link.Spread {
	var out []link.Spread
	for _, name := range b.names() {
		if c := b.centres[name]; len(c.spread.Parts) > 0 {
			out = append(out, c.spread)
		}
	}
	return out
}

// names returns the known data centres, sorted.
func (b *balance) names() []string { return slices.Sorted(maps.Keys(b.centres)) }

// step takes in the load of all data centres that have ready instances, and returns the data centres
// whose spread it has changed.
func (b *balance) step(now time.Time, reports map[string]centreReport) (changed []string) {
	elapsed := now.Sub(b.steppedAt)
	b.steppedAt = now
	b.observe(now, elapsed, reports)
	b.estimateDemand()
	for _, name := range b.names() {
		c := b.centres[name]
		// Without the load, look-ups name the data centre of the caller alone.
		next := link.Spread{DataCentre: name}
		if c.isKnown(now) {
			if next = b.decide(now, name, c); !c.isChange(now, next) {
				continue
			}
		}
		if len(next.Parts)+len(c.spread.Parts) > 0 {
			c.spread, c.changedAt = next, now
			changed = append(changed, name)
		}
	}
	maps.DeleteFunc(b.centres, func(_ string, c *centreLoad) bool { return c.instances == 0 && len(c.spread.Parts) == 0 })
	return changed
}

// observe updates the smoothed loads.
func (b *balance) observe(now time.Time, elapsed time.Duration, reports map[string]centreReport) {
	for name := range reports {
		if b.centres[name] == nil {
			b.centres[name] = &centreLoad{}
		}
	}
	for name, c := range b.centres {
		c.effective += (c.spread.Share() - c.effective) * weight(elapsed, answerTime)
		r := reports[name]
		c.instances = r.instances
		if r.reporting == 0 || 2*r.reporting < r.instances {
			continue
		}
		w := weight(elapsed, loadTime)
		if c.load == 0 && c.delay == 0 {
			w = 1
		}
		c.load += (float64(r.requests)/float64(r.reporting) - c.load) * w
		c.delay += time.Duration(float64(r.delay/time.Duration(r.reporting)-c.delay) * w)
		c.reportedAt = now
	}
}

// weight returns the weight of a value in a mean with a time constant, some time after the last one.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// isKnown reports whether the load of a data centre is known.
func (c *centreLoad) isKnown(now time.Time) bool {
	return !c.reportedAt.IsZero() && now.Sub(c.reportedAt) <= loadMaxAge
}

// regionMean returns the mean load per instance in the region of a data centre, and the number of
// instances there.
func (b *balance) regionMean(name string) (mean float64, instances int) {
	load := 0.0
	for other, o := range b.centres {
		if b.regions.Same(other, name) {
			instances += o.instances
			load += o.load * float64(o.instances)
		}
	}
	return load / float64(max(1, instances)), instances
}

// estimateDemand estimates what the callers of each data centre cause: the load there without the
// callers that come from others, and with those that go there.
func (b *balance) estimateDemand() {
	received := make(map[string]float64)
	for _, c := range b.centres {
		share := c.spread.Share()
		for _, p := range c.spread.Parts {
			// A former spread may have had other parts; the present ones stand for it.
			part := float64(p.PerMille) / 1000 * c.effective / share
			received[p.DataCentre] += part * c.demand * float64(c.instances)
		}
	}
	for name, c := range b.centres {
		mean, instances := b.regionMean(name)
		own := max(0, c.load-received[name]/float64(max(1, c.instances)))
		// The callers of a data centre cause no more than the whole load of the region.
		c.demand = min(own/(1-min(c.effective, maxShare)), mean*float64(instances)/float64(max(1, c.instances)))
	}
}

// decide returns the spread that a data centre should have now.
func (b *balance) decide(now time.Time, name string, c *centreLoad) link.Spread {
	next := link.Spread{DataCentre: name}
	mean, _ := b.regionMean(name)
	above, delay := spreadAbove, busyDelay
	if len(c.spread.Parts) > 0 {
		above, delay = spreadBelow, calmDelay
	}
	keep := spreadTo
	if c.demand <= above*mean {
		keep = 1
		if c.delay <= delay || c.demand <= spareBelow*mean {
			return next
		}
	}
	if c.demand < minSpreadLoad {
		return next
	}
	share := min(maxShare, 1-keep*mean/c.demand)
	spare, sum := make(map[string]float64), 0.0
	for other, o := range b.centres {
		if other == name || !b.regions.Same(other, name) || !o.isKnown(now) || o.delay > busyDelay || len(o.spread.Parts) > 0 {
			continue
		}
		if s := (spareBelow*mean - o.demand) * float64(o.instances); s > 0 {
			spare[other] = s
			sum += s
		}
	}
	for _, other := range slices.Sorted(maps.Keys(spare)) {
		if n := uint16(math.Round(1000 * share * spare[other] / sum)); n > 0 {
			next.Parts = append(next.Parts, link.SpreadPart{DataCentre: other, PerMille: n})
		}
	}
	return next
}

// isChange reports whether a decision differs enough from the one in force, and whether that was in
// force for long enough.
func (c *centreLoad) isChange(now time.Time, next link.Spread) bool {
	if len(c.spread.Parts) == 0 || len(next.Parts) == 0 {
		return len(c.spread.Parts) != len(next.Parts) && (len(next.Parts) > 0 || now.Sub(c.changedAt) >= spreadHold)
	}
	moved := 0.0
	for _, p := range slices.Concat(c.spread.Parts, next.Parts) {
		moved = max(moved, math.Abs(partOf(next, p.DataCentre)-partOf(c.spread, p.DataCentre)))
	}
	moved = max(moved, math.Abs(next.Share()-c.spread.Share()))
	return moved >= minShareChange && now.Sub(c.changedAt) >= minSpreadInterval
}

// partOf returns the part of the callers that a spread sends to a data centre.
func partOf(s link.Spread, dataCentre string) float64 {
	for _, p := range s.Parts {
		if p.DataCentre == dataCentre {
			return float64(p.PerMille) / 1000
		}
	}
	return 0
}

// loadReport adds up the load that linked instances have reported, by data centre.
func loadReport(entries []link.Entry, loads map[string]link.Load) map[string]centreReport {
	out := make(map[string]centreReport)
	for _, e := range entries {
		r := out[e.DataCentre]
		r.instances++
		if l, ok := loads[e.Name]; ok {
			r.reporting++
			r.requests += int(l.Requests)
			r.delay += time.Duration(l.DelayMs) * time.Millisecond
		}
		out[e.DataCentre] = r
	}
	return out
}
