package ctrl

import (
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
)

// grant is a grantor's record of a lease that it granted to a process.
type grant struct {
	// expires is when the lease has expired for certain, clock drift included.
	expires time.Time
	// minVersion is the lowest view version in use under the lease.
	minVersion uint64
	// subtree lists the process and its descendants in the relay tree; nil if unknown.
	subtree []member.Process
	// lastHeartbeat is the time of the last heartbeat.
	lastHeartbeat time.Time
	// seq is the highest sequence number of the process's heartbeats.
	seq uint64
	// released is true if the process no longer uses the lease.
	released bool
}

// listedTime is how long a process is listed after its last heartbeat. It is long enough
// that each grantor lists a process at least once after its last reply to it.
const listedTime = longPollTime + 1500*time.Millisecond

// grants holds the leases that one grantor has granted. The caller locks it.
type grants struct {
	// byProcess has the leases of the processes that send heartbeats to this grantor.
	byProcess map[member.Process]*grant
	// expiry has the time when the last lease of each process expires, including the
	// processes that get it from a relay.
	expiry map[member.Process]time.Time
}

func newGrants() *grants {
	return &grants{
		byProcess: make(map[member.Process]*grant),
		expiry:    make(map[member.Process]time.Time),
	}
}

// assume records a lease that an earlier leader may have granted, on any view version.
func (g *grants) assume(p member.Process, until time.Time) {
	g.byProcess[p] = &grant{expires: until, subtree: []member.Process{p}}
	g.expiry[p] = until
}

// record stores the content of a heartbeat. It returns false if the descendants of the
// process are not known. Leases that descendants got from this grantor before still count
// until they expire.
func (g *grants) record(hb *Heartbeat) bool {
	gr := g.byProcess[hb.Process]
	if gr == nil {
		gr = &grant{}
		g.byProcess[hb.Process] = gr
	}
	gr.lastHeartbeat = time.Now()
	if hb.Seq < gr.seq {
		return gr.subtree != nil
	}
	gr.seq, gr.minVersion, gr.released = hb.Seq, hb.MinVersion, hb.Released
	if hb.Released {
		gr.expires, gr.lastHeartbeat = time.Time{}, time.Time{}
	}
	if hb.Subtree != nil {
		gr.subtree = hb.Subtree
	}
	return gr.subtree != nil
}

// extend records a lease granted to a process and its descendants. version is the view
// version of the process after the reply.
func (g *grants) extend(hb *Heartbeat, version uint64, until time.Time) {
	gr := g.byProcess[hb.Process]
	if gr == nil {
		gr = &grant{minVersion: hb.MinVersion, subtree: hb.Subtree}
		g.byProcess[hb.Process] = gr
	}
	if gr.released && hb.Seq < gr.seq {
		return
	}
	gr.expires = until
	if hb.ViewVersion == 0 {
		gr.minVersion = version
	}
	g.expiry[hb.Process] = until
	for _, p := range gr.subtree {
		g.expiry[p] = until
	}
}

// minVersion returns the lowest view version in use under leases that have not expired,
// but at most top.
func (g *grants) minVersion(now time.Time, top uint64) uint64 {
	low := top
	for _, gr := range g.byProcess {
		if now.Before(gr.expires) {
			low = min(low, gr.minVersion)
		}
	}
	return low
}

// prune removes processes without a lease whose last heartbeat is older than pruneAfter.
func (g *grants) prune(now time.Time) {
	for p, gr := range g.byProcess {
		if !now.Before(gr.expires) && now.Sub(gr.lastHeartbeat) > pruneAfter {
			delete(g.byProcess, p)
		}
	}
	for p, until := range g.expiry {
		if now.Sub(until) > pruneAfter {
			delete(g.expiry, p)
		}
	}
}

// pruneAfter is how long the record of a process without a lease is kept.
const pruneAfter = time.Minute

// processes lists the processes with a recent heartbeat and their descendants, sorted.
func (g *grants) processes(now time.Time) []member.Process {
	var out []member.Process
	for _, gr := range g.byProcess {
		if now.Sub(gr.lastHeartbeat) < listedTime {
			out = append(out, gr.subtree...)
		}
	}
	slices.SortFunc(out, member.Process.Compare)
	return slices.Compact(out)
}

// subtree lists a process and its descendants.
func (g *grants) subtree(p member.Process) []member.Process {
	if gr := g.byProcess[p]; gr != nil {
		return gr.subtree
	}
	return nil
}

// expired reports whether a process certainly holds no lease.
func (g *grants) expired(p member.Process, now time.Time) bool {
	return !now.Before(g.expiry[p])
}

// remove deletes the records of a process that is gone.
func (g *grants) remove(p member.Process) {
	delete(g.byProcess, p)
	delete(g.expiry, p)
}

// nextExpiry returns when the first lease on a version below the given one expires, or
// the zero time if there is none.
func (g *grants) nextExpiry(now time.Time, version uint64) time.Time {
	var first time.Time
	for _, gr := range g.byProcess {
		if gr.minVersion >= version || !now.Before(gr.expires) {
			continue
		}
		if first.IsZero() || gr.expires.Before(first) {
			first = gr.expires
		}
	}
	return first
}
