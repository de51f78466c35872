package wire

import (
	"bufio"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcwire"
)

const (
	// maxHeaderBytes is the length of the longest header of a frame: a control byte and three varints.
	maxHeaderBytes = 1 + 3*10
	// maxPieceBytes bounds the data of the frames that a frameReader returns.
	maxPieceBytes = 4000
	// readBufferBytes is the size of the buffer of a frameReader.
	readBufferBytes = 8 << 10

	controlBit = 0x80
	kindMask   = 0x7e
	doneBit    = 0x01
)

// errFrames is the error of a peer that sends what no instance does.
var errFrames = errors.New("frames that no instance sends")

// frameReader reads the frames of a drpc connection, checks them, and returns them in pieces of at most
// maxPieceBytes. The buffer in which drpc collects a frame stays at that size; it keeps what it grew to
// for as long as the connection is open.
type frameReader struct {
	in *bufio.Reader
	// onBegin is called on the first byte of a frame, before the rest is waited for.
	onBegin func()
	// onData is called with the size of the packet that the frames so far belong to, before the data of
	// a frame is read. An error ends the reader.
	onData func(kind drpcwire.Kind, size int) error
	// onPacket is called with the kind and size of a packet whose last byte was read.
	onPacket func(kind drpcwire.Kind, size int)

	// frame is the frame that is being read; its data is not kept. left is what is still to be read of it.
	frame drpcwire.Frame
	left  int
	// packet identifies the packet that the frame belongs to, and size is that of its frames so far.
	packet drpcwire.ID
	kind   drpcwire.Kind
	size   int
	// inPacket is set from the first frame of a packet to the last.
	inPacket bool
	// invoked is set from the name of a method to the first message, and controls counts the other
	// packets since the last message.
	invoked  bool
	controls int
}

// read reads one frame or a part of one into p, which holds more than maxHeaderBytes, with a header of its own.
func (r *frameReader) read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.readHeader(); err != nil {
			return 0, err
		}
	}
	n := min(r.left, maxPieceBytes, len(p)-maxHeaderBytes)
	if n > 0 {
		var err error
		if n, err = r.in.Read(p[maxHeaderBytes : maxHeaderBytes+n]); n == 0 {
			return 0, err
		}
		r.left -= n
	}
	f := r.frame
	f.Done = f.Done && r.left == 0
	if f.Done {
		r.inPacket = false
		r.onPacket(r.kind, r.size)
	}
	head := appendHeader(p[:0:maxHeaderBytes], f, n)
	copy(p[len(head):], p[maxHeaderBytes:maxHeaderBytes+n])
	return len(head) + n, nil
}

// appendHeader appends the header of a frame with n bytes of data.
func appendHeader(b []byte, f drpcwire.Frame, n int) []byte {
	control := byte(f.Kind) << 1 & kindMask
	if f.Done {
		control |= doneBit
	}
	if f.Control {
		control |= controlBit
	}
	b = append(b, control)
	b = drpcwire.AppendVarint(b, f.ID.Stream)
	b = drpcwire.AppendVarint(b, f.ID.Message)
	return drpcwire.AppendVarint(b, uint64(n))
}

// readHeader reads the header of the next frame and checks it.
func (r *frameReader) readHeader() error {
	control, err := r.in.ReadByte()
	if err != nil {
		return err
	}
	r.onBegin()
	f := drpcwire.Frame{Kind: drpcwire.Kind(control & kindMask >> 1), Done: control&doneBit != 0, Control: control&controlBit != 0}
	var length uint64
	for _, v := range []*uint64{&f.ID.Stream, &f.ID.Message, &length} {
		if *v, err = r.readVarint(); err != nil {
			return err
		}
	}
	if length > maxFrameBytes {
		return errors.Wrapf(errFrames, "frame of %d bytes", length)
	}
	if !r.inPacket || f.ID != r.packet {
		r.inPacket, r.packet, r.kind, r.size = true, f.ID, f.Kind, 0
	}
	r.frame, r.left, r.size = f, int(length), r.size+int(length)
	if err := r.check(f); err != nil {
		return err
	}
	return r.onData(r.kind, r.size)
}

func (r *frameReader) readVarint() (v uint64, err error) {
	for shift := uint(0); shift < 64; shift += 7 {
		b, err := r.in.ReadByte()
		if err != nil {
			return 0, err
		}
		v |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return v, nil
		}
	}
	return 0, errors.Wrap(errFrames, "varint of more than 64 bits")
}

// check rejects what no instance sends: other kinds of packets, sizes beyond the limits, calls without
// a message, and many packets without one.
func (r *frameReader) check(f drpcwire.Frame) error {
	limit := maxControlBytes
	switch f.Kind {
	case drpcwire.KindMessage:
		limit = maxMessageBytes
		if f.Done {
			r.invoked, r.controls = false, 0
		}
	case drpcwire.KindInvoke:
		limit = maxMethodBytes
		if f.Done && r.invoked {
			return errors.Wrap(errFrames, "call without a message")
		}
		r.invoked = r.invoked || f.Done
	case drpcwire.KindError, drpcwire.KindCancel, drpcwire.KindClose, drpcwire.KindCloseSend:
	case drpcwire.KindInvokeMetadata:
		return errors.Wrap(errFrames, "metadata")
	default:
		// drpc ignores packets of kinds that it doesn't know if they have the control bit.
		if !f.Control {
			return errors.Wrapf(errFrames, "packet of kind %d", f.Kind)
		}
	}
	if r.size > limit {
		return errors.Wrapf(errFrames, "packet of kind %d with %d bytes", f.Kind, r.size)
	}
	if f.Kind != drpcwire.KindMessage && f.Done {
		if r.controls++; r.controls > maxControlPackets {
			return errors.Wrap(errFrames, "packets without a message")
		}
	}
	return nil
}
