package reg

import (
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// maxDeparted bounds the processes that a Machine remembers as departed.
const maxDeparted = 1024

// process identifies a process of a target.
type process struct {
	id        string
	startedMs int64
}

// departed remembers the processes that drained or were deregistered, also once others have replaced
// them in the registry. It follows from the log alone, but a snapshot doesn't hold it. The zero value
// is ready to use.
type departed struct {
	known map[process]bool
	// order is the order in which they departed.
	order []process
}

// note notes what a command that changes the state tells of processes. It must be called before the
// command is applied.
func (d *departed) note(s *State, c Command) {
	switch {
	case c.Announce != nil && c.Announce.State != site.Ready:
		d.add(process{c.Announce.ID, c.Announce.StartedMs})
	case c.Deregister != nil && !c.Deregister.TimedOut:
		if i, ok := s.find(c.Deregister.ID); ok {
			if t := s.Targets[i].Target; c.Deregister.StartedMs == 0 || c.Deregister.StartedMs == t.StartedMs {
				d.add(process{t.ID, t.StartedMs})
			}
		}
	}
}

func (d *departed) add(p process) {
	if d.known[p] {
		return
	}
	if d.known == nil {
		d.known = make(map[process]bool)
	}
	if len(d.order) >= maxDeparted {
		delete(d.known, d.order[0])
		d.order = d.order[1:]
	}
	d.known[p], d.order = true, append(d.order, p)
}

// HasDeparted reports whether a process of a target has drained or was deregistered.
func (m *Machine) HasDeparted(id string, startedMs int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departed.known[process{id, startedMs}] || slices.ContainsFunc(m.state.Unannounced, func(d Departure) bool { return d.covers(id, startedMs) })
}
