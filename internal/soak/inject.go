package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Names of disturbances that affect more than one process.
const (
	// controlPlaneName is disturbed with any control instance, unplannedName by any fault
	// that is not planned work.
	controlPlaneName = "core"
	unplannedName    = "any"
)

// wipeInterval is how long the control instances must be undisturbed before a data
// directory may be wiped, so that a replica wiped before has caught up.
const wipeInterval = 6 * time.Second

// InjectFaults starts the faults at random intervals without waiting for earlier ones, and
// returns when all have ended.
func (s *Site) InjectFaults(ctx context.Context, rng *rand.Rand, faults []Fault) {
	var wg sync.WaitGroup
	for _, f := range faults {
		if !sleep(ctx, time.Duration(rng.ExpFloat64()*float64(faultInterval))) {
			break
		}
		if f != nil {
			wg.Go(func() { s.inject(f) })
		}
	}
	wg.Wait()
}

func (s *Site) inject(f Fault) {
	s.logf("%s", describe(f))
	switch f := f.(type) {
	case Kill:
		s.kill(f)
	case Stop:
		s.stop(f)
	case Pause:
		if !f.Process.faultMu.TryLock() {
			return
		}
		defer f.Process.faultMu.Unlock()
		defer s.disturb(f.Process)()
		f.Process.signal(syscall.SIGSTOP, false)
		time.Sleep(f.Duration)
		f.Process.signal(syscall.SIGCONT, false)
	case Partition:
		s.partition(f)
	case Delay:
		defer s.disturb(f.Process)()
		restore := s.proxy.Delay(Direction{From: f.Process.ProcessHost()}, f.Latency)
		time.Sleep(f.Duration)
		restore()
	case BreakConnections:
		defer s.disturb(f.Process)()
		if f.Silent {
			s.proxy.Silence(f.Process.ProcessHost())
			// The silent connections are detected only by timeouts.
			time.Sleep(settleTime)
		} else {
			s.proxy.Reset(f.Process.ProcessHost())
		}
	case FillDisk:
		defer s.disturb(f.Process)()
		restore := f.Process.FillDisk()
		time.Sleep(f.Duration)
		restore()
	case Reload:
		s.reload(f)
	case SetMode:
		defer s.disturbances.Begin(unplannedName, f.Target.ProcessHost())()
		f.Target.SetMode(f.Mode)
		time.Sleep(f.Duration)
		f.Target.SetMode(Healthy)
	case Crash, Drain:
		s.replaceTarget(f)
	}
}

// disturb marks processes as disturbed until the returned function is called.
func (s *Site) disturb(processes ...*Process) (end func()) {
	names := []string{unplannedName}
	for _, p := range processes {
		names = append(names, p.ProcessHost())
		if p.Role == Control {
			names = append(names, controlPlaneName)
		}
	}
	return s.disturbances.Begin(names...)
}

func (s *Site) kill(f Kill) {
	var wg sync.WaitGroup
	for _, p := range f.Processes {
		wg.Go(func() {
			if !p.faultMu.TryLock() {
				return
			}
			defer p.faultMu.Unlock()
			wipe := f.Wipe && s.beginWipe()
			defer s.disturb(p)()
			p.Kill()
			if wipe {
				defer s.wiping.Store(false)
				if err := p.Wipe(); err != nil {
					s.recorder.AddViolation("soak", "wipe the data directory of %s: %v", p.Name(), err)
				}
			}
			time.Sleep(f.Downtime)
			s.restart(p)
		})
	}
	wg.Wait()
}

// beginWipe reports whether a data directory may be wiped without losing an acknowledged
// change: the control plane is undisturbed for wipeInterval and no other wipe is under
// way. If so, the caller must clear s.wiping afterwards.
func (s *Site) beginWipe() bool {
	if !s.disturbances.IsUndisturbed(time.Now().Add(settleTime-wipeInterval), controlPlaneName) {
		return false
	}
	return s.wiping.CompareAndSwap(false, true)
}

func (s *Site) stop(f Stop) {
	var wg sync.WaitGroup
	for _, p := range f.Processes {
		wg.Go(func() {
			if !p.faultMu.TryLock() {
				return
			}
			defer p.faultMu.Unlock()
			s.stopAndRestart(p)
		})
		time.Sleep(f.Interval)
	}
	wg.Wait()
}

// stopAndRestart is planned work on one process. The caller holds its faultMu.
func (s *Site) stopAndRestart(p *Process) {
	defer s.disturbances.Begin(p.ProcessHost() + " stops")()
	if p.Role == Control {
		defer s.disturb(p)()
	}
	p.Stop()
	s.restart(p)
}

// replaceBuilds replaces the processes one after the other by those of the other build, and then back, as
// an upgrade and a rollback do. Faults go on meanwhile, and restart a process with its present build.
func (s *Site) replaceBuilds(ctx context.Context) {
	if s.Other == "" {
		return
	}
	for _, program := range []string{s.Other, s.Program} {
		for _, p := range s.processes() {
			if ctx.Err() != nil {
				return
			}
			p.faultMu.Lock()
			p.Program = program
			s.logf("%s gets the build %s", p.Name(), program)
			s.stopAndRestart(p)
			p.faultMu.Unlock()
		}
	}
}

func (s *Site) partition(f Partition) {
	processes := []*Process{f.From}
	d := Direction{From: f.From.ProcessHost()}
	if f.To != nil {
		d.To = f.To.ProcessHost()
		processes = append(processes, f.To)
	}
	directions := []Direction{d}
	if !f.OneWay {
		directions = append(directions, Direction{d.To, d.From})
	}
	defer s.disturb(processes...)()
	restore := s.proxy.Block(directions...)
	time.Sleep(f.Duration)
	restore()
}

func (s *Site) reload(f Reload) {
	for _, p := range f.Processes {
		if !p.faultMu.TryLock() {
			continue
		}
		p.Seeds = f.Seeds
		if err := p.writeSettings(false); err != nil {
			s.recorder.AddViolation("soak", "write the settings of %s: %v", p.Name(), err)
		}
		p.Reload()
		p.faultMu.Unlock()
	}
}

// replaceTarget crashes or drains a target and starts another in its place.
func (s *Site) replaceTarget(f Fault) {
	switch f := f.(type) {
	case Crash:
		if !f.Target.faultMu.TryLock() {
			return
		}
		defer f.Target.faultMu.Unlock()
		defer s.disturbances.Begin(unplannedName, f.Target.ProcessHost())()
		f.Target.Crash()
		time.Sleep(f.Downtime)
		s.startTarget(f.Target, f.KeepID)
	case Drain:
		if !f.Target.faultMu.TryLock() {
			return
		}
		defer f.Target.faultMu.Unlock()
		f.Target.Drain()
		time.Sleep(f.Duration)
		f.Target.Shutdown()
		s.startTarget(f.Target, false)
	}
}
