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
	// maxEntries bounds the instances named to a caller.
	maxEntries = 64
	// minNearEntries is how many instances of a caller's data centre are enough to name
	// no others: one more than the loss of one.
	minNearEntries = 2
	// ReceiveTimeout is how long a side waits for the other before it ends the link:
	// three pulses and the delay of a busy process.
	ReceiveTimeout = time.Second
)

// Entry is an instance that callers may use.
type Entry struct {
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is the one for callers.
	Address string `cbor:"3,keyasint"`
}

// Near returns the instances for callers of a data centre: those nearby, or all
// where these are too few.
func Near(all []Entry, dataCentre string) []Entry {
	var near []Entry
	for _, e := range all {
		if e.DataCentre == dataCentre {
			near = append(near, e)
		}
	}
	if len(near) >= minNearEntries {
		all = near
	}
	return all[:min(len(all), maxEntries)]
}

// Lister knows which instances callers of a data centre may use.
type Lister interface {
	Entries(dataCentre string) []Entry
}

// Hello opens a link.
type Hello struct {
	Name string `cbor:"1,keyasint"`
	// Peers is the sender's address for other instances.
	Peers string `cbor:"2,keyasint"`
	// IsControl says that the sender keeps control state itself.
	IsControl bool `cbor:"3,keyasint,omitempty"`
	// DataCentre is that of the sender.
	DataCentre string `cbor:"5,keyasint,omitempty"`
	// Revision is the revision that the sender has.
	Revision uint64 `cbor:"4,keyasint"`
}

// Up goes to the leading instance. Every message is a sign of life.
type Up struct {
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	// Entries are the instances that the sender knows to be ready: itself, or
	// those linked to it. Listed says that the list counts.
	Entries []Entry `cbor:"2,keyasint,omitempty"`
	Listed  bool    `cbor:"3,keyasint,omitempty"`
	// Heartbeats are targets that announced themselves to the sender.
	Heartbeats []string        `cbor:"4,keyasint,omitempty"`
	Asks       []place.Ask     `cbor:"5,keyasint,omitempty"`
	Withdrawn  []string        `cbor:"6,keyasint,omitempty"`
	Begun      []place.Begin   `cbor:"7,keyasint,omitempty"`
	Ended      []place.End     `cbor:"8,keyasint,omitempty"`
	Held       []place.Holding `cbor:"9,keyasint,omitempty"`
}

// Welcome answers a Hello.
type Welcome struct {
	// IsLeader says that the answering instance leads; Leader is the peer address
	// of the one that does, or "".
	IsLeader   bool   `cbor:"1,keyasint"`
	LeaderAddr string `cbor:"2,keyasint,omitempty"`
	// ControlAddrs are the peer addresses of all control instances.
	ControlAddrs []string `cbor:"3,keyasint,omitempty"`
}

// Down goes to an instance that follows. Every message is a sign of life.
type Down struct {
	Welcome *Welcome    `cbor:"1,keyasint,omitempty"`
	Update  *reg.Update `cbor:"2,keyasint,omitempty"`
	// Entries are the ready instances: all for control instances, those to name to
	// callers nearby for others.
	Entries    []Entry `cbor:"3,keyasint,omitempty"`
	HasEntries bool    `cbor:"4,keyasint,omitempty"`
	// EntryCount is the number of ready instances; 0 if it did not change.
	EntryCount int            `cbor:"5,keyasint,omitempty"`
	Grants     []place.Grant  `cbor:"6,keyasint,omitempty"`
	Refusals   []place.Refuse `cbor:"7,keyasint,omitempty"`
	// Queued names asks that wait for engines.
	Queued []string `cbor:"8,keyasint,omitempty"`
}
