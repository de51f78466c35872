// Package reg is the replicated registry of a site: the current tables and the targets that
// have announced themselves.
package reg

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// maxGoneTargets bounds the gone targets that are kept, so that a late announcement can't
// bring one back. Announcements may arrive seconds late, and a fleet replaces far fewer
// targets in that time.
const maxGoneTargets = 2000

// Record is a target with the revision of its last change.
type Record struct {
	Target   site.Target `cbor:"1,keyasint"`
	Revision uint64      `cbor:"2,keyasint"`
	// TimedOut is set if the target is gone because its heartbeats stopped.
	TimedOut bool `cbor:"3,keyasint,omitempty"`
	// HasLeft is set if the process had left before this announcement of it arrived. Readers get it as gone,
	// while the state of Target is the one that was announced, as in replicas of builds without this field.
	HasLeft bool `cbor:"4,keyasint,omitempty"`
}

// current returns the target as readers get it.
func (r *Record) current() site.Target {
	t := r.Target
	if r.HasLeft {
		t.State = site.Gone
	}
	return t
}

// State is the replicated state. All replicas apply the same commands in the same order.
type State struct {
	// Revision is the number of changes so far.
	Revision uint64       `cbor:"1,keyasint"`
	Tables   *site.Tables `cbor:"2,keyasint"`
	// Source is the operator's document that the tables came from.
	Source []byte `cbor:"3,keyasint"`
	// TablesRevision is the revision at which the tables last changed.
	TablesRevision uint64 `cbor:"4,keyasint"`
	// Targets are sorted by ID.
	Targets []Record `cbor:"5,keyasint"`
	// Evacuations is left out while it is empty, so that snapshots of sites without evacuations
	// stay as they were.
	Evacuations Evacuations `cbor:"6,keyasint,omitzero"`
	// Unannounced are the departures of processes that may not be the known one of their target, in the order in
	// which they were received. It is left out while it is empty.
	Unannounced []Departure `cbor:"7,keyasint,omitempty"`
	// Replaced are the SHA-256 digests of the documents of the last maxReplaced tables before the current ones, the
	// oldest first. It tells a document that was accepted and is sent again.
	Replaced [][]byte `cbor:"8,keyasint,omitempty"`
}

// maxReplaced bounds State.Replaced. An operator has up to eight changes in progress.
const maxReplaced = 64

// Command is a change of the state. Exactly one of the pointers is set.
type Command struct {
	Publish    *Publish     `cbor:"1,keyasint,omitempty"`
	Announce   *site.Target `cbor:"2,keyasint,omitempty"`
	Deregister *Deregister  `cbor:"3,keyasint,omitempty"`
	Evacuate   *Evacuate    `cbor:"4,keyasint,omitempty"`
	// ReceivedMs is when the call of a target was received, in Unix milliseconds.
	ReceivedMs int64 `cbor:"5,keyasint,omitempty"`
}

// Publish replaces the tables if the new version is higher.
type Publish struct {
	Tables site.Tables `cbor:"1,keyasint"`
	Source []byte      `cbor:"2,keyasint"`
}

// Deregister marks a target as gone, unless a later process runs under its ID.
type Deregister struct {
	ID string `cbor:"1,keyasint"`
	// StartedMs identifies the process that left by its start time in Unix milliseconds; 0
	// means the current one.
	StartedMs int64 `cbor:"2,keyasint"`
	// TimedOut is set if the heartbeats of the target stopped. Such a target may announce
	// itself again.
	TimedOut bool `cbor:"3,keyasint,omitempty"`
}

// Check rejects an ID that no target can have.
func (d *Deregister) Check() error { return site.CheckName("id", d.ID) }

// Result is the outcome of a command.
type Result struct {
	// Changed reports whether the command changed the state.
	Changed  bool   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Error is the reason why the command could not be decoded; "" if it could.
	Error string `cbor:"3,keyasint,omitempty"`
	// HasLeft is set if the command announced a process that had left before.
	HasLeft bool `cbor:"4,keyasint,omitempty"`
	// Outdated is set for a change of the evacuations that came too late; see Evacuate.After. It is also set for the
	// announcement of a process that drains while a later one of its target is used.
	Outdated bool `cbor:"5,keyasint,omitempty"`
	// Earlier is the start time of the process on record, in Unix milliseconds, if a later process of its target left.
	// Then it has ended, too, and must be deregistered: replicas of builds that don't know that keep the record.
	Earlier *int64 `cbor:"6,keyasint,omitempty"`
}

// Apply applies a command.
func (s *State) Apply(c Command) Result {
	var r Result
	switch {
	case c.Publish != nil:
		r.Changed = s.publish(c.Publish)
	case c.Announce != nil:
		r.HasLeft = s.hasLeft(c.Announce.ID, c.Announce.StartedMs, c.ReceivedMs)
		r.Outdated = s.drainsInVain(*c.Announce)
		r.Changed = s.announce(*c.Announce, r.HasLeft)
	case c.Deregister != nil:
		r.Earlier = s.earlier(*c.Deregister)
		r.Changed = s.deregister(*c.Deregister, c.ReceivedMs)
	case c.Evacuate != nil:
		r.Outdated = c.Evacuate.IsOutdated(s.Evacuations)
		r.Changed = s.evacuate(c.Evacuate)
	}
	r.Revision = s.Revision
	return r
}

// publish replaces the tables if the new version is higher. It returns whether it did.
func (s *State) publish(p *Publish) bool {
	if s.Tables != nil && p.Tables.Version <= s.Tables.Version {
		return false
	}
	if s.Tables != nil {
		digest := sha256.Sum256(s.Source)
		s.Replaced = append(s.Replaced[max(0, len(s.Replaced)+1-maxReplaced):], digest[:])
	}
	s.Revision++
	s.Tables, s.Source, s.TablesRevision = &p.Tables, p.Source, s.Revision
	return true
}

// hasPublished reports whether source is the document of the current tables or of one of the last that
// they replaced.
func (s *State) hasPublished(source []byte) bool {
	if s.Tables == nil {
		return false
	}
	digest := sha256.Sum256(source)
	return bytes.Equal(s.Source, source) || slices.ContainsFunc(s.Replaced, func(d []byte) bool { return bytes.Equal(d, digest[:]) })
}

// announce adds or updates a target and returns whether the state changed. It ignores an
// announcement that is older than the record of the target, and one of a process whose
// address belongs to a later process. Other targets with the same address become gone. hasLeft is set if
// the announcing process has left.
func (s *State) announce(t site.Target, hasLeft bool) bool {
	i, found := s.find(t.ID)
	if found {
		if old := s.Targets[i]; !old.isSupersededBy(t) || t.IsSameAs(old.Target) {
			return false
		}
	}
	for j := range s.Targets {
		o := &s.Targets[j].Target
		if o.ID == t.ID || o.Address != t.Address || o.State == site.Gone {
			continue
		}
		if o.StartedMs > t.StartedMs || found && o.StartedMs == t.StartedMs {
			// A later process has the address, so the announcing one has ended.
			return false
		}
	}
	for j := range s.Targets {
		o := &s.Targets[j].Target
		if o.ID != t.ID && o.Address == t.Address && o.State != site.Gone {
			s.setState(j, site.Gone)
		}
	}
	s.Revision++
	r := Record{Target: t, Revision: s.Revision, HasLeft: hasLeft}
	if found {
		s.Targets[i] = r
	} else {
		s.Targets = slices.Insert(s.Targets, i, r)
	}
	return true
}

// drainsInVain reports whether an announcement says that its process drains while a later process of the target is
// used.
func (s *State) drainsInVain(t site.Target) bool {
	i, found := s.find(t.ID)
	if !found || t.State == site.Ready {
		return false
	}
	known := s.Targets[i].current()
	return known.State == site.Ready && t.StartedMs < known.StartedMs
}

// isSupersededBy reports whether an announcement of the same ID is newer than the record: it
// comes from a later process, or has a higher sequence number.
func (r Record) isSupersededBy(t site.Target) bool {
	old := r.Target
	if t.StartedMs != old.StartedMs {
		return t.StartedMs > old.StartedMs
	}
	if old.State == site.Draining && t.State == site.Ready {
		return false // A draining target gets no work until its process restarts.
	}
	return (old.State != site.Gone || r.TimedOut) && t.Sequence > old.Sequence
}

// deregister marks a target as gone. It returns whether that changed its record.
func (s *State) deregister(d Deregister, receivedMs int64) bool {
	i, found := s.find(d.ID)
	if !d.TimedOut {
		s.noteDeparture(d, receivedMs)
	}
	if !found {
		return false
	}
	t := &s.Targets[i].Target
	if t.State == site.Gone || d.StartedMs != 0 && d.StartedMs != t.StartedMs {
		return false
	}
	s.setState(i, site.Gone)
	s.Targets[i].TimedOut = d.TimedOut
	s.pruneGone()
	return true
}

// earlier returns the start time of the process on record if that started before the one that left and may still be
// used, now or after an announcement of it that comes late.
func (s *State) earlier(d Deregister) *int64 {
	i, found := s.find(d.ID)
	if !found || d.TimedOut {
		return nil
	}
	r := s.Targets[i]
	if d.StartedMs <= r.Target.StartedMs || r.Target.State == site.Gone && !r.TimedOut {
		return nil
	}
	return &r.Target.StartedMs
}

// setState changes the state of the target at index i.
func (s *State) setState(i int, to site.State) {
	s.Revision++
	s.Targets[i].Target.State = to
	s.Targets[i].Revision = s.Revision
}

// pruneGone removes the targets that have been gone longest, down to maxGoneTargets.
func (s *State) pruneGone() {
	var gone []uint64
	for _, r := range s.Targets {
		if r.Target.State == site.Gone {
			gone = append(gone, r.Revision)
		}
	}
	if len(gone) <= maxGoneTargets {
		return
	}
	slices.Sort(gone)
	oldest := gone[len(gone)-maxGoneTargets]
	s.Targets = slices.DeleteFunc(s.Targets, func(r Record) bool {
		return r.Target.State == site.Gone && r.Revision < oldest
	})
}

// find returns the index of a target, or where to insert it, and whether it is known.
func (s *State) find(id string) (int, bool) {
	return slices.BinarySearchFunc(s.Targets, id, func(r Record, id string) int { return cmp.Compare(r.Target.ID, id) })
}
