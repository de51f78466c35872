// Package reg keeps the replicated registry of a site: the tables in force and
// the targets that have announced themselves.
package reg

import (
	"cmp"
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// maxGone bounds the departed targets that are remembered. Announcements may
// come seconds late, and a fleet replaces far fewer targets in that time.
const maxGone = 2000

// Record is a target with the revision of its last change.
type Record struct {
	Target   site.Target `cbor:"1,keyasint"`
	Revision uint64      `cbor:"2,keyasint"`
	// Silent says that the target was taken for gone as nothing was heard of it.
	Silent bool `cbor:"3,keyasint,omitempty"`
}

// State is the replicated state. Commands change it in one order everywhere.
type State struct {
	// Revision counts the changes.
	Revision uint64       `cbor:"1,keyasint"`
	Tables   *site.Tables `cbor:"2,keyasint"`
	// Source is the document that the operator sent the tables in.
	Source []byte `cbor:"3,keyasint"`
	// Changed is the revision of the tables.
	Changed uint64   `cbor:"4,keyasint"`
	Targets []Record `cbor:"5,keyasint"`
}

// Command is a change of the state: exactly one of its parts is set.
type Command struct {
	Publish  *Publish     `cbor:"1,keyasint,omitempty"`
	Announce *site.Target `cbor:"2,keyasint,omitempty"`
	Depart   *Depart      `cbor:"3,keyasint,omitempty"`
}

// Publish brings new tables. They take effect if their version is higher.
type Publish struct {
	Tables site.Tables `cbor:"1,keyasint"`
	Source []byte      `cbor:"2,keyasint"`
}

// Depart says that a target is gone. A later process of the same ID stays.
type Depart struct {
	ID string `cbor:"1,keyasint"`
	// Born is that of the process that left; 0 stands for the present one.
	Born int64 `cbor:"2,keyasint"`
	// Silent says that the target did not say so: it may announce itself again.
	Silent bool `cbor:"3,keyasint,omitempty"`
}

// Result is what became of a command.
type Result struct {
	// Changed says that the state is not what it was.
	Changed  bool   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Fault says why the command could not be read.
	Fault string `cbor:"3,keyasint,omitempty"`
}

// Apply runs a command.
func (s *State) Apply(c Command) Result {
	changed := false
	switch {
	case c.Publish != nil:
		changed = s.publish(c.Publish)
	case c.Announce != nil:
		changed = s.announce(*c.Announce)
	case c.Depart != nil:
		changed = s.depart(*c.Depart)
	}
	return Result{Changed: changed, Revision: s.Revision}
}

func (s *State) publish(p *Publish) bool {
	if s.Tables != nil && p.Tables.Version <= s.Tables.Version {
		return false
	}
	s.Revision++
	s.Tables, s.Source, s.Changed = &p.Tables, p.Source, s.Revision
	return true
}

// announce takes in what a target says of itself, unless something newer is
// known of it or of its address.
func (s *State) announce(t site.Target) bool {
	i, found := s.find(t.ID)
	if found {
		if old := s.Targets[i]; !old.precedes(t) || same(t, old.Target) {
			return false
		}
	}
	for j := range s.Targets {
		o := &s.Targets[j].Target
		if o.ID == t.ID || o.Address != t.Address || o.State == site.Gone {
			continue
		}
		if o.Born > t.Born || found && o.Born == t.Born {
			// The address belongs to a later process: this one has ended.
			return false
		}
	}
	for j := range s.Targets {
		o := &s.Targets[j].Target
		if o.ID != t.ID && o.Address == t.Address && o.State != site.Gone {
			s.set(j, site.Gone)
		}
	}
	s.Revision++
	r := Record{Target: t, Revision: s.Revision}
	if found {
		s.Targets[i] = r
	} else {
		s.Targets = slices.Insert(s.Targets, i, r)
	}
	return true
}

// precedes says whether an announcement comes after what is known of the same
// ID: it is that of a later process, or a later word of the same one.
func (r Record) precedes(t site.Target) bool {
	old := r.Target
	if t.Born != old.Born {
		return t.Born > old.Born
	}
	if old.State == site.Draining && t.State == site.Ready {
		return false // Whoever said that it leaves gets no work until it restarts.
	}
	return (old.State != site.Gone || r.Silent) && t.Seq > old.Seq
}

// same says whether two announcements of a process differ only in number.
func same(t, old site.Target) bool {
	t.Seq = old.Seq
	return t == old
}

func (s *State) depart(d Depart) bool {
	i, found := s.find(d.ID)
	if !found {
		return false
	}
	t := &s.Targets[i].Target
	if t.State == site.Gone || d.Born != 0 && d.Born != t.Born {
		return false
	}
	s.set(i, site.Gone)
	s.Targets[i].Silent = d.Silent
	s.forget()
	return true
}

// set changes the state of target i.
func (s *State) set(i int, to site.State) {
	s.Revision++
	s.Targets[i].Target.State = to
	s.Targets[i].Revision = s.Revision
}

// forget drops the targets that left longest ago.
func (s *State) forget() {
	var gone []uint64
	for _, r := range s.Targets {
		if r.Target.State == site.Gone {
			gone = append(gone, r.Revision)
		}
	}
	if len(gone) <= maxGone {
		return
	}
	slices.Sort(gone)
	oldest := gone[len(gone)-maxGone]
	s.Targets = slices.DeleteFunc(s.Targets, func(r Record) bool {
		return r.Target.State == site.Gone && r.Revision < oldest
	})
}

func (s *State) find(id string) (int, bool) {
	return slices.BinarySearchFunc(s.Targets, id, func(r Record, id string) int { return cmp.Compare(r.Target.ID, id) })
}
