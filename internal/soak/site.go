package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// startBound bounds the wait for the first requests to be served.
	startBound = 30 * time.Second
	// recovery is how soon after the last fault the site serves again, as the platform
	// wants it; recoveryBound ends the wait where bounds of time are not checked.
	recovery      = 12 * time.Second
	recoveryBound = 2 * time.Minute
	// wellServed is how many requests in a row are served by a site that has recovered.
	wellServed = 20
)

// Site is a whole site with all that meets it.
type Site struct {
	Options

	proxy    *Proxy
	book     *Book
	touch    *Touch
	control  []*Process
	entries  []*Process
	targets  []*Target
	callers  []*Caller
	operator *Operator
	seeds    []string
	wiping   atomic.Bool
	ids      atomic.Int64
}

// newRand draws what happens to the site.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// sleep waits; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool { return timing.Sleep(ctx, d) }

func (s *Site) say(format string, args ...any) {
	if s.Verbose {
		fmt.Printf("%7.3f  %s\n", time.Since(s.book.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// all are the processes of the site.
func (s *Site) all() []*Process { return append(append([]*Process{}, s.control...), s.entries...) }

// build lays the site out.
func (s *Site) build() error {
	s.proxy, s.book, s.touch = NewProxy(), NewBook(), NewTouch()
	controls := make([]string, s.Controls)
	for i := range controls {
		controls[i] = Place{s.Net, Control, i}.At(controlPort)
	}
	s.seeds = controls
	process := func(role Role, i int) (*Process, error) {
		p := &Process{Place: Place{s.Net, role, i}, Book: s.book, Program: s.Program, Seeds: controls}
		p.Folder = filepath.Join(s.Folder, p.Name())
		ports := []int{peersPort, directoryPort, metricsPort, callersPort, readyPort}
		if role == Control {
			ports = []int{peersPort, directoryPort, metricsPort, controlPort}
		}
		return p, s.listen(p.Place, ports...)
	}
	for i := range s.Controls {
		p, err := process(Control, i)
		if err != nil {
			return err
		}
		s.control = append(s.control, p)
	}
	for i := range s.Entries {
		p, err := process(Entry, i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	return s.surround(controls)
}

// surround lays out what meets the site.
func (s *Site) surround(controls []string) error {
	for i := range s.Targets {
		role := Engine
		if i%2 == 1 {
			role = Plain
		}
		t := &Target{Place: Place{s.Net, role, i}, Book: s.book, Touch: s.touch, Control: controls, Bounds: s.Bounds}
		if err := s.listen(t.Place, targetPort); err != nil {
			return err
		}
		s.targets = append(s.targets, t)
	}
	for i := range s.Callers {
		c := &Caller{Place: Place{s.Net, Outside, i}, Book: s.book, Touch: s.touch, Direct: s.Planned || i%2 == 1, Bounds: s.Bounds, Seed: s.Seed}
		for _, near := range []bool{true, false} {
			for _, p := range s.all() {
				if near == (p.DataCentre() == c.DataCentre()) && len(c.Directories) < 3 {
					c.Directories = append(c.Directories, p.At(directoryPort))
				}
			}
		}
		s.callers = append(s.callers, c)
	}
	s.operator = &Operator{
		Place: Place{s.Net, Outside, s.Callers}, Book: s.book, Touch: s.touch, Control: controls, Entries: s.entries, Bounds: s.Bounds, Seed: s.Seed,
	}
	return nil
}

func (s *Site) listen(p Place, ports ...int) error {
	for _, port := range ports {
		if err := s.proxy.Listen(p, port); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process again.
func (s *Site) start(p *Process) {
	if err := p.Start(false); err != nil {
		s.book.Find("soak", "%s does not start: %v", p.Name(), err)
	}
}

// startTarget starts a target, under its old ID or a new one.
func (s *Site) startTarget(t *Target, reborn bool) {
	id := t.ID()
	if !reborn {
		id = fmt.Sprintf("%s-%d", t.Name(), s.ids.Add(1))
	}
	pool := plainPool
	if t.Role == Engine {
		pool = enginePool
	}
	if err := t.Start(id, pool); err != nil {
		s.book.Find("soak", "%s does not start: %v", t.Name(), err)
	}
}

// errNotServed says that a site does not serve.
var errNotServed = errors.New("the site does not serve")

// Run plays a whole soak. Its error says that the soak itself could not run.
func (s *Site) Run(ctx context.Context) error {
	if err := s.build(); err != nil {
		return err
	}
	defer s.proxy.Close()
	defer s.end()
	for _, p := range s.all() {
		if err := os.RemoveAll(p.Folder); err != nil {
			return err
		}
		if err := p.Start(true); err != nil {
			return err
		}
	}
	for _, t := range s.targets {
		s.startTarget(t, false)
		defer t.Crash()
	}
	outer, halt := context.WithCancel(ctx)
	var around sync.WaitGroup
	defer around.Wait()
	defer halt()
	for _, t := range s.targets {
		around.Go(func() { t.Run(outer) })
		around.Go(func() { timing.Every(outer, time.Second, t.CheckMemory) })
	}
	around.Go(func() { s.operator.Run(outer) })
	took, ok := s.await(outer, startBound)
	if !ok {
		return errNotServed
	}
	s.say("serves after %s", took)
	for _, p := range s.all() {
		// From now on nothing founds a site anew.
		if err := p.configure(false); err != nil {
			return err
		}
	}
	for _, c := range s.callers {
		around.Go(func() { c.Run(outer) })
	}
	rng := newRand(s.Seed)
	s.Play(outer, rng, s.Draw(rng, s.Length, s.Planned))
	s.say("all faults have ended")
	s.recover(outer)
	halt()
	around.Wait()
	if sleep(ctx, freeBound) {
		for _, t := range s.targets {
			t.CheckFree()
		}
	}
	return ctx.Err()
}

// recover wants the site to serve again and to know what was acknowledged.
func (s *Site) recover(ctx context.Context) {
	bound := recoveryBound
	if s.Bounds {
		bound = recovery
	}
	took, ok := s.await(ctx, bound)
	if !ok {
		s.book.Find("recovery", "the site does not serve %s after the last fault", bound)
		return
	}
	s.say("serves again after %s", took)
	for _, p := range s.control {
		for end := time.Now().Add(bound); !s.operator.Read(ctx, p.At(controlPort)); {
			if time.Now().After(end) {
				s.book.Find("recovery", "%s does not read back the configuration %s after the last fault", p.Name(), bound)
				break
			}
			sleep(ctx, readEvery)
		}
	}
}

// await sends requests until many in a row are served.
func (s *Site) await(ctx context.Context, bound time.Duration) (time.Duration, bool) {
	c := &Caller{
		Place: Place{s.Net, Outside, s.Callers + 1 + int(s.ids.Add(1))}, Book: s.book, Touch: s.touch, Seed: s.Seed, Directories: s.callers[0].Directories,
	}
	c.open()
	defer c.client.Close()
	began := time.Now()
	for row := 0; row < wellServed; row++ {
		if time.Since(began) > bound || ctx.Err() != nil {
			return time.Since(began), false
		}
		if !c.Once(ctx) {
			row = -1
		}
	}
	return time.Since(began), true
}

// end ends the processes that the soak has started.
func (s *Site) end() {
	var wg sync.WaitGroup
	for _, p := range s.all() {
		if p.isStarted() {
			wg.Go(p.Kill)
		}
	}
	wg.Wait()
}
