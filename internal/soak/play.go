package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Names of disturbances that concern more than one process.
const (
	// coreName stands for the control instances, anyName for all that is not planned.
	coreName = "core"
	anyName  = "any"
)

// repaired is how long the control instances must be undisturbed after a disk was lost
// before another may be.
const repaired = 6 * time.Second

// Play brings the faults about, each on its own so that they overlap, and waits until
// all have ended.
func (s *Site) Play(ctx context.Context, rng *rand.Rand, list []Fault) {
	var wg sync.WaitGroup
	for _, f := range list {
		if !sleep(ctx, time.Duration(rng.ExpFloat64()*float64(faultEvery))) {
			break
		}
		if f != nil {
			wg.Go(func() { s.apply(f) })
		}
	}
	wg.Wait()
}

func (s *Site) apply(f Fault) {
	s.say("%s", describe(f))
	switch f := f.(type) {
	case Kill:
		s.kill(f)
	case Stop:
		s.stop(f)
	case Pause:
		if !f.Who.busy.TryLock() {
			return
		}
		defer f.Who.busy.Unlock()
		defer s.disturb(f.Who)()
		f.Who.signal(syscall.SIGSTOP, false)
		time.Sleep(f.For)
		f.Who.signal(syscall.SIGCONT, false)
	case Cut:
		s.cut(f)
	case Slow:
		defer s.disturb(f.Who)()
		heal := s.proxy.Delay(Way{From: f.Who.Own()}, f.By)
		time.Sleep(f.For)
		heal()
	case Reset:
		defer s.disturb(f.Who)()
		if f.Mute {
			s.proxy.Mute(f.Who.Own())
			// What is silent is noticed by timeouts.
			time.Sleep(contact)
		} else {
			s.proxy.Reset(f.Who.Own())
		}
	case Full:
		defer s.disturb(f.Who)()
		empty := f.Who.Fill()
		time.Sleep(f.For)
		empty()
	case Hup:
		s.hup(f)
	case Harm:
		defer s.touch.Disturb(anyName)()
		f.Who.Set(f.Mode)
		time.Sleep(f.For)
		f.Who.Set(Sound)
	case Crash, Leave:
		s.replace(f)
	}
}

// disturb notes that a process is disturbed, until the returned function is called.
func (s *Site) disturb(list ...*Process) (end func()) {
	names := []string{anyName}
	for _, p := range list {
		names = append(names, p.Own())
		if p.Role == Control {
			names = append(names, coreName)
		}
	}
	return s.touch.Disturb(names...)
}

func (s *Site) kill(f Kill) {
	var wg sync.WaitGroup
	for _, p := range f.Who {
		wg.Go(func() {
			if !p.busy.TryLock() {
				return
			}
			defer p.busy.Unlock()
			wipe := f.Wipe && s.mayWipe()
			defer s.disturb(p)()
			p.Kill()
			if wipe {
				defer s.wiping.Store(false)
				if err := p.Wipe(); err != nil {
					s.book.Find("soak", "%v", err)
				}
			}
			time.Sleep(f.Down)
			s.start(p)
		})
	}
	wg.Wait()
}

// mayWipe says whether all control instances have what is acknowledged, so that one
// disk may be lost.
func (s *Site) mayWipe() bool {
	if !s.touch.IsCalm(time.Now().Add(contact-repaired), coreName) {
		return false
	}
	return s.wiping.CompareAndSwap(false, true)
}

func (s *Site) stop(f Stop) {
	var wg sync.WaitGroup
	for _, p := range f.Who {
		wg.Go(func() {
			if !p.busy.TryLock() {
				return
			}
			defer p.busy.Unlock()
			end := s.touch.Disturb(p.Own() + " stops")
			defer end()
			if p.Role == Control {
				defer s.disturb(p)()
			}
			p.Stop()
			s.start(p)
		})
		time.Sleep(f.Gap)
	}
	wg.Wait()
}

func (s *Site) cut(f Cut) {
	list := []*Process{f.From}
	w := Way{From: f.From.Own()}
	if f.To != nil {
		w.To = f.To.Own()
		list = append(list, f.To)
	}
	ways := []Way{w}
	if !f.OneWay {
		ways = append(ways, Way{w.To, w.From})
	}
	defer s.disturb(list...)()
	heal := s.proxy.Cut(ways...)
	time.Sleep(f.For)
	heal()
}

func (s *Site) hup(f Hup) {
	for _, p := range f.Who {
		if !p.busy.TryLock() {
			continue
		}
		p.Seeds = f.Seeds
		if err := p.configure(false); err != nil {
			s.book.Find("soak", "%v", err)
		}
		p.Hup()
		p.busy.Unlock()
	}
}

// replace ends a target, with or without its word, and starts another in its place.
func (s *Site) replace(f Fault) {
	switch f := f.(type) {
	case Crash:
		if !f.Who.busy.TryLock() {
			return
		}
		defer f.Who.busy.Unlock()
		defer s.touch.Disturb(anyName)()
		f.Who.Crash()
		time.Sleep(f.Down)
		s.startTarget(f.Who, f.Reborn)
	case Leave:
		if !f.Who.busy.TryLock() {
			return
		}
		defer f.Who.busy.Unlock()
		f.Who.Drain()
		time.Sleep(f.For)
		f.Who.Finish()
		s.startTarget(f.Who, false)
	}
}
