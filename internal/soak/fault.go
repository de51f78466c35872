package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// faultEvery is the mean pause between faults; they overlap.
	faultEvery = 700 * time.Millisecond
	// slowLink is the largest delay of a harmed link.
	slowLink = 300 * time.Millisecond
)

// Fault is one trouble, drawn before the run begins.
type Fault interface{ fault() }

// Kill ends processes at once and starts them again after Down.
type Kill struct {
	Who  []*Process
	Down time.Duration
	// Wipe empties their disks.
	Wipe bool
}

// Stop is a planned stop of processes in turn, each Gap after the one before.
type Stop struct {
	Who []*Process
	Gap time.Duration
}

// Pause stops a process for a while.
type Pause struct {
	Who *Process
	For time.Duration
}

// Cut holds up what goes between two processes, or all that a process has.
type Cut struct {
	From, To *Process
	For      time.Duration
	OneWay   bool
}

// Slow delays all that a process sends.
type Slow struct {
	Who *Process
	For time.Duration
	By  time.Duration
}

// Reset breaks the connections of a process; Mute lets them fall silent for good.
type Reset struct {
	Who  *Process
	Mute bool
}

// Full lets the disk of a process take no more bytes.
type Full struct {
	Who *Process
	For time.Duration
}

// Hup sends the signal for changed settings, and exchanges the seeds.
type Hup struct {
	Who   []*Process
	Seeds []string
}

// Harm changes how a target treats requests.
type Harm struct {
	Who  *Target
	Mode Mode
	For  time.Duration
}

// Crash ends a target and starts another process at its address.
type Crash struct {
	Who  *Target
	Down time.Duration
	// Reborn processes keep their ID.
	Reborn bool
}

// Leave lets a target drain, end and be replaced.
type Leave struct {
	Who *Target
	For time.Duration
}

func (Kill) fault()  {}
func (Stop) fault()  {}
func (Pause) fault() {}
func (Cut) fault()   {}
func (Slow) fault()  {}
func (Reset) fault() {}
func (Full) fault()  {}
func (Hup) fault()   {}
func (Harm) fault()  {}
func (Crash) fault() {}
func (Leave) fault() {}

// Draw draws faults for a span. Planned ones alone let the promises of planned work be
// checked.
func (s *Site) Draw(rng *rand.Rand, span time.Duration, planned bool) []Fault {
	var out []Fault
	for at := time.Duration(0); at < span; at += faultEvery {
		if planned {
			out = append(out, s.drawPlanned(rng))
		} else {
			out = append(out, s.draw(rng))
		}
	}
	return out
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// some picks one or more of a list, or now and then all.
func some[T any](rng *rand.Rand, list []T) []T {
	if rng.Float64() < 0.1 {
		return list
	}
	n := 1 + rng.IntN(max(1, len(list)/3))
	var out []T
	for _, i := range rng.Perm(len(list))[:n] {
		out = append(out, list[i])
	}
	return out
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func (s *Site) drawPlanned(rng *rand.Rand) Fault {
	switch n := rng.IntN(10); {
	case n < 3:
		return Stop{some(rng, s.entries), between(rng, 300*time.Millisecond, 2*time.Second)}
	case n < 4:
		return Hup{some(rng, s.all()), s.seeds}
	case n < 6:
		return Leave{pick(rng, s.targets), between(rng, 2500*time.Millisecond, 5*time.Second)}
	default:
		return nil
	}
}

func (s *Site) draw(rng *rand.Rand) Fault {
	short, long := 200*time.Millisecond, 5*time.Second
	switch n := rng.IntN(100); {
	case n < 10:
		return Kill{Who: some(rng, s.entries), Down: between(rng, 0, 3*time.Second)}
	case n < 17:
		return Kill{Who: some(rng, s.control), Down: between(rng, 0, 3*time.Second)}
	case n < 21:
		return Kill{Who: []*Process{pick(rng, s.control)}, Down: between(rng, 0, 2*time.Second), Wipe: true}
	case n < 23:
		return Kill{Who: s.all(), Down: between(rng, 0, time.Second)}
	case n < 29:
		return Stop{some(rng, s.all()), between(rng, short, 2*time.Second)}
	case n < 37:
		return Pause{pick(rng, s.all()), between(rng, short, long)}
	case n < 47:
		return Cut{From: pick(rng, s.control), To: pick(rng, s.all()), For: between(rng, short, long), OneWay: rng.Float64() < 0.5}
	case n < 53:
		return Cut{From: pick(rng, s.all()), For: between(rng, short, long), OneWay: rng.Float64() < 0.3}
	case n < 58:
		return Slow{pick(rng, s.all()), between(rng, short, long), between(rng, 0, slowLink)}
	case n < 66:
		return Reset{pick(rng, s.all()), rng.Float64() < 0.5}
	case n < 69:
		return Full{pick(rng, s.control), between(rng, short, long)}
	case n < 72:
		return Hup{some(rng, s.all()), []string{pick(rng, s.seeds)}}
	case n < 84:
		return Harm{pick(rng, s.targets), Mode(1 + rng.IntN(int(modes)-1)), between(rng, short, long)}
	case n < 92:
		return Crash{pick(rng, s.targets), between(rng, 0, 3*time.Second), rng.Float64() < 0.5}
	default:
		return Leave{pick(rng, s.targets), between(rng, 2500*time.Millisecond, 5*time.Second)}
	}
}

// describe names a fault for the report.
func describe(f Fault) string {
	names := func(list []*Process) (out []string) {
		for _, p := range list {
			out = append(out, p.Name())
		}
		return out
	}
	switch f := f.(type) {
	case Kill:
		return fmt.Sprintf("kill %v for %s, wipe %t", names(f.Who), f.Down, f.Wipe)
	case Stop:
		return fmt.Sprintf("stop %v each %s", names(f.Who), f.Gap)
	case Pause:
		return fmt.Sprintf("pause %s for %s", f.Who.Name(), f.For)
	case Cut:
		to := "all"
		if f.To != nil {
			to = f.To.Name()
		}
		return fmt.Sprintf("cut %s from %s for %s, one way %t", f.From.Name(), to, f.For, f.OneWay)
	case Slow:
		return fmt.Sprintf("delay %s by %s for %s", f.Who.Name(), f.By, f.For)
	case Reset:
		return fmt.Sprintf("reset %s, silent %t", f.Who.Name(), f.Mute)
	case Full:
		return fmt.Sprintf("fill the disk of %s for %s", f.Who.Name(), f.For)
	case Hup:
		return fmt.Sprintf("new seeds %v for %v", f.Seeds, names(f.Who))
	case Harm:
		return fmt.Sprintf("mode %d of %s for %s", f.Mode, f.Who.Name(), f.For)
	case Crash:
		return fmt.Sprintf("crash %s for %s, reborn %t", f.Who.Name(), f.Down, f.Reborn)
	case Leave:
		return fmt.Sprintf("drain %s for %s", f.Who.Name(), f.For)
	default:
		return "nothing"
	}
}
