package main

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestBookFinds breaks each promise that the book knows of.
func TestBookFinds(t *testing.T) {
	ran := run{target: "t", seal: "s", answer: "a"}
	for name, c := range map[string]struct {
		play func(b *Book)
		want string
	}{
		"nothing": {func(b *Book) {
			b.Sent("1", &ask{kind: site.NonIdempotent, path: "/", body: "b", organisation: "o"})
			b.Ran("1", "/", "b", "o", ran)
		}, ""},
		"run twice": {func(b *Book) {
			b.Sent("1", &ask{kind: site.NonIdempotent})
			b.Ran("1", "", "", "", ran)
			b.Ran("1", "", "", "", ran)
		}, "once"},
		"repeated where it may": {func(b *Book) {
			b.Sent("1", &ask{kind: site.Idempotent})
			b.Ran("1", "", "", "", ran)
			b.Ran("1", "", "", "", ran)
		}, ""},
		"never sent": {func(b *Book) { b.Ran("1", "", "", "", ran) }, "unasked"},
		"changed body": {func(b *Book) {
			b.Sent("1", &ask{kind: site.NonIdempotent, body: "b"})
			b.Ran("1", "", "c", "", ran)
		}, "unasked"},
		"another organisation": {func(b *Book) {
			b.Sent("1", &ask{kind: site.NonIdempotent, organisation: "o"})
			b.Ran("1", "", "", "p", ran)
		}, "unasked"},
		"refused and had run": {func(b *Book) {
			b.Sent("1", &ask{kind: site.Idempotent})
			b.Ran("1", "", "", "", ran)
			b.Refused("1", 503)
		}, "refusal"},
		"refused and runs": {func(b *Book) {
			b.Sent("1", &ask{kind: site.Idempotent})
			b.Refused("1", 503)
			b.Ran("1", "", "", "", ran)
		}, "refusal"},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			c.play(b)
			var got []string
			for _, f := range b.Findings() {
				got = append(got, f.Promise)
			}
			quicktest.Assert(t, strings.Join(got, " "), quicktest.Equals, c.want)
		})
	}
}

func TestRunOf(t *testing.T) {
	b := NewBook()
	b.Sent("1", &ask{kind: site.Idempotent})
	b.Ran("1", "", "", "", run{seal: "s", answer: "a"})
	r, ok := b.RunOf("1", "s")
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Assert(t, r.answer, quicktest.Equals, "a")
	_, ok = b.RunOf("1", "other")
	quicktest.Assert(t, ok, quicktest.IsFalse)
}

func TestTouch(t *testing.T) {
	x := NewTouch()
	quicktest.Assert(t, x.IsCalm(time.Now(), "a", "b"), quicktest.IsTrue)
	first, second := x.Disturb("a"), x.Disturb("a", "b")
	first()
	quicktest.Assert(t, x.IsCalm(time.Now().Add(time.Hour), "a"), quicktest.IsFalse, quicktest.Commentf("still disturbed"))
	second()
	quicktest.Assert(t, x.IsCalm(time.Now(), "b"), quicktest.IsFalse, quicktest.Commentf("too soon"))
	quicktest.Assert(t, x.IsCalm(time.Now().Add(contact+time.Second), "a", "b"), quicktest.IsTrue)
	quicktest.Assert(t, x.IsCalm(time.Now(), "c"), quicktest.IsTrue)
}

func TestPlaces(t *testing.T) {
	p := Place{Net: 3, Role: Entry, Index: 4}
	quicktest.Assert(t, p.Name(), quicktest.Equals, "entry-4")
	quicktest.Assert(t, p.DataCentre(), quicktest.Equals, "dc-b")
	quicktest.Assert(t, p.At(callersPort), quicktest.Equals, "127.3.21.2:8400")
	quicktest.Assert(t, ownOf(p.At(callersPort)), quicktest.Equals, p.OwnAt(callersPort))
	quicktest.Assert(t, ownOf(p.Host()), quicktest.Equals, p.Own())
	quicktest.Assert(t, ownOf("no address"), quicktest.Equals, "no address")
}

// TestDrawRepeats wants the same faults from the same seed, and every kind of them.
func TestDrawRepeats(t *testing.T) {
	draw := func() (list []string) {
		s := &Site{Options: Options{Net: 80, Controls: 3, Entries: 5, Targets: 4}}
		for i := range s.Controls {
			s.control = append(s.control, &Process{Place: Place{80, Control, i}})
		}
		for i := range s.Entries {
			s.entries = append(s.entries, &Process{Place: Place{80, Entry, i}})
		}
		for i := range s.Targets {
			s.targets = append(s.targets, &Target{Place: Place{80, Plain, i}})
		}
		s.seeds = []string{"a", "b"}
		for _, planned := range []bool{true, false} {
			for _, f := range s.Draw(newRand(7), 5*time.Minute, planned) {
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

// TestMemoryChecks wants memory found that is set aside for too long, or still after the
// last request.
func TestMemoryChecks(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		ticket      ticket
		hold, freed int
	}{
		"ended":     {ticket{until: now.Add(-time.Second), used: now.Add(-2 * time.Second)}, 0, 0},
		"too long":  {ticket{until: now.Add(-time.Second), used: now.Add(-time.Second - 2*freeBound)}, 1, 0},
		"not freed": {ticket{until: now.Add(time.Hour), used: now.Add(time.Hour)}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			x := &Target{Place: Place{82, Engine, 0}, Book: NewBook(), tickets: map[string]*ticket{"t": &c.ticket}}
			x.CheckMemory()
			quicktest.Assert(t, x.Book.Findings(), quicktest.HasLen, c.hold)
			x.CheckFree()
			quicktest.Assert(t, x.Book.Findings(), quicktest.HasLen, c.hold+c.freed)
		})
	}
}
