// Package wire makes and serves calls between instances: CBOR messages over drpc.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
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
