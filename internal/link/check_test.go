package link

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
)

// TestLongNamesAreRejected guards against names, IDs and segments of strangers that are kept or copied to all links,
// whatever their size.
func TestLongNamesAreRejected(t *testing.T) {
	messages := func(name, id string, segments []string) map[string]*FollowerMessage {
		request := place.Request{ID: id, Pool: "p", TimeLeft: time.Hour}
		return map[string]*FollowerMessage{
			"hello name":        {Hello: &Hello{Name: name}},
			"hello address":     {Hello: &Hello{PeerAddr: name}},
			"hello data centre": {Hello: &Hello{DataCentre: name}},
			"entry name":        {HasEntries: true, Entries: []Entry{{}, {Name: name}}},
			"entry data centre": {HasEntries: true, Entries: []Entry{{DataCentre: name}}},
			"entry address":     {HasEntries: true, Entries: []Entry{{Address: name}}},
			"request":           {Requests: []place.Request{{}, request}},
			"active grant":      {ActiveGrants: []place.ActiveGrant{{Request: request}}},
			"block":             {Blocks: []poison.Block{{Segments: segments, Left: time.Minute}}},
			"survival":          {Survivals: []poison.Survival{{Segments: segments}}},
			"crash":             {Crashes: []poison.Crash{{Suspects: [][]string{nil, segments}}}},
			"target of crash":   {Crashes: []poison.Crash{{Target: name}}},
		}
	}
	sound := messages(strings.Repeat("n", maxNameBytes), strings.Repeat("i", maxIDBytes), make([]string, 33))
	tooLong := messages(strings.Repeat("n", maxNameBytes+1), strings.Repeat("i", maxIDBytes+1), []string{strings.Repeat("s", 257)})
	for name, m := range sound {
		quicktest.Check(t, m.Check(), quicktest.IsNil, quicktest.Commentf("%s", name))
		quicktest.Check(t, tooLong[name].Check(), quicktest.IsNotNil, quicktest.Commentf("%s", name))
	}
	quicktest.Check(t, (&FollowerMessage{Blocks: []poison.Block{{Segments: make([]string, 1000)}}}).Check(), quicktest.IsNotNil)
}

// TestOutboxIsBounded guards against answers that pile up for a link without end: it ends when the next message
// is longer than its receiver takes, and not for one that is shorter.
func TestOutboxIsBounded(t *testing.T) {
	const id, answers = "0123456789", maxWaitingBytes / 10
	o := newOutbox[ControlMessage]()
	refuse := func(m *ControlMessage) { m.Queued = append(m.Queued, id) }
	for range 2 {
		overflows := 0
		for range answers {
			if o.add(len(id), refuse) {
				overflows++
			}
		}
		quicktest.Assert(t, overflows, quicktest.Equals, 0)
		m, _ := o.take()
		b, err := cbor.Marshal(m)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, len(b) > maxWaitingBytes, quicktest.IsTrue, quicktest.Commentf("links end at a message of %d bytes", len(b)))
	}
	for range answers {
		o.add(len(id), refuse)
	}
	quicktest.Check(t, o.add(len(id), refuse), quicktest.IsTrue)
	quicktest.Check(t, o.add(len(id), refuse), quicktest.IsFalse)
	m, _ := o.take()
	quicktest.Check(t, m.Queued, quicktest.HasLen, 0)
}
