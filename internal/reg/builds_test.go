package reg

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// The types with old as prefix are those of commit 2fa2628. Those with later as prefix add all fields
// that docs/design/overload-and-zones.md names, also the ones that the types of this build don't have
// yet.

type oldRouteShape struct {
	Name      string            `cbor:"1,keyasint"`
	Host      string            `cbor:"2,keyasint"`
	Prefix    string            `cbor:"3,keyasint"`
	Kind      uint8             `cbor:"4,keyasint"`
	Limit     time.Duration     `cbor:"5,keyasint"`
	Aim       time.Duration     `cbor:"6,keyasint"`
	Pause     time.Duration     `cbor:"7,keyasint"`
	Rank      int               `cbor:"8,keyasint"`
	Split     []site.PoolWeight `cbor:"9,keyasint"`
	Attempts  int               `cbor:"10,keyasint"`
	Public    bool              `cbor:"11,keyasint"`
	Resumable bool              `cbor:"12,keyasint"`
}

type oldPoolShape struct {
	Name        string       `cbor:"1,keyasint"`
	Connections int          `cbor:"2,keyasint"`
	Engine      *site.Engine `cbor:"3,keyasint"`
}

type laterPool struct {
	site.Pool
	ColdRate float64       `cbor:"4,keyasint"`
	ColdTime time.Duration `cbor:"5,keyasint"`
}

type oldOrganisationShape struct {
	Name   string   `cbor:"1,keyasint"`
	Keys   []string `cbor:"2,keyasint"`
	Rank   int      `cbor:"3,keyasint"`
	Ranked bool     `cbor:"4,keyasint"`
}

type oldTablesShape struct {
	Version       int64                  `cbor:"1,keyasint"`
	Routes        []oldRouteShape        `cbor:"2,keyasint"`
	Pools         []oldPoolShape         `cbor:"3,keyasint"`
	Organisations []oldOrganisationShape `cbor:"4,keyasint"`
	Bounds        site.Bounds            `cbor:"5,keyasint"`
	Keyed         bool                   `cbor:"6,keyasint"`
}

type laterTables struct {
	site.Tables
	Pools []laterPool `cbor:"3,keyasint"`
}

type oldTargetShape struct {
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
	oldTargetShape
	Cold time.Duration `cbor:"9,keyasint"`
}

type oldRecordShape struct {
	Target   oldTargetShape `cbor:"1,keyasint"`
	Revision uint64         `cbor:"2,keyasint"`
	TimedOut bool           `cbor:"3,keyasint,omitempty"`
}

type oldStateShape struct {
	Revision       uint64           `cbor:"1,keyasint"`
	Tables         *oldTablesShape  `cbor:"2,keyasint"`
	Source         []byte           `cbor:"3,keyasint"`
	TablesRevision uint64           `cbor:"4,keyasint"`
	Targets        []oldRecordShape `cbor:"5,keyasint"`
}

type oldPublishShape struct {
	Tables oldTablesShape `cbor:"1,keyasint"`
	Source []byte         `cbor:"2,keyasint"`
}

type oldCommandShape struct {
	Publish    *oldPublishShape `cbor:"1,keyasint,omitempty"`
	Announce   *oldTargetShape  `cbor:"2,keyasint,omitempty"`
	Deregister *Deregister      `cbor:"3,keyasint,omitempty"`
}

type laterPublish struct {
	Tables laterTables `cbor:"1,keyasint"`
	Source []byte      `cbor:"2,keyasint"`
}

// laterEvacuate is the new command of the registry.
type laterEvacuate struct {
	DataCentre string `cbor:"1,keyasint"`
	Withdrawn  bool   `cbor:"2,keyasint,omitempty"`
}

type laterCommand struct {
	Publish    *laterPublish  `cbor:"1,keyasint,omitempty"`
	Announce   *laterTarget   `cbor:"2,keyasint,omitempty"`
	Deregister *Deregister    `cbor:"3,keyasint,omitempty"`
	Evacuate   *laterEvacuate `cbor:"4,keyasint,omitempty"`
	ReceivedMs int64          `cbor:"5,keyasint,omitempty"`
}

// withNewFields returns tables with all new fields set.
func withNewFields(t site.Tables) laterTables {
	out := laterTables{Tables: t}
	for i := range t.Routes {
		t.Routes[i].Regions = []string{"eu"}
	}
	for i := range t.Organisations {
		t.Organisations[i].Regions = []string{"eu", "us"}
	}
	for _, p := range t.Pools {
		out.Pools = append(out.Pools, laterPool{Pool: p, ColdRate: 17, ColdTime: 20 * time.Second})
	}
	return out
}

// reencode encodes v, decodes that as T and encodes it again.
func reencode[T any](t testing.TB, v any) []byte {
	b, err := cbor.Marshal(v)
	quicktest.Assert(t, err, quicktest.IsNil)
	var as T
	quicktest.Assert(t, cbor.Unmarshal(b, &as), quicktest.IsNil)
	b, err = cbor.Marshal(as)
	quicktest.Assert(t, err, quicktest.IsNil)
	return b
}

// TestOldBuildReadsRecords decodes tables and commands with all new fields as commit 2fa2628 does. It
// must read exactly what its own build would have stored without them.
func TestOldBuildReadsRecords(t *testing.T) {
	golden := func(name string) []byte {
		b, err := os.ReadFile(filepath.Join("testdata", "old-"+name+".cbor"))
		quicktest.Assert(t, err, quicktest.IsNil)
		return b
	}
	quicktest.Assert(t, reencode[oldTablesShape](t, withNewFields(oldTables())), quicktest.DeepEquals, golden("tables"))
	publish := laterCommand{Publish: &laterPublish{Tables: withNewFields(oldTables()), Source: []byte(`{"version":7}`)}}
	announce := laterCommand{Announce: &laterTarget{Cold: time.Second, oldTargetShape: oldTargetShape{
		ID: "t1", Pool: "p", Address: "10.0.2.1:80", DataCentre: "a", Slots: 12, State: uint8(site.Ready), StartedMs: 5, Sequence: 3,
	}}}
	var commands []cbor.RawMessage
	quicktest.Assert(t, cbor.Unmarshal(golden("commands"), &commands), quicktest.IsNil)
	quicktest.Assert(t, reencode[oldCommandShape](t, publish), quicktest.DeepEquals, []byte(commands[0]))
	quicktest.Assert(t, reencode[oldCommandShape](t, announce), quicktest.DeepEquals, []byte(commands[1]))
	quicktest.Assert(t, reencode[oldCommandShape](t, laterCommand{Evacuate: &laterEvacuate{DataCentre: "a"}}), quicktest.DeepEquals, reencode[oldCommandShape](t, Command{}))
	// The state of this build, with the regions that only it stores.
	var m Machine
	var p packer
	for _, c := range []laterCommand{publish, announce} {
		b, err := p.pack(c)
		quicktest.Assert(t, err, quicktest.IsNil)
		m.Apply(0, b)
	}
	quicktest.Assert(t, m.state.Tables.Routes[0].Regions, quicktest.DeepEquals, []string{"eu"})
	var old Machine
	quicktest.Assert(t, old.Restore(reencode[oldStateShape](t, m.state)), quicktest.IsNil)
	quicktest.Assert(t, old.state.Tables, quicktest.DeepEquals, oldState().Tables)
}

// TestReplicasOfBothBuildsAgree applies random commands, some with new fields and some unknown to
// commit 2fa2628, to a replica of this build and to one that reads them as that commit does. Both must
// have the same revision and the same common state after each command, also after either has restored
// a snapshot of the other: the revision tells readers which changes they lack.
func TestReplicasOfBothBuildsAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var current, old Machine
		var p packer
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 19).Draw(r, "restore") {
			case 0:
				quicktest.Assert(t, current.Restore(reencode[oldStateShape](t, old.state)), quicktest.IsNil)
			case 1:
				quicktest.Assert(t, old.Restore(reencode[oldStateShape](t, current.state)), quicktest.IsNil)
			}
			c := drawCommand(r)
			c.ReceivedMs = rapid.Int64Range(0, 3).Draw(r, "received")
			b, err := p.pack(c)
			quicktest.Assert(t, err, quicktest.IsNil)
			var read oldCommandShape
			quicktest.Assert(t, unpack(b, &read), quicktest.IsNil)
			asOld, err := p.pack(read)
			quicktest.Assert(t, err, quicktest.IsNil)
			got, err := DecodeResult(current.Apply(0, b))
			quicktest.Assert(t, err, quicktest.IsNil)
			want, err := DecodeResult(old.Apply(0, asOld))
			quicktest.Assert(t, err, quicktest.IsNil)
			if got.Error != "" || got.Revision != want.Revision || c.Evacuate == nil && got.Changed != want.Changed {
				r.Fatalf("%+v: result is %+v, of the old build %+v", c, got, want)
			}
			if a, b := reencode[oldStateShape](t, current.state), reencode[oldStateShape](t, old.state); string(a) != string(b) {
				r.Fatalf("%+v: state is %+v, of the old build %+v", c, current.state, old.state)
			}
		}
	})
}

// drawCommand draws a command with new fields. Few names and times are drawn from, so that commands
// meet.
func drawCommand(t *rapid.T) laterCommand {
	id := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "id")))
	startedMs := rapid.Int64Range(0, 2).Draw(t, "started")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		tables := oldTables()
		tables.Version = rapid.Int64Range(0, 20).Draw(t, "version")
		return laterCommand{Publish: &laterPublish{Tables: withNewFields(tables), Source: []byte(id)}}
	case 1:
		return laterCommand{Deregister: &Deregister{ID: id, StartedMs: startedMs, TimedOut: rapid.Bool().Draw(t, "silent")}}
	case 2, 3:
		return laterCommand{Evacuate: &laterEvacuate{DataCentre: id, Withdrawn: rapid.Bool().Draw(t, "withdrawn")}}
	default:
		state := rapid.SampledFrom([]site.State{site.Ready, site.Ready, site.Draining}).Draw(t, "state")
		return laterCommand{Announce: &laterTarget{
			Cold: time.Duration(rapid.IntRange(0, 2).Draw(t, "cold")) * time.Second,
			oldTargetShape: oldTargetShape{
				ID: id, Pool: "p", Address: "10.0.2." + string(rune('1'+rapid.IntRange(0, 2).Draw(t, "address"))) + ":80", DataCentre: "a", Slots: 12,
				State: uint8(state), StartedMs: startedMs, Sequence: rapid.Uint64Range(0, 9).Draw(t, "sequence"),
			},
		}}
	}
}
