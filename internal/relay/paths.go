package relay

import (
	"maps"
	"slices"
	"time"
)

const (
	// cutOffTargets is the number of targets, one after the other, that only a relay reaches until
	// this instance counts as cut off from all.
	cutOffTargets = 2
	// relayBackoff is how long a relay that failed is tried after the others.
	relayBackoff = 2 * time.Second
	// deadTime is how long a target that nobody reaches is not looked for through relays again.
	deadTime = 300 * time.Millisecond
	// detourTime is how long a target is remembered that only a relay reached.
	detourTime = time.Minute
	// maxRelays bounds the relays that are tried for one connection.
	maxRelays = 3
)

// Peer is an instance that may relay.
type Peer struct {
	// Addr is its address for other instances.
	Addr       string
	DataCentre string
}

// paths knows which targets this instance does not reach itself. It does no input or output and
// reads no clock. The zero value is ready to use.
type paths struct {
	// detours are the targets that only a relay reached, since the time given.
	detours map[string]time.Time
	// missed are those of them since the last direct connection to any target.
	missed map[string]bool
	// dead is when nobody reached a target.
	dead map[string]time.Time
	// failed is when a relay failed.
	failed map[string]time.Time
	// turn rotates the relays.
	turn int
}

// isCutOff reports whether this instance counts as cut off from all targets.
func (p *paths) isCutOff() bool { return len(p.missed) >= cutOffTargets }

// isSuspect reports whether a direct connection to a target is unlikely to succeed.
func (p *paths) isSuspect(target string) bool {
	_, detour := p.detours[target]
	return detour || p.isCutOff()
}

// recordDirect records a direct connection. It reports whether this instance counted as cut off.
func (p *paths) recordDirect(target string) (regained bool) {
	regained = p.isCutOff()
	delete(p.detours, target)
	delete(p.dead, target)
	clear(p.missed)
	return regained
}

// recordRelayed records that a relay reached a target before this instance did, and that the relays
// in failed did not. It reports whether this instance counts as cut off from now on.
func (p *paths) recordRelayed(now time.Time, target, relay string, failed []string) (lost bool) {
	if p.detours == nil {
		p.detours, p.missed, p.failed = make(map[string]time.Time), make(map[string]bool), make(map[string]time.Time)
	}
	former := p.isCutOff()
	p.detours[target], p.missed[target] = now, true
	delete(p.dead, target)
	delete(p.failed, relay)
	for _, r := range failed {
		p.failed[r] = now
	}
	maps.DeleteFunc(p.detours, func(_ string, at time.Time) bool { return now.Sub(at) > detourTime })
	maps.DeleteFunc(p.failed, func(_ string, at time.Time) bool { return now.Sub(at) > relayBackoff })
	return !former && p.isCutOff()
}

// recordDead records that neither this instance nor a relay reached a target.
func (p *paths) recordDead(now time.Time, target string) {
	if p.dead == nil {
		p.dead = make(map[string]time.Time)
	}
	p.dead[target] = now
	maps.DeleteFunc(p.dead, func(_ string, at time.Time) bool { return now.Sub(at) > deadTime })
}

// relays returns the relays to try for a target, in this order: those of this data centre first,
// and last those that failed recently. Equal ones take turns.
func (p *paths) relays(now time.Time, target, dataCentre string, peers []Peer) []string {
	if at, ok := p.dead[target]; ok && now.Sub(at) <= deadTime || len(peers) == 0 {
		return nil
	}
	p.turn++
	var near, far, failing []Peer
	for _, q := range peers {
		at, failed := p.failed[q.Addr]
		switch {
		case failed && now.Sub(at) <= relayBackoff:
			failing = append(failing, q)
		case q.DataCentre != dataCentre:
			far = append(far, q)
		default:
			near = append(near, q)
		}
	}
	ordered := slices.Concat(rotated(near, p.turn), rotated(far, p.turn), rotated(failing, p.turn))
	out := ordered[:min(len(ordered), maxRelays)]
	// A data centre may be cut off as a whole.
	isRemote := func(q Peer) bool { return q.DataCentre != dataCentre }
	if i := slices.IndexFunc(ordered, isRemote); i >= len(out) {
		out[len(out)-1] = ordered[i]
	}
	addrs := make([]string, 0, len(out))
	for _, q := range out {
		addrs = append(addrs, q.Addr)
	}
	return addrs
}

// rotated returns the list with its first n elements moved to the end, for any n.
func rotated(list []Peer, n int) []Peer {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return slices.Concat(list[n:], list[:n])
}
