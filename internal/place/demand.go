package place

import (
	"math"
	"time"
)

// demandWindow is over how long demand is averaged. It flips within seconds, and
// what is kept free must follow.
const demandWindow = 1500 * time.Millisecond

const (
	// maxWork bounds what one request counts for in the demand: the largest are
	// refused when there is much.
	maxWork = 8 * time.Second
	// calm and full are the parts of the engines wanted between which an engine's
	// time gets its price.
	calm = 0.6
	full = 1.0
	// priceShare is the part of the mean worth of an engine's time that a request
	// must earn when all engines are wanted. It is below 1, so that long prompts
	// earn it too.
	priceShare = 0.5
)

// demand is what was asked for of late.
type demand struct {
	// long is the reading that long prompts want, in engines.
	long float64
	// short is the worth of short requests in a second.
	short float64
	// worth and work are those of all requests in a second; work is in engines.
	worth, work float64
	at          time.Time
}

func (d *demand) arrive(now time.Time, j *job, read, work time.Duration) {
	d.decay(now)
	d.worth += j.value / demandWindow.Seconds()
	d.work += min(work, maxWork).Seconds() / demandWindow.Seconds()
	if !j.isLong() {
		d.short += j.value / demandWindow.Seconds()
		return
	}
	if !j.spoilt {
		d.long += read.Seconds() / demandWindow.Seconds()
	}
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		f := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.long *= f
		d.short *= f
		d.worth *= f
		d.work *= f
	}
	d.at = now
}

// engines is how many engines the long prompts of late keep busy.
func (d *demand) engines(now time.Time) float64 {
	d.decay(now)
	return d.long
}

// shorts is the worth of short requests in a second.
func (d *demand) shorts(now time.Time) float64 {
	d.decay(now)
	return d.short
}

// others is how many engines the requests of late want, but for one of them.
func (d *demand) others(now time.Time, j *job, work time.Duration) float64 {
	d.decay(now)
	own := min(work, maxWork).Seconds() / demandWindow.Seconds()
	return max(0, d.work-own*math.Exp(-now.Sub(j.arrived).Seconds()/demandWindow.Seconds()))
}

// density is the mean worth of a second of an engine's time, in what is asked.
func (d *demand) density(now time.Time) float64 {
	d.decay(now)
	if d.work <= 0 {
		return 0
	}
	return d.worth / d.work
}

// price is what a second of an engine's time costs with so many engines: nothing
// while there are enough.
func (d *demand) price(now time.Time, engines int) float64 {
	if engines == 0 {
		return 0
	}
	rate := d.density(now)
	wanted := d.work / float64(engines)
	return priceShare * rate * math.Min(1, math.Max(0, (wanted-calm)/(full-calm)))
}
