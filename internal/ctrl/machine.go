package ctrl

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/plan"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
)

// Machine is the state machine that the replicated log drives. It publishes a view for
// each new version of the state. The zero value is empty and ready to use.
type Machine struct {
	mu     sync.Mutex
	state  State
	view   *member.View
	deltas deltas
	// changed is closed when a new view is published.
	changed chan struct{}
	// callWaiters has a channel for each ledger call that requests are waiting for.
	callWaiters map[ledger.ID]chan struct{}
}

var _ quorum.StateMachine = (*Machine)(nil)

// Apply applies a committed command and returns its encoded Result.
func (m *Machine) Apply(_ uint64, cmd []byte) []byte {
	now, c, err := decode(cmd)
	if err != nil {
		return encodeResult(Result{RejectReason: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.state.Apply(now, c)
	m.publish()
	m.wakeWaiters(c)
	return encodeResult(r)
}

// publish creates a view of the state if its version has changed.
func (m *Machine) publish() {
	old := m.currentView()
	if m.state.Version == old.Version {
		return
	}
	m.view = m.state.View()
	m.deltas.add(member.Diff(old, m.view))
	m.notifyChanged()
}

func (m *Machine) notifyChanged() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// wakeWaiters notifies the requests that wait for ledger calls which the command may have
// ended: by an outcome, or because a process was replaced or removed.
func (m *Machine) wakeWaiters(c Command) {
	switch c := c.(type) {
	case End:
		m.wakeCall(c.Call.ID())
	case Join, Drop:
		m.wakeAllCalls()
	}
}

func (m *Machine) wakeAllCalls() {
	for id := range m.callWaiters {
		m.wakeCall(id)
	}
}

func (m *Machine) wakeCall(id ledger.ID) {
	if ch := m.callWaiters[id]; ch != nil {
		close(ch)
		delete(m.callWaiters, id)
	}
}

func (m *Machine) currentView() *member.View {
	if m.view == nil {
		m.view = m.state.View()
	}
	return m.view
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.encode()
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(b []byte) error {
	s, err := decodeState(b)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.view, m.deltas = nil, deltas{}
	m.notifyChanged()
	m.wakeAllCalls()
	return nil
}

// View returns the newest view and a channel that is closed when the next is published.
func (m *Machine) View() (*member.View, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.currentView(), m.changed
}

// ChangesSince returns the changes after the version have: deltas, or the whole view if
// not all of them are kept.
func (m *Machine) ChangesSince(have uint64) (*member.View, []member.Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.currentView()
	if have >= v.Version {
		return nil, nil
	}
	if d, ok := m.deltas.since(have); ok {
		return nil, d
	}
	return v, nil
}

// LeaderTerm returns the newest leader's term and the time of the log's clock.
func (m *Machine) LeaderTerm() (uint64, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.LeaderTerm, m.state.Now
}

// Record returns the ledger's record of a call.
func (m *Machine) Record(id ledger.ID) (ledger.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.book.Record(id)
}

// Orders returns the open orders to engines.
func (m *Machine) Orders() *plan.Book {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.state.Orders
	return &b
}

// LookupCall returns the state of a call in the ledger. For an open call it also returns
// a channel that is closed when the state may have changed.
func (m *Machine) LookupCall(c *ledger.Call) (b ledger.CallStatus, found bool, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, found = m.state.book.Lookup(c)
	if !found || b.State != ledger.Acquired && b.State != ledger.InProgress {
		return b, found, nil
	}
	if m.callWaiters == nil {
		m.callWaiters = make(map[ledger.ID]chan struct{})
	}
	ch := m.callWaiters[c.ID()]
	if ch == nil {
		ch = make(chan struct{})
		m.callWaiters[c.ID()] = ch
	}
	return b, found, ch
}

func encodeResult(r Result) []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // Cannot happen: all fields of the type can be encoded.
	}
	return b
}

func decodeResult(b []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(b, &r)
	return r, errors.Wrap(err, "decode the result of a command")
}
