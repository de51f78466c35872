// Package place decides which engine of a pool reads and answers a request, and
// when. It is pure: events and the time go in, decisions come out.
package place

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Ask is a request that wants engines.
type Ask struct {
	// ID is unique to the request and the attempt at placing it.
	ID   string `cbor:"1,keyasint"`
	Pool string `cbor:"2,keyasint"`
	// Prompt and Output are in tokens; Output is an estimate.
	Prompt int `cbor:"3,keyasint"`
	Output int `cbor:"4,keyasint"`
	// Aim is what is left of the time to the first event that the caller wants;
	// it may be negative.
	Aim time.Duration `cbor:"5,keyasint"`
	// Whole is that time from the arrival of the request on.
	Whole time.Duration `cbor:"6,keyasint"`
	// Pause is the longest pause between events that the caller wants.
	Pause time.Duration `cbor:"7,keyasint"`
	// Gap is the pause between events after which the caller gives up.
	Gap time.Duration `cbor:"12,keyasint"`
	// Left is the time until the caller gives up.
	Left time.Duration `cbor:"8,keyasint"`
	// Resumed says that the caller has a part of the answer: it is not refused for
	// the sake of others.
	Resumed bool `cbor:"13,keyasint,omitempty"`
	// Rank orders requests of equal slack; 0 is the first.
	Rank int `cbor:"9,keyasint"`
	// DataCentre is that of the asking instance.
	DataCentre string `cbor:"10,keyasint"`
	// Avoid names targets that failed this request before.
	Avoid []string `cbor:"11,keyasint,omitempty"`
}

// Event is something that the placement has learnt.
type Event interface{ event() }

// Arrive is a new request.
type Arrive struct{ Ask Ask }

// Withdraw is a request whose caller has left, or whose entry placed it itself.
type Withdraw struct{ ID string }

// Begin says that the first event of an answer has come.
type Begin struct {
	ID string
	// After is the time from sending the request to the event.
	After time.Duration
}

// End says that a request needs its engines no more.
type End struct {
	ID string
	// Fault names the target that failed it, if one did.
	Fault string
	// Hard says that the target could not be reached or fell silent.
	Hard bool
}

// Adopt is a grant of another scheduler that is in use.
type Adopt struct{ Holding Holding }

// Fleet is what is known of the engines of the pool.
type Fleet struct {
	Engine  site.Engine
	Targets []site.Target
}

// Heard says that a target has announced itself.
type Heard struct{ Target string }

// Audit is what an engine says of its work.
type Audit struct {
	Target string
	Load   site.Load
}

// Tick lets time pass.
type Tick struct{}

func (Arrive) event()   {}
func (Withdraw) event() {}
func (Begin) event()    {}
func (End) event()      {}
func (Adopt) event()    {}
func (Fleet) event()    {}
func (Heard) event()    {}
func (Audit) event()    {}
func (Tick) event()     {}

// Holding is a grant in use, as its entry knows it.
type Holding struct {
	Ask     Ask      `cbor:"1,keyasint"`
	Lead    string   `cbor:"2,keyasint"`
	Helpers []string `cbor:"3,keyasint,omitempty"`
	Memory  []int    `cbor:"6,keyasint,omitempty"`
	// Begun says that the first event has come.
	Begun bool `cbor:"4,keyasint,omitempty"`
	// Age is the time since the grant.
	Age time.Duration `cbor:"5,keyasint"`
}

// Decision is what is to be done.
type Decision interface{ decision() }

// Grant lets a request run: the lead reads a part of the prompt and writes the
// answer, the helpers read the other parts.
type Grant struct {
	ID      string   `cbor:"1,keyasint"`
	Lead    string   `cbor:"2,keyasint"`
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// Memory is what is set aside on each helper, in tokens, where the prompt is
	// larger than what the lead has free.
	Memory []int `cbor:"7,keyasint,omitempty"`
	// Urgency orders requests in the engine, from 0, the first, to 9.
	Urgency int `cbor:"4,keyasint"`
	// Expect is the predicted time to the first event.
	Expect time.Duration `cbor:"5,keyasint"`
	// Waited is the time between the ask and the grant.
	Waited time.Duration `cbor:"6,keyasint"`
	// Loss is what is predicted to be lost by it, in parts of the request's value:
	// by the request itself and by others.
	Loss Loss `cbor:"-"`
}

// Loss is the cost of a placement.
type Loss struct{ Own, Others float64 }

// Refuse turns a request away; it did not run.
type Refuse struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	// Retry is when coming back may help.
	Retry time.Duration `cbor:"3,keyasint"`
}

func (Grant) decision()  {}
func (Refuse) decision() {}
