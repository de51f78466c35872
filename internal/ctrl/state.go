// Package ctrl implements the control plane: the replicated state of tables, members,
// leases and the ledger. The leader grants leases to members and sends them changes. In a
// large site the members of each data centre form a tree in which relays do this for
// their children.
package ctrl

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/plan"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// State is the replicated state. Commands change it in the same order on every replica,
// so it must be deterministic: it reads no clock and no random numbers.
type State struct {
	// Now is the log's clock: the total time during which there was a leader.
	Now time.Duration `cbor:"1,keyasint"`
	// LeaderTerm grows with each new leader. Leader is the newest one.
	LeaderTerm uint64         `cbor:"2,keyasint"`
	Leader     member.Process `cbor:"3,keyasint"`
	// Revision is the newest revision of the tables, Version that of the view, and Epoch
	// the highest epoch of a lease.
	Revision uint64          `cbor:"4,keyasint"`
	Version  uint64          `cbor:"5,keyasint"`
	Epoch    uint64          `cbor:"6,keyasint"`
	Tables   table.Tables    `cbor:"7,keyasint"`
	Members  []member.Member `cbor:"8,keyasint"`
	Leases   []member.Lease  `cbor:"9,keyasint"`
	Planner  member.Lease    `cbor:"10,keyasint"`
	History  History         `cbor:"11,keyasint"`
	// Records are the calls of the ledger. The field is set in snapshots only.
	Records []ledger.Record `cbor:"12,keyasint,omitempty"`
	// Orders are the open orders to engines.
	Orders plan.Book `cbor:"13,keyasint"`

	book ledger.Records
}

// Apply applies a command that was proposed at the time now of the log's clock.
func (s *State) Apply(now time.Duration, c Command) Result {
	s.Now = max(s.Now, now)
	switch c := c.(type) {
	case Lead:
		s.LeaderTerm++
		s.Leader = c.Process
		return Result{LeaderTerm: s.LeaderTerm}
	case Change:
		out := s.change(c)
		return Result{Outcome: &out}
	case Join:
		return s.join(c.Member)
	case Drop:
		return s.drop(c)
	case Yield:
		return s.yield(c)
	case Begin:
		return s.begin(&c.Call)
	case End:
		if !s.book.End(&c.Call, c.Verdict, c.Response, s.Now) {
			return Result{RejectReason: "the attempt does not own the call"}
		}
		return Result{}
	case Open:
		return s.finishOrder(s.Orders.Open(c.Permit, s.Planner.Epoch))
	case Close:
		return s.finishOrder(s.Orders.Close(c.Closing.ID, c.Closing.Fence, s.Planner.Epoch))
	default:
		return Result{RejectReason: "unknown command type"}
	}
}

// finishOrder publishes a change of the open orders, unless it was rejected for a reason.
func (s *State) finishOrder(reason string) Result {
	if reason == "" {
		s.publish()
	}
	return Result{RejectReason: reason, Version: s.Version}
}

// publish starts a new version of the view and assigns leases anew.
func (s *State) publish() {
	s.Version++
	s.assignLeases()
}

// join adds an instance, changes its state, or removes it.
func (s *State) join(m member.Member) Result {
	i, found := s.findMember(m.Name)
	if found && m.Incarnation < s.Members[i].Incarnation {
		return Result{RejectReason: "a newer process of the instance has joined"}
	}
	if found && s.Members[i] == m || !found && m.State == member.Gone {
		return Result{Version: s.Version}
	}
	// A newer process replaces the previous one.
	if found && (s.Members[i].Incarnation < m.Incarnation || m.State == member.Gone) {
		s.removeMember(i)
		i, found = s.findMember(m.Name)
	}
	if m.State != member.Gone {
		s.putMember(i, found, m)
	}
	s.publish()
	return Result{Version: s.Version}
}

// putMember replaces member i if found, or inserts m at i.
func (s *State) putMember(i int, found bool, m member.Member) {
	s.Members = slices.Clone(s.Members)
	if found {
		s.Members[i] = m
		return
	}
	s.Members = slices.Insert(s.Members, i, m)
}

// drop removes processes. The command of a leader whose term has ended is rejected.
func (s *State) drop(c Drop) Result {
	if c.LeaderTerm != s.LeaderTerm {
		return Result{RejectReason: "the leader's term has ended"}
	}
	changed := false
	for _, p := range c.Processes {
		if i, found := s.findMember(p.Name); found && s.Members[i].Incarnation == p.Incarnation {
			s.removeMember(i)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
	return Result{Version: s.Version}
}

// removeMember deletes member i and its leases, and marks its open ledger calls as lost.
func (s *State) removeMember(i int) {
	m := s.Members[i]
	s.Members = slices.Delete(slices.Clone(s.Members), i, i+1)
	s.Leases = slices.DeleteFunc(slices.Clone(s.Leases), func(l member.Lease) bool { return l.Holder == m.Name })
	if s.Planner.Holder == m.Name {
		s.Planner = member.Lease{}
	}
	s.book.MarkLost(m.Process(), s.Now)
}

// begin records a call. Only processes that are members may begin one: the calls of
// removed processes have been marked as lost.
func (s *State) begin(c *ledger.Call) Result {
	i, found := s.findMember(c.Entry)
	if !found || s.Members[i].Incarnation != c.Incarnation {
		return Result{RejectReason: "the process is not a member"}
	}
	b := s.book.Begin(c, s.Now)
	return Result{CallStatus: &b}
}

func (s *State) findMember(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Members, name, func(m member.Member, n string) int { return cmp.Compare(m.Name, n) })
}

// View returns the part of the state that members follow. It shares its lists with the
// state, which replaces lists and never changes them in place.
func (s *State) View() *member.View {
	return &member.View{
		Revision:     s.Revision,
		Version:      s.Version,
		Tables:       s.Tables,
		Members:      s.Members,
		Leases:       s.Leases,
		PlannerLease: s.Planner,
		OutOfService: s.Orders.Targets(),
	}
}

// encode encodes the whole state as a snapshot.
func (s *State) encode() ([]byte, error) {
	out := *s
	out.Records = s.book.Snapshot()
	b, err := cbor.Marshal(out)
	return b, errors.Wrap(err, "encode the control state")
}

// decodeState decodes a snapshot.
func decodeState(b []byte) (State, error) {
	dec, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		return State{}, errors.Wrap(err, "create the decoder for the control state")
	}
	var s State
	if err := dec.Unmarshal(b, &s); err != nil {
		return State{}, errors.Wrap(err, "decode the control state")
	}
	s.book.Restore(s.Records)
	s.Records = nil
	return s, nil
}

// maxElements bounds the length of each list in a snapshot.
const maxElements = 100_000_000
