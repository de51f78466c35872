package quorum

import "github.com/cockroachdb/errors"

// Check refuses messages that no replica sends.
func (b *Batch) Check() error {
	for _, m := range b.Messages {
		if m.From == 0 || m.To == 0 {
			return errors.New("message without sender or receiver")
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

// Check refuses entries that do not follow each other.
func (b Append) Check() error {
	index, term := b.PrevIndex, b.PrevTerm
	for _, e := range b.Entries {
		if e.Index != index+1 || e.Term < term {
			return errors.Newf("entry %d of term %d after entry %d of term %d", e.Index, e.Term, index, term)
		}
		if e.Kind < Noop || e.Kind > Reconfigure {
			return errors.Newf("entry of unknown kind %d", e.Kind)
		}
		index, term = e.Index, e.Term
	}
	return nil
}

// Check refuses impossible offsets and configurations.
func (b SnapshotChunk) Check() error {
	if b.Offset < 0 || b.Meta.Index == 0 {
		return errors.Newf("chunk at offset %d of the snapshot at %d", b.Offset, b.Meta.Index)
	}
	return b.Meta.Config.Check()
}
