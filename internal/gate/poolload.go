package gate

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
)

const (
	// maxUnreported bounds the grants that wait for a link: an instance gets some requests in the time
	// without one.
	maxUnreported = 64
	// maxUnreportedAge is the age from which such a grant is not reported: most prompts are
	// prefilled by then.
	maxUnreportedAge = time.Second
)

// ApplyLoads passes the loads of the pools to the local cores.
func (s *Server) ApplyLoads(loads []place.PoolLoad) {
	p := &s.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range loads {
		if c := p.localCore(l.Pool); c != nil {
			c.Step(time.Now(), l)
		}
	}
}

// UnreportedGrants returns, once, the grants that were made locally while there was no link and
// that are still of interest.
func (s *Server) UnreportedGrants() []place.ActiveGrant {
	p := &s.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []place.ActiveGrant
	for _, g := range p.unreported {
		if a := p.active[g.Request.ID]; a != nil {
			if g.Age = time.Since(a.grantedAt); g.Age <= maxUnreportedAge {
				g.Started = a.Started
				out = append(out, g)
			}
		}
	}
	p.unreported = nil
	return out
}

// reportLocal reports a grant made locally to a control instance, now or when one is linked. One that
// doesn't lead passes it on to other instances.
func (p *placer) reportLocal(g place.ActiveGrant) {
	if p.server.Link.SendToAny(func(m *link.FollowerMessage) { m.ActiveGrants = append(m.ActiveGrants, g) }) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unreported) == maxUnreported {
		p.unreported = p.unreported[1:]
	}
	p.unreported = append(p.unreported, g)
}
