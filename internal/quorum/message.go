package quorum

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Message is sent from one replica to another. The network may lose, delay, duplicate or
// reorder it.
type Message struct {
	From, To ID
	Term     uint64
	Body     Body
}

// Body is the content of a message; its type depends on the kind of message.
type Body interface{ kind() bodyKind }

// VoteRequest requests a vote in the message's term.
type VoteRequest struct {
	// PreVote only checks whether the vote would be granted; the receiver does not change
	// its term or its vote.
	PreVote bool `cbor:"1,keyasint,omitempty"`
	// LastIndex and LastTerm identify the newest entry of the candidate's log.
	LastIndex uint64 `cbor:"2,keyasint"`
	LastTerm  uint64 `cbor:"3,keyasint"`
	// LeadershipTransfer is set if the leader has released its lease in favour of the
	// candidate, so that voters need not wait for the lease to expire.
	LeadershipTransfer bool `cbor:"4,keyasint,omitempty"`
	// Restarted is set if the candidate has restarted, and heard from no leader since. With
	// PreVote it asks whether the receiver has, too; else all voters have.
	Restarted bool `cbor:"5,keyasint,omitempty"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool `cbor:"1,keyasint,omitempty"`
	Granted bool `cbor:"2,keyasint,omitempty"`
	// Restarted is set if the sender has restarted, and heard from no leader since.
	Restarted bool `cbor:"3,keyasint,omitempty"`
}

// Append carries log entries to a follower; without entries it is a heartbeat.
type Append struct {
	// PrevIndex and PrevTerm identify the entry before Entries.
	PrevIndex   uint64  `cbor:"1,keyasint"`
	PrevTerm    uint64  `cbor:"2,keyasint"`
	Entries     []Entry `cbor:"3,keyasint,omitempty"`
	CommitIndex uint64  `cbor:"4,keyasint"`
	// Sent is the time on the leader's monotonic clock; the reply returns it.
	Sent time.Duration `cbor:"5,keyasint"`
}

// AppendReply answers an Append once its entries are synced.
type AppendReply struct {
	Sent time.Duration `cbor:"1,keyasint"`
	// MatchIndex is the newest index up to which the follower's log is known to equal the
	// leader's.
	MatchIndex uint64 `cbor:"2,keyasint"`
	// Rejected is set if the follower lacks the entry at RejectedIndex or has another
	// term there. The leader retries with the entry after HintIndex.
	Rejected      bool   `cbor:"3,keyasint,omitempty"`
	RejectedIndex uint64 `cbor:"4,keyasint,omitempty"`
	HintIndex     uint64 `cbor:"5,keyasint,omitempty"`
}

// SnapshotChunk carries a part of a snapshot.
type SnapshotChunk struct {
	// Meta is the snapshot without its data.
	Meta   Snapshot      `cbor:"1,keyasint"`
	Offset int           `cbor:"2,keyasint"`
	Data   []byte        `cbor:"3,keyasint"`
	Last   bool          `cbor:"4,keyasint,omitempty"`
	Sent   time.Duration `cbor:"5,keyasint"`
}

// SnapshotReply requests the chunk at Offset, in bytes, of the snapshot at Index. The
// offset -1 means that the whole snapshot has arrived.
type SnapshotReply struct {
	Index  uint64        `cbor:"1,keyasint"`
	Offset int           `cbor:"2,keyasint"`
	Sent   time.Duration `cbor:"3,keyasint"`
}

// TimeoutNow makes the receiver start an election at once.
type TimeoutNow struct{}

type bodyKind uint8

const (
	voteRequest bodyKind = iota + 1
	voteReply
	appendEntries
	appendReply
	snapshotChunk
	snapshotReply
	timeoutNow
)

func (VoteRequest) kind() bodyKind   { return voteRequest }
func (VoteReply) kind() bodyKind     { return voteReply }
func (Append) kind() bodyKind        { return appendEntries }
func (AppendReply) kind() bodyKind   { return appendReply }
func (SnapshotChunk) kind() bodyKind { return snapshotChunk }
func (SnapshotReply) kind() bodyKind { return snapshotReply }
func (TimeoutNow) kind() bodyKind    { return timeoutNow }

// envelope is the wire format of a Message.
type envelope struct {
	From ID              `cbor:"1,keyasint"`
	To   ID              `cbor:"2,keyasint"`
	Term uint64          `cbor:"3,keyasint"`
	Kind bodyKind        `cbor:"4,keyasint"`
	Body cbor.RawMessage `cbor:"5,keyasint"`
}

// MarshalCBOR encodes the message together with the kind of its body.
func (m Message) MarshalCBOR() ([]byte, error) {
	b, err := cbor.Marshal(m.Body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{From: m.From, To: m.To, Term: m.Term, Kind: m.Body.kind(), Body: b})
}

// UnmarshalCBOR decodes a message and fails if the kind of its body is unknown.
func (m *Message) UnmarshalCBOR(b []byte) error {
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return err
	}
	body, err := decodeBody(e)
	if err != nil {
		return err
	}
	*m = Message{From: e.From, To: e.To, Term: e.Term, Body: body}
	return nil
}

func decodeBody(e envelope) (Body, error) {
	switch e.Kind {
	case voteRequest:
		return decodeBodyAs[VoteRequest](e.Body)
	case voteReply:
		return decodeBodyAs[VoteReply](e.Body)
	case appendEntries:
		return decodeBodyAs[Append](e.Body)
	case appendReply:
		return decodeBodyAs[AppendReply](e.Body)
	case snapshotChunk:
		return decodeBodyAs[SnapshotChunk](e.Body)
	case snapshotReply:
		return decodeBodyAs[SnapshotReply](e.Body)
	case timeoutNow:
		return TimeoutNow{}, nil
	default:
		return nil, errors.Newf("message body has unknown kind %d", e.Kind)
	}
}

func decodeBodyAs[T Body](b []byte) (Body, error) {
	var v T
	err := cbor.Unmarshal(b, &v)
	return v, err
}
