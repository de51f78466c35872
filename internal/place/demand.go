package place

import (
	"math"
	"time"
)

// demandWindow is over how long the demand of long prompts is averaged. It
// flips within seconds, and what is free must follow.
const demandWindow = 1500 * time.Millisecond

// demand is the reading time asked for by long prompts, in engines.
type demand struct {
	long float64
	at   time.Time
}

func (d *demand) arrive(now time.Time, read time.Duration, long bool) {
	d.decay(now)
	if long {
		d.long += read.Seconds() / demandWindow.Seconds()
	}
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.long *= math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
	}
	d.at = now
}

// engines is how many engines the long prompts of late keep busy.
func (d *demand) engines(now time.Time) float64 {
	d.decay(now)
	return d.long
}
