// Package link connects the instances of a site to the one that leads: news of
// tables and targets go down, requests for engines and reports go up.
package link

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
)

const (
	// Method names the stream.
	Method = "link.follow"
	// PulseEvery is the longest silence of either side of a link.
	PulseEvery = 250 * time.Millisecond
	// Silence is how long a side waits for the other before it ends the link:
	// three pulses and the delay of a busy process.
	Silence = time.Second
)

// Entry is an instance that callers may use.
type Entry struct {
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is the one for callers.
	Address string `cbor:"3,keyasint"`
}

// Hello opens a link.
type Hello struct {
	Name string `cbor:"1,keyasint"`
	// Peers is the sender's address for other instances.
	Peers string `cbor:"2,keyasint"`
	// Control says that the sender keeps control state itself.
	Control bool `cbor:"3,keyasint,omitempty"`
	// Have is the revision that the sender has.
	Have uint64 `cbor:"4,keyasint"`
}

// Up goes to the leading instance. Every message is a sign of life.
type Up struct {
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	// Entries are the instances that the sender knows to be ready: itself, or
	// those linked to it. Listed says that the list counts.
	Entries []Entry `cbor:"2,keyasint,omitempty"`
	Listed  bool    `cbor:"3,keyasint,omitempty"`
	// Heard are targets that announced themselves to the sender.
	Heard     []string        `cbor:"4,keyasint,omitempty"`
	Asks      []place.Ask     `cbor:"5,keyasint,omitempty"`
	Withdrawn []string        `cbor:"6,keyasint,omitempty"`
	Begun     []place.Begin   `cbor:"7,keyasint,omitempty"`
	Ended     []place.End     `cbor:"8,keyasint,omitempty"`
	Held      []place.Holding `cbor:"9,keyasint,omitempty"`
}

// Welcome answers a Hello.
type Welcome struct {
	// Leads says that the answering instance leads; Leader is the peer address
	// of the one that does, or "".
	Leads  bool   `cbor:"1,keyasint"`
	Leader string `cbor:"2,keyasint,omitempty"`
	// Control are the peer addresses of all control instances.
	Control []string `cbor:"3,keyasint,omitempty"`
}

// Down goes to an instance that follows. Every message is a sign of life.
type Down struct {
	Welcome *Welcome    `cbor:"1,keyasint,omitempty"`
	Update  *reg.Update `cbor:"2,keyasint,omitempty"`
	// Entries are all ready instances; only control instances get them.
	Entries []Entry `cbor:"3,keyasint,omitempty"`
	Listed  bool    `cbor:"4,keyasint,omitempty"`
	// Count is the number of ready instances; 0 if it did not change.
	Count    int            `cbor:"5,keyasint,omitempty"`
	Grants   []place.Grant  `cbor:"6,keyasint,omitempty"`
	Refusals []place.Refuse `cbor:"7,keyasint,omitempty"`
	// Waiting names asks that wait for engines.
	Waiting []string `cbor:"8,keyasint,omitempty"`
}
