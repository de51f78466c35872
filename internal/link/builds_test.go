package link

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/reg"
)

// The types with old as prefix are those of commit 2fa2628, as far as they have got new fields since.
// Those with later as prefix add all fields that docs/design/overload-and-zones.md names, also the
// ones that the types of this build don't have yet.

type oldRequest struct {
	ID           string        `cbor:"1,keyasint"`
	Pool         string        `cbor:"2,keyasint"`
	Prompt       int           `cbor:"3,keyasint"`
	Output       int           `cbor:"4,keyasint"`
	TTFTLeft     time.Duration `cbor:"5,keyasint"`
	TTFTTarget   time.Duration `cbor:"6,keyasint"`
	MaxPause     time.Duration `cbor:"7,keyasint"`
	PauseTimeout time.Duration `cbor:"12,keyasint"`
	TimeLeft     time.Duration `cbor:"8,keyasint"`
	Resumed      bool          `cbor:"13,keyasint,omitempty"`
	Rank         int           `cbor:"9,keyasint"`
	DataCentre   string        `cbor:"10,keyasint"`
	Avoid        []string      `cbor:"11,keyasint,omitempty"`
}

type laterRequest struct {
	place.Request
	Organisation string `cbor:"14,keyasint"`
	RouteRank    int    `cbor:"16,keyasint"`
}

type oldActiveGrant struct {
	Request oldRequest    `cbor:"1,keyasint"`
	Lead    string        `cbor:"2,keyasint"`
	Helpers []string      `cbor:"3,keyasint,omitempty"`
	Memory  []int         `cbor:"6,keyasint,omitempty"`
	Started bool          `cbor:"4,keyasint,omitempty"`
	Age     time.Duration `cbor:"5,keyasint"`
}

type laterActiveGrant struct {
	place.ActiveGrant
	Request laterRequest `cbor:"1,keyasint"`
}

type oldHello struct {
	Name       string `cbor:"1,keyasint"`
	PeerAddr   string `cbor:"2,keyasint"`
	IsControl  bool   `cbor:"3,keyasint,omitempty"`
	DataCentre string `cbor:"5,keyasint,omitempty"`
	Revision   uint64 `cbor:"4,keyasint"`
	Compact    bool   `cbor:"6,keyasint,omitempty"`
}

type laterHello struct {
	Hello
	Evacuates bool `cbor:"7,keyasint"`
}

// oldEnd is place.End as commit 2fa2628 has it.
type oldEnd struct {
	ID, FailedTarget string
	Unreachable      bool
	Pause            time.Duration
}

type oldFollowerMessage struct {
	Hello        *oldHello          `cbor:"1,keyasint,omitempty"`
	Entries      []Entry            `cbor:"2,keyasint,omitempty"`
	HasEntries   bool               `cbor:"3,keyasint,omitempty"`
	Heartbeats   []string           `cbor:"4,keyasint,omitempty"`
	Requests     []oldRequest       `cbor:"5,keyasint,omitempty"`
	Cancelled    []string           `cbor:"6,keyasint,omitempty"`
	Started      []place.FirstEvent `cbor:"7,keyasint,omitempty"`
	Ended        []oldEnd           `cbor:"8,keyasint,omitempty"`
	ActiveGrants []oldActiveGrant   `cbor:"9,keyasint,omitempty"`
	Leaving      []Departure        `cbor:"10,keyasint,omitempty"`
	Crashes      []poison.Crash     `cbor:"11,keyasint,omitempty"`
	Survivals    []poison.Survival  `cbor:"12,keyasint,omitempty"`
	Blocks       []poison.Block     `cbor:"13,keyasint,omitempty"`
	Limits       []place.Limit      `cbor:"14,keyasint,omitempty"`
}

// cold is place.Cold as the page describes it.
type cold struct {
	Target    string        `cbor:"1,keyasint"`
	StartedMs int64         `cbor:"2,keyasint"`
	For       time.Duration `cbor:"3,keyasint"`
}

type laterFollowerMessage struct {
	FollowerMessage
	Hello        *laterHello        `cbor:"1,keyasint"`
	Requests     []laterRequest     `cbor:"5,keyasint"`
	ActiveGrants []laterActiveGrant `cbor:"9,keyasint"`
	Cold         []cold             `cbor:"15,keyasint"`
}

type oldTarget struct {
	ID         string `cbor:"1,keyasint"`
	Pool       string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	Slots      int    `cbor:"5,keyasint"`
	State      uint8  `cbor:"6,keyasint"`
	StartedMs  int64  `cbor:"7,keyasint"`
	Sequence   uint64 `cbor:"8,keyasint"`
}

type laterTarget struct {
	oldTarget
	Cold time.Duration `cbor:"9,keyasint"`
}

type oldDelta struct {
	Revision      uint64      `cbor:"1,keyasint"`
	PackedTables  []byte      `cbor:"2,keyasint,omitempty"`
	Targets       []oldTarget `cbor:"3,keyasint,omitempty"`
	PackedTargets []byte      `cbor:"4,keyasint,omitempty"`
}

type laterDelta struct {
	reg.Delta
	Targets []laterTarget `cbor:"3,keyasint"`
}

type oldControlMessage struct {
	Welcome        *Welcome       `cbor:"1,keyasint,omitempty"`
	Update         *oldDelta      `cbor:"2,keyasint,omitempty"`
	Entries        []Entry        `cbor:"3,keyasint,omitempty"`
	HasEntries     bool           `cbor:"4,keyasint,omitempty"`
	EntryCount     int            `cbor:"5,keyasint,omitempty"`
	Grants         []place.Grant  `cbor:"6,keyasint,omitempty"`
	Refusals       []place.Refuse `cbor:"7,keyasint,omitempty"`
	Queued         []string       `cbor:"8,keyasint,omitempty"`
	Blocks         []poison.Block `cbor:"9,keyasint,omitempty"`
	Limits         []place.Limit  `cbor:"10,keyasint,omitempty"`
	AddedEntries   []Entry        `cbor:"11,keyasint,omitempty"`
	RemovedEntries []string       `cbor:"12,keyasint,omitempty"`
	Relays         []Entry        `cbor:"13,keyasint,omitempty"`
	HasRelays      bool           `cbor:"14,keyasint,omitempty"`
}

type evacuations struct {
	Counter     uint64   `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint"`
}

type laterControlMessage struct {
	ControlMessage
	Update      *laterDelta  `cbor:"2,keyasint"`
	Cold        []cold       `cbor:"15,keyasint"`
	Evacuations *evacuations `cbor:"16,keyasint"`
	Loads       []poolLoad   `cbor:"17,keyasint"`
}

// poolLoad is place.PoolLoad as this build sends it.
type poolLoad struct {
	Pool   string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
	Packed []byte        `cbor:"3,keyasint"`
	Added  bool          `cbor:"4,keyasint"`
}

// laterMessages returns oldMessages with all new fields set.
func laterMessages() map[string]any {
	later := func(r place.Request) laterRequest {
		r.Regions, r.Whole = []string{"eu"}, true
		return laterRequest{Request: r, Organisation: "o", RouteRank: 2}
	}
	messages := oldMessages()
	hello := laterHello{Hello: messages["hello"].(Hello), Evacuates: true}
	notices := []cold{{Target: "t1", StartedMs: 5, For: time.Second}}
	up := laterFollowerMessage{FollowerMessage: messages["follower"].(FollowerMessage), Hello: &hello, Cold: notices}
	for _, r := range up.FollowerMessage.Requests {
		up.Requests = append(up.Requests, later(r))
	}
	for i := range up.Ended {
		up.Ended[i].Answered = true
	}
	for _, g := range up.FollowerMessage.ActiveGrants {
		up.ActiveGrants = append(up.ActiveGrants, laterActiveGrant{ActiveGrant: g, Request: later(g.Request)})
	}
	down := laterControlMessage{ControlMessage: messages["control"].(ControlMessage), Cold: notices, Evacuations: &evacuations{Counter: 2, DataCentres: []string{"a"}}}
	down.Loads = []poolLoad{{Pool: "p", Age: time.Second, Packed: []byte("\x00\x01\x02\x03\x04\x05"), Added: true}}
	down.Update = &laterDelta{Delta: *down.ControlMessage.Update}
	for _, t := range down.Update.Delta.Targets {
		down.Update.Targets = append(down.Update.Targets, laterTarget{Cold: time.Second, oldTarget: oldTarget{
			ID: t.ID, Pool: t.Pool, Address: t.Address, DataCentre: t.DataCentre, Slots: t.Slots, State: uint8(t.State), StartedMs: t.StartedMs, Sequence: t.Sequence,
		}})
	}
	return map[string]any{"hello": hello, "follower": up, "control": down}
}

// TestOldBuildReadsMessages decodes messages with all new fields as commit 2fa2628 does. It must read
// exactly what its own build would have sent without them. This build must read them, too.
func TestOldBuildReadsMessages(t *testing.T) {
	later := laterMessages()
	for name, c := range map[string]struct{ old, current any }{
		"hello": {&oldHello{}, &Hello{}}, "follower": {&oldFollowerMessage{}, &FollowerMessage{}}, "control": {&oldControlMessage{}, &ControlMessage{}},
	} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "old-"+name+".cbor"))
			quicktest.Assert(t, err, quicktest.IsNil)
			b, err := cbor.Marshal(later[name])
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, len(b) > len(golden), quicktest.IsTrue)
			quicktest.Assert(t, cbor.Unmarshal(b, c.old), quicktest.IsNil)
			read, err := cbor.Marshal(c.old)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, read, quicktest.DeepEquals, golden)
			quicktest.Assert(t, cbor.Unmarshal(b, c.current), quicktest.IsNil)
		})
	}
}
