package gate

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// newGuard returns a guard on the clock of the bubble, with the time by which jumps advance it
// besides, and the state of its link.
func newGuard() (p *pauseGuard, suspended *atomic.Int64, linked *atomic.Bool) {
	began := time.Now()
	suspended, linked = &atomic.Int64{}, &atomic.Bool{}
	linked.Store(true)
	p = &pauseGuard{
		Clock:    func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) },
		Relink:   func() { linked.Store(false) },
		IsLinked: linked.Load,
	}
	p.start()
	return p, suspended, linked
}

// TestPauseWaitsForNews: after a pause, what the instance knows must not be used before a
// new link is there, or before the wait for it is over.
func TestPauseWaitsForNews(t *testing.T) {
	for name, c := range map[string]struct {
		relinked, want time.Duration
	}{
		"new link":    {80 * time.Millisecond, 80 * time.Millisecond},
		"no new link": {time.Hour, refreshTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, suspended, linked := newGuard()
				wait := func() time.Duration {
					began := time.Now()
					p.await(t.Context())
					return time.Since(began)
				}
				quicktest.Assert(t, wait(), quicktest.Equals, time.Duration(0))
				time.Sleep(maxPauseTime)
				quicktest.Assert(t, wait(), quicktest.Equals, time.Duration(0))
				count := p.pauseCount()

				suspended.Add(int64(5 * time.Second))
				timer := time.AfterFunc(c.relinked, func() { linked.Store(true) })
				defer timer.Stop()
				took := wait()
				quicktest.Assert(t, took >= c.want && took <= c.want+2*refreshPollInterval, quicktest.IsTrue, quicktest.Commentf("%s", took))
				quicktest.Assert(t, p.pauseCount(), quicktest.Equals, count+1)
				quicktest.Assert(t, wait(), quicktest.Equals, time.Duration(0))
			})
		})
	}
}

// TestPausedInstanceUsesNoOldView: a key is withdrawn and a target leaves while the process is
// paused. A request that comes as it wakes up must be decided by the new state.
func TestPausedInstanceUsesNoOldView(t *testing.T) {
	for name, change := range map[string]struct {
		apply func(s *testbed)
		want  int
	}{
		"withdrawn key": {func(s *testbed) { s.tables.Version, s.tables.Organisations = 2, nil }, 401},
		"target left":   {func(s *testbed) { s.targets[0].State = site.Gone }, 503},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
				p, suspended, linked := newGuard()
				s.gate.pauses.Clock, s.gate.pauses.Relink, s.gate.pauses.IsLinked = p.Clock, p.Relink, p.IsLinked
				s.gate.pauses.start()
				quicktest.Assert(t, s.call(idempotentPath, "").status, quicktest.Equals, 200)
				suspended.Add(int64(5 * time.Second))
				time.AfterFunc(50*time.Millisecond, func() {
					change.apply(s)
					s.publish(2)
					linked.Store(true)
				})
				quicktest.Assert(t, s.call(idempotentPath, "").status, quicktest.Equals, change.want)
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 1)
			})
		})
	}
}
