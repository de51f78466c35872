package wire

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// emptyMaps returns a CBOR list of n empty maps, one byte each.
func emptyMaps(n int) []byte {
	return append([]byte{0x9a, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, bytes.Repeat([]byte{0xa0}, n)...)
}

// TestDecodedBytes checks the estimate of what messages take when they are decoded.
func TestDecodedBytes(t *testing.T) {
	for name, c := range map[string]struct {
		message []byte
		want    int64
	}{
		"nothing":           {nil, 0},
		"number":            {[]byte{0x18, 0x20}, 4},
		"data":              {append([]byte{0x59, 1, 0}, bytes.Repeat([]byte{0x9b}, 256)...), 2 * 259},
		"empty maps":        {emptyMaps(1000), 2*1005 + 1000*MaxElementBytes},
		"list in a list":    {[]byte{0x82, 0x81, 0x01, 0x80}, 2*4 + 3*MaxElementBytes},
		"map":               {[]byte{0xa1, 0x01, 0x02}, 2*3 + pairBytes},
		"huge declared":     {[]byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, 2*10 + MaxElementBytes},
		"cut head":          {[]byte{0x9b, 0x7f}, 4},
		"cut data":          {[]byte{0x5a, 0xff, 0xff, 0xff, 0xff, 0x80}, 12},
		"reserved":          {[]byte{0x9c, 0x80}, 4},
		"number of 16 bits": {[]byte{0x19, 0x98, 0x98, 0x81, 0x00}, 2*5 + MaxElementBytes},
	} {
		got, err := decodedBytes(c.message)
		quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf(name))
		quicktest.Check(t, got, quicktest.Equals, c.want, quicktest.Commentf(name))
	}
	_, err := decodedBytes([]byte{0x9f, 0x01, 0xff})
	quicktest.Check(t, errors.Is(err, errIndefinite), quicktest.IsTrue)
}

// FuzzDecodedBytes checks that the estimate is no less than the size of the message, and that CBOR that
// is accepted has no more elements than it counts.
func FuzzDecodedBytes(f *testing.F) {
	mutate.Add(f, emptyMaps(20), []byte{0xa2, 0x01, 0x83, 0x01, 0x02, 0x03, 0x02, 0x42, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := decodedBytes(b)
		if err != nil {
			return
		}
		if n < int64(len(b)) {
			t.Fatalf("%d bytes for a message of %d", n, len(b))
		}
		var v any
		if cbor.Unmarshal(b, &v) != nil {
			return
		}
		if want := int64(countElements(v)) * MaxElementBytes; n < want {
			t.Fatalf("%d bytes, the elements take %d", n, want)
		}
	})
}

// countElements returns the number of elements of all lists in v.
func countElements(v any) int {
	n := 0
	switch v := v.(type) {
	case []any:
		n = len(v)
		for _, e := range v {
			n += countElements(e)
		}
	case map[any]any:
		for _, e := range v {
			n += countElements(e)
		}
	}
	return n
}

// TestCostlyMessagesAreRefused guards against messages that take many times their size when decoded. The
// connection goes on.
func TestCostlyMessagesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 1)
		p := &Pool{Dial: s.net.Dialer(clientAddr)}
		defer p.Close()
		in, out := cbor.RawMessage(emptyMaps(100_000)), cbor.RawMessage{}
		e := verd.From(p.Call(t.Context(), serverAddr, "echo", &in, &out))
		quicktest.Check(t, e.Verdict, quicktest.Equals, verd.NotRun)
		quicktest.Check(t, e.Reason, quicktest.Equals, verd.TooLarge)
		in = cbor.RawMessage(emptyMaps(1000))
		quicktest.Check(t, p.Call(t.Context(), serverAddr, "echo", &in, &out), quicktest.IsNil)
	})
}

// TestDecodingWaitsForMemory checks that a message whose decoding takes more memory than is free is
// refused if none becomes free, while small messages are answered, and not after the other call has ended.
func TestDecodingWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 192<<20)
		big := func() error {
			p := &Pool{Dial: s.net.Dialer(clientAddr)}
			defer p.Close()
			in, out := make([]byte, maxMessageBytes-64), []byte{}
			return p.Call(t.Context(), serverAddr, "echo", &in, &out)
		}
		var held []*rawConn
		for range 3 { // Each takes a third of the memory.
			c := s.dial()
			c.send(t, call(t, "stuck", make([]byte, maxMessageBytes-64)))
			synctest.Wait()
			held = append(held, c)
		}
		e := verd.From(big())
		quicktest.Check(t, e.Verdict, quicktest.Equals, verd.NotRun)
		quicktest.Check(t, e.Reason, quicktest.Equals, verd.Overloaded)
		s.checkServes()
		for _, c := range held {
			c.Close()
		}
		close(s.stuck)
		synctest.Wait()
		quicktest.Check(t, big(), quicktest.IsNil)
	})
}
