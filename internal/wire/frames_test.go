package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
	"storj.io/drpc/drpcwire"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
)

// readerFunc is an io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// newFrameReader returns a reader of frames that ignores all events.
func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{
		in: bufio.NewReaderSize(r, readBufferBytes), onBegin: func() {},
		onData: func(drpcwire.Kind, int) error { return nil }, onPacket: func(drpcwire.Kind, int) {},
	}
}

// readPackets returns the packets that drpc reads from r until an error.
func readPackets(r io.Reader) (packets []drpcwire.Packet, err error) {
	pr := drpcwire.NewReader(r)
	for {
		p, err := pr.ReadPacket()
		if err != nil {
			return packets, err
		}
		packets = append(packets, p)
	}
}

// splitPacket returns a packet as drpc sends it.
func splitPacket(p drpcwire.Packet) []byte {
	var out []byte
	for first := true; first || len(p.Data) > 0; first = false {
		var part []byte
		part, p.Data = drpcwire.SplitData(p.Data, 0)
		out = drpcwire.AppendFrame(out, drpcwire.Frame{Data: part, ID: p.ID, Kind: p.Kind, Done: len(p.Data) == 0, Control: p.Control})
	}
	return out
}

// drawCalls returns the packets of some calls, and the bytes that drpc sends for them.
func drawCalls(t *rapid.T) (packets []drpcwire.Packet, raw []byte) {
	for stream := range uint64(rapid.IntRange(1, 4).Draw(t, "calls")) {
		message := uint64(0)
		add := func(kind drpcwire.Kind, data []byte) {
			message++
			p := drpcwire.Packet{ID: drpcwire.ID{Stream: stream + 1, Message: message}, Kind: kind, Data: data}
			packets, raw = append(packets, p), append(raw, splitPacket(p)...)
		}
		add(drpcwire.KindInvoke, []byte("some.method"))
		for _, size := range rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, maxPieceBytes, maxPieceBytes + 1, maxFrameBytes, 3*maxFrameBytes + 5}), 1, 3).Draw(t, "sizes") {
			add(drpcwire.KindMessage, bytes.Repeat([]byte{byte(size)}, size))
		}
		add(drpcwire.KindCloseSend, nil)
	}
	return packets, raw
}

// describe returns a packet as text, with all that drpc evaluates.
func describe(p drpcwire.Packet) string {
	return fmt.Sprintf("%s control:%t %x", p.String(), p.Control, xxhash.Sum64(p.Data))
}

// TestFramesKeepPackets checks that what drpc sends arrives unchanged, however it is cut, and that no
// frame that is passed on exceeds a piece.
func TestFramesKeepPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, raw := drawCalls(t)
		var r io.Reader = bytes.NewReader(raw)
		if rapid.Bool().Draw(t, "slow") {
			r = iotest.HalfReader(r)
		}
		f := newFrameReader(r)
		got, err := readPackets(readerFunc(func(p []byte) (int, error) {
			n, err := f.read(p)
			if n > maxPieceBytes+maxHeaderBytes {
				t.Errorf("piece of %d bytes", n)
			}
			return n, err
		}))
		if !errors.Is(err, io.EOF) || len(got) != len(sent) {
			t.Fatalf("%d packets, want %d; %v", len(got), len(sent), err)
		}
		for i := range got {
			if describe(got[i]) != describe(sent[i]) {
				t.Errorf("packet %s, want %s", describe(got[i]), describe(sent[i]))
			}
		}
	})
}

// FuzzFrames feeds arbitrary bytes to a reader of frames. What it passes on must be what drpc reads.
func FuzzFrames(f *testing.F) {
	valid := splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: []byte("a")})
	valid = append(valid, splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 2}, Kind: drpcwire.KindMessage, Data: make([]byte, 300)})...)
	mutate.Add(f, valid)
	f.Fuzz(func(t *testing.T, b []byte) {
		want, _ := readPackets(bytes.NewReader(b)) // Any error ends both.
		got, _ := readPackets(readerFunc(newFrameReader(bytes.NewReader(b)).read))
		if len(got) > len(want) {
			t.Fatalf("%d packets, drpc reads %d", len(got), len(want))
		}
		for i := range got {
			if describe(got[i]) != describe(want[i]) {
				t.Fatalf("packet %s, want %s", describe(got[i]), describe(want[i]))
			}
		}
	})
}

// TestFramesThatNoInstanceSends checks that a connection ends with them, before their data is read.
func TestFramesThatNoInstanceSends(t *testing.T) {
	frame := func(kind drpcwire.Kind, message uint64, size int, done, control bool) []byte {
		return drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, size), ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind, Done: done, Control: control})
	}
	call := frame(drpcwire.KindInvoke, 1, 4, true, false)
	long := bytes.Repeat(frame(drpcwire.KindMessage, 2, maxFrameBytes, false, false), maxMessageBytes/maxFrameBytes)
	for name, c := range map[string]struct {
		bytes []byte
		want  string
	}{
		"long frame":           {frame(drpcwire.KindMessage, 1, maxFrameBytes+1, true, false)[:8], "frame of 65537 bytes"},
		"huge frame":           {[]byte{byte(drpcwire.KindMessage) << 1, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x7f}, "frame of"},
		"endless varint":       {append([]byte{byte(drpcwire.KindMessage) << 1}, bytes.Repeat([]byte{0xff}, 20)...), "varint"},
		"long message":         {append(long, frame(drpcwire.KindMessage, 2, 1, false, false)...), "with 4194305 bytes"},
		"long name":            {frame(drpcwire.KindInvoke, 1, maxMethodBytes+1, true, false), "with 257 bytes"},
		"long cancel":          {frame(drpcwire.KindCancel, 1, maxControlBytes+1, true, true), "with 16385 bytes"},
		"metadata":             {frame(drpcwire.KindInvokeMetadata, 1, 1, true, false), "metadata"},
		"unknown kind":         {frame(40, 1, 1, true, false), "kind 40"},
		"HTTP":                 {[]byte("GET / HTTP/1.1\r\n\r\n"), "kind"},
		"call without message": {append(call, frame(drpcwire.KindInvoke, 2, 4, true, false)...), "call without a message"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readPackets(readerFunc(newFrameReader(bytes.NewReader(c.bytes)).read))
			quicktest.Assert(t, errors.Is(err, errFrames), quicktest.IsTrue, quicktest.Commentf("error %v", err))
			quicktest.Assert(t, err, quicktest.ErrorMatches, ".*"+c.want+".*")
		})
	}
	var controls []byte
	for i := range uint64(maxControlPackets + 1) {
		controls = append(controls, frame(drpcwire.KindCancel, i+1, 0, true, true)...)
	}
	got, err := readPackets(readerFunc(newFrameReader(bytes.NewReader(controls)).read))
	quicktest.Check(t, err, quicktest.ErrorMatches, ".*packets without a message.*")
	quicktest.Check(t, got, quicktest.HasLen, maxControlPackets)
}

// TestUnknownControlPackets checks that packets of newer builds pass if drpc would ignore them.
func TestUnknownControlPackets(t *testing.T) {
	b := splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: 40, Control: true, Data: []byte("new")})
	got, err := readPackets(readerFunc(newFrameReader(bytes.NewReader(b)).read))
	quicktest.Check(t, errors.Is(err, io.EOF), quicktest.IsTrue)
	quicktest.Check(t, got, quicktest.HasLen, 1)
}
