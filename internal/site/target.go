package site

import (
	"net"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// State says whether a target takes work.
type State uint8

const (
	// Ready targets take work.
	Ready State = iota + 1
	// Draining targets finish what they have.
	Draining
	// Gone targets have left or were replaced.
	Gone
)

// String returns the name for logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Target is a process that runs requests, as it announced itself.
type Target struct {
	ID         string `cbor:"1,keyasint"`
	Pool       string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	// Slots is how many requests it runs at once.
	Slots int   `cbor:"5,keyasint"`
	State State `cbor:"6,keyasint"`
	// Born is the start of the process in milliseconds since 1970; 0 if it did
	// not say.
	Born int64 `cbor:"7,keyasint"`
	// Seq numbers the announcements of one process.
	Seq uint64 `cbor:"8,keyasint"`
}

// Check returns the first fault as a *table.FieldError, or nil.
func (t *Target) Check() error {
	if t.ID == "" {
		return &table.FieldError{Field: "id", Message: "missing"}
	}
	if t.Pool == "" {
		return &table.FieldError{Field: "pool", Message: "missing"}
	}
	if host, _, err := net.SplitHostPort(t.Address); err != nil || net.ParseIP(host) == nil {
		return &table.FieldError{Field: "address", Message: "not an IP and port"}
	}
	if t.State != Ready && t.State != Draining {
		return &table.FieldError{Field: "state", Message: "unknown"}
	}
	if t.Slots <= 0 {
		return &table.FieldError{Field: "slots", Message: "not positive"}
	}
	return nil
}
