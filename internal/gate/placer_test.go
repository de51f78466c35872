package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// TestLongPromptsWaitForScheduler: right after the scheduler was lost, a long prompt must wait
// for the next one before it is placed locally, but only for a part of the time that it has.
// Short prompts, resumed answers and those during a longer outage must not wait.
func TestLongPromptsWaitForScheduler(t *testing.T) {
	const target = 3 * time.Second
	for name, c := range map[string]struct {
		target  time.Duration
		resumed bool
		outage  time.Duration
		want    time.Duration
	}{
		"long":           {target: target, outage: 100 * time.Millisecond, want: 1200 * time.Millisecond},
		"short":          {target: 300 * time.Millisecond, outage: 100 * time.Millisecond},
		"resumed":        {target: target, resumed: true, outage: 100 * time.Millisecond},
		"longer outage":  {target: target, outage: schedulerGap},
		"end of the gap": {target: target, outage: schedulerGap - 500*time.Millisecond, want: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, nil, []script{streamEvents(2, 0)})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				// Nobody answers at the seed, so there is no scheduler.
				s.gate.Link.Calls = &wire.Pool{Dial: s.net.Dialer("10.0.0.1")}
				s.gate.Link.Follower, s.gate.Link.Log = s.gate, s.gate.Log
				go s.gate.Link.Run(ctx)
				time.Sleep(c.outage)
				req := place.Request{ID: s.gate.placer.newID(), Pool: "engines", Prompt: 1000, Output: 10, TTFTLeft: c.target, TTFTTarget: c.target, TimeLeft: 10 * time.Second, Resumed: c.resumed}
				began := time.Now()
				g, err := s.gate.placer.acquire(ctx, &req)
				quicktest.Assert(t, err, quicktest.IsNil)
				took := time.Since(began)
				quicktest.Assert(t, took >= c.want && took <= c.want+2*linkPollInterval, quicktest.IsTrue, quicktest.Commentf("%s", took))
				s.gate.placer.release(place.End{ID: g.ID})
			})
		})
	}
}
