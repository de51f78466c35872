package reg

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// maxUnpackedBytes bounds a command or tables after decompression.
const maxUnpackedBytes = 64 << 20

// Machine is the registry as the state machine of the replicated log. The zero value is an
// empty registry.
type Machine struct {
	packer packer

	mu    sync.Mutex
	state State
	// packedTables caches Delta.PackedTables; nil if the tables are not packed yet.
	packedTables []byte
	// deltas caches the changes up to the current revision: most readers of a fleet have the
	// same one.
	deltas map[deltaKey]Delta
	// changed is closed on the next change of the state; nil if there are no waiters.
	changed  chan struct{}
	departed departed
}

var _ quorum.StateMachine = (*Machine)(nil)

// Delta holds the changes that a reader of an older revision lacks.
type Delta struct {
	Revision uint64 `cbor:"1,keyasint"`
	// PackedTables is the packed tables, encoded and compressed, for UnpackTables; nil if
	// they have not changed.
	PackedTables []byte        `cbor:"2,keyasint,omitempty"`
	Targets      []site.Target `cbor:"3,keyasint,omitempty"`
	// PackedTargets is the encoded and compressed targets, in place of Targets, until Unpack.
	PackedTargets []byte `cbor:"4,keyasint,omitempty"`
}

// UnmarshalCBOR decodes the changes. Targets that can't be decoded are left out.
func (d *Delta) UnmarshalCBOR(b []byte) error {
	type fields Delta
	var c struct {
		fields
		Targets targetList `cbor:"3,keyasint"`
	}
	if err := cbor.Unmarshal(b, &c); err != nil {
		return err
	}
	*d = Delta(c.fields)
	d.Targets = c.Targets
	return nil
}

// targetList decodes a list of targets, without those that can't be decoded: one that a leader of another
// build sends must not keep the others from a reader.
type targetList []site.Target

// UnmarshalCBOR decodes the list. It returns an error for what is no list.
func (l *targetList) UnmarshalCBOR(b []byte) error {
	var raw []cbor.RawMessage
	if err := cbor.Unmarshal(b, &raw); err != nil {
		return err
	}
	*l = nil
	for _, r := range raw {
		var t site.Target
		if cbor.Unmarshal(r, &t) == nil {
			*l = append(*l, t)
		}
	}
	return nil
}

// minPackedTargets is the number of targets from which on packing them is worth the time.
const minPackedTargets = 16

// Unpack decodes PackedTargets into Targets.
func (d *Delta) Unpack() error {
	if d.PackedTargets == nil {
		return nil
	}
	var list targetList
	if err := unpack(d.PackedTargets, &list); err != nil {
		return errors.Wrap(err, "targets of a registry update")
	}
	d.Targets, d.PackedTargets = list, nil
	return nil
}

// deltaKey identifies a delta up to the current revision by the revision that it begins at, and
// whether its targets are packed.
type deltaKey struct {
	since  uint64
	packed bool
}

// ErrUndecodable is returned for a command that replicas can't decode, although it can be encoded: it has
// a string that is not valid UTF-8, or a longer list than they accept.
var ErrUndecodable = errors.New("replicas could not decode the command")

// EncodeCommand packs a command for the log. It returns an error that is ErrUndecodable for one that
// replicas would skip.
func (m *Machine) EncodeCommand(c Command) ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode CBOR")
	}
	if err := cbor.Unmarshal(b, &Command{}); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode CBOR"), ErrUndecodable)
	}
	return m.packer.compress(b)
}

// packer packs data. It keeps its encoder, whose buffers exceed most of what is packed by far.
type packer struct {
	mu      sync.Mutex
	encoder *zstd.Encoder
}

// pack encodes v as CBOR and compresses it with zstd. Packed data always has this form.
func (p *packer) pack(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode CBOR")
	}
	return p.compress(b)
}

// compress compresses b with zstd.
func (p *packer) compress(b []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.encoder == nil {
		var err error
		p.encoder, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(zstd.MinWindowSize<<7))
		if err != nil {
			return nil, errors.Wrap(err, "open zstd writer")
		}
	}
	return p.encoder.EncodeAll(b, nil), nil
}

// unpack reverses pack.
func unpack(b []byte, v any) error {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		return errors.Wrap(err, "open zstd reader")
	}
	defer r.Close()
	b, err = r.DecodeAll(b, nil)
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	return errors.Wrap(cbor.Unmarshal(b, v), "decode CBOR")
}

// UnpackTables decodes Delta.PackedTables.
func UnpackTables(b []byte) (*site.Tables, error) {
	t := &site.Tables{}
	return t, unpack(b, t)
}

// DecodeResult decodes a Result that Machine.Apply returned.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	return r, errors.Wrap(cbor.Unmarshal(b, &r), "decode the result of a registry command")
}

// Apply applies a committed command and returns its encoded Result.
func (m *Machine) Apply(_ uint64, cmd []byte) []byte {
	var c Command
	err := unpack(cmd, &c)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Result{Revision: m.state.Revision}
	if err != nil {
		r.Error = err.Error()
	} else {
		m.departed.note(&m.state, c)
		r = m.state.Apply(c)
	}
	if r.Changed {
		if c.Publish != nil {
			m.packedTables = nil
		}
		m.notify()
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // Every Result can be encoded.
	}
	return b
}

// notify drops the cached deltas and wakes the waiters for a change; the caller holds the
// lock.
func (m *Machine) notify() {
	m.deltas = nil
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cbor.Marshal(m.state)
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(b []byte) error {
	var s State
	if err := cbor.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decode registry snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.packedTables = s, nil
	m.notify()
	return nil
}

// Reset empties the state before the log is replayed.
func (m *Machine) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.packedTables = State{}, nil
	m.notify()
}

// Revision returns the current revision and a channel that is closed on the next change.
func (m *Machine) Revision() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.state.Revision, m.changed
}

// DeltaSince returns the changes after a revision, which the caller must not modify. With packed,
// many targets are packed. It fails if something can't be packed.
func (m *Machine) DeltaSince(since uint64, packed bool) (Delta, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := deltaKey{since, packed}
	if d, ok := m.deltas[key]; ok {
		return d, nil
	}
	d := Delta{Revision: m.state.Revision}
	var err error
	if m.state.TablesRevision > since {
		if m.packedTables == nil {
			if m.packedTables, err = m.packer.pack(m.state.Tables); err != nil {
				return d, err
			}
		}
		d.PackedTables = m.packedTables
	}
	for _, r := range m.state.Targets {
		if r.Revision > since {
			d.Targets = append(d.Targets, r.current())
		}
	}
	if packed && len(d.Targets) >= minPackedTargets {
		if d.PackedTargets, err = m.packer.pack(d.Targets); err != nil {
			return d, err
		}
		d.Targets = nil
	}
	if m.deltas == nil {
		m.deltas = make(map[deltaKey]Delta)
	}
	m.deltas[key] = d
	return d, nil
}

// Targets returns the targets that are not gone, by ID.
func (m *Machine) Targets() []site.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []site.Target
	for i := range m.state.Targets {
		if t := m.state.Targets[i].current(); t.State != site.Gone {
			out = append(out, t)
		}
	}
	return out
}

// ColdTargets returns the targets that were cold when they were announced and are not gone, by ID.
func (m *Machine) ColdTargets() []site.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []site.Target
	for i := range m.state.Targets {
		r := &m.state.Targets[i]
		if r.Target.Cold == 0 {
			continue
		}
		if t := r.current(); t.State != site.Gone {
			out = append(out, t)
		}
	}
	return out
}

// Tables returns the current tables and their source document, or nil if none were
// published.
func (m *Machine) Tables() (*site.Tables, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Tables, m.state.Source
}

// HasPublished reports whether source is the document of the current tables or of one of the last that
// they replaced.
func (m *Machine) HasPublished(source []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.hasPublished(source)
}

// Target returns the target with an ID, even if it is gone. It returns false if the registry
// has no such target.
func (m *Machine) Target(id string) (site.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.state.find(id)
	if !ok {
		return site.Target{}, false
	}
	return m.state.Targets[i].current(), true
}
