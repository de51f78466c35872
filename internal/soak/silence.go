package main

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minSilence and maxSilence bound how long targets are silent before they go on; callers of
	// all routes wait longer. silenceInterval is the mean time between two silences, silencePause
	// the least, so that what was held back arrives in between.
	minSilence      = 1300 * time.Millisecond
	maxSilence      = 1900 * time.Millisecond
	silenceInterval = 2 * time.Second
	silencePause    = 300 * time.Millisecond
	// minPatience is how long the caller of a stream waits for the next event at least.
	minPatience = 2 * time.Second
)

// silence holds back what some targets send and receive for Duration. Nothing is lost, and they go
// on afterwards. With Announced their announcements still arrive.
type silence struct {
	Targets   []*Target
	Duration  time.Duration
	Announced bool
}

// drawSilence draws a silence of some, most or all targets.
func (s *Site) drawSilence(rng *rand.Rand) silence {
	f := silence{pickSome(rng, s.targets), randomDuration(rng, minSilence, maxSilence), rng.Float64() < 0.5}
	if rng.Float64() < 0.6 {
		f.Targets = nil
		for _, i := range rng.Perm(len(s.targets))[rng.IntN(1+len(s.targets)/2):] {
			f.Targets = append(f.Targets, s.targets[i])
		}
	}
	return f
}

// varySilences has targets fall silent and go on, one silence after the other, until ctx ends.
func (s *Site) varySilences(ctx context.Context, rng *rand.Rand) {
	for sleep(ctx, silencePause+time.Duration(rng.ExpFloat64()*float64(silenceInterval-silencePause))) {
		s.silence(s.drawSilence(rng))
	}
}

func (s *Site) silence(f silence) {
	var names, disturbed []string
	var directions []Direction
	for _, t := range f.Targets {
		host := t.ProcessHost()
		names, disturbed = append(names, t.Name()), append(disturbed, t.silenceName())
		if !f.Announced {
			directions = append(directions, Direction{From: host}, Direction{To: host})
			continue
		}
		for _, p := range s.entries {
			directions = append(directions, Direction{host, p.ProcessHost()}, Direction{p.ProcessHost(), host})
		}
	}
	s.logf("silence of %v for %s, announced %t", names, f.Duration, f.Announced)
	defer s.disturbances.Begin(disturbed...)()
	restore := s.proxy.Block(directions...)
	time.Sleep(f.Duration)
	restore()
}

// silenceName returns the name of the disturbance by which requests reach the target late.
func (t *Target) silenceName() string { return t.Name() + " is silent" }

// checkGivenUp reports an attempt that ended without an answer while its caller was waiting, though a
// target was executing it, and nothing but a silence had befallen the entry and such targets.
func (c *Caller) checkGivenUp(entryHost, id, end string, a *attempt) {
	waited, total := time.Since(c.lastEventAt), time.Since(c.began)
	hosts := c.Recorder.executingHosts(id)
	if len(hosts) == 0 || waited >= a.patience || total >= requestTimeout || !c.Disturbances.IsUndisturbed(c.began, append(hosts, entryHost)...) {
		return
	}
	c.Recorder.AddViolation("silence", "request %s ended at %s after %.3f s, %.3f s after its last event, while %v executed it: %s",
		id, entryHost, total.Seconds(), waited.Seconds(), hosts, end)
}
