package gate

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// view is an immutable snapshot of the site as this instance knows it.
type view struct {
	revision uint64
	// lacksTables is set if the newest tables could not be decoded.
	lacksTables bool
	index       *site.Index
	targets     map[string]site.Target
	// evacuations are the data centres whose targets count as not ready.
	evacuations reg.Evacuations
	// pools are the ready targets, by pool and sorted by ID.
	pools map[string][]site.Target
}

// viewStore holds the current view and replaces it only by newer ones.
type viewStore struct {
	mu      sync.Mutex
	current atomic.Pointer[view]
	// usable is closed when there are tables that are confirmed.
	usable    chan struct{}
	confirmed bool
	// evacuations is the newest list, which the next view gets.
	evacuations reg.Evacuations
}

func (s *viewStore) setup() { s.usable = make(chan struct{}) }

// confirm allows the use of the view: a majority of the control instances, or the leader, has
// told what it knows. Without that, an instance that has just started could use tables and
// targets that were replaced before.
func (s *viewStore) confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = true
	s.closeIfUsable()
}

// closeIfUsable closes usable if the view can be used. The caller holds mu.
func (s *viewStore) closeIfUsable() {
	if v := s.current.Load(); !s.confirmed || v == nil || v.index == nil || s.isUsable() {
		return
	}
	close(s.usable)
}

// isUsable reports whether there are tables that are confirmed.
func (s *viewStore) isUsable() bool {
	if v := s.current.Load(); v == nil || v.index == nil {
		return false
	}
	select {
	case <-s.usable:
		return true
	default:
		return false
	}
}

func (s *viewStore) load() *view { return s.current.Load() }

// await waits for confirmed tables until the timeout or the end of ctx.
func (s *viewStore) await(ctx context.Context, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-s.usable:
	case <-t.C:
	case <-ctx.Done():
	}
}

// apply builds and stores the view that follows from an update. It returns nil for an
// update that is not newer than the current view. If the tables can't be decoded, it returns an
// error and the view with the former ones.
func (s *viewStore) apply(d *reg.Delta) (*view, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old == nil {
		old = &view{}
	}
	if d.Revision < old.revision || d.Revision == old.revision && !old.lacksTables {
		return nil, nil
	}
	next := &view{revision: d.Revision, lacksTables: old.lacksTables, index: old.index, targets: make(map[string]site.Target, len(old.targets)), evacuations: s.evacuations}
	var err error
	if d.PackedTables != nil {
		var t *site.Tables
		t, err = reg.UnpackTables(d.PackedTables)
		next.lacksTables = err != nil
		if err == nil && (next.index == nil || t.Version > next.index.Tables.Version) {
			next.index = site.NewIndex(t)
		}
	}
	maps.Copy(next.targets, old.targets)
	for _, t := range d.Targets {
		// A build that checks less may have committed a target that can't be used.
		if t.State == site.Gone || t.Check() != nil {
			delete(next.targets, t.ID)
			continue
		}
		next.targets[t.ID] = t
	}
	next.groupByPool()
	s.current.Store(next)
	s.closeIfUsable()
	return next, err
}

func (v *view) groupByPool() {
	v.pools = make(map[string][]site.Target)
	for _, t := range v.targets {
		if v.isReady(t) {
			v.pools[t.Pool] = append(v.pools[t.Pool], t)
		}
	}
	for _, list := range v.pools {
		slices.SortFunc(list, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// readyTarget returns the target with this ID if it is ready and belongs to the pool.
func (v *view) readyTarget(id, pool string) (site.Target, bool) {
	t, ok := v.targets[id]
	return t, ok && v.isReady(t) && t.Pool == pool
}

// hasLaterProcess reports whether a later process has the ID or the address of a target.
func (v *view) hasLaterProcess(t site.Target) bool {
	if current, ok := v.targets[t.ID]; ok && current.StartedMs > t.StartedMs {
		return true
	}
	for _, o := range v.targets {
		if o.Address == t.Address && o.StartedMs > t.StartedMs {
			return true
		}
	}
	return false
}
