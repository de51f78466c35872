package link

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/reg"
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
			if m, ok := got.Interface().(*FollowerMessage); ok {
				quicktest.Check(t, m.Check(), quicktest.IsNil)
			}
			encoded, err := cbor.Marshal(want)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, encoded, quicktest.DeepEquals, b, quicktest.Commentf("without new fields the bytes must be those of the old build"))
			quicktest.Assert(t, reflect.DeepEqual(got.Elem().Interface(), want), quicktest.IsTrue, quicktest.Commentf("got %+v, want %+v", got.Elem(), want))
		})
	}
}

// oldMessages returns a message of each kind with all fields that commit 2fa2628 has.
func oldMessages() map[string]any {
	request := place.Request{
		ID: "e/1/2", Pool: "p", Prompt: 5000, Output: 900, TTFTLeft: 200 * time.Millisecond, TTFTTarget: 300 * time.Millisecond,
		MaxPause: 250 * time.Millisecond, PauseTimeout: 2 * time.Second, TimeLeft: 9 * time.Second, Resumed: true, Rank: 1, DataCentre: "a", Avoid: []string{"t1"},
	}
	entry := Entry{Name: "e", DataCentre: "a", Address: "10.0.1.1:80"}
	other := Entry{Name: "f", DataCentre: "b", Address: "10.0.1.2:80"}
	limit := place.Limit{Target: "t1", StartedMs: 5, PerSecond: 2.5, Named: true}
	block := poison.Block{Segments: []string{"s1", "s2"}, Left: time.Minute, Times: 2}
	hello := Hello{Name: "e", PeerAddr: "10.0.1.1:7", IsControl: true, DataCentre: "a", Revision: 7, Compact: true}
	target := site.Target{ID: "t1", Pool: "p", Address: "10.0.2.1:80", DataCentre: "a", Slots: 12, State: site.Ready, StartedMs: 5, Sequence: 3}
	return map[string]any{
		"hello": hello,
		"follower": FollowerMessage{
			Hello: &hello, Entries: []Entry{entry}, HasEntries: true, Heartbeats: []string{"t1"}, Requests: []place.Request{request}, Cancelled: []string{"e/1/1"},
			Started: []place.FirstEvent{{ID: "e/1/0", Elapsed: 90 * time.Millisecond}},
			Ended:   []place.End{{ID: "e/1/0", FailedTarget: "t2", Unreachable: true, Pause: time.Second}},
			ActiveGrants: []place.ActiveGrant{{
				Request: request, Lead: "t1", Helpers: []string{"t2"}, Memory: []int{4000}, Started: true, Age: time.Second,
			}},
			Leaving:   []Departure{{ID: "t3", StartedMs: 4}},
			Crashes:   []poison.Crash{{Target: "t4", StartedMs: 4, Age: time.Second, Suspects: [][]string{{"s1"}}, Sends: []poison.Send{{Age: time.Second, Repeated: true}}}},
			Survivals: []poison.Survival{{Segments: []string{"s3"}, Age: time.Second}},
			Blocks:    []poison.Block{block}, Limits: []place.Limit{limit},
		},
		"control": ControlMessage{
			Welcome: &Welcome{IsLeader: true, LeaderAddr: "10.0.0.1:7", ControlAddrs: []string{"10.0.0.1:7", "10.0.0.2:7"}},
			Update:  &reg.Delta{Revision: 9, PackedTables: []byte("packed"), Targets: []site.Target{target}, PackedTargets: []byte("packed")},
			Entries: []Entry{entry}, HasEntries: true, EntryCount: 2,
			Grants:   []place.Grant{{ID: "e/1/2", Lead: "t1", Helpers: []string{"t2"}, Memory: []int{4000}, Urgency: 3, PredictedTTFT: 100 * time.Millisecond, Waited: time.Millisecond}},
			Refusals: []place.Refuse{{ID: "e/1/3", Reason: "r", RetryAfter: time.Second}}, Queued: []string{"e/1/4"},
			Blocks: []poison.Block{block}, Limits: []place.Limit{limit}, AddedEntries: []Entry{other}, RemovedEntries: []string{"g"},
			Relays: []Entry{other}, HasRelays: true,
		},
	}
}
