package quorum

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// The files in testdata that begin with "old-" hold what commit 2fa2628 encodes for the values of
// oldMessages. This made them: scripts/oldmessages.sh 2fa2628

// TestMessagesOfOldBuild decodes messages and records of commit 2fa2628: instances of that build run
// beside new ones during an upgrade, and its records are on their disks. With OLD_MESSAGES set to a
// folder it writes the files instead.
func TestMessagesOfOldBuild(t *testing.T) {
	for name, want := range oldMessages() {
		t.Run(name, func(t *testing.T) {
			file := "old-" + name + ".cbor"
			if folder := os.Getenv("OLD_MESSAGES"); folder != "" {
				b, err := cbor.Marshal(want)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Assert(t, os.WriteFile(filepath.Join(folder, file), b, 0o600), quicktest.IsNil)
				return
			}
			b, err := os.ReadFile(filepath.Join("testdata", file))
			quicktest.Assert(t, err, quicktest.IsNil)
			got := reflect.New(reflect.TypeOf(want))
			quicktest.Assert(t, cbor.Unmarshal(b, got.Interface()), quicktest.IsNil)
			encoded, err := cbor.Marshal(want)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, encoded, quicktest.DeepEquals, b, quicktest.Commentf("without new fields the bytes must be those of the old build"))
			quicktest.Assert(t, reflect.DeepEqual(got.Elem().Interface(), want), quicktest.IsTrue, quicktest.Commentf("got %+v, want %+v", got.Elem(), want))
		})
	}
}

// oldSnapshot returns a snapshot with all fields that commit 2fa2628 has.
func oldSnapshot() Snapshot {
	return Snapshot{Index: 4, Term: 2, Data: []byte("state"), Config: Config{GroupID: 9, Replicas: []Replica{
		{ID: 1, Addr: "10.0.0.1:7", Voter: true}, {ID: 2, Addr: "10.0.0.2:7", Replaces: 1},
	}}}
}

// oldEntries returns log entries of all kinds.
func oldEntries() []Entry {
	return []Entry{{Index: 5, Term: 2, Kind: Noop}, {Index: 6, Term: 2, Kind: Command, Data: []byte("x")}, {Index: 7, Term: 3, Kind: Reconfigure, Data: []byte("y")}}
}

// oldMessages returns the messages between replicas and the records on their disks with all fields
// that commit 2fa2628 has.
func oldMessages() map[string]any {
	batch := Batch{Addr: "10.0.0.1:7", GroupID: 9}
	meta := oldSnapshot()
	meta.Data = nil
	for _, b := range []Body{
		VoteRequest{PreVote: true, LastIndex: 3, LastTerm: 2, LeadershipTransfer: true},
		VoteReply{PreVote: true, Granted: true},
		Append{PrevIndex: 2, PrevTerm: 1, Entries: oldEntries(), CommitIndex: 3, Sent: time.Second},
		AppendReply{Sent: time.Second, MatchIndex: 3, Rejected: true, RejectedIndex: 2, HintIndex: 1},
		SnapshotChunk{Meta: meta, Offset: 1, Data: []byte("y"), Last: true, Sent: time.Second},
		SnapshotReply{Index: 4, Offset: -1, Sent: time.Second},
		TimeoutNow{},
	} {
		batch.Messages = append(batch.Messages, Message{From: 1, To: 2, Term: 3, Body: b})
	}
	return map[string]any{
		"batch": batch, "identity": identity{ID: 1, Joined: true}, "hard-state": HardState{Term: 3, VotedFor: 1, CommitIndex: 6},
		"entries": oldEntries(), "snapshot": oldSnapshot(), "hello": HelloReply{ID: 1, Uninitialised: true}, "join": JoinRequest{ID: 1, Addr: "10.0.0.1:7"},
		"propose": ProposeRequest{Command: []byte("x")}, "proposed": ProposeReply{Value: []byte("x")},
		"report": Report{IsLeader: true, Leader: "10.0.0.1:7", Term: 3, Commit: 6, Replicas: meta.Config.Replicas},
	}
}

// TestDiskOfOldBuild opens the folder of a replica that commit 2fa2628 has written: after an upgrade
// each control instance starts from its own. With OLD_MESSAGES set it writes the folder instead.
func TestDiskOfOldBuild(t *testing.T) {
	const folder = "old-disk"
	hard, snapshot := HardState{Term: 3, VotedFor: 1, CommitIndex: 6}, oldSnapshot()
	if to := os.Getenv("OLD_MESSAGES"); to != "" {
		d, _, err := openDisk(store.OS{}, filepath.Join(to, folder), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, d.save(Output{Snapshot: &snapshot}), quicktest.IsNil)
		quicktest.Assert(t, d.save(Output{HardState: &hard, Entries: oldEntries()}), quicktest.IsNil)
		quicktest.Assert(t, d.close(), quicktest.IsNil)
		return
	}
	// The disk is opened for writing.
	own := filepath.Join(t.TempDir(), folder)
	quicktest.Assert(t, os.CopyFS(own, os.DirFS(filepath.Join("testdata", folder))), quicktest.IsNil)
	d, state, err := openDisk(store.OS{}, own, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, state, quicktest.DeepEquals, PersistentState{HardState: hard, Snapshot: snapshot, Entries: oldEntries()})
	quicktest.Assert(t, d.uninitialised, quicktest.IsFalse)
	quicktest.Assert(t, d.close(), quicktest.IsNil)
}
