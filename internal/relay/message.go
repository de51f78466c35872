// Package relay connects an instance to targets that it can't reach itself: another instance
// dials them and passes the bytes on.
package relay

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Method is the name of the stream method that opens a tunnel.
const Method = "relay.open"

// result is what became of the request for a tunnel.
type result int

const (
	// opened means that the target has accepted the connection.
	opened result = iota + 1
	// refused means that nothing listens at the address.
	refused
	// unavailable means that the relay can't reach the target either, or doesn't serve tunnels to it.
	unavailable
)

// upMessage is a message to the relay.
type upMessage struct {
	// Address is the target's; only the first message has it.
	Address string `cbor:"1,keyasint,omitempty"`
	Data    []byte `cbor:"2,keyasint,omitempty"`
	// Notice is what the target asked for in a response.
	Notice *Notice `cbor:"3,keyasint,omitempty"`
	// Probe is set in the first message if there is to be no tunnel. Relays of builds that don't know it
	// treat it as a request for one.
	Probe bool `cbor:"4,keyasint,omitempty"`
}

// Check rejects messages of sizes that no instance sends.
func (m *upMessage) Check() error {
	if len(m.Data) > chunkBytes || len(m.Address) > maxAddressBytes {
		return errors.Newf("tunnel message with %d bytes for an address of %d", len(m.Data), len(m.Address))
	}
	return nil
}

// Notice is what a target asked of the instance that is connected to it.
type Notice struct {
	// Leaving is set if the target is about to shut down.
	Leaving bool `cbor:"1,keyasint,omitempty"`
	// Pause is how long it wants no requests.
	Pause time.Duration `cbor:"2,keyasint,omitempty"`
}

// downMessage is a message from the relay.
type downMessage struct {
	// Result is set in the first message only.
	Result result `cbor:"1,keyasint,omitempty"`
	Data   []byte `cbor:"2,keyasint,omitempty"`
	// End is set once the target has closed the connection in order. A tunnel that ends without it
	// has lost bytes.
	End bool `cbor:"3,keyasint,omitempty"`
}

// Check rejects messages of sizes that no instance sends.
func (m *downMessage) Check() error {
	if len(m.Data) > chunkBytes {
		return errors.Newf("tunnel message with %d bytes", len(m.Data))
	}
	return nil
}

const (
	// chunkBytes bounds the data of one message.
	chunkBytes = 16 << 10
	// maxAddressBytes bounds an address: an IPv6 address with its port is shorter.
	maxAddressBytes = 64
)
