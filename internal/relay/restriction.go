package relay

import "context"

// restrictionKey is the key of the restriction of relays in a context.
type restrictionKey struct{}

// Restrict returns a context with which Dialer.Dial uses only relays in data centres that allows
// accepts: what a request sends through a relay must not leave its regions.
func Restrict(ctx context.Context, allows func(dataCentre string) bool) context.Context {
	return context.WithValue(ctx, restrictionKey{}, allows)
}

// allowedPeers returns the peers that the restriction in ctx allows, or all without one.
func allowedPeers(ctx context.Context, peers []Peer) []Peer {
	allows, ok := ctx.Value(restrictionKey{}).(func(dataCentre string) bool)
	if !ok {
		return peers
	}
	var out []Peer
	for _, p := range peers {
		if allows(p.DataCentre) {
			out = append(out, p)
		}
	}
	return out
}

// probeKey is the key of the mark of probes in a context.
type probeKey struct{}

// Probe returns a context with which Dialer.Dial only finds out whether a target refuses connections. Relays confirm
// that also for targets to which they serve no tunnels now. The connection is of no other use.
func Probe(ctx context.Context) context.Context { return context.WithValue(ctx, probeKey{}, true) }

func isProbe(ctx context.Context) bool { return ctx.Value(probeKey{}) != nil }
