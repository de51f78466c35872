package quorum

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// ErrNoSnapshot means that a replica has joined a group before but its snapshot is
// missing.
var ErrNoSnapshot = errors.New("the replica's snapshot is missing; move its data folder away to start as a new replica")

// identity is the stored record that identifies a replica from its first start on.
type identity struct {
	ID ID `cbor:"1,keyasint"`
	// Joined is set once the replica has stored its first snapshot; without a snapshot it
	// then refuses to start.
	Joined bool `cbor:"2,keyasint,omitempty"`
	// Founding is set on an initial member.
	Founding *Founding `cbor:"3,keyasint,omitempty"`
}

// disk stores the replica's identity, hard state, log and snapshot.
type disk struct {
	store *store.Store
	id    ID
	// founding is nil unless this replica takes part in the founding of its group.
	founding *Founding
	// uninitialised is set while no snapshot has ever been stored.
	uninitialised bool
	// logBytes is the size of the entries written since the last snapshot.
	logBytes int
	// tornBytes is the size of an incomplete write that was truncated when the folder was
	// opened.
	tornBytes int64
}

// openDisk opens the folder and returns the stored state. A new folder gets a random
// replica ID. A replica without a snapshot takes part in the founding of a group if initialMembers are given, or were when it started
// before.
func openDisk(fs store.FS, folder string, initialMembers []string) (*disk, PersistentState, error) {
	st, contents, err := store.Open(fs, folder)
	if err != nil {
		return nil, PersistentState{}, err
	}
	d := &disk{store: st, uninitialised: contents.Snapshot == nil, tornBytes: contents.Cut}
	state, err := d.load(contents, initialMembers)
	if err != nil {
		return nil, PersistentState{}, errors.CombineErrors(err, st.Close())
	}
	return d, state, nil
}

func (d *disk) load(contents *store.Contents, initialMembers []string) (PersistentState, error) {
	id := identity{ID: ID(rand.Uint64() | 1)}
	if err := decodeOptional(contents.Identity, &id); err != nil {
		return PersistentState{}, errors.Wrap(err, "decode replica identity")
	}
	if id.Joined && d.uninitialised {
		return PersistentState{}, ErrNoSnapshot
	}
	becomesFounder := d.uninitialised && id.Founding == nil && len(initialMembers) > 0
	if becomesFounder {
		id.Founding = &Founding{Members: slices.Compact(slices.Sorted(slices.Values(initialMembers)))}
	}
	if contents.Identity == nil || becomesFounder {
		if err := d.setIdentity(id); err != nil {
			return PersistentState{}, err
		}
	}
	d.id, d.founding = id.ID, id.Founding
	var out PersistentState
	if err := decodeOptional(contents.State, &out.HardState); err != nil {
		return PersistentState{}, errors.Wrap(err, "decode hard state")
	}
	if err := decodeOptional(contents.Snapshot, &out.Snapshot); err != nil {
		return PersistentState{}, errors.Wrap(err, "decode snapshot")
	}
	out.Entries = make([]Entry, len(contents.Entries))
	for i, e := range contents.Entries {
		if err := cbor.Unmarshal(e.Data, &out.Entries[i]); err != nil {
			return PersistentState{}, errors.Wrapf(err, "decode log entry %d", e.Index)
		}
		d.logBytes += len(e.Data)
	}
	out.dropReplaced()
	return out, nil
}

// dropReplaced drops the entries of a log that the snapshot has replaced as a whole, if their segment
// was not removed before a crash or its removal was lost in one. The terms in a log never fall.
func (p *PersistentState) dropReplaced() {
	if len(p.Entries) > 0 && p.Entries[0].Term < p.Snapshot.Term {
		p.Entries = nil
	}
}

// decodeOptional decodes b into v, or leaves v as it is if b is nil.
func decodeOptional(b []byte, v any) error {
	if b == nil {
		return nil
	}
	return cbor.Unmarshal(b, v)
}

func (d *disk) setIdentity(id identity) error {
	b, err := cbor.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode replica identity")
	}
	return d.store.SetIdentity(b)
}

// saveFounding writes the part of this replica in the founding of its group.
func (d *disk) saveFounding(f Founding) error {
	if err := d.setIdentity(identity{ID: d.id, Founding: &f}); err != nil {
		return err
	}
	d.founding = &f
	return nil
}

// save writes and syncs the snapshot, hard state and entries of an output.
func (d *disk) save(o Output) error {
	b, err := d.encodeBatch(o)
	if err != nil {
		return err
	}
	if o.Snapshot != nil {
		if err := d.store.Write(store.Batch{State: b.State}); err != nil {
			return err
		}
		if err := d.saveSnapshot(*o.Snapshot, true); err != nil {
			return err
		}
	}
	if b.State == nil && len(b.Entries) == 0 {
		return nil
	}
	return d.store.Write(b)
}

// encodeBatch encodes the hard state and entries of an output.
func (d *disk) encodeBatch(o Output) (store.Batch, error) {
	var b store.Batch
	var err error
	if o.HardState != nil {
		if b.State, err = cbor.Marshal(o.HardState); err != nil {
			return b, errors.Wrap(err, "encode hard state")
		}
	}
	b.Entries = make([]store.Entry, len(o.Entries))
	for i, e := range o.Entries {
		data, err := cbor.Marshal(e)
		if err != nil {
			return b, errors.Wrapf(err, "encode log entry %d", e.Index)
		}
		b.Entries[i] = store.Entry{Index: e.Index, Data: data}
		d.logBytes += len(data)
	}
	return b, nil
}

// saveSnapshot stores a snapshot in place of the log up to s.Index, or of the whole log
// if reset is set.
func (d *disk) saveSnapshot(s Snapshot, reset bool) error {
	b, err := cbor.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	if err := d.store.SaveSnapshot(s.Index, b, reset); err != nil {
		return err
	}
	d.logBytes = 0
	if !d.uninitialised {
		return nil
	}
	d.uninitialised = false
	return d.setIdentity(identity{ID: d.id, Joined: true, Founding: d.founding})
}

func (d *disk) close() error { return d.store.Close() }
