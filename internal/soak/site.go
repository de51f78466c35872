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
	// startupBound bounds the wait until a new site serves requests.
	startupBound = 30 * time.Second
	// recoveryBound is how long after the last fault the platform may take to serve again.
	// looseRecoveryBound replaces it if time bounds are not checked.
	recoveryBound      = 12 * time.Second
	looseRecoveryBound = 2 * time.Minute
	// requiredStreak is how many requests in a row must be served before a site counts as
	// serving.
	requiredStreak = 20
)

// Site is a site under test with its targets, callers, operator and proxy.
type Site struct {
	Options

	proxy        *Proxy
	recorder     *Recorder
	disturbances *Disturbances
	control      []*Process
	entries      []*Process
	targets      []*Target
	callers      []*Caller
	operator     *Operator
	seeds        []string
	wiping       atomic.Bool
	ids          atomic.Int64
}

// newRand returns the random source that faults are drawn from.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool { return timing.Sleep(ctx, d) }

// logf prints a line with the time since the start, if Verbose is set.
func (s *Site) logf(format string, args ...any) {
	if s.Verbose {
		fmt.Printf("%7.3f  %s\n", time.Since(s.recorder.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// processes returns all control and entry processes.
func (s *Site) processes() []*Process {
	return append(append([]*Process{}, s.control...), s.entries...)
}

// build creates the site and its surroundings and opens the listeners of the proxy.
func (s *Site) build() error {
	s.proxy, s.recorder, s.disturbances = NewProxy(), NewRecorder(), NewDisturbances()
	controls := make([]string, s.Controls)
	for i := range controls {
		controls[i] = Endpoint{s.Net, Control, i}.ProxyAddr(controlPort)
	}
	s.seeds = controls
	newProcess := func(role Role, i int) (*Process, error) {
		p := &Process{Endpoint: Endpoint{s.Net, role, i}, Recorder: s.recorder, Program: s.Program, Seeds: controls}
		p.Dir = filepath.Join(s.Dir, p.Name())
		ports := []int{peersPort, directoryPort, metricsPort, callersPort, readyPort}
		if role == Control {
			ports = []int{peersPort, directoryPort, metricsPort, controlPort}
		}
		return p, s.listen(p.Endpoint, ports...)
	}
	for i := range s.Controls {
		p, err := newProcess(Control, i)
		if err != nil {
			return err
		}
		s.control = append(s.control, p)
	}
	for i := range s.Entries {
		p, err := newProcess(Entry, i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	return s.buildSurroundings(controls)
}

// buildSurroundings creates the targets, the callers and the operator.
func (s *Site) buildSurroundings(controls []string) error {
	for i := range s.Targets {
		role := Engine
		if i%2 == 1 {
			role = Plain
		}
		t := &Target{Endpoint: Endpoint{s.Net, role, i}, Recorder: s.recorder, Disturbances: s.disturbances, ControlAddrs: controls, CheckTimeBounds: s.CheckTimeBounds}
		if err := s.listen(t.Endpoint, targetPort); err != nil {
			return err
		}
		s.targets = append(s.targets, t)
	}
	for i := range s.Callers {
		c := &Caller{Endpoint: Endpoint{s.Net, Outside, i}, Recorder: s.recorder, Disturbances: s.disturbances, Direct: s.PlannedOnly || i%2 == 1, CheckTimeBounds: s.CheckTimeBounds, Seed: s.Seed}
		for _, local := range []bool{true, false} {
			for _, p := range s.processes() {
				if local == (p.DataCentre() == c.DataCentre()) && len(c.Directories) < 3 {
					c.Directories = append(c.Directories, p.ProxyAddr(directoryPort))
				}
			}
		}
		s.callers = append(s.callers, c)
	}
	s.operator = &Operator{
		Endpoint: Endpoint{s.Net, Outside, s.Callers}, Recorder: s.recorder, Disturbances: s.disturbances, ControlAddrs: controls, Entries: s.entries, CheckTimeBounds: s.CheckTimeBounds, Seed: s.Seed,
	}
	return nil
}

func (s *Site) listen(p Endpoint, ports ...int) error {
	for _, port := range ports {
		if err := s.proxy.Listen(p, port); err != nil {
			return err
		}
	}
	return nil
}

// restart starts a process that has run before.
func (s *Site) restart(p *Process) {
	if err := p.Start(false); err != nil {
		s.recorder.AddViolation("soak", "start process %s: %v", p.Name(), err)
	}
}

// startTarget starts a target, under its last ID if keepID is set and else under a new one.
func (s *Site) startTarget(t *Target, keepID bool) {
	id := t.ID()
	if !keepID {
		id = fmt.Sprintf("%s-%d", t.Name(), s.ids.Add(1))
	}
	pool := plainPool
	if t.Role == Engine {
		pool = enginePool
	}
	if err := t.Start(id, pool); err != nil {
		s.recorder.AddViolation("soak", "start target %s: %v", t.Name(), err)
	}
}

// errNotServing is returned if a new site serves no requests within startupBound.
var errNotServing = errors.New("the new site did not serve requests in time")

// Run runs one soak. Violations are recorded; an error means that the soak could not run.
func (s *Site) Run(ctx context.Context) error {
	if err := s.build(); err != nil {
		return err
	}
	defer s.proxy.Close()
	defer s.killAll()
	for _, p := range s.processes() {
		if err := os.RemoveAll(p.Dir); err != nil {
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
	runCtx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for _, t := range s.targets {
		background.Go(func() { t.Run(runCtx) })
		background.Go(func() { timing.Every(runCtx, time.Second, t.CheckReservations) })
	}
	background.Go(func() { s.operator.Run(runCtx) })
	took, ok := s.awaitServing(runCtx, startupBound)
	if !ok {
		return errNotServing
	}
	s.logf("the site serves requests after %s", took)
	for _, p := range s.processes() {
		// From now on no process may create a new site.
		if err := p.writeSettings(false); err != nil {
			return err
		}
	}
	for _, c := range s.callers {
		background.Go(func() { c.Run(runCtx) })
	}
	s.disturbAll(runCtx)
	s.logf("all faults have ended")
	s.checkRecovery(runCtx)
	cancel()
	background.Wait()
	if sleep(ctx, releaseBound) {
		for _, t := range s.targets {
			t.CheckReleased()
		}
	}
	return ctx.Err()
}

// disturbAll injects the faults of the seed while targets name limits, and fall silent and go on. The
// faults don't depend on either.
func (s *Site) disturbAll(ctx context.Context) {
	targetCtx, endTargets := context.WithCancel(ctx)
	var targets sync.WaitGroup
	targets.Go(func() { s.varyLimits(targetCtx, rand.New(rand.NewPCG(s.Seed, 1))) })
	targets.Go(func() { s.varySilences(targetCtx, rand.New(rand.NewPCG(s.Seed, 2))) })
	var replacement sync.WaitGroup
	replacement.Go(func() { s.replaceBuilds(ctx) })
	rng := newRand(s.Seed)
	s.InjectFaults(ctx, rng, s.DrawFaults(rng, s.Length, s.PlannedOnly))
	replacement.Wait()
	endTargets()
	targets.Wait()
}

// checkRecovery checks that the site serves again after the last fault and that every
// control instance has the acknowledged tables.
func (s *Site) checkRecovery(ctx context.Context) {
	bound := looseRecoveryBound
	if s.CheckTimeBounds {
		bound = recoveryBound
	}
	took, ok := s.awaitServing(ctx, bound)
	if !ok {
		s.recorder.AddViolation("recovery", "the site does not serve requests %s after the last fault", bound)
		return
	}
	s.logf("the site serves requests again after %s", took)
	for _, p := range s.control {
		for deadline := time.Now().Add(bound); !s.operator.Read(ctx, p.ProxyAddr(controlPort)); {
			if time.Now().After(deadline) {
				s.recorder.AddViolation("recovery", "%s does not return the configuration %s after the last fault", p.Name(), bound)
				break
			}
			sleep(ctx, readInterval)
		}
	}
}

// awaitServing sends requests until requiredStreak in a row are served. It returns the
// time that took, and false if bound passes first.
func (s *Site) awaitServing(ctx context.Context, bound time.Duration) (time.Duration, bool) {
	c := &Caller{
		Endpoint: Endpoint{s.Net, Outside, s.Callers + 1 + int(s.ids.Add(1))}, Recorder: s.recorder, Disturbances: s.disturbances, Seed: s.Seed, Directories: s.callers[0].Directories,
	}
	c.setup()
	defer c.client.Close()
	began := time.Now()
	for streak := 0; streak < requiredStreak; streak++ {
		if time.Since(began) > bound || ctx.Err() != nil {
			return time.Since(began), false
		}
		if !c.Send(ctx) {
			streak = -1
		}
	}
	return time.Since(began), true
}

// killAll kills the processes that the soak has started.
func (s *Site) killAll() {
	var wg sync.WaitGroup
	for _, p := range s.processes() {
		if p.isStarted() {
			wg.Go(p.Kill)
		}
	}
	wg.Wait()
}
