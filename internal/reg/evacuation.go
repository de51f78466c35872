package reg

import (
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// MaxEvacuations bounds the evacuated data centres: a whole list goes to each instance, and
// the names need not be known.
const MaxEvacuations = 256

// Evacuations are the data centres whose targets get no requests. The zero value has none.
type Evacuations struct {
	// Counter is the number of changes so far. Of two lists, the one with the higher counter is
	// the newer one.
	Counter uint64 `cbor:"1,keyasint"`
	// DataCentres are sorted and without duplicates. The slice is never modified.
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// Has reports whether a data centre is evacuated.
func (e Evacuations) Has(dataCentre string) bool {
	_, found := slices.BinarySearch(e.DataCentres, dataCentre)
	return found
}

// Without returns the data centres of e that other doesn't have.
func (e Evacuations) Without(other Evacuations) []string {
	var out []string
	for _, dc := range e.DataCentres {
		if !other.Has(dc) {
			out = append(out, dc)
		}
	}
	return out
}

// Evacuate adds a data centre to those that are evacuated, or removes it.
type Evacuate struct {
	DataCentre string `cbor:"1,keyasint"`
	// Withdrawn is set if the evacuation ends.
	Withdrawn bool `cbor:"2,keyasint,omitempty"`
	// After is the counter of the list that the change was made for: it is outdated if others have changed the
	// list since. nil, which builds without this field send, is never outdated.
	After *uint64 `cbor:"3,keyasint,omitempty"`
}

// IsOutdated reports whether the list has changed since the one that the change was made for.
func (e *Evacuate) IsOutdated(now Evacuations) bool { return e.After != nil && *e.After != now.Counter }

// Check rejects a data centre that can't be a name. The name need not be known: targets may
// announce themselves there later.
func (e *Evacuate) Check() error { return site.CheckName("data centre", e.DataCentre) }

// evacuate changes the evacuated data centres and returns whether that changed them. The revision
// stays: replicas of builds that don't know the command ignore it, and must keep the same one.
func (s *State) evacuate(e *Evacuate) bool {
	if e.IsOutdated(s.Evacuations) {
		return false
	}
	old := s.Evacuations.DataCentres
	i, found := slices.BinarySearch(old, e.DataCentre)
	if found != e.Withdrawn {
		return false
	}
	// Readers hold the old list.
	if e.Withdrawn {
		s.Evacuations.DataCentres = slices.Concat(old[:i], old[i+1:])
	} else {
		s.Evacuations.DataCentres = slices.Concat(old[:i], []string{e.DataCentre}, old[i:])
	}
	s.Evacuations.Counter++
	return true
}

// Evacuations returns the data centres that are evacuated.
func (m *Machine) Evacuations() Evacuations {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Evacuations
}
