package policy

import (
	"cmp"
	"math"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// slowStart is the time in which a new target reaches its full share of requests.
	slowStart = 5 * time.Second
	// slowStartGrants is the number of grants that a new target may have at first.
	slowStartGrants = 4
	// slowdownWeight is the weight of one observation of a target's slowdown.
	slowdownWeight = 0.1
	// tokenLatencyWeight is the weight of one observation of a target's inter-token
	// latency.
	tokenLatencyWeight = 0.2
)

// target is the state of one target: its last announcement and the grants since.
type target struct {
	engine.Target
	// firstSeen is when slow start began, lastSeen when the target last announced itself
	// or answered a probe.
	firstSeen, lastSeen time.Time
	// announced reports that the target has announced itself to this scheduler.
	announced bool
	// departed reports that this incarnation of the target has announced that it is leaving.
	departed bool
	// reservedTokens is the memory reserved by the grants on the target; grantCount is
	// their number.
	reservedTokens int
	grantCount     int
	// tightGrants counts the grants with a tight deadline.
	tightGrants int
	usage       memoryUsage
	// prefillEnd is, for each band, when the granted prompts of this band and shorter
	// ones are expected to be through their prefill.
	prefillEnd [NumBands]time.Time
	// prefills is, for each band, the number of prompts of this band and shorter ones
	// that have not finished their prefill.
	prefills [NumBands]int
	// longPrefills counts the long prompts that have not finished their prefill.
	longPrefills int
	// hasLong reports that longPrefills is above 0.
	hasLong bool
	// tokenLatency is the recent average time between answer tokens; 0 if unknown.
	tokenLatency time.Duration
	// reservedFor is the queued request that the target is reserved for, or nil.
	reservedFor *queuedRequest
	// logSlowdown is the logarithm of the ratio of the target's prefill times to those of
	// the model; samples counts the observations.
	logSlowdown float64
	samples     int
	// ejectedUntil is when a target that was ejected for being slow accepts work again.
	ejectedUntil time.Time
	// probeSent reports that a Probe was sent since the target was last seen.
	probeSent bool
	// available reports that the target is in fleet.active.
	available bool
}

// wait returns the time until the prefill of a new prompt of the band could start.
func (t *target) wait(now time.Time, b Band) time.Duration {
	return max(t.prefillEnd[b].Sub(now), 0)
}

// prefillCount returns the number of prompts that have not finished their prefill.
func (t *target) prefillCount() int { return t.prefills[NumBands-1] }

// addPrefill adds the prefill of a prompt, which delays the prompts of its own band and
// of longer ones.
func (t *target) addPrefill(now time.Time, b Band, work time.Duration) {
	for i := b; i < NumBands; i++ {
		t.prefills[i]++
		if t.prefillEnd[i].Before(now) {
			t.prefillEnd[i] = now
		}
		t.prefillEnd[i] = t.prefillEnd[i].Add(work)
	}
}

// removePrefill removes a prompt that has finished its prefill and moves the predictions
// by delay, which is its actual end less its predicted one. Bands without a remaining
// prompt get the prefill end now.
func (t *target) removePrefill(now time.Time, b Band, delay time.Duration) {
	for i := b; i < NumBands; i++ {
		t.prefills[i]--
		t.prefillEnd[i] = t.prefillEnd[i].Add(delay)
		if t.prefills[i] <= 0 {
			t.prefillEnd[i] = now
		}
	}
}

// freeTokens returns the memory that is neither reserved nor taken up by others, in
// tokens.
func (t *target) freeTokens() int { return t.Memory - t.reservedTokens - t.usage.unaccounted }

// slowdown returns the ratio of the target's prefill times to those of the model.
func (t *target) slowdown() float64 { return math.Exp(t.logSlowdown) }

// observeSlowdown updates the slowdown by one observed ratio.
func (t *target) observeSlowdown(ratio float64) {
	t.samples++
	t.logSlowdown = clampLogFactor(t.logSlowdown + slowdownWeight*(math.Log(ratio)-t.logSlowdown))
}

// observeTokenLatency updates the inter-token latency by one observation.
func (t *target) observeTokenLatency(d time.Duration) {
	if t.tokenLatency == 0 {
		t.tokenLatency = d
		return
	}
	t.tokenLatency += scale(d-t.tokenLatency, tokenLatencyWeight)
}

// slowStartAllows reports whether slow start permits one more grant.
func (t *target) slowStartAllows(now time.Time) bool {
	age := now.Sub(t.firstSeen)
	if age >= slowStart {
		return true
	}
	return t.grantCount < slowStartGrants+int(age/(100*time.Millisecond))
}

// comparePrefillEnd returns a function that orders targets by the end of their prefills
// in a band, then by name.
func comparePrefillEnd(b Band) func(x, y *target) int {
	return func(x, y *target) int {
		return cmp.Or(x.prefillEnd[b].Compare(y.prefillEnd[b]), cmp.Compare(x.Name, y.Name))
	}
}
