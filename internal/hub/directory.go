package hub

import (
	"reflect"
	"slices"
	"strings"
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
	// spreads are the data centres from which look-ups send callers to others, as decided by the
	// leader, and spreadsAt is when it last said so.
	spreads   []link.Spread
	spreadsAt time.Time
}

func (d *directory) setSpreads(list []link.Spread) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spreads, d.spreadsAt = list, time.Now()
}

func (d *directory) getSpreads() ([]link.Spread, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spreads, d.spreadsAt
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

// broadcastInterval is the shortest time between two broadcasts of the ready instances. When
// a fleet links to a new leader, each instance gets a few lists, and not one for each of the
// others.
const broadcastInterval = 200 * time.Millisecond

// linkedEntries returns the ready instances that linked instances reported, sorted by name.
// The caller must not change the list.
func (s *Server) linkedEntries() []link.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linkedEntriesLocked()
}

// linkedEntriesLocked is linkedEntries for callers that hold s.mu.
func (s *Server) linkedEntriesLocked() []link.Entry {
	if s.entryList == nil {
		s.entryList = []link.Entry{}
		for sess := range s.sessions {
			s.entryList = append(s.entryList, sess.entries...)
		}
		s.entryList = link.SortEntries(s.entryList)
	}
	return s.entryList
}

// Entries returns the ready instances that callers in a data centre should use; see
// link.SpreadEntries. Without a leader for a while it knows those only that are linked here.
func (s *Server) Entries(dataCentre string) []link.Entry {
	all := s.linkedEntries()
	leads := s.isLeader()
	if received, receivedAt := s.directory.get(); leads && time.Since(receivedAt) < entryGrace || !leads && s.client.SinceLeader() <= link.MaxEntriesAge {
		if len(all) > 0 {
			received = link.SortEntries(slices.Concat(all, received))
		}
		all = received
	}
	return link.SpreadEntries(all, dataCentre, s.Regions, s.spreads(), s.Name)
}

// spreads returns the data centres from which look-ups send callers to others. A decision of a leader
// that is gone holds for loadMaxAge.
func (s *Server) spreads() []link.Spread {
	list, at := s.directory.getSpreads()
	if time.Since(at) > loadMaxAge && s.client.SinceLeader() > loadMaxAge {
		return nil
	}
	return list
}

// changeEntriesLocked notes that the ready instances may have changed, and schedules a
// broadcast. The caller holds s.mu.
func (s *Server) changeEntriesLocked() {
	s.entryList = nil
	if s.broadcastTimer == nil {
		s.broadcastTimer = time.AfterFunc(broadcastInterval, s.broadcastEntries)
	}
}

// broadcastEntries sends the ready instances to every linked instance whose list changed,
// if this instance leads.
func (s *Server) broadcastEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcastTimer = nil
	// The lists are queued under the lock that guards the sessions, so that an older list
	// never follows a newer one.
	all := s.linkedEntriesLocked()
	if len(all) != s.loggedEntries {
		s.Log.Info().Int("entries", len(all)).Int("former", s.loggedEntries).Int("links", len(s.sessions)).Msg("ready instances changed")
		s.loggedEntries = len(all)
	}
	if !s.leading {
		return
	}
	spreads, _ := s.directory.getSpreads()
	byDataCentre := make(map[string][]link.Entry)
	for sess := range s.sessions {
		list := all
		if dc := sess.hello.DataCentre; !sess.hello.IsControl {
			if _, ok := byDataCentre[dc]; !ok {
				byDataCentre[dc] = link.EntriesFor(all, dc, s.Regions)
			}
			list = byDataCentre[dc]
			if slices.ContainsFunc(spreads, func(s link.Spread) bool { return s.DataCentre == dc }) {
				list = link.SpreadEntries(all, dc, s.Regions, spreads, sess.hello.Name)
			}
			s.sendRelays(sess, all)
		} else if !reflect.DeepEqual(spreads, sess.sentSpreads) {
			sess.sentSpreads = spreads
			sess.Enqueue(func(m *link.ControlMessage) { m.Spreads, m.HasSpreads = spreads, true })
		}
		s.sendEntries(sess, list, len(all))
	}
}

// sendRelays sends an instance those that may relay for it, if it has too few or one of them is no
// longer ready; with regions, also if a region lacks one. The list of all ready ones is sorted.
func (s *Server) sendRelays(sess *session, all []link.Entry) {
	isReady := func(e link.Entry) bool {
		i, ok := slices.BinarySearchFunc(all, e.Name, func(o link.Entry, name string) int { return strings.Compare(o.Name, name) })
		return ok && all[i] == e
	}
	if s.Regions.Count() == 1 && len(sess.sentRelays) == link.MaxRelays && !slices.ContainsFunc(sess.sentRelays, func(e link.Entry) bool { return !isReady(e) }) {
		return
	}
	relays := link.RelaysFor(all, sess.hello.Name, sess.hello.DataCentre, s.Regions)
	if slices.Equal(relays, sess.sentRelays) {
		return
	}
	sess.sentRelays = relays
	sess.Enqueue(func(m *link.ControlMessage) { m.Relays, m.HasRelays = relays, true })
}

// sendEntries sends an instance its list of ready instances and the number of all of them,
// as far as they have changed.
func (s *Server) sendEntries(sess *session, list []link.Entry, count int) {
	if !slices.Equal(list, sess.sentEntries) {
		former := sess.sentEntries
		sess.sentEntries = list
		sess.Enqueue(func(m *link.ControlMessage) {
			if sess.hello.Compact && former != nil {
				m.ChangeEntries(former, list)
			} else {
				m.ReplaceEntries(list)
			}
		})
	}
	if sess.sentCount != count {
		sess.sentCount = count
		sess.Enqueue(func(m *link.ControlMessage) { m.EntryCount = count })
	}
}
