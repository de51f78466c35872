package ctrl

import (
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

const (
	// maxDecided bounds the changes whose outcomes are kept: two days of changes at the
	// largest site.
	maxDecided = 10_000
	// maxChangedRows bounds the names of changed rows that are kept of a change.
	maxChangedRows = 16
)

// DecidedChange is a change with its outcome, kept so that a repeated request gets the
// same one.
type DecidedChange struct {
	ID       string   `cbor:"1,keyasint"`
	Operator string   `cbor:"2,keyasint"`
	Digest   [32]byte `cbor:"3,keyasint"`
	Outcome  Outcome  `cbor:"4,keyasint"`
	// Changed lists the rows that the change modified, if it was accepted.
	Changed []string `cbor:"5,keyasint,omitempty"`
}

// History holds the newest decided changes.
type History struct {
	// Decided is sorted from the oldest to the newest.
	Decided []DecidedChange `cbor:"1,keyasint,omitempty"`
}

// find returns the change with the id, or nil.
func (h *History) find(id string) *DecidedChange {
	for i := len(h.Decided) - 1; i >= 0; i-- {
		if h.Decided[i].ID == id {
			return &h.Decided[i]
		}
	}
	return nil
}

// acceptedFrom describes the accepted change that was based on the revision. Only its
// revision is set if the change is no longer kept.
func (h *History) acceptedFrom(base uint64) *AcceptedChange {
	for i := len(h.Decided) - 1; i >= 0; i-- {
		if d := &h.Decided[i]; d.Outcome.Revision == base+1 {
			return &AcceptedChange{ID: d.ID, Operator: d.Operator, Revision: base + 1, Changed: d.Changed}
		}
	}
	return &AcceptedChange{Revision: base + 1}
}

func (h *History) add(d DecidedChange) {
	h.Decided = append(h.Decided, d)
	if n := len(h.Decided) - maxDecided; n > 0 {
		h.Decided = append([]DecidedChange(nil), h.Decided[n:]...)
	}
}

// change accepts a change of the tables if it is based on the newest revision. A repeated
// change gets the outcome of the first request.
func (s *State) change(c Change) Outcome {
	digest := digestOf(&c)
	if d := s.History.find(c.ID); d != nil {
		if d.Digest != digest {
			return Outcome{IDReused: true, CurrentRevision: s.Revision}
		}
		return d.Outcome
	}
	d := DecidedChange{ID: c.ID, Operator: c.Operator, Digest: digest}
	if c.BaseRevision == s.Revision {
		p := table.Diff(&s.Tables, &c.Tables)
		d.Changed = truncateRows(p.Summary())
		s.Revision++
		s.Tables = c.Tables
		s.publish()
		d.Outcome = Outcome{Revision: s.Revision, Version: s.Version, CurrentRevision: s.Revision}
	} else {
		d.Outcome = Outcome{CurrentRevision: s.Revision}
		if c.BaseRevision < s.Revision {
			d.Outcome.Conflict = s.History.acceptedFrom(c.BaseRevision)
		}
	}
	s.History.add(d)
	return d.Outcome
}

func digestOf(c *Change) [32]byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic(err) // Cannot happen: all fields of the type can be encoded.
	}
	return sha256.Sum256(b)
}

func truncateRows(rows []string) []string {
	if len(rows) <= maxChangedRows {
		return rows
	}
	more := len(rows) - maxChangedRows + 1
	return append(rows[:maxChangedRows-1:maxChangedRows-1], fmt.Sprintf("and %d more", more))
}
