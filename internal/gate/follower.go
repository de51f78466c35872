package gate

import (
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Server implements link.Follower: it receives the messages of the leader.
var _ link.Follower = (*Server)(nil)

// Revision returns the revision of the current view; 0 if the tables of an update could not be decoded,
// so that the next link brings them again.
func (s *Server) Revision() uint64 {
	if v := s.views.load(); v != nil && !v.lacksTables {
		return v.revision
	}
	return 0
}

// ApplyUpdate applies an update of the registry.
func (s *Server) ApplyUpdate(d *reg.Delta) {
	s.applyAnnouncedCold(d)
	former := s.views.load()
	v, err := s.views.apply(d)
	if err != nil {
		s.Log.Error().Err(err).Uint64("revision", d.Revision).Msg("tables of a registry update could not be decoded")
	}
	if v == nil {
		return
	}
	e := s.Log.Info().Uint64("revision", v.revision).Int("targets", len(d.Targets))
	if d.PackedTables != nil && v.index != nil && err == nil {
		e.Int64("version", v.index.Tables.Version).Int("routes", len(v.index.Tables.Routes))
	}
	e.Msg("registry update applied")
	s.closeFormerConnections(former, d.Targets)
	s.blocklist.updateTargets(d.Targets)
	s.health.dropNotices(v)
	s.health.setColdRates(v, s.coldShares())
	s.placer.updateCores(v)
}

// closeFormerConnections closes the idle connections to the addresses of processes that have ended or are
// new: they may lead to a former process, which no longer responds or refuses all requests.
func (s *Server) closeFormerConnections(former *view, changed []site.Target) {
	for _, t := range changed {
		if former != nil && t.State != site.Gone {
			if known, ok := former.targets[t.ID]; ok && known.StartedMs == t.StartedMs && known.Address == t.Address {
				continue
			}
		}
		s.TargetClient.CloseIdle(t.Address)
	}
}

// trySend sends v unless the channel is full: the link must not block on a reader.
func trySend[T any](c chan<- T, v T) {
	select {
	case c <- v:
	default:
	}
}

// HandleGrant passes a grant to the waiting request.
func (s *Server) HandleGrant(g place.Grant) {
	if w := s.placer.pendingWaiter(g.ID); w != nil {
		trySend(w.granted, g)
		return
	}
	// The request is no longer waiting, so the grant is returned.
	s.Link.Send(func(m *link.FollowerMessage) { m.Cancelled = append(m.Cancelled, g.ID) })
}

// HandleRefusal passes a refusal to the waiting request.
func (s *Server) HandleRefusal(r place.Refuse) {
	if w := s.placer.pendingWaiter(r.ID); w != nil {
		trySend(w.refused, r)
	}
}

// HandleQueued passes the notice that a request is queued to the waiting request.
func (s *Server) HandleQueued(id string) {
	if w := s.placer.pendingWaiter(id); w != nil {
		trySend(w.queued, struct{}{})
	}
}

// ActiveGrants returns the grants in use, from which a new leader rebuilds its state.
func (s *Server) ActiveGrants() []place.ActiveGrant {
	p := &s.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]place.ActiveGrant, 0, len(p.active))
	for _, g := range p.active {
		g.Age = time.Since(g.grantedAt)
		out = append(out, g.ActiveGrant)
	}
	return out
}

// FillHandover fills in what a new leader needs to go on with blocked prompts, with the limits of
// targets and with those that are cold.
func (s *Server) FillHandover(m *link.FollowerMessage) {
	if v := s.views.load(); v != nil {
		m.Limits = append(m.Limits, s.health.limits(v)...)
		m.Cold = append(m.Cold, s.health.coldTargets(v)...)
	}
	s.blocklist.fillHandover(m)
}

// SetEntries replaces the ready instances that are listed for callers.
func (s *Server) SetEntries(entries []link.Entry) { s.entries.Store(&entries) }

// SetSpreads does nothing: the ready instances that the leader sends are chosen by them already.
func (*Server) SetSpreads([]link.Spread) {}

// SetRelays replaces the instances of other data centres that may relay for this one.
func (s *Server) SetRelays(relays []link.Entry) { s.relays.Store(&relays) }

// Entries returns the ready instances for callers of a data centre. It selects them from the
// lists last received from control: those for the data centre of this instance, and the relays,
// of which there is one in each region. Instances of lists that are out of date may have ended.
// For the data centre of this instance the leader has chosen already; its list may name instances
// of others, see link.Spread.
func (s *Server) Entries(dataCentre string) []link.Entry {
	if s.Link.SinceLeader() > link.MaxEntriesAge {
		if !s.IsReady() {
			return nil
		}
		return []link.Entry{s.entry()}
	}
	list := s.entries.Load()
	if list == nil {
		return nil
	}
	if dataCentre == s.DataCentre && len(*list) > 0 {
		return *list
	}
	known := link.EntriesFor(*list, s.DataCentre, s.Regions)
	if relays := s.relays.Load(); relays != nil && len(s.Regions) > 0 {
		known = link.SortEntries(slices.Concat(known, *relays))
	}
	return link.EntriesFor(known, dataCentre, s.Regions)
}

// entry returns how callers reach this instance.
func (s *Server) entry() link.Entry {
	return link.Entry{Name: s.Name, DataCentre: s.DataCentre, Address: s.Address}
}

// SetEntryCount sets the number of instances that share the retry budget and the limits of
// targets.
func (s *Server) SetEntryCount(n int) {
	s.setInstanceCount(int64(n))
	s.placer.setShares(n)
}

// HandleLinkLost ends the wait of all pending requests when the link is lost; they are placed
// locally.
func (s *Server) HandleLinkLost() {
	p := &s.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.pending {
		delete(p.pending, id)
		close(w.lost)
	}
}

// HandleConfirmed allows the use of the registry updates received so far.
func (s *Server) HandleConfirmed() { s.views.confirm() }

// FillHeartbeat adds to a heartbeat whether this instance is ready for callers.
func (s *Server) FillHeartbeat(m *link.FollowerMessage) {
	m.HasEntries, m.Entries = true, nil
	if v := s.views.load(); v != nil {
		m.Leaving = departures(s.health.leavingTargets(v))
	}
	if s.IsReady() {
		m.Entries = []link.Entry{s.entry()}
		m.Load = s.load()
	}
}

// departures returns the processes of targets that are leaving.
func departures(list []site.Target) []link.Departure {
	var out []link.Departure
	for _, t := range list {
		out = append(out, link.Departure{ID: t.ID, StartedMs: t.StartedMs})
	}
	return out
}
