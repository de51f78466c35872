package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/gate"
)

const (
	// limitContact is how long after a target first named a limit entries must keep to it, and
	// limitTold how long after it told an entry the requests from there count. In limitWindow
	// they may exceed limitFactor times the limit by limitSlack.
	limitContact = 3 * time.Second
	limitTold    = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	// limitInterval is the mean time between two targets that begin to name a limit.
	limitInterval = 4 * time.Second
)

// requestLimit is the limit that a target names, and what entries did since.
type requestLimit struct {
	mu        sync.Mutex
	perSecond float64
	// firstNamed is when a response first carried the limit, and told when the first one to
	// each entry did, by host.
	firstNamed time.Time
	told       map[string]time.Time
	// arrivals are the requests of the last limitWindow that count.
	arrivals []time.Time
}

// set sets the limit; 0 ends it.
func (l *requestLimit) set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond, l.firstNamed, l.told, l.arrivals = perSecond, time.Time{}, make(map[string]time.Time), nil
}

// name adds the limit to a response to an entry.
func (l *requestLimit) name(r *gate.ReplyInfo, entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 {
		return
	}
	r.Limit, r.HasLimit = l.perSecond, true
	now := time.Now()
	if l.firstNamed.IsZero() {
		l.firstNamed = now
	}
	if _, ok := l.told[entry]; !ok {
		l.told[entry] = now
	}
}

// countRequest counts a request of an entry that must keep to the limit. It returns how many
// have come within limitWindow and how many are allowed.
func (l *requestLimit) countRequest(entry, silenceName string, d *Disturbances) (count, allowed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	told, ok := l.told[entry]
	if !ok || now.Sub(told) < limitTold || now.Sub(l.firstNamed) < limitContact || !d.IsUndisturbed(told, entry, silenceName) {
		return 0, 0
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	return len(l.arrivals), int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
}

// checkLimit reports a request beyond the limit that the target names.
func (t *Target) checkLimit(id, entry string) {
	if count, allowed := t.limit.countRequest(entry, t.silenceName(), t.Disturbances); t.CheckTimeBounds && count > allowed {
		t.Recorder.AddViolation("limit", "request %s to %s from %s is number %d in %s, allowed are %d", id, t.Name(), entry, count, limitWindow, allowed)
	}
}

// varyLimits has targets name limits for some seconds until ctx ends.
func (s *Site) varyLimits(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for sleep(ctx, time.Duration(rng.ExpFloat64()*float64(limitInterval))) {
		t, perSecond, length := pick(rng, s.targets), 0.5+rng.ExpFloat64()*4, randomDuration(rng, 2*limitContact, 5*limitContact)
		wg.Go(func() {
			if !t.limitMu.TryLock() {
				return
			}
			defer t.limitMu.Unlock()
			s.logf("%s names a limit of %.2f a second for %s", t.Name(), perSecond, length)
			t.limit.set(perSecond)
			sleep(ctx, length)
			t.limit.set(0)
		})
	}
	wg.Wait()
}
