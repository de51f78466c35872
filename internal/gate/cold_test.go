package gate

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
)

// coldRate is the rate of cold targets in the tables of newColdTestbed.
const coldRate = 2

// newColdTestbed returns a testbed whose tables limit the rate of cold targets. The instance is the only
// one, and knows that.
func newColdTestbed(t *testing.T, path string, scripts ...script) *testbed {
	t.Helper()
	s := newPathTestbed(t, path, scripts...)
	s.gate.SetEntryCount(1)
	// From 0.5 on a cold engine has one turn of 0.3 s in 10 s, in which all requests may choose another one.
	s.gate.health.drawPhase = func() float64 { return 0.25 }
	time.Sleep(peakTime)
	s.tables.Version = 2
	for i := range s.tables.Pools {
		s.tables.Pools[i].ColdRate, s.tables.Pools[i].ColdTime = coldRate, 20*time.Second
	}
	s.publish(2)
	return s
}

// play sends a request every 20 ms, and returns how many reached a target.
func (s *testbed) play(f *fakeTarget, path string, length time.Duration) int {
	before := f.requestCount()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.call(path, "body")
	}
	return f.requestCount() - before
}

// TestNewTargetIsCold: a process that is announced as cold must get no more than a part of the rate from
// an instance without a scheduler, from the first request on, until the time is over.
func TestNewTargetIsCold(t *testing.T) {
	for _, path := range allPaths() {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newColdTestbed(t, path, answerFor(path))
				reborn := s.targets[0]
				reborn.StartedMs, reborn.Cold = 7, 10*time.Second
				s.publish(3)
				// Turns come late by the interval of the calls.
				got := s.play(reborn, path, 10*time.Second)
				quicktest.Assert(t, got > 0 && got <= coldRate*10, quicktest.IsTrue, quicktest.Commentf("%d requests in 10 s", got))
				time.Sleep(time.Second)
				got = s.play(reborn, path, 10*time.Second)
				quicktest.Assert(t, got > 5*coldRate*10, quicktest.IsTrue, quicktest.Commentf("%d requests in 10 s when it is warm", got))
			})
		})
	}
}

// TestStartedInstanceUsesWarmTargets guards against an instance that has just started and takes targets
// for cold which were announced as cold long ago: after a power loss of a whole site, 27 of 45 engines
// stayed without requests until the next leader had told that they are warm.
func TestStartedInstanceUsesWarmTargets(t *testing.T) {
	for _, path := range allPaths() {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newColdTestbed(t, path, answerFor(path))
				known := s.targets[0]
				known.StartedMs, known.Cold = 7, 20*time.Second
				known.ColdUntilMs = time.Now().Add(-10 * time.Second).UnixMilli()
				s.publish(3)
				got := s.play(known, path, 10*time.Second)
				quicktest.Assert(t, got > 5*coldRate*10, quicktest.IsTrue, quicktest.Commentf("%d requests in 10 s", got))
			})
		})
	}
}

// TestColdTargetOnRetries: requests whose first target fails must not exceed the rate of a cold one.
func TestColdTargetOnRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdTestbed(t, idempotentPath, respond(500, "oh", sealHeader), respond(200, "done", sealHeader))
		cold := s.targets[1]
		s.gate.ApplyCold([]place.Cold{{Target: cold.ID, For: 20 * time.Second}})
		got := s.play(cold, idempotentPath, 10*time.Second)
		quicktest.Assert(t, got > 0 && got <= coldRate*10, quicktest.IsTrue, quicktest.Commentf("%d requests in 10 s", got))
	})
}

// TestColdReports: a report binds the process that it names, and a new leader must learn of it from the
// instances. It ends if a later one says so.
func TestColdReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdTestbed(t, idempotentPath, respond(200, "done", sealHeader))
		s.gate.health.drawPhase = func() float64 { return 1 }
		known := func() []place.Cold {
			var m link.FollowerMessage
			s.gate.FillHandover(&m)
			return m.Cold
		}
		report := place.Cold{Target: s.targets[0].ID, StartedMs: 9, For: 10 * time.Second}
		s.gate.ApplyCold([]place.Cold{report})
		quicktest.Assert(t, known(), quicktest.HasLen, 0)
		report.StartedMs = 0
		s.gate.ApplyCold([]place.Cold{report})
		quicktest.Assert(t, known(), quicktest.HasLen, 1)
		quicktest.Assert(t, known()[0].For >= report.For, quicktest.IsTrue)
		res := s.call(idempotentPath, "body")
		quicktest.Assert(t, res.status, quicktest.Equals, 503)
		quicktest.Assert(t, res.header.Get("Retry-After") != "", quicktest.IsTrue)
		report.For = 0
		s.gate.ApplyCold([]place.Cold{report})
		quicktest.Assert(t, known(), quicktest.HasLen, 0)
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		quicktest.Assert(t, strings.Count(s.logs.String(), "cold targets changed"), quicktest.Equals, 2)

		s.gate.markCold("elsewhere")
		quicktest.Assert(t, known(), quicktest.HasLen, 0)
		s.gate.markCold("dc")
		quicktest.Assert(t, known(), quicktest.HasLen, 1)
		s.gate.ApplyCold([]place.Cold{report})

		s.targets[0].script = respond(200, "done", sealHeader, "Cold: 5s\r\n")
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		quicktest.Assert(t, known(), quicktest.HasLen, 1)
	})
}

// TestColdShares: an instance that doesn't know how many others there are, or is told of fewer while they
// link to a new leader, must not use more than its share of the rate.
func TestColdShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, nil)
		want := func(n int) {
			t.Helper()
			quicktest.Assert(t, s.gate.coldShares(), quicktest.Equals, n)
		}
		want(unknownShares)
		s.gate.SetEntryCount(80)
		want(unknownShares)
		time.Sleep(peakTime)
		want(80)
		for _, n := range []int{3, 20, 80} {
			s.gate.SetEntryCount(n)
			want(80)
			time.Sleep(time.Second)
		}
		s.gate.SetEntryCount(85)
		want(85)
		s.gate.SetEntryCount(40)
		time.Sleep(peakTime)
		want(40)
	})
}

// TestColdWithoutRate: in pools whose tables name no rate, cold targets must get requests as before.
func TestColdWithoutRate(t *testing.T) {
	for _, path := range allPaths() {
		synctest.Test(t, func(t *testing.T) {
			s := newPathTestbed(t, path, answerFor(path))
			before := s.play(s.targets[0], path, 2*time.Second)
			s.targets[0].StartedMs, s.targets[0].Cold = 7, time.Minute
			s.publish(2)
			s.gate.ApplyCold([]place.Cold{{Target: s.targets[0].ID, StartedMs: 7, For: time.Minute}})
			s.gate.markCold("dc")
			quicktest.Assert(t, s.play(s.targets[0], path, 2*time.Second), quicktest.Equals, before)
			var m link.FollowerMessage
			s.gate.FillHandover(&m)
			quicktest.Assert(t, m.Cold, quicktest.HasLen, 0)
		})
	}
}

// TestColdNoticesAreLoggedTogether guards against a line for each target: after a power loss of a site, its
// entries logged 19,512 lines within a minute.
func TestColdNoticesAreLoggedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdTestbed(t, idempotentPath, answerFor(idempotentPath), answerFor(idempotentPath), answerFor(idempotentPath))
		before := len(s.logs.String())
		var list []place.Cold
		for _, target := range s.targets {
			list = append(list, place.Cold{Target: target.ID, StartedMs: target.StartedMs, For: 10 * time.Second})
		}
		s.gate.ApplyCold(list)
		s.gate.ApplyCold(list)
		logs := s.logs.String()[before:]
		quicktest.Check(t, strings.Count(logs, "cold targets changed"), quicktest.Equals, 1, quicktest.Commentf("%s", logs))
		quicktest.Check(t, logs, quicktest.Contains, `"targets":3,"cold":3,`)
	})
}
