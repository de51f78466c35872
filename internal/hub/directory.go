package hub

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
)

const (
	// entryGrace is how long the list of a former leader counts after this
	// instance has become the leader: until the others have linked up.
	entryGrace = 2 * time.Second
)

// directory knows which instances callers may use.
type directory struct {
	mu sync.Mutex
	// list is what the leader told, at the time told.
	list []link.Entry
	told time.Time
}

func (d *directory) set(list []link.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.told = list, time.Now()
}

func (d *directory) get() ([]link.Entry, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.told
}

// linked returns the ready instances that are linked to this one, in order.
func (s *Server) linked() []link.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries()
}

// entries lists what the sessions told; the caller holds the lock.
func (s *Server) entries() []link.Entry {
	var out []link.Entry
	for x := range s.sessions {
		out = append(out, x.entries...)
	}
	return sorted(out)
}

func sorted(list []link.Entry) []link.Entry {
	slices.SortFunc(list, func(a, b link.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(list, func(a, b link.Entry) bool { return a.Name == b.Name })
}

// Entries returns the instances for callers of a data centre, those nearby
// first.
func (s *Server) Entries(dataCentre string) []link.Entry {
	all := s.linked()
	if list, told := s.dir.get(); !s.isLeader() || time.Since(told) < entryGrace {
		all = sorted(append(all, list...))
	}
	return link.Near(all, dataCentre)
}

// spread tells the others which instances are ready.
func (s *Server) spread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads {
		return
	}
	// Under the same lock, so that no older list is told after a newer one.
	all := s.entries()
	for x := range s.sessions {
		list := all
		if !x.hello.Control {
			list = link.Near(all, x.hello.DataCentre)
		}
		if !slices.Equal(list, x.listed) {
			x.listed = list
			x.Add(func(d *link.Down) { d.Entries, d.Listed = list, true })
		}
		if x.counted != len(all) {
			x.counted = len(all)
			x.Add(func(d *link.Down) { d.Count = len(all) })
		}
	}
}
