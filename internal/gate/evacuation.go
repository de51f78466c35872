package gate

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// evacuatedReason is the reason of a refusal because all targets of a pool that are ready are in
// evacuated data centres.
const evacuatedReason = "all data centres with targets for this request are evacuated"

// ApplyEvacuations replaces the evacuated data centres if the list is newer.
func (s *Server) ApplyEvacuations(e reg.Evacuations) {
	former, isNewer := s.views.noteEvacuations(e)
	if !isNewer {
		return
	}
	began, ended := e.Without(former), former.Without(e)
	if len(ended) > 0 {
		s.endEvacuations(ended, time.Now())
	}
	v := s.views.regroup()
	metrics.GetOrRegisterGauge("gate.evacuated", s.Metrics).Update(int64(len(e.DataCentres)))
	s.Log.Info().Strs("began", began).Strs("ended", ended).Strs("evacuated", e.DataCentres).Uint64("counter", e.Counter).
		Msg("evacuated data centres changed")
	if v != nil {
		s.placer.updateCores(v)
	}
}

// endEvacuations is called when data centres are no longer evacuated, before the view has their
// targets as ready, so that none of these gets a request earlier.
func (s *Server) endEvacuations(dataCentres []string, at time.Time) {
	for _, dc := range dataCentres {
		s.markCold(dc)
	}
	s.Log.Info().Strs("data_centres", dataCentres).Time("at", at).Msg("targets are used again after an evacuation")
}

// refuseIfEvacuated refuses the request if its pool has no ready target but in evacuated data
// centres. It returns whether it did. The evacuation may last, so there is nothing to wait for.
func (x *exchange) refuseIfEvacuated() bool {
	if !x.view.isEvacuated(x.pool.Name) {
		return false
	}
	x.respondUnavailable(evacuatedReason, longRetryAfter)
	return true
}

// noteEvacuations keeps the evacuated data centres for further views if the list is newer than the
// former one, which it returns.
func (s *viewStore) noteEvacuations(e reg.Evacuations) (former reg.Evacuations, isNewer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former = s.evacuations
	if isNewer = e.Counter > former.Counter; isNewer {
		s.evacuations = e
	}
	return former, isNewer
}

// regroup replaces the view by one with the current evacuations and the same revision. It returns
// nil if there is no view.
func (s *viewStore) regroup() *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old == nil {
		return nil
	}
	next := &view{revision: old.revision, lacksTables: old.lacksTables, index: old.index, targets: old.targets, evacuations: s.evacuations}
	next.groupByPool()
	s.current.Store(next)
	return next
}

// isReady reports whether a target may get requests: it is ready, and its data centre is not
// evacuated.
func (v *view) isReady(t site.Target) bool {
	return t.State == site.Ready && !v.evacuations.Has(t.DataCentre)
}

// isEvacuated reports whether a pool has ready targets, and all of them are in evacuated data
// centres.
func (v *view) isEvacuated(pool string) bool {
	if len(v.evacuations.DataCentres) == 0 || len(v.pools[pool]) > 0 {
		return false
	}
	for _, t := range v.targets {
		if t.Pool == pool && t.State == site.Ready {
			return true
		}
	}
	return false
}
