package main

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestAnswerGivenUp guards against a soak that misses an answer that an entry cut off while its
// engine was only silent, or reports one that a fault or the end of the caller's patience excuses.
func TestAnswerGivenUp(t *testing.T) {
	const targetHost, host = "127.170.30.1", "127.170.20.1"
	for name, c := range map[string]struct {
		executed  bool
		disturbed string
		// events is how long events came, silent how long none has come since.
		events, silent time.Duration
		want           int
	}{
		"cut off in a silence":     {true, "", 100 * time.Millisecond, 1600 * time.Millisecond, 1},
		"cut off before any event": {true, "", 0, 1600 * time.Millisecond, 1},
		"another target disturbed": {true, "127.170.30.2", 0, 1600 * time.Millisecond, 1},
		"target disturbed":         {true, targetHost, 0, 1600 * time.Millisecond, 0},
		"entry disturbed":          {true, host, 0, 1600 * time.Millisecond, 0},
		"never executed":           {false, "", 0, 1600 * time.Millisecond, 0},
		"patience over":            {true, "", 0, 2 * time.Second, 0},
		"time limit over":          {true, "", requestTimeout - time.Second, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &Caller{Recorder: NewRecorder(), Disturbances: NewDisturbances(), began: time.Now()}
				a := &attempt{kind: site.Streaming, patience: minPatience}
				x.Recorder.RecordSent("1", a)
				if c.executed {
					x.Recorder.RecordExecution("1", "", "", "", execution{host: targetHost})
				}
				if c.disturbed != "" {
					x.Disturbances.Begin(c.disturbed)()
				}
				time.Sleep(c.events)
				x.lastEventAt = time.Now()
				time.Sleep(c.silent)
				x.recordFailure(t.Context(), "127.70.20.1:8400", "1", a, errors.New("cut off"))
				quicktest.Assert(t, x.Recorder.Violations(), quicktest.HasLen, c.want)
			})
		})
	}
}

// TestDrawSilences guards against a seed that can't be replayed, against silences that outlast the
// patience of callers, and against a draw that leaves out one, most or all targets.
func TestDrawSilences(t *testing.T) {
	s := &Site{targets: make([]*Target, 8)}
	for i := range s.targets {
		s.targets[i] = &Target{Endpoint: Endpoint{80, Plain, i}}
	}
	draw := func() (list []silence) {
		for rng := rand.New(rand.NewPCG(7, 2)); len(list) < 100; {
			list = append(list, s.drawSilence(rng))
		}
		return list
	}
	first, sizes := draw(), make(map[int]bool)
	for i, f := range draw() {
		quicktest.Assert(t, f.Targets, quicktest.HasLen, len(first[i].Targets))
		quicktest.Assert(t, f.Duration, quicktest.Equals, first[i].Duration)
		sizes[len(f.Targets)] = true
		for _, r := range routes() {
			quicktest.Assert(t, f.Duration+eventInterval < patience(r), quicktest.IsTrue)
		}
	}
	for _, size := range []int{1, 5, 8} {
		quicktest.Assert(t, sizes[size], quicktest.IsTrue, quicktest.Commentf("size %d", size))
	}
}
