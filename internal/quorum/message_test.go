package quorum

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// TestMessageRoundTrip checks that every kind of message decodes to what was encoded.
func TestMessageRoundTrip(t *testing.T) {
	head := Snapshot{Index: 4, Term: 2, Config: NewConfig(Replica{ID: 1, Addr: "10.0.0.1:81"})}
	in := Batch{Addr: "10.0.0.1:81", GroupID: 9}
	for _, b := range []Body{
		VoteRequest{PreVote: true, LastIndex: 3, LastTerm: 2, LeadershipTransfer: true},
		VoteReply{Granted: true},
		Append{PrevIndex: 2, PrevTerm: 1, Entries: []Entry{{Index: 3, Term: 1, Kind: Command, Data: []byte("x")}}, Sent: time.Second},
		AppendReply{MatchIndex: 3, Rejected: true, RejectedIndex: 2, HintIndex: 1},
		SnapshotChunk{Meta: head, Offset: 1, Data: []byte("y"), Last: true},
		SnapshotReply{Index: 4, Offset: -1},
		TimeoutNow{},
	} {
		in.Messages = append(in.Messages, Message{From: 1, To: 2, Term: 3, Body: b})
	}
	b, err := cbor.Marshal(in)
	quicktest.Assert(t, err, quicktest.IsNil)
	var out Batch
	quicktest.Assert(t, cbor.Unmarshal(b, &out), quicktest.IsNil)
	quicktest.Check(t, out, quicktest.DeepEquals, in)
	quicktest.Check(t, out.Check(), quicktest.IsNil)
}

// TestInvalidMessagesAreRejected checks that Batch.Check rejects messages that would
// corrupt a log: gaps, falling terms, unknown kinds, negative offsets and duplicate
// members.
func TestInvalidMessagesAreRejected(t *testing.T) {
	for _, b := range []Body{
		Append{PrevIndex: 2, Entries: []Entry{{Index: 4, Term: 1, Kind: Command}}},
		Append{PrevIndex: 2, PrevTerm: 3, Entries: []Entry{{Index: 3, Term: 1, Kind: Command}}},
		Append{PrevIndex: 2, Entries: []Entry{{Index: 3, Term: 1, Kind: 9}}},
		SnapshotChunk{Offset: -1, Meta: Snapshot{Index: 1}},
		SnapshotChunk{Meta: Snapshot{Index: 1, Config: Config{Replicas: []Replica{{ID: 2}, {ID: 2}}}}},
	} {
		batch := Batch{Messages: []Message{{From: 1, To: 2, Body: b}}}
		quicktest.Check(t, batch.Check(), quicktest.IsNotNil, quicktest.Commentf("%+v", b))
	}
}

// FuzzBatch checks that decoding and checking arbitrary bytes does not panic.
func FuzzBatch(f *testing.F) {
	b, _ := cbor.Marshal(Batch{Messages: []Message{{From: 1, To: 2, Body: VoteReply{}}}})
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var out Batch
		if cbor.Unmarshal(b, &out) == nil {
			_ = out.Check()
		}
	})
}
