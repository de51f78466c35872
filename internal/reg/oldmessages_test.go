package reg

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/site"
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

// oldTables returns tables with all fields that commit 2fa2628 has.
func oldTables() site.Tables {
	return site.Tables{
		Version: 7, Keyed: true, Bounds: site.Bounds{Header: 16384, Body: 4 << 20},
		Pools: []site.Pool{{Name: "p", Connections: 100, Engine: &site.Engine{
			Slots: 12, Memory: 197_200, Step: 1020 * time.Microsecond, PerAnswer: 2260, PerContext: 4310, Rate: 206_000, Pairs: 138 * time.Microsecond, Chunk: 2048, Stride: 48, Hop: 75 * time.Microsecond,
		}}, {Name: "s", Connections: 96}},
		Routes: []site.Route{{
			Name: "r", Host: "h", Prefix: "/a/", Kind: site.Streaming, Limit: 10 * time.Second, Aim: 250 * time.Millisecond, Pause: 250 * time.Millisecond,
			Rank: 1, Split: []site.PoolWeight{{Pool: "p", Weight: 9}, {Pool: "s", Weight: 1}}, Attempts: 2, Public: true, Resumable: true,
		}},
		Organisations: []site.Organisation{{Name: "o", Keys: []string{"k"}, Rank: 2, Ranked: true}},
	}
}

// oldCommands returns commands of each kind with all fields that commit 2fa2628 has.
func oldCommands() []Command {
	target := site.Target{ID: "t1", Pool: "p", Address: "10.0.2.1:80", DataCentre: "a", Slots: 12, State: site.Ready, StartedMs: 5, Sequence: 3}
	other := target
	other.ID, other.Address = "t2", "10.0.2.2:80"
	return []Command{
		{Publish: &Publish{Tables: oldTables(), Source: []byte(`{"version":7}`)}},
		{Announce: &target},
		{Announce: &other},
		{Deregister: &Deregister{ID: "t2", StartedMs: 5, TimedOut: true}},
	}
}

// oldState returns the state after oldCommands.
func oldState() State {
	var s State
	for _, c := range oldCommands() {
		s.Apply(c)
	}
	return s
}

func oldMessages() map[string]any {
	return map[string]any{
		"commands": oldCommands(), "state": oldState(), "tables": oldTables(), "result": Result{Changed: true, Revision: 4, Error: "e"},
		"delta": Delta{Revision: 4, PackedTables: []byte("packed"), Targets: []site.Target{oldState().Targets[0].Target}, PackedTargets: []byte("packed")},
	}
}

// TestLogOfOldBuild applies the packed commands that commit 2fa2628 has written to the log, and
// restores its snapshot: both must give the state that it had.
func TestLogOfOldBuild(t *testing.T) {
	var m Machine
	file := filepath.Join("testdata", "old-log.cbor")
	if folder := os.Getenv("OLD_MESSAGES"); folder != "" {
		var packed [][]byte
		for _, c := range oldCommands() {
			b, err := m.EncodeCommand(c)
			quicktest.Assert(t, err, quicktest.IsNil)
			m.Apply(0, b)
			packed = append(packed, b)
		}
		snapshot, err := m.Snapshot()
		quicktest.Assert(t, err, quicktest.IsNil)
		b, err := cbor.Marshal(append(packed, snapshot))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, os.WriteFile(filepath.Join(folder, filepath.Base(file)), b, 0o600), quicktest.IsNil)
		return
	}
	b, err := os.ReadFile(file)
	quicktest.Assert(t, err, quicktest.IsNil)
	var records [][]byte
	quicktest.Assert(t, cbor.Unmarshal(b, &records), quicktest.IsNil)
	commands, snapshot := records[:len(records)-1], records[len(records)-1]
	for _, c := range commands {
		r, err := DecodeResult(m.Apply(0, c))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, r.Error == "" && r.Changed, quicktest.IsTrue, quicktest.Commentf("%v", r))
	}
	quicktest.Assert(t, m.state, quicktest.DeepEquals, oldState())
	var restored Machine
	quicktest.Assert(t, restored.Restore(snapshot), quicktest.IsNil)
	quicktest.Assert(t, restored.state, quicktest.DeepEquals, oldState())
}
