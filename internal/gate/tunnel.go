package gate

import (
	"net"
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Server implements relay.Gate: it serves tunnels of instances that are cut off from targets.
var _ relay.Gate = (*Server)(nil)

// AcceptsTunnel reports whether the address is that of a ready target that accepts requests of this
// instance now. An instance that drains accepts no tunnel, nor does one whose view is not confirmed
// yet: the data centre of the target may be evacuated.
func (s *Server) AcceptsTunnel(address string) bool {
	t, ok := s.readyTargetAt(address)
	return ok && s.views.isUsable() && s.drainingFor() == 0 && !s.health.isClosed(t)
}

// KnowsTarget reports whether the address is that of a target in the view, in any state.
func (s *Server) KnowsTarget(address string) bool {
	v := s.views.load()
	if v == nil {
		return false
	}
	for _, t := range v.targets {
		if t.Address == address {
			return true
		}
	}
	return false
}

// HandleTunnelNotice records what a target asked for through a tunnel.
func (s *Server) HandleTunnelNotice(address string, n relay.Notice) {
	if t, ok := s.readyTargetAt(address); ok {
		s.recordNotice(t, n.Leaving, n.Pause)
	}
}

func (s *Server) readyTargetAt(address string) (site.Target, bool) {
	v := s.views.load()
	if v == nil {
		return site.Target{}, false
	}
	for _, t := range v.targets {
		if t.Address == address && v.isReady(t) {
			return t, true
		}
	}
	return site.Target{}, false
}

// RelayPeers returns the ready instances that may relay for this one.
func (s *Server) RelayPeers() []relay.Peer {
	_, port, err := net.SplitHostPort(s.Link.Self.PeerAddr)
	if err != nil {
		return nil // This instance has no address for others, so these have none either.
	}
	var out []relay.Peer
	for _, list := range []*[]link.Entry{s.entries.Load(), s.relays.Load()} {
		if list == nil {
			continue
		}
		for _, e := range *list {
			host, _, err := net.SplitHostPort(e.Address)
			p := relay.Peer{Addr: net.JoinHostPort(host, port), DataCentre: e.DataCentre}
			if err == nil && e.Name != s.Name && !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}

// relayOf returns the relay through which a response came, or "".
func relayOf(resp *hop.Response) string {
	if c, ok := resp.NetConn().(*relay.Conn); ok {
		return c.Relay
	}
	return ""
}

// tellRelay tells the instance through which a response came what the target asked for in it.
func tellRelay(resp *hop.Response, n relay.Notice) {
	if c, ok := resp.NetConn().(*relay.Conn); ok && n != (relay.Notice{}) {
		c.Notify(n)
	}
}
