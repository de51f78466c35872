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
func Probe(ctx context.Context) context.Context {
	return context.WithValue(ctx, probeKey{}, probeConfirmed)
}

// ProbeAlone is like Probe, but a target that refuses this instance counts as refusing unless a relay reaches it: relays
// that don't answer in time, or don't know the target, don't make it alive.
func ProbeAlone(ctx context.Context) context.Context {
	return context.WithValue(ctx, probeKey{}, probeAlone)
}

// probe is the kind of a probe.
type probe int

const (
	noProbe probe = iota
	// probeConfirmed needs a relay that is refused, too, and probeAlone doesn't.
	probeConfirmed
	probeAlone
)

// probeOf returns the kind of probe that a context marks.
func probeOf(ctx context.Context) probe {
	p, _ := ctx.Value(probeKey{}).(probe)
	return p
}
