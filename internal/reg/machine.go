package reg

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// maxUnpacked bounds unpacked commands and tables in bytes.
const maxUnpacked = 64 << 20

// Machine runs the state under the replicated log. The zero value is ready.
type Machine struct {
	mu    sync.Mutex
	state State
	// packed are the tables for readers, once one has asked for them.
	packed []byte
	// changed is closed when the revision rises.
	changed chan struct{}
}

var _ quorum.Machine = (*Machine)(nil)

// Update is what a reader with an older revision lacks.
type Update struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Packed are the tables as Unpack reads them; nil if the reader has them.
	Packed  []byte        `cbor:"2,keyasint,omitempty"`
	Targets []site.Target `cbor:"3,keyasint,omitempty"`
}

// Encode packs a command for the log.
func Encode(c Command) ([]byte, error) {
	return pack(c)
}

// pack encodes and compresses.
func pack(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(zstd.MinWindowSize<<7))
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return w.EncodeAll(b, nil), errors.Wrap(w.Close(), "pack")
}

func unpack(b []byte, v any) error {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked))
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	defer r.Close()
	b, err = r.DecodeAll(b, nil)
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	return errors.Wrap(cbor.Unmarshal(b, v), "decode")
}

// Unpack reads the tables of an Update.
func Unpack(b []byte) (*site.Tables, error) {
	t := &site.Tables{}
	return t, unpack(b, t)
}

// Decode reads the result of a command.
func Decode(b []byte) (Result, error) {
	var r Result
	return r, errors.Wrap(cbor.Unmarshal(b, &r), "result of a command")
}

// Apply runs a committed command and returns its encoded Result.
func (m *Machine) Apply(_ uint64, cmd []byte) []byte {
	var c Command
	err := unpack(cmd, &c)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Result{Revision: m.state.Revision}
	if err != nil {
		r.Fault = err.Error()
	} else {
		r = m.state.Apply(c)
	}
	if r.Changed {
		m.packed = nil
		m.signal()
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // The type has nothing that can't be encoded.
	}
	return b
}

func (m *Machine) signal() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cbor.Marshal(m.state)
}

// Restore replaces the state.
func (m *Machine) Restore(b []byte) error {
	var s State
	if err := cbor.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "registry")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.packed = s, nil
	m.signal()
	return nil
}

// Reset empties the state before the log is read again.
func (m *Machine) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.packed = State{}, nil
	m.signal()
}

// Revision returns the newest revision and a channel that closes on the next.
func (m *Machine) Revision() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.state.Revision, m.changed
}

// Since returns what a reader lacks that has a revision.
func (m *Machine) Since(have uint64) (Update, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Update{Revision: m.state.Revision}
	if m.state.Changed > have {
		if m.packed == nil {
			var err error
			if m.packed, err = pack(m.state.Tables); err != nil {
				return u, err
			}
		}
		u.Packed = m.packed
	}
	for _, r := range m.state.Targets {
		if r.Revision > have {
			u.Targets = append(u.Targets, r.Target)
		}
	}
	return u, nil
}

// Targets returns all targets that are not gone.
func (m *Machine) Targets() []site.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []site.Target
	for _, r := range m.state.Targets {
		if r.Target.State != site.Gone {
			out = append(out, r.Target)
		}
	}
	return out
}

// Tables returns the tables in force and their source; nil before the first.
func (m *Machine) Tables() (*site.Tables, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Tables, m.state.Source
}

// Target returns what is known of a target.
func (m *Machine) Target(id string) (site.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.state.find(id)
	if !ok {
		return site.Target{}, false
	}
	return m.state.Targets[i].Target, true
}
