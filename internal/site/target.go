package site

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// State is the state of a target.
type State uint8

const (
	// Ready targets accept requests.
	Ready State = iota + 1
	// Draining targets only finish their in-flight requests.
	Draining
	// Gone targets have deregistered or were replaced.
	Gone
)

// String returns the name of the state in heartbeats and logs.
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

// Target is a process that runs requests, as described by its last heartbeat.
type Target struct {
	ID         string `cbor:"1,keyasint"`
	Pool       string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	// Slots is the maximum number of requests that it runs at once.
	Slots int   `cbor:"5,keyasint"`
	State State `cbor:"6,keyasint"`
	// StartedMs is the start time of the process in Unix milliseconds; 0 if not reported.
	StartedMs int64 `cbor:"7,keyasint"`
	// Sequence is the number of the heartbeat within the lifetime of the process.
	Sequence uint64 `cbor:"8,keyasint"`
	// Cold is how much longer the process was cold when it was announced; 0 if it was not. A change
	// of it alone is no change of the target: it is reported by place.Cold.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
	// ColdUntilMs is when that time ends, in Unix milliseconds of the instance that received the
	// announcement; 0 if it isn't known.
	ColdUntilMs int64 `cbor:"10,keyasint,omitempty"`
}

// IsSameAs reports whether two announcements differ at most in their sequence number and in how much
// longer the process is cold.
func (t Target) IsSameAs(o Target) bool {
	t.Sequence, t.Cold, t.ColdUntilMs = o.Sequence, o.Cold, o.ColdUntilMs
	return t == o
}

// coldClockMargin is how much longer than by ColdUntilMs a process is taken for cold. The time of day of
// two instances may differ by seconds, and may jump.
const coldClockMargin = 5 * time.Second

// ColdLeft returns how much longer the process may be cold by its announcement. An instance that has
// just started does not know otherwise how long ago that was.
func (t *Target) ColdLeft(now time.Time) time.Duration {
	if t.ColdUntilMs == 0 {
		return t.Cold
	}
	return max(0, min(t.Cold, time.UnixMilli(t.ColdUntilMs).Add(coldClockMargin).Sub(now)))
}

// Check validates the target. It returns the first invalid field as a *table.FieldError.
func (t *Target) Check() error {
	if err := CheckName("id", t.ID); err != nil {
		return err
	}
	if t.Pool == "" {
		return &table.FieldError{Field: "pool", Message: "missing"}
	}
	if len(t.DataCentre) > maxNameBytes {
		return &table.FieldError{Field: "data centre", Message: "the name is too long"}
	}
	if len(t.Pool) > maxNameBytes {
		return &table.FieldError{Field: "pool", Message: "the name is too long"}
	}
	if !utf8.ValidString(t.Pool + t.DataCentre) {
		return &table.FieldError{Field: "pool", Message: "not valid UTF-8"}
	}
	if a, err := netip.ParseAddrPort(t.Address); err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return &table.FieldError{Field: "address", Message: fmt.Sprintf("%q is not an IP and port", t.Address)}
	}
	if t.State != Ready && t.State != Draining {
		return &table.FieldError{Field: "state", Message: fmt.Sprintf("%s is neither ready nor draining", t.State)}
	}
	if t.Slots <= 0 || t.Slots > maxEngineCount {
		return &table.FieldError{Field: "slots", Message: fmt.Sprintf("%d is not between 1 and %d", t.Slots, maxEngineCount)}
	}
	return nil
}

// maxNameBytes bounds the names that targets and operators give.
const maxNameBytes = 128

// CheckName rejects what can't be a name in a path, a header and a log line: an empty or long string, and
// one with a slash, a space or a character that is not printable. Its errors are of type *table.FieldError
// and have the field.
func CheckName(field, name string) error {
	isForeign := func(r rune) bool { return r == '/' || unicode.IsSpace(r) || !unicode.IsGraphic(r) }
	switch {
	case name == "":
		return &table.FieldError{Field: field, Message: "missing"}
	case len(name) > maxNameBytes:
		return &table.FieldError{Field: field, Message: "the name is too long"}
	case !utf8.ValidString(name) || strings.ContainsFunc(name, isForeign):
		return &table.FieldError{Field: field, Message: "the name has a slash, a space or a character that is not printable"}
	}
	return nil
}
