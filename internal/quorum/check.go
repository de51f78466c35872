package quorum

import "github.com/cockroachdb/errors"

// Check rejects a batch in which a message has no sender, no receiver or an invalid body.
func (b *Batch) Check() error {
	for _, m := range b.Messages {
		if m.From == 0 || m.To == 0 {
			return errors.Newf("message from replica %x to replica %x: both IDs must be set", uint64(m.From), uint64(m.To))
		}
		if err := checkBody(m.Body); err != nil {
			return err
		}
	}
	return nil
}

func checkBody(b Body) error {
	switch b := b.(type) {
	case Append:
		return b.Check()
	case SnapshotChunk:
		return b.Check()
	default:
		return nil
	}
}

// Check rejects entries with gaps in their indexes, falling terms or unknown kinds.
func (b Append) Check() error {
	index, term := b.PrevIndex, b.PrevTerm
	for _, e := range b.Entries {
		if e.Index != index+1 || e.Term < term {
			return errors.Newf("log entry %d of term %d can't follow entry %d of term %d", e.Index, e.Term, index, term)
		}
		if e.Kind < Noop || e.Kind > Reconfigure {
			return errors.Newf("log entry %d has unknown kind %d", e.Index, e.Kind)
		}
		index, term = e.Index, e.Term
	}
	return nil
}

// Check rejects a negative offset, a snapshot without index and an invalid configuration.
func (b SnapshotChunk) Check() error {
	if b.Offset < 0 || b.Meta.Index == 0 {
		return errors.Newf("invalid snapshot chunk: offset %d, snapshot index %d", b.Offset, b.Meta.Index)
	}
	return b.Meta.Config.Check()
}
