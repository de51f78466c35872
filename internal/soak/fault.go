package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// faultInterval is the mean time between the starts of two faults. Faults overlap.
	faultInterval = 700 * time.Millisecond
	// maxLinkDelay is the largest delay that Delay adds to a direction.
	maxLinkDelay = 300 * time.Millisecond
)

// Fault is one fault to inject. All faults of a run are drawn before it begins.
type Fault interface{ fault() }

// Kill kills processes and restarts them after Downtime.
type Kill struct {
	Processes []*Process
	Downtime  time.Duration
	// Wipe deletes their data directories before the restart.
	Wipe bool
}

// Stop stops each process by SIGTERM and restarts it, with Interval between the processes.
type Stop struct {
	Processes []*Process
	Interval  time.Duration
}

// Pause suspends a process for Duration by SIGSTOP and SIGCONT.
type Pause struct {
	Process  *Process
	Duration time.Duration
}

// Partition blocks the traffic between two processes. A nil To blocks the traffic between
// From and every other host. OneWay blocks only the direction away from From.
type Partition struct {
	From, To *Process
	Duration time.Duration
	OneWay   bool
}

// Delay adds Latency to everything that a process sends.
type Delay struct {
	Process  *Process
	Duration time.Duration
	Latency  time.Duration
}

// BreakConnections resets the open connections of a process. With Silent it permanently
// blocks their traffic instead, without closing them.
type BreakConnections struct {
	Process *Process
	Silent  bool
}

// FillDisk makes every write that would grow a file of a process fail.
type FillDisk struct {
	Process  *Process
	Duration time.Duration
}

// Reload changes the seed addresses in the settings of processes and sends SIGHUP.
type Reload struct {
	Processes []*Process
	Seeds     []string
}

// SetMode changes how a target handles requests for Duration.
type SetMode struct {
	Target   *Target
	Mode     Mode
	Duration time.Duration
}

// Crash ends a target abruptly and starts another at its address after Downtime.
type Crash struct {
	Target   *Target
	Downtime time.Duration
	// KeepID starts the new target under the ID of the old one.
	KeepID bool
}

// Drain drains a target for Duration, shuts it down and replaces it.
type Drain struct {
	Target   *Target
	Duration time.Duration
}

func (Kill) fault()             {}
func (Stop) fault()             {}
func (Pause) fault()            {}
func (Partition) fault()        {}
func (Delay) fault()            {}
func (BreakConnections) fault() {}
func (FillDisk) fault()         {}
func (Reload) fault()           {}
func (SetMode) fault()          {}
func (Crash) fault()            {}
func (Drain) fault()            {}

// DrawFaults draws faults for a run of the given length; a nil fault injects nothing. With
// planned it draws only planned work, so that the stricter promises for it can be checked.
func (s *Site) DrawFaults(rng *rand.Rand, length time.Duration, planned bool) []Fault {
	var out []Fault
	for at := time.Duration(0); at < length; at += faultInterval {
		if planned {
			out = append(out, s.drawPlanned(rng))
		} else {
			out = append(out, s.drawAny(rng))
		}
	}
	return out
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// pickSome returns up to a third of a list, at least one element, and in one of ten
// cases the whole list.
func pickSome[T any](rng *rand.Rand, list []T) []T {
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

// randomDuration returns a duration in [least, most).
func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// drawPlanned draws planned work, or nil for no fault.
func (s *Site) drawPlanned(rng *rand.Rand) Fault {
	switch n := rng.IntN(10); {
	case n < 3:
		return Stop{pickSome(rng, s.entries), randomDuration(rng, 300*time.Millisecond, 2*time.Second)}
	case n < 4:
		return Reload{pickSome(rng, s.processes()), s.seeds}
	case n < 6:
		return Drain{pick(rng, s.targets), randomDuration(rng, 2500*time.Millisecond, 5*time.Second)}
	default:
		return nil
	}
}

// drawAny draws one fault of any kind.
func (s *Site) drawAny(rng *rand.Rand) Fault {
	short, long := 200*time.Millisecond, 5*time.Second
	switch n := rng.IntN(100); {
	case n < 10:
		return Kill{Processes: pickSome(rng, s.entries), Downtime: randomDuration(rng, 0, 3*time.Second)}
	case n < 17:
		return Kill{Processes: pickSome(rng, s.control), Downtime: randomDuration(rng, 0, 3*time.Second)}
	case n < 21:
		return Kill{Processes: []*Process{pick(rng, s.control)}, Downtime: randomDuration(rng, 0, 2*time.Second), Wipe: true}
	case n < 23:
		return Kill{Processes: s.processes(), Downtime: randomDuration(rng, 0, time.Second)}
	case n < 29:
		return Stop{pickSome(rng, s.processes()), randomDuration(rng, short, 2*time.Second)}
	case n < 37:
		return Pause{pick(rng, s.processes()), randomDuration(rng, short, long)}
	case n < 47:
		return Partition{From: pick(rng, s.control), To: pick(rng, s.processes()), Duration: randomDuration(rng, short, long), OneWay: rng.Float64() < 0.5}
	case n < 53:
		return Partition{From: pick(rng, s.processes()), Duration: randomDuration(rng, short, long), OneWay: rng.Float64() < 0.3}
	case n < 58:
		return Delay{pick(rng, s.processes()), randomDuration(rng, short, long), randomDuration(rng, 0, maxLinkDelay)}
	case n < 66:
		return BreakConnections{pick(rng, s.processes()), rng.Float64() < 0.5}
	case n < 69:
		return FillDisk{pick(rng, s.control), randomDuration(rng, short, long)}
	case n < 72:
		return Reload{pickSome(rng, s.processes()), []string{pick(rng, s.seeds)}}
	case n < 84:
		return SetMode{pick(rng, s.targets), Mode(1 + rng.IntN(int(modeCount)-1)), randomDuration(rng, short, long)}
	case n < 92:
		return Crash{pick(rng, s.targets), randomDuration(rng, 0, 3*time.Second), rng.Float64() < 0.5}
	default:
		return Drain{pick(rng, s.targets), randomDuration(rng, 2500*time.Millisecond, 5*time.Second)}
	}
}

// describe formats a fault for the verbose output.
func describe(f Fault) string {
	names := func(list []*Process) (out []string) {
		for _, p := range list {
			out = append(out, p.Name())
		}
		return out
	}
	switch f := f.(type) {
	case Kill:
		return fmt.Sprintf("kill %v for %s, wipe %t", names(f.Processes), f.Downtime, f.Wipe)
	case Stop:
		return fmt.Sprintf("stop %v at intervals of %s", names(f.Processes), f.Interval)
	case Pause:
		return fmt.Sprintf("pause %s for %s", f.Process.Name(), f.Duration)
	case Partition:
		to := "all"
		if f.To != nil {
			to = f.To.Name()
		}
		return fmt.Sprintf("cut %s from %s for %s, one way %t", f.From.Name(), to, f.Duration, f.OneWay)
	case Delay:
		return fmt.Sprintf("delay %s by %s for %s", f.Process.Name(), f.Latency, f.Duration)
	case BreakConnections:
		return fmt.Sprintf("reset %s, silent %t", f.Process.Name(), f.Silent)
	case FillDisk:
		return fmt.Sprintf("fill the disk of %s for %s", f.Process.Name(), f.Duration)
	case Reload:
		return fmt.Sprintf("new seeds %v for %v", f.Seeds, names(f.Processes))
	case SetMode:
		return fmt.Sprintf("mode %d of %s for %s", f.Mode, f.Target.Name(), f.Duration)
	case Crash:
		return fmt.Sprintf("crash %s for %s, keep ID %t", f.Target.Name(), f.Downtime, f.KeepID)
	case Drain:
		return fmt.Sprintf("drain %s for %s", f.Target.Name(), f.Duration)
	default:
		return "nothing"
	}
}
