package ctrl

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/plan"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Command is a change of the replicated state. Commands are stored in the log, so the
// numbers of their kinds and fields must never change meaning.
type Command interface{ kind() kind }

// kind is the number of a command type in the log.
type kind uint8

const (
	kindLead kind = iota + 1
	kindChange
	kindJoin
	kindDrop
	kindYield
	kindBegin
	kindEnd
	kindOpen
	kindClose
)

// Lead starts the term of a new leader.
type Lead struct {
	Process member.Process `cbor:"1,keyasint"`
}

// Change replaces the tables.
type Change struct {
	// ID is the operator's idempotency key for the change.
	ID       string `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
	// BaseRevision is the revision that the change is based on.
	BaseRevision uint64       `cbor:"3,keyasint"`
	Tables       table.Tables `cbor:"4,keyasint"`
}

// Join adds an instance or changes its state; with the state Gone it removes it.
type Join struct {
	Member member.Member `cbor:"1,keyasint"`
}

// Drop removes processes whose lease expired. It applies only in the leader's term that
// it was proposed in.
type Drop struct {
	LeaderTerm uint64           `cbor:"1,keyasint"`
	Processes  []member.Process `cbor:"2,keyasint"`
}

// Yield confirms that the holder of a lease issues no more grants under it, so that the
// next holder may take over.
type Yield struct {
	Shard  member.Shard `cbor:"1,keyasint"`
	Holder string       `cbor:"2,keyasint"`
	Epoch  uint64       `cbor:"3,keyasint"`
}

// Begin records an attempt at a call that must run at most once.
type Begin struct {
	Call ledger.Call `cbor:"1,keyasint"`
}

// End records the outcome of an attempt.
type End struct {
	Call     ledger.Call      `cbor:"1,keyasint"`
	Verdict  verd.Verdict     `cbor:"2,keyasint"`
	Response *ledger.Response `cbor:"3,keyasint,omitempty"`
}

// Open records an order to an engine that is about to be carried out.
type Open struct {
	Permit plan.Permit `cbor:"1,keyasint"`
}

// Close removes an order that is finished.
type Close struct {
	Closing plan.Closing `cbor:"1,keyasint"`
}

func (Open) kind() kind   { return kindOpen }
func (Close) kind() kind  { return kindClose }
func (Lead) kind() kind   { return kindLead }
func (Change) kind() kind { return kindChange }
func (Join) kind() kind   { return kindJoin }
func (Drop) kind() kind   { return kindDrop }
func (Yield) kind() kind  { return kindYield }
func (Begin) kind() kind  { return kindBegin }
func (End) kind() kind    { return kindEnd }

// envelope is a command as stored in the log.
type envelope struct {
	Kind kind `cbor:"1,keyasint"`
	// Now is the time of the log's clock when the leader proposed the command.
	Now time.Duration `cbor:"2,keyasint"`
	// Body is the encoded command, or nil if it is large and stored compressed.
	Body       cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Compressed []byte          `cbor:"4,keyasint,omitempty"`
}

const (
	// minCompressBytes is the size in bytes from which a command is compressed.
	minCompressBytes = 32 << 10
	// maxCommandBytes bounds a command after decompression, in bytes.
	maxCommandBytes = 64 << 20
)

// encode encodes a command for the log, with the time of the log's clock.
func encode(now time.Duration, c Command) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", c)
	}
	e := envelope{Kind: c.kind(), Now: now, Body: body}
	if len(body) >= minCompressBytes {
		e.Body, e.Compressed = nil, compress(body)
	}
	b, err := cbor.Marshal(e)
	return b, errors.Wrapf(err, "encode %T", c)
}

func compress(b []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	w.Write(b) // A bytes.Buffer never fails.
	w.Close()
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	out, err := io.ReadAll(io.LimitReader(r, maxCommandBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a command")
	}
	if len(out) > maxCommandBytes {
		return nil, errors.Newf("command is larger than %d bytes after decompression", maxCommandBytes)
	}
	return out, nil
}

// decode returns a command from the log and its time of the log's clock.
func decode(b []byte) (time.Duration, Command, error) {
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return 0, nil, errors.Wrap(err, "decode the envelope of a command")
	}
	if e.Compressed != nil {
		b, err := decompress(e.Compressed)
		if err != nil {
			return 0, nil, err
		}
		e.Body = b
	}
	c, err := decodeBody(e.Kind, e.Body)
	return e.Now, c, err
}

func decodeBody(k kind, b []byte) (Command, error) {
	switch k {
	case kindLead:
		return decodeAs[Lead](b)
	case kindChange:
		return decodeAs[Change](b)
	case kindJoin:
		return decodeAs[Join](b)
	case kindDrop:
		return decodeAs[Drop](b)
	case kindYield:
		return decodeAs[Yield](b)
	case kindBegin:
		return decodeAs[Begin](b)
	case kindEnd:
		return decodeAs[End](b)
	case kindOpen:
		return decodeAs[Open](b)
	case kindClose:
		return decodeAs[Close](b)
	default:
		return nil, errors.Newf("unknown command kind %d", k)
	}
}

func decodeAs[C Command](b []byte) (Command, error) {
	var c C
	if err := cbor.Unmarshal(b, &c); err != nil {
		return nil, errors.Wrapf(err, "decode %T", c)
	}
	return c, nil
}

// Result is the result of a command. Which fields are set depends on the command.
type Result struct {
	// RejectReason is the reason why the command was rejected; "" if it was applied.
	RejectReason string             `cbor:"1,keyasint,omitempty"`
	LeaderTerm   uint64             `cbor:"2,keyasint,omitempty"`
	Outcome      *Outcome           `cbor:"3,keyasint,omitempty"`
	CallStatus   *ledger.CallStatus `cbor:"4,keyasint,omitempty"`
	// Version is the view version after the command.
	Version uint64 `cbor:"5,keyasint,omitempty"`
}

// Outcome is the answer to a change of the tables.
type Outcome struct {
	// Revision is the revision that the change created; 0 if it was rejected.
	Revision uint64 `json:"revision,omitempty" cbor:"1,keyasint,omitempty"`
	// Version is the first view version that includes the change.
	Version uint64 `json:"version,omitempty" cbor:"2,keyasint,omitempty"`
	// Conflict is the accepted change with the same base, for a change that came later.
	Conflict *AcceptedChange `json:"winner,omitempty" cbor:"3,keyasint,omitempty"`
	// IDReused is true if the id belongs to an earlier change with other content.
	IDReused bool `json:"reused,omitempty" cbor:"4,keyasint,omitempty"`
	// CurrentRevision is the newest revision at the time of the decision.
	CurrentRevision uint64 `json:"current" cbor:"5,keyasint"`
}

// AcceptedChange describes the accepted change that a rejected one conflicts with.
type AcceptedChange struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	Operator string `json:"operator" cbor:"2,keyasint"`
	Revision uint64 `json:"revision" cbor:"3,keyasint"`
	// Changed lists the rows of the tables that it changed.
	Changed []string `json:"changed" cbor:"4,keyasint,omitempty"`
}
