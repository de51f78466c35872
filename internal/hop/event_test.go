package hop

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
)

func TestEventsAreSplit(t *testing.T) {
	e := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nversion: 2\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"))
	for _, want := range []Event{
		{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1, HasID: true},
		{Raw: []byte("version: 2\nid: 2\r\ndata: b\r\n\r\n"), ID: 2, HasID: true},
		{Raw: []byte("data: c\n\n")},
	} {
		got, err := e.Next()
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.DeepEquals, want)
	}
	_, err := e.Next()
	quicktest.Assert(t, err, quicktest.Equals, io.EOF)
}

func TestTruncatedEventIsAnError(t *testing.T) {
	for _, s := range []string{"id: 1", "id: 1\n", "id: 1\ndata: half\n", "id: 1\ndata: ha"} {
		_, err := NewEventReader(strings.NewReader(s)).Next()
		quicktest.Assert(t, err, quicktest.Equals, io.ErrUnexpectedEOF, quicktest.Commentf("%q", s))
	}
	_, err := NewEventReader(strings.NewReader("id: x\n\n")).Next()
	quicktest.Assert(t, errors.Is(err, ErrInvalidEvent), quicktest.IsTrue)
}

// TestTextIsNoEvent guards against error texts and heads of responses that are passed on as events or
// comments.
func TestTextIsNoEvent(t *testing.T) {
	for _, s := range []string{
		"database failed\n\n", "data base failed\n\n", ": error\nfailed\n\n", ": error\nerror: failed\n\n", "failed\ndata: e\n\n",
		"HTTP/1.1 500 X\r\nData: x\r\n\r\n", "id: 5\nHTTP/1.1 500 X\r\nDate: x\r\n\r\n", "event: ping\n\n",
	} {
		_, err := NewEventReader(strings.NewReader(s)).Next()
		quicktest.Check(t, errors.Is(err, ErrInvalidEvent), quicktest.IsTrue, quicktest.Commentf("%q: %v", s, err))
	}
	for s, want := range map[string]Event{
		"data\n\n":                      {},
		"\n: a\r\n:b\n\n":               {IsComment: true},
		": a\nretry: 1000\n\n":          {IsComment: true},
		"event: e\nid:  5 \ndata:x\n\n": {ID: 5, HasID: true},
		": a\nversion: 2\ndata: x\n\n":  {},
	} {
		got, err := NewEventReader(strings.NewReader(s)).Next()
		want.Raw = []byte(s)
		quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("%q", s))
		quicktest.Check(t, got, quicktest.DeepEquals, want)
	}
}

func TestPartialEvent(t *testing.T) {
	for s, want := range map[string]Event{
		"id: 12\nda":     {IsPartial: true, ID: 12, HasID: true},
		"id: 1":          {IsPartial: true},
		"\n: a\ndata: x": {IsPartial: true},
		"\n: a\n: b":     {},
	} {
		got, err := NewEventReader(strings.NewReader(s)).Next()
		want.Raw = []byte(s)
		quicktest.Check(t, err, quicktest.Equals, io.ErrUnexpectedEOF, quicktest.Commentf("%q", s))
		quicktest.Check(t, got, quicktest.DeepEquals, want)
	}
}

// TestEventsKeepBytes cuts a stream at any byte. The events returned must be a prefix of
// the stream, byte by byte, and io.EOF may come only at the end of an event.
func TestEventsKeepBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			b.WriteString("id: 7\ndata: " + strings.Repeat("x", rapid.IntRange(0, 9000).Draw(t, "data")) + "\n\n")
		}
		whole := b.String()
		cut := whole[:rapid.IntRange(0, len(whole)).Draw(t, "cut")]
		e, got := NewEventReader(strings.NewReader(cut)), ""
		for {
			ev, err := e.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && got != cut {
					t.Fatalf("io.EOF after %d of %d bytes", len(got), len(cut))
				}
				break
			}
			got += string(ev.Raw)
		}
		if !strings.HasPrefix(whole, got) {
			t.Fatal("the returned bytes are not a prefix of the stream")
		}
	})
}

func FuzzEvents(f *testing.F) {
	mutate.Add(f, []byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), []byte("\n\n\nid:\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := NewEventReader(strings.NewReader(string(b)))
		size := 0
		for {
			ev, err := e.Next()
			if err != nil {
				return
			}
			if size += len(ev.Raw); len(ev.Raw) == 0 || size > len(b) {
				t.Fatalf("event of %d bytes; %d bytes returned of an input of %d", len(ev.Raw), size, len(b))
			}
		}
	})
}
