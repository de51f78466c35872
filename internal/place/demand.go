package place

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand averages. Demand changes within seconds,
// and the number of engines kept free must follow.
const demandWindow = 1500 * time.Millisecond

const (
	// maxRequestWork bounds the work that one request adds to the demand: the largest
	// requests are refused when demand is high.
	maxRequestWork = 8 * time.Second
	// lowLoad and fullLoad are the loads, as fractions of the engines, between which the
	// price of engine time rises from zero to its maximum.
	lowLoad  = 0.6
	fullLoad = 1.0
	// longPriceFraction and shortPriceFraction are the maximum prices of engine time for long
	// and short prompts, as fractions of the mean value density. Both are below 1, so that
	// the mean request can pay them. While an engine prefills a long prompt, nobody else can
	// use it without a pause; a short one shares it with others, so it pays less.
	longPriceFraction  = 0.75
	shortPriceFraction = 0.25
)

// demand holds exponentially decaying averages over the recent requests.
type demand struct {
	// longPrefill is the prefill work of long prompts, in engines.
	longPrefill float64
	// shortValue is the value of short requests per second.
	shortValue float64
	// value (per second) and work (in engines) are those of all requests.
	value, work float64
	at          time.Time
}

// add counts a new request, with its prefill time on one engine and its engine time.
func (d *demand) add(now time.Time, j *job, prefill, work time.Duration) {
	d.decay(now)
	d.value += j.value / demandWindow.Seconds()
	d.work += min(work, maxRequestWork).Seconds() / demandWindow.Seconds()
	if !j.isLong() {
		d.shortValue += j.value / demandWindow.Seconds()
		return
	}
	if !j.late {
		d.longPrefill += prefill.Seconds() / demandWindow.Seconds()
	}
}

// decay ages the averages to now.
func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		factor := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.longPrefill *= factor
		d.shortValue *= factor
		d.value *= factor
		d.work *= factor
	}
	d.at = now
}

// longEngines returns how many engines the prefill of long prompts keeps busy.
func (d *demand) longEngines(now time.Time) float64 {
	d.decay(now)
	return d.longPrefill
}

// shortValueRate returns the value of short requests per second.
func (d *demand) shortValueRate(now time.Time) float64 {
	d.decay(now)
	return d.shortValue
}

// loadWithout returns how many engines all requests except j need.
func (d *demand) loadWithout(now time.Time, j *job, work time.Duration) float64 {
	d.decay(now)
	own := min(work, maxRequestWork).Seconds() / demandWindow.Seconds()
	return max(0, d.work-own*math.Exp(-now.Sub(j.arrived).Seconds()/demandWindow.Seconds()))
}

// valueDensity returns the mean value of a second of engine time.
func (d *demand) valueDensity(now time.Time) float64 {
	d.decay(now)
	if d.work <= 0 {
		return 0
	}
	return d.value / d.work
}

// price returns the price of a second of engine time in a pool of that many engines, for a
// long prompt or a short one. It is zero up to lowLoad.
func (d *demand) price(now time.Time, engines int, isLong bool) float64 {
	if engines == 0 {
		return 0
	}
	rate := d.valueDensity(now)
	load := d.work / float64(engines)
	fraction := shortPriceFraction
	if isLong {
		fraction = longPriceFraction
	}
	return fraction * rate * math.Min(1, math.Max(0, (load-lowLoad)/(fullLoad-lowLoad)))
}
