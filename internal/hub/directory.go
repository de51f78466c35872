package hub

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
)

const (
	// entryGrace is how long a new leader still uses the list of the former leader. By then
	// the other instances have linked to the new one.
	entryGrace = 2 * time.Second
)

// directory is the leader's list of ready instances, as last received by a follower.
type directory struct {
	mu         sync.Mutex
	entries    []link.Entry
	receivedAt time.Time
}

func (d *directory) set(list []link.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries, d.receivedAt = list, time.Now()
}

func (d *directory) get() ([]link.Entry, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries, d.receivedAt
}

// linkedEntries returns the ready instances that linked instances reported, sorted by name.
func (s *Server) linkedEntries() []link.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linkedEntriesLocked()
}

// linkedEntriesLocked is linkedEntries for callers that hold s.mu.
func (s *Server) linkedEntriesLocked() []link.Entry {
	var out []link.Entry
	for sess := range s.sessions {
		out = append(out, sess.entries...)
	}
	return sortUnique(out)
}

// sortUnique sorts entries by name and removes duplicates, in place.
func sortUnique(list []link.Entry) []link.Entry {
	slices.SortFunc(list, func(a, b link.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(list, func(a, b link.Entry) bool { return a.Name == b.Name })
}

// Entries returns the ready instances that callers in a data centre should use: those of
// that data centre, or all of them if it has too few.
func (s *Server) Entries(dataCentre string) []link.Entry {
	all := s.linkedEntries()
	if received, receivedAt := s.directory.get(); !s.isLeader() || time.Since(receivedAt) < entryGrace {
		all = sortUnique(append(all, received...))
	}
	return link.EntriesFor(all, dataCentre)
}

// broadcastEntries sends the ready instances to every linked instance whose list changed.
// It does nothing unless this instance leads.
func (s *Server) broadcastEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return
	}
	// The lists are queued under the lock that guards the sessions, so that an older list
	// never follows a newer one.
	all := s.linkedEntriesLocked()
	for sess := range s.sessions {
		list := all
		if !sess.hello.IsControl {
			list = link.EntriesFor(all, sess.hello.DataCentre)
		}
		if !slices.Equal(list, sess.sentEntries) {
			sess.sentEntries = list
			sess.Enqueue(func(m *link.ControlMessage) { m.Entries, m.HasEntries = list, true })
		}
		if sess.sentCount != len(all) {
			sess.sentCount = len(all)
			sess.Enqueue(func(m *link.ControlMessage) { m.EntryCount = len(all) })
		}
	}
}
