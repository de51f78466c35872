package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// auditDelay is the time between gaining leadership and the first load reports: by
	// then the entries have reported their grants in use.
	auditDelay = 700 * time.Millisecond
	// auditInterval is the pause before the load of engines with unaccounted work is read
	// again.
	auditInterval = 1500 * time.Millisecond
	// auditTimeout bounds the wait for the report of one engine.
	auditTimeout = 400 * time.Millisecond
	// maxConcurrentAudits bounds the load reports that are read at the same time.
	maxConcurrentAudits = 16
)

// LoadReader reads load reports from engines.
type LoadReader interface {
	// Load returns the memory in use and the running answers of an engine.
	Load(ctx context.Context, t site.Target) (site.Load, error)
	// Close closes idle connections.
	Close()
}

// audit reads the load reports of the engines and subtracts work that no known grant accounts
// for from their free capacity. Such work belongs to requests of instances that lost power:
// the engine never sees their connections close, so it runs them until their time limit.
// When the evacuation of a data centre ends, its engines are audited again: they were not asked
// meanwhile. audit returns when ctx ends.
func (s *Server) audit(ctx context.Context) {
	if s.LoadReader == nil || !timing.Sleep(ctx, auditDelay) {
		return
	}
	engines, limit := s.scheduler.readyEngines()
	for {
		s.auditUntilAccounted(ctx, engines, limit)
		select {
		case <-ctx.Done():
			return
		case <-s.scheduler.auditWake:
			engines, limit = s.scheduler.returnedEngines()
		}
	}
}

// auditUntilAccounted audits engines until no unaccounted work is left, until the longest time
// limit of a request is over, or until ctx ends.
func (s *Server) auditUntilAccounted(ctx context.Context, engines []site.Target, limit time.Duration) {
	defer s.LoadReader.Close()
	for end := time.Now().Add(limit); len(engines) > 0 && ctx.Err() == nil; {
		remaining := s.auditEngines(ctx, engines)
		s.Log.Info().Int("asked", len(engines)).Int("strange", len(remaining)).Msg("engine load audited")
		if engines = remaining; time.Now().After(end) {
			// No request runs that long, so the memory still in use belongs to no request.
			// A zero load makes the core stop subtracting it.
			for _, t := range engines {
				s.scheduler.applyLoad(t.ID, site.Load{})
			}
			return
		}
		timing.Sleep(ctx, auditInterval)
		engines = s.scheduler.withoutEvacuated(engines)
	}
}

// auditEngines reads the load of engines and returns those with unaccounted work and
// those that did not answer.
func (s *Server) auditEngines(ctx context.Context, engines []site.Target) []site.Target {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var remaining []site.Target
	sem := make(chan struct{}, maxConcurrentAudits)
	for _, t := range engines {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			actx, cancel := context.WithTimeout(ctx, auditTimeout)
			defer cancel()
			l, err := s.LoadReader.Load(actx, t)
			if err != nil {
				s.Log.Info().Str("target", t.ID).Err(err).Msg("load report of engine failed")
			}
			if l.Cold > 0 {
				s.scheduler.applyCold([]place.Cold{{Target: t.ID, StartedMs: t.StartedMs, For: l.Cold}})
			}
			if err != nil || s.scheduler.applyLoad(t.ID, l) {
				mu.Lock()
				defer mu.Unlock()
				remaining = append(remaining, t)
			}
		})
	}
	wg.Wait()
	return remaining
}

// readyEngines returns the ready targets of all engine pools and the longest time limit of
// any route.
func (s *scheduler) readyEngines() (list []site.Target, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tables, _ := s.server.registry.Tables()
	if !s.active || tables == nil {
		return nil, 0
	}
	for i := range tables.Routes {
		limit = max(limit, tables.Routes[i].Limit)
	}
	for _, t := range s.server.registry.Targets() {
		if s.cores[t.Pool] != nil && t.State == site.Ready && !s.evacuated.Has(t.DataCentre) {
			list = append(list, t)
		}
	}
	return list, limit
}

// returnedEngines returns those of readyEngines whose data centres are no longer evacuated since
// the last call.
func (s *scheduler) returnedEngines() (list []site.Target, limit time.Duration) {
	list, limit = s.readyEngines()
	s.mu.Lock()
	defer s.mu.Unlock()
	list = slices.DeleteFunc(list, func(t site.Target) bool { return !slices.Contains(s.returned, t.DataCentre) })
	s.returned = nil
	return list, limit
}

// withoutEvacuated returns the engines of a list that may be asked for their load.
func (s *scheduler) withoutEvacuated(list []site.Target) []site.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(list, func(t site.Target) bool { return s.evacuated.Has(t.DataCentre) })
}

// applyLoad passes an engine's load report to the pools. It returns whether the engine has
// memory in use that no grant accounts for.
func (s *scheduler) applyLoad(id string, l site.Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return false
	}
	unaccounted := false
	for _, c := range s.cores {
		s.step(c, place.LoadReport{Target: id, Load: l})
		unaccounted = unaccounted || c.UnaccountedMemory(id) > 0
	}
	return unaccounted
}
