package place

import (
	"math"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// minEjection is how long an engine that became unreachable is ejected after its first
	// failure. It doubles with each further failure in a row, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// softDivisor shortens the ejection of an engine that only refused a request.
	softDivisor = 4
	// heartbeatTimeout is how long an engine may stay silent before it gets no more work:
	// three and a half of the usual announcement intervals of 1.2 s.
	heartbeatTimeout = 4200 * time.Millisecond
	// slowdownWeight is the weight of a new observation in the estimated slowdown.
	slowdownWeight = 0.6
	// slowdownDecay is the time constant with which an observed slowdown fades.
	slowdownDecay = 10 * time.Second
	// uncertainTime is how long the predictions of an engine are unreliable after it got
	// work from another scheduler, or from an instance that placed requests locally:
	// prompts are prefilled within seconds.
	uncertainTime = 3 * time.Second
	// slowdownNoise is the delay beyond the prediction up to which the estimated slowdown
	// is not raised: the duration of a pass or two.
	slowdownNoise = 100 * time.Millisecond
	// maxSlowdown bounds the estimated slowdown.
	maxSlowdown = 12
	// maxSingleSlowdown bounds the slowdown that one overdue first event shows: the request or
	// its event may be lost.
	maxSingleSlowdown = 4
	// overdueInterval is the shortest time between two looks for overdue first events. It is
	// short beside slowdownNoise.
	overdueInterval = 10 * time.Millisecond
)

// engine is one target of the pool with the work granted to it. The embedded prediction
// estimates the progress of that work from the declared model.
type engine struct {
	site.Target
	// jobs are the requests that it leads or helps, in the order of their grants: a fixed
	// order makes sums of floating-point numbers the same in every run.
	jobs []*job
	// reserved is the KV cache reserved on it, in tokens.
	reserved int
	// answers counts the answers that it decodes or will decode, shortAnswers the short
	// ones among them.
	answers, shortAnswers int
	// unaccounted is the KV cache, in tokens, that the last audit found in use without a
	// grant; unaccountedAnswers is the number of answers beyond the granted ones.
	unaccounted, unaccountedAnswers int
	// contextTokens is the sum of the contexts of its answers.
	contextTokens int
	// helperParts counts the prompts led by other engines of which it prefills a part.
	helperParts int

	prediction
	// others is the load by requests of other instances that a standalone core was told of.
	others otherLoad

	// cachedPause is the result of shortestPause while pauseCached is set.
	cachedPause time.Duration
	pauseCached bool

	// lastSlowdown is the estimated slowdown at lastSlowdownAt: 2 is half the declared
	// speed.
	lastSlowdown   float64
	lastSlowdownAt time.Time
	// lastStarted is when the last request was granted of those it led whose first event came.
	lastStarted time.Time

	// Backoff ejects it after failures.
	Backoff
	// lastHeartbeat is the time of its last heartbeat or event of an answer.
	lastHeartbeat time.Time
	// pausedUntil is when it accepts requests of an instance again, by the instance's name.
	pausedUntil map[string]time.Time
	// limiter spaces out its requests if it names a limit.
	limiter Limiter
	// cold spaces them out while it is cold. Until warmingUntil it is not packed full.
	cold         ColdLimiter
	warmingUntil time.Time
	// Until uncertainUntil the slowdown is not updated, because the engine may run grants
	// of other schedulers whose progress this core does not know.
	uncertainUntil time.Time
}

// available reports whether an engine takes work. A standalone core receives no heartbeats,
// so it does not apply the heartbeat timeout.
func (c *Core) available(now time.Time, e *engine) bool {
	return !e.IsEjected(now) && c.isAlive(now, e)
}

// isAlive reports whether an engine takes work unless it is ejected.
func (c *Core) isAlive(now time.Time, e *engine) bool {
	return e.State == site.Ready && (c.Standalone || now.Sub(e.lastHeartbeat) < heartbeatTimeout)
}

// allows reports whether the request may use an engine in that region.
func (c *Core) allows(e *engine, j *job) bool {
	return c.Regions.Allows(j.request.Regions, e.DataCentre)
}

// pause keeps the requests of one instance away from the engine. Others may still use it: an
// engine that is full for all of them refuses them, too.
func (e *engine) pause(now time.Time, instance string, d time.Duration) {
	if e.pausedUntil == nil {
		e.pausedUntil = make(map[string]time.Time)
	}
	for name, until := range e.pausedUntil {
		if !now.Before(until) {
			delete(e.pausedUntil, name)
		}
	}
	if until := now.Add(d); until.After(e.pausedUntil[instance]) {
		e.pausedUntil[instance] = until
	}
}

// isClosed reports whether the engine accepts no request j, because it failed the request
// before or wants no requests from its instance.
func (e *engine) isClosed(now time.Time, j *job) bool {
	return slices.Contains(j.request.Avoid, e.ID) || now.Before(e.pausedUntil[j.request.Instance])
}

// used returns the KV cache that is not free, in tokens.
func (e *engine) used() int { return e.reserved + e.unaccounted }

// hasFreeSlot reports whether the engine can decode one more answer.
func (e *engine) hasFreeSlot() bool { return e.answers+e.unaccountedAnswers < e.Slots }

// invalidatePause drops the cached result of shortestPause after the jobs have changed.
func (e *engine) invalidatePause() { e.pauseCached = false }

// shortestPause returns the shortest pause limit of the answers that the engine leads,
// started or not, or math.MaxInt64 without any.
func (e *engine) shortestPause() time.Duration {
	if e.pauseCached {
		return e.cachedPause
	}
	e.cachedPause, e.pauseCached = math.MaxInt64, true
	for _, j := range e.jobs {
		if j.lead == e {
			e.cachedPause = min(e.cachedPause, j.request.MaxPause)
		}
	}
	return e.cachedPause
}

// eject takes the engine out of service for a while after a failure.
func (e *engine) eject(now time.Time, unreachable bool) {
	first := minEjection
	if !unreachable {
		first /= softDivisor
	}
	e.Fail(now, first, maxEjection)
}

// maxEjectedPart is the part of the engines that are alive beyond which none is ejected for its answers.
const maxEjectedPart = 0.5

// mayEject reports whether one more engine may be ejected for its answers. If many fail at a time, what they are asked is
// more likely the cause, and requests of other kinds still need engines.
func (c *Core) mayEject(now time.Time) bool {
	alive, ejected := 0, 1
	for _, e := range c.engines {
		if !c.isAlive(now, e) {
			continue
		}
		alive++
		if e.IsEjected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedPart*float64(alive)
}

// observeSlowdown updates the slowdown from a measured time to the first event of an answer.
func (e *engine) observeSlowdown(now time.Time, j *job, measured time.Duration) {
	if j.granted.After(e.lastStarted) {
		e.lastStarted = j.granted
	}
	predicted := j.firstEventAt.Sub(j.granted)
	if predicted <= 0 || measured <= 0 || now.Before(e.uncertainUntil) {
		return
	}
	ratio := j.slowdown * float64(measured) / float64(predicted)
	if measured-predicted < slowdownNoise {
		ratio = min(ratio, 1)
	}
	e.lastSlowdown = min(maxSlowdown, max(1, e.slowdown(now)*(1-slowdownWeight)+ratio*slowdownWeight))
	e.lastSlowdownAt = now
}

// checkOverdue raises the slowdown of engines whose first events are overdue, to what these show
// if they came now.
func (c *Core) checkOverdue(now time.Time) {
	if now.Sub(c.lastOverdueCheck) < overdueInterval {
		return
	}
	c.lastOverdueCheck = now
	for _, e := range c.engines {
		if now.Before(e.uncertainUntil) {
			continue
		}
		if s := e.overdueSlowdown(now); s > e.slowdown(now) {
			e.lastSlowdown, e.lastSlowdownAt = s, now
		}
	}
}

// overdueSlowdown returns the slowdown that overdue first events show; 0 without any. A request
// that was granted before another one whose first event has come is lost rather than slow, and so is one whose caller has given up.
func (e *engine) overdueSlowdown(now time.Time) float64 {
	most, overdue := 0.0, 0
	for _, j := range e.jobs {
		if j.lead != e || j.started || j.request.Whole || len(j.helpers) > 0 || now.Sub(j.firstEventAt) < slowdownNoise || j.granted.Before(e.lastStarted) {
			continue
		}
		predicted, measured := j.firstEventAt.Sub(j.granted), now.Sub(j.granted)
		if predicted > 0 && measured < j.request.PauseTimeout {
			overdue++
			most = max(most, j.slowdown*float64(measured)/float64(predicted))
		}
	}
	if overdue == 1 {
		return min(most, maxSingleSlowdown)
	}
	return min(most, maxSlowdown)
}

// slowdown returns the estimated slowdown, at least 1. An observed slowdown fades, so that
// an engine that was slow gets work again.
func (e *engine) slowdown(now time.Time) float64 {
	if e.lastSlowdown <= 1 {
		return 1
	}
	age := now.Sub(e.lastSlowdownAt)
	return 1 + (e.lastSlowdown-1)*math.Exp(-float64(age)/float64(slowdownDecay))
}

// costModel predicts times from the engine parameters that the operator declared.
type costModel struct{ site.Engine }

// prefillTime returns the time to prefill a prompt on one engine.
func (m costModel) prefillTime(prompt int) time.Duration {
	n := float64(prompt)
	linear := n / m.Rate * float64(time.Second)
	const million = 1e6
	return time.Duration(linear + n*n/2/million*float64(m.Pairs))
}

// stepTime returns the time of one decode step with that many answers and context tokens.
func (m costModel) stepTime(answers, contextTokens int) time.Duration {
	return m.Step + time.Duration(answers)*m.PerAnswer + time.Duration(contextTokens/1000)*m.PerContext
}

// passTime returns the time of a pass that decodes answers and prefills no prompt.
func (m costModel) passTime(answers, contextTokens int) time.Duration {
	return time.Duration(m.Stride) * m.stepTime(answers, contextTokens)
}

// passTokens returns how many prompt tokens a pass can prefill while it decodes answers.
func (m costModel) passTokens() float64 { return float64(m.Stride * m.Chunk) }

// decodeTime returns the time to decode an answer of output tokens.
func (m costModel) decodeTime(output, answers, contextTokens int) time.Duration {
	return m.passTime(answers, contextTokens) * time.Duration(max(1, output/m.Stride))
}

// WriteTime returns the time in which an engine without other load decodes an answer of output tokens, with that many tokens
// of its prompt on each engine.
func WriteTime(m site.Engine, context, output int) time.Duration {
	return costModel{m}.decodeTime(output, 1, context)
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
