package main

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestRecorderViolations guards against a recorder that misses a breach of a promise, or
// reports one for an allowed sequence. Each case records one short sequence.
func TestRecorderViolations(t *testing.T) {
	executed := execution{target: "t", seal: "s", answer: "a"}
	for name, c := range map[string]struct {
		record func(rec *Recorder)
		want   string
	}{
		"nothing": {func(rec *Recorder) {
			rec.RecordSent("1", &attempt{kind: site.NonIdempotent, path: "/", body: "b", organisation: "o"})
			rec.RecordExecution("1", "/", "b", "o", executed)
		}, ""},
		"run twice": {func(rec *Recorder) {
			rec.RecordSent("1", &attempt{kind: site.NonIdempotent})
			rec.RecordExecution("1", "", "", "", executed)
			rec.RecordExecution("1", "", "", "", executed)
		}, "once"},
		"repeated where it may": {func(rec *Recorder) {
			rec.RecordSent("1", &attempt{kind: site.Idempotent})
			rec.RecordExecution("1", "", "", "", executed)
			rec.RecordExecution("1", "", "", "", executed)
		}, ""},
		"never sent": {func(rec *Recorder) { rec.RecordExecution("1", "", "", "", executed) }, "unasked"},
		"changed body": {func(rec *Recorder) {
			rec.RecordSent("1", &attempt{kind: site.NonIdempotent, body: "b"})
			rec.RecordExecution("1", "", "c", "", executed)
		}, "unasked"},
		"another organisation": {func(rec *Recorder) {
			rec.RecordSent("1", &attempt{kind: site.NonIdempotent, organisation: "o"})
			rec.RecordExecution("1", "", "", "p", executed)
		}, "unasked"},
		"refused and had run": {func(rec *Recorder) {
			rec.RecordSent("1", &attempt{kind: site.Idempotent})
			rec.RecordExecution("1", "", "", "", executed)
			rec.RecordRefusal("1", 503)
		}, "refusal"},
		"refused and runs": {func(rec *Recorder) {
			rec.RecordSent("1", &attempt{kind: site.Idempotent})
			rec.RecordRefusal("1", 503)
			rec.RecordExecution("1", "", "", "", executed)
		}, "refusal"},
	} {
		t.Run(name, func(t *testing.T) {
			rec := NewRecorder()
			c.record(rec)
			var got []string
			for _, v := range rec.Violations() {
				got = append(got, v.Promise)
			}
			quicktest.Assert(t, strings.Join(got, " "), quicktest.Equals, c.want)
		})
	}
}

// TestFindExecution guards against an answer that is compared with the wrong execution: only
// the execution with the seal of the answer may be found.
func TestFindExecution(t *testing.T) {
	rec := NewRecorder()
	rec.RecordSent("1", &attempt{kind: site.Idempotent})
	rec.RecordExecution("1", "", "", "", execution{seal: "s", answer: "a"})
	r, ok := rec.FindExecution("1", "s")
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Assert(t, r.answer, quicktest.Equals, "a")
	_, ok = rec.FindExecution("1", "other")
	quicktest.Assert(t, ok, quicktest.IsFalse)
}

// TestDisturbances guards against time bounds that are checked during a disturbance or
// within settleTime after it.
func TestDisturbances(t *testing.T) {
	x := NewDisturbances()
	quicktest.Assert(t, x.IsUndisturbed(time.Now(), "a", "b"), quicktest.IsTrue)
	first, second := x.Begin("a"), x.Begin("a", "b")
	first()
	quicktest.Assert(t, x.IsUndisturbed(time.Now().Add(time.Hour), "a"), quicktest.IsFalse, quicktest.Commentf("a disturbance of a is still active"))
	second()
	quicktest.Assert(t, x.IsUndisturbed(time.Now(), "b"), quicktest.IsFalse, quicktest.Commentf("the settle time has not passed"))
	quicktest.Assert(t, x.IsUndisturbed(time.Now().Add(settleTime+time.Second), "a", "b"), quicktest.IsTrue)
	quicktest.Assert(t, x.IsUndisturbed(time.Now(), "c"), quicktest.IsTrue)
}

// TestEndpointAddresses guards against a proxy address that maps to another process.
func TestEndpointAddresses(t *testing.T) {
	p := Endpoint{Net: 3, Role: Entry, Index: 4}
	quicktest.Assert(t, p.Name(), quicktest.Equals, "entry-4")
	quicktest.Assert(t, p.DataCentre(), quicktest.Equals, "dc-b")
	quicktest.Assert(t, p.ProxyAddr(callersPort), quicktest.Equals, "127.3.21.2:8400")
	quicktest.Assert(t, processAddrOf(p.ProxyAddr(callersPort)), quicktest.Equals, p.ProcessAddr(callersPort))
	quicktest.Assert(t, processAddrOf(p.ProxyHost()), quicktest.Equals, p.ProcessHost())
	quicktest.Assert(t, processAddrOf("no address"), quicktest.Equals, "no address")
}

// TestDrawFaultsRepeats guards against a seed that can't be replayed: the same seed must
// draw the same faults. It also checks that every kind of fault is drawn.
func TestDrawFaultsRepeats(t *testing.T) {
	draw := func() (list []string) {
		s := &Site{Options: Options{Net: 80, Controls: 3, Entries: 5, Targets: 4}}
		for i := range s.Controls {
			s.control = append(s.control, &Process{Endpoint: Endpoint{80, Control, i}})
		}
		for i := range s.Entries {
			s.entries = append(s.entries, &Process{Endpoint: Endpoint{80, Entry, i}})
		}
		for i := range s.Targets {
			s.targets = append(s.targets, &Target{Endpoint: Endpoint{80, Plain, i}})
		}
		s.seeds = []string{"a", "b"}
		for _, planned := range []bool{true, false} {
			for _, f := range s.DrawFaults(newRand(7), 5*time.Minute, planned) {
				list = append(list, describe(f))
			}
		}
		return list
	}
	first := draw()
	quicktest.Assert(t, draw(), quicktest.DeepEquals, first)
	all := strings.Join(first, "\n")
	for _, kind := range []string{
		"kill", "wipe true", "stop", "pause", "cut", "one way true", "delay", "silent true", "silent false", "fill", "new seeds", "mode", "crash", "drain", "nothing",
	} {
		quicktest.Assert(t, all, quicktest.Contains, kind)
	}
}

// TestReservationChecks guards against missed leaks of KV cache memory: reservations that
// last too long without a renewal, and reservations left after the last request.
func TestReservationChecks(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		reservation          reservation
		overlong, unreleased int
	}{
		"ended":     {reservation{expires: now.Add(-time.Second), renewed: now.Add(-2 * time.Second)}, 0, 0},
		"too long":  {reservation{expires: now.Add(-time.Second), renewed: now.Add(-time.Second - 2*releaseBound)}, 1, 0},
		"not freed": {reservation{expires: now.Add(time.Hour), renewed: now.Add(time.Hour)}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			x := &Target{Endpoint: Endpoint{82, Engine, 0}, Recorder: NewRecorder(), reservations: map[string]*reservation{"t": &c.reservation}}
			x.CheckReservations()
			quicktest.Assert(t, x.Recorder.Violations(), quicktest.HasLen, c.overlong)
			x.CheckReleased()
			quicktest.Assert(t, x.Recorder.Violations(), quicktest.HasLen, c.overlong+c.unreleased)
		})
	}
}
