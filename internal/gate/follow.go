package gate

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
)

// The entry is what a link serves.
var _ link.Follower = (*Server)(nil)

// Have returns the revision of the view.
func (s *Server) Have() uint64 {
	if v := s.world.view(); v != nil {
		return v.revision
	}
	return 0
}

// Update takes in news of the registry.
func (s *Server) Update(u *reg.Update) {
	v, err := s.world.apply(u)
	if err != nil {
		s.Log.Error().Err(err).Uint64("revision", u.Revision).Msg("news can't be read")
		return
	}
	if v == nil {
		return
	}
	e := s.Log.Info().Uint64("revision", v.revision).Int("targets", len(u.Targets))
	if u.Packed != nil && v.index != nil {
		e.Int64("version", v.index.Tables.Version).Int("routes", len(v.index.Tables.Routes))
	}
	e.Msg("news of the registry")
	s.broker.refresh(v)
}

// offer hands a value to a reader that has none yet: the link must not wait for it.
func offer[T any](c chan<- T, v T) {
	select {
	case c <- v:
	default:
	}
}

// Granted takes in a grant for an ask.
func (s *Server) Granted(g place.Grant) {
	if p := s.broker.waiting(g.ID); p != nil {
		offer(p.granted, g)
		return
	}
	// Nobody waits for it any more.
	s.Link.Send(func(u *link.Up) { u.Withdrawn = append(u.Withdrawn, g.ID) })
}

// Refused takes in a refusal.
func (s *Server) Refused(r place.Refuse) {
	if p := s.broker.waiting(r.ID); p != nil {
		offer(p.refused, r)
	}
}

// Waiting takes in that an ask waits.
func (s *Server) Waiting(id string) {
	if p := s.broker.waiting(id); p != nil {
		offer(p.waiting, struct{}{})
	}
}

// Holdings are the grants in use, for a new leader.
func (s *Server) Holdings() []place.Holding {
	b := &s.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]place.Holding, 0, len(b.held))
	for _, h := range b.held {
		h.Age = time.Since(h.at)
		out = append(out, h.Holding)
	}
	return out
}

// Listed takes in the ready instances to name to callers.
func (s *Server) Listed(entries []link.Entry) { s.near.Store(&entries) }

// Entries returns the ready instances for callers of a data centre, as far as
// control has told: those of this one.
func (s *Server) Entries(dataCentre string) []link.Entry {
	list := s.near.Load()
	if list == nil {
		return nil
	}
	return link.Near(*list, dataCentre)
}

// Counted takes in how many instances share the budget of repeats.
func (s *Server) Counted(n int) { s.others.Store(int64(n)) }

// Lost lets the asks that wait be placed by the own view.
func (s *Server) Lost() {
	b := &s.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.pending {
		delete(b.pending, id)
		close(p.lost)
	}
}

// Pulse tells whether callers may come here.
func (s *Server) Pulse(u *link.Up) {
	u.Listed, u.Entries = true, nil
	if s.IsReady() {
		u.Entries = []link.Entry{{Name: s.Name, DataCentre: s.DataCentre, Address: s.Address}}
	}
}
