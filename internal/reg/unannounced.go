package reg

import (
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// maxUnannounced bounds State.Unannounced.
	maxUnannounced = 1024
	// maxAnnouncementDelay is how late an announcement may arrive.
	maxAnnouncementDelay = 15 * time.Second
)

// Departure is what the registry remembers of a process that left, where no record tells it.
type Departure struct {
	ID string `cbor:"1,keyasint"`
	// StartedMs is the start time of the process in Unix milliseconds; 0 if it is unknown.
	StartedMs int64 `cbor:"2,keyasint,omitempty"`
	// ReceivedMs is when the departure was received, in Unix milliseconds, if the process is unknown. All
	// processes of the target that started before have left.
	ReceivedMs int64 `cbor:"3,keyasint,omitempty"`
}

// covers reports whether it is the departure of a process.
func (d Departure) covers(id string, startedMs int64) bool {
	if d.ID != id {
		return false
	}
	return d.StartedMs != 0 && d.StartedMs == startedMs || d.ReceivedMs != 0 && startedMs <= d.ReceivedMs
}

// binds reports whether an announcement received at receivedMs may have been sent before the departure. Times of
// day may be wrong, so a departure that rests on them binds for a while only.
func (d Departure) binds(receivedMs int64) bool {
	return d.ReceivedMs == 0 || time.Duration(max(d.ReceivedMs-receivedMs, receivedMs-d.ReceivedMs))*time.Millisecond <= maxAnnouncementDelay
}

// noteDeparture remembers a departure that was received at receivedMs, as far as the records don't tell it. It must be
// called before they change.
func (s *State) noteDeparture(d Deregister, receivedMs int64) {
	i, found := s.find(d.ID)
	isLost := found && s.Targets[i].Target.State == site.Gone && s.Targets[i].TimedOut
	switch {
	case d.StartedMs == 0 && isLost:
		s.noteUnannounced(Departure{ID: d.ID, StartedMs: s.Targets[i].Target.StartedMs})
		s.noteUnannounced(Departure{ID: d.ID, ReceivedMs: receivedMs})
	case d.StartedMs == 0:
		s.noteUnannounced(Departure{ID: d.ID, ReceivedMs: receivedMs})
	case !found, d.StartedMs > s.Targets[i].Target.StartedMs, isLost && d.StartedMs == s.Targets[i].Target.StartedMs:
		s.noteUnannounced(Departure{ID: d.ID, StartedMs: d.StartedMs})
	}
}

// noteUnannounced remembers a process that left before the registry knew it, or after it took it for lost. An
// announcement that was sent before may still arrive, and must not bring it back. The revision and the records stay:
// replicas of builds that don't know the list must keep the same ones.
func (s *State) noteUnannounced(d Departure) {
	if d.StartedMs == 0 && d.ReceivedMs == 0 {
		return // Received by a build that doesn't tell when.
	}
	s.Unannounced = slices.DeleteFunc(s.Unannounced, func(o Departure) bool {
		return o == d || d.ReceivedMs != 0 && (!o.binds(d.ReceivedMs) || o.ID == d.ID && o.ReceivedMs != 0 && o.ReceivedMs <= d.ReceivedMs)
	})
	s.Unannounced = append(s.Unannounced, d)
	if excess := len(s.Unannounced) - maxUnannounced; excess > 0 {
		s.Unannounced = slices.Delete(s.Unannounced, 0, excess)
	}
}

// hasLeft reports whether a process, which announced itself in a call received at receivedMs, left unannounced.
func (s *State) hasLeft(id string, startedMs, receivedMs int64) bool {
	return slices.ContainsFunc(s.Unannounced, func(d Departure) bool { return d.covers(id, startedMs) && d.binds(receivedMs) })
}
