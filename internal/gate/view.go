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

// view is the newest picture of the site that this instance has.
type view struct {
	revision uint64
	index    *site.Index
	targets  map[string]site.Target
	// pools are the targets that take work, by pool.
	pools map[string][]site.Target
}

// world holds the view and replaces it by newer ones only.
type world struct {
	mu  sync.Mutex
	now atomic.Pointer[view]
	// first is closed when there are tables.
	first chan struct{}
}

func (w *world) setup() { w.first = make(chan struct{}) }

func (w *world) view() *view { return w.now.Load() }

// await waits for the first tables, but not longer than a time.
func (w *world) await(ctx context.Context, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-w.first:
	case <-t.C:
	case <-ctx.Done():
	}
}

// apply takes in news; an older revision changes nothing.
func (w *world) apply(u *reg.Update) (*view, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.now.Load()
	if old == nil {
		old = &view{}
	}
	if u.Revision <= old.revision {
		return nil, nil
	}
	next := &view{revision: u.Revision, index: old.index, targets: make(map[string]site.Target, len(old.targets))}
	if u.Packed != nil {
		t, err := reg.Unpack(u.Packed)
		if err != nil {
			return nil, err
		}
		if next.index == nil || t.Version > next.index.Tables.Version {
			next.index = site.NewIndex(t)
		}
	}
	maps.Copy(next.targets, old.targets)
	for _, t := range u.Targets {
		if t.State == site.Gone {
			delete(next.targets, t.ID)
			continue
		}
		next.targets[t.ID] = t
	}
	next.group()
	w.now.Store(next)
	if old.index == nil && next.index != nil {
		close(w.first)
	}
	return next, nil
}

func (v *view) group() {
	v.pools = make(map[string][]site.Target)
	for _, t := range v.targets {
		if t.State == site.Ready {
			v.pools[t.Pool] = append(v.pools[t.Pool], t)
		}
	}
	for _, list := range v.pools {
		slices.SortFunc(list, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// takes returns a target if it takes work for the pool.
func (v *view) takes(id, pool string) (site.Target, bool) {
	t, ok := v.targets[id]
	return t, ok && t.State == site.Ready && t.Pool == pool
}
