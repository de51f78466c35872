package poison

import (
	"slices"
	"time"
)

const (
	// replacementTime is how long a send whose connection ended or fell silent waits for the next
	// process of its target. A restart takes some seconds, and the first heartbeat of the next process
	// may come seconds late.
	replacementTime = 15 * time.Second
	// readDelay is how much later than the end of one connection bytes that came before it may be
	// read from another connection of the same process.
	readDelay = 100 * time.Millisecond
	// silentTime is how long requests must have been without an answer when a connection ended so that the
	// process may have ended long before: a host that is back after some seconds resets what it knows nothing of.
	silentTime = 1500 * time.Millisecond
	// maxFailedSends bounds the failed sends that are kept of one process.
	maxFailedSends = 64
)

// Watch finds processes of targets that crashed from the processes that replace them: one that
// neither drained nor was deregistered, and whose ID or address a process with a later start time has.
// Sends to it whose connection ended or fell silent, with no sign of life since, are reported as a
// crash. The zero value is ready to use.
type Watch struct {
	// processes holds the current process of each target, by target ID.
	processes map[string]*watched
	// crashed are the processes that were replaced within replacementTime.
	crashed []replaced
}

// Process identifies a process of a target.
type Process struct {
	Target, Address string
	// StartedMs is the start time of the process in Unix milliseconds.
	StartedMs int64
}

// Sighting tells of a process that the registry has.
type Sighting struct {
	Process
	// Leaving is set if the process drains, and Gone if it has been removed.
	Leaving, Gone bool
}

// FailedSend is a send of a request whose connection to a target ended or fell silent.
type FailedSend struct {
	// Segments are those of the request, as in Crash.Suspects.
	Segments []string
	// SentAt is when the request was sent, and FailedAt when the connection ended or was given up.
	SentAt, FailedAt time.Time
	// Silent is set if the connection was given up because nothing came on it. The process had then ended
	// before SilentAt; zero means FailedAt.
	Silent   bool
	SilentAt time.Time
	// Repeated is Send.Repeated.
	Repeated bool
}

// watched is a process with the failed sends to it since its last sign of life.
type watched struct {
	Process
	aliveAt time.Time
	leaving bool
	failed  []FailedSend
}

// replaced is a process that crashed: it ended after aliveAt and before replacedAt.
type replaced struct {
	Process
	aliveAt, replacedAt time.Time
}

// Update processes changes of the registry and returns the crashes that they show.
func (w *Watch) Update(now time.Time, changes []Sighting) []Crash {
	w.forget(now)
	var out []Crash
	for _, s := range changes {
		if s.Gone {
			continue
		}
		for _, former := range w.formerProcesses(s.Process) {
			delete(w.processes, former.Target)
			if former.leaving {
				continue
			}
			r := replaced{former.Process, former.aliveAt, now}
			w.crashed = append(w.crashed, r)
			if c, ok := r.report(now, former.failed); ok {
				out = append(out, c)
			}
		}
		w.see(now, s)
	}
	for _, s := range changes {
		// A process that was removed for silence or deregistered has no replacement at hand, and the
		// replaced ones are no longer held.
		if p := w.processes[s.Target]; s.Gone && p != nil && p.StartedMs <= s.StartedMs {
			delete(w.processes, s.Target)
		}
	}
	return out
}

// formerProcesses returns the earlier processes with the ID or the address of a process.
func (w *Watch) formerProcesses(p Process) []*watched {
	var out []*watched
	for _, f := range w.processes {
		if f.StartedMs < p.StartedMs && (f.Target == p.Target || f.Address == p.Address) {
			out = append(out, f)
		}
	}
	return out
}

// see notes a process of the registry. Its announcement is a sign of life.
func (w *Watch) see(now time.Time, s Sighting) {
	if w.processes == nil {
		w.processes = make(map[string]*watched)
	}
	p := w.processes[s.Target]
	if p == nil || p.StartedMs != s.StartedMs {
		p = &watched{Process: s.Process, aliveAt: now}
		w.processes[s.Target] = p
	}
	p.Address = s.Address
	if p.leaving = p.leaving || s.Leaving; p.leaving {
		p.failed = nil
	}
}

// Leave notes that a process has said that it is about to shut down.
func (w *Watch) Leave(p Process) {
	if known := w.current(p); known != nil {
		known.leaving, known.failed = true, nil
	}
}

// Alive notes that bytes of a process were read: the sends that failed before did not fail because
// it ended.
func (w *Watch) Alive(now time.Time, p Process) {
	known := w.current(p)
	if known == nil {
		return
	}
	known.aliveAt = now
	if len(known.failed) > 0 {
		known.failed = slices.DeleteFunc(known.failed, func(f FailedSend) bool { return now.Sub(f.FailedAt) > readDelay })
	}
}

// Fail notes a failed send to a process. It returns a crash if the process has been replaced already.
func (w *Watch) Fail(now time.Time, p Process, f FailedSend) (Crash, bool) {
	w.forget(now)
	if known := w.current(p); known != nil {
		if !known.leaving && len(known.failed) < maxFailedSends {
			known.failed = append(known.failed, f)
		}
		return Crash{}, false
	}
	for _, r := range w.crashed {
		if r.Target == p.Target && r.StartedMs == p.StartedMs {
			return r.report(now, []FailedSend{f})
		}
	}
	return Crash{}, false
}

// Silence returns an unconfirmed crash for a send to a process that fell silent, unless that gave a sign
// of life since.
func (w *Watch) Silence(now time.Time, p Process, f FailedSend) (Crash, bool) {
	known := w.current(p)
	if known == nil || known.leaving || !f.Silent || known.aliveAt.After(f.SentAt.Add(readDelay)) {
		return Crash{}, false
	}
	r := replaced{p, known.aliveAt, now}
	c, ok := r.report(now, []FailedSend{f})
	c.Unconfirmed = true
	return c, ok
}

// HasCrashed reports whether a process has been replaced without having left.
func (w *Watch) HasCrashed(p Process) bool {
	return slices.ContainsFunc(w.crashed, func(r replaced) bool { return r.Target == p.Target && r.StartedMs == p.StartedMs })
}

// current returns a process if it is the current one of its target, or nil.
func (w *Watch) current(p Process) *watched {
	if known := w.processes[p.Target]; known != nil && known.StartedMs == p.StartedMs {
		return known
	}
	return nil
}

// forget drops what is older than replacementTime.
func (w *Watch) forget(now time.Time) {
	w.crashed = slices.DeleteFunc(w.crashed, func(r replaced) bool { return now.Sub(r.replacedAt) > replacementTime })
	for _, p := range w.processes {
		if len(p.failed) > 0 {
			p.failed = slices.DeleteFunc(p.failed, func(f FailedSend) bool { return now.Sub(f.FailedAt) > replacementTime })
		}
	}
}

// report returns the crash of the process with the sends that failed. It ended when the first connection to
// it ended, if it had not been silent before. Otherwise that was at some time after its last sign of life, and
// before the first of the sends failed, or was given up, that failed since.
func (r *replaced) report(now time.Time, failed []FailedSend) (Crash, bool) {
	if len(failed) == 0 {
		return Crash{}, false
	}
	at, exact, silentFrom := r.replacedAt, false, r.replacedAt
	for _, f := range failed {
		if silentAt := f.silentAt(); silentAt.Before(at) && (!f.Silent || silentAt.After(r.aliveAt)) {
			at, exact = silentAt, !f.Silent
		}
		if f.SentAt.Before(silentFrom) {
			silentFrom = f.SentAt
		}
	}
	if silentFrom.Before(r.aliveAt) {
		silentFrom = r.aliveAt
	}
	c := Crash{Target: r.Target, StartedMs: r.StartedMs, Age: now.Sub(at)}
	if !exact || at.Sub(silentFrom) >= silentTime {
		c.Window = max(0, at.Sub(r.aliveAt))
	}
	for _, f := range failed {
		c.Suspects = append(c.Suspects, f.Segments)
		c.Sends = append(c.Sends, Send{Age: at.Sub(f.SentAt), Repeated: f.Repeated})
	}
	return c, true
}

// silentAt returns when the process had ended at the latest if it gave no sign of life since.
func (f *FailedSend) silentAt() time.Time {
	if f.SilentAt.IsZero() {
		return f.FailedAt
	}
	return f.SilentAt
}
