// Package wire makes and serves calls between instances: CBOR messages over drpc.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// codec is a drpc encoding of domain types as CBOR.
type codec struct{}

var _ drpc.Encoding = codec{}

// Marshal encodes msg.
func (codec) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal decodes buf into msg and, if msg is a Checker, validates it.
func (codec) Unmarshal(buf []byte, msg drpc.Message) error {
	return decode(buf, msg)
}

// serverCodec is a codec for the messages of a connection that a server has accepted.
type serverCodec struct {
	codec
	conn *peerConn
	// stream is that of the message; nil for a call.
	stream *Stream
	// onArrival is called when a whole message has come; nil does nothing.
	onArrival func()
}

// Unmarshal decodes buf within the limits of the server.
func (c serverCodec) Unmarshal(buf []byte, msg drpc.Message) error {
	if c.onArrival != nil {
		c.onArrival()
	}
	n, err := decodedBytes(buf)
	if err != nil {
		return verd.Wrap(err, verd.NotRun, verd.BadRequest, "message of %d bytes", len(buf))
	}
	if err := c.conn.acquire(c.stream, n); err != nil {
		return err
	}
	return decode(buf, msg)
}

// Checker is a domain type that validates itself after it has been decoded.
type Checker interface{ Check() error }

func decode(buf []byte, v any) error {
	if err := cbor.Unmarshal(buf, v); err != nil {
		return err
	}
	if c, ok := v.(Checker); ok {
		return c.Check()
	}
	return nil
}
