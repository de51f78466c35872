// Package place schedules the requests of a pool: it decides which engines prefill the
// prompt, which one decodes the answer, and when. It does no input or output and reads no
// clock: events and the time go in, decisions come out.
package place

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Request is a request for engines.
type Request struct {
	// ID identifies the request and the attempt to place it.
	ID   string `cbor:"1,keyasint"`
	Pool string `cbor:"2,keyasint"`
	// Prompt and Output are in tokens; Output is an estimate.
	Prompt int `cbor:"3,keyasint"`
	Output int `cbor:"4,keyasint"`
	// TTFTLeft is the time left until the caller wants the first event; it may be negative.
	TTFTLeft time.Duration `cbor:"5,keyasint"`
	// TTFTTarget is that target counted from the arrival of the request.
	TTFTTarget time.Duration `cbor:"6,keyasint"`
	// MaxPause is the longest pause between events that the caller wants.
	MaxPause time.Duration `cbor:"7,keyasint"`
	// PauseTimeout is the pause between events after which the caller gives up.
	PauseTimeout time.Duration `cbor:"12,keyasint"`
	// TimeLeft is the time until the caller gives up.
	TimeLeft time.Duration `cbor:"8,keyasint"`
	// CallerLeft is the time until the caller's time limit; 0 if it isn't known. Unlike TimeLeft it
	// isn't bounded by the wait for the first event.
	CallerLeft time.Duration `cbor:"17,keyasint,omitempty"`
	// Resumed is set if the caller already has a part of the answer. Such a request is not
	// refused in favour of others.
	Resumed bool `cbor:"13,keyasint,omitempty"`
	// Rank is the priority of the organisation, or that of the route if the organisation has
	// none; 0 is the highest.
	Rank int `cbor:"9,keyasint"`
	// RouteRank is the priority of the route if Rank is that of the organisation, and 0
	// otherwise.
	RouteRank int `cbor:"16,keyasint,omitempty"`
	// Organisation is the name of the caller's organisation; "" if none is known.
	Organisation string `cbor:"14,keyasint,omitempty"`
	// DataCentre is the data centre of the requesting instance.
	DataCentre string `cbor:"10,keyasint"`
	// Avoid lists targets that failed this request before, and those that accept no request
	// from its instance now.
	Avoid []string `cbor:"11,keyasint,omitempty"`
	// Regions are the regions to which the request is bound; empty means all regions.
	Regions []string `cbor:"15,keyasint,omitempty"`
	// Whole is set if the caller gets the answer as a whole: no event shows its progress, and the first one
	// is reported with its end.
	Whole bool `cbor:"18,keyasint,omitempty"`
	// NoQueue is set if the requesting instance takes a grant at once or none, as it is about to end.
	NoQueue bool `cbor:"-"`
	// Instance is the name of the requesting instance. The scheduler sets it.
	Instance string `cbor:"-"`
}

// Event is an input of Core.Step.
type Event interface{ event() }

// Arrive adds a new request.
type Arrive struct{ Request Request }

// Withdraw drops a request whose caller has left, or which its instance placed itself.
type Withdraw struct{ ID string }

// FirstEvent reports the first event of an answer.
type FirstEvent struct {
	ID string
	// Elapsed is the time from sending the request to the event.
	Elapsed time.Duration
}

// Silence reports that the lead of a grant sends no event, so that another engine is tried. The grant
// stays in use, as the lead may go on.
type Silence struct {
	ID string `cbor:"1,keyasint"`
}

// End reports that a request no longer needs its engines.
type End struct {
	ID string
	// FailedTarget is the ID of the target that failed the request, if one did.
	FailedTarget string
	// Unreachable is set if that target could not be reached or stopped responding.
	Unreachable bool
	// Answered is set if that target still takes connections, so that its answer was at fault rather than its
	// process.
	Answered bool `cbor:",omitempty"`
	// Pause is how long the lead wants no further request from the same instance; 0 if it
	// does not say.
	Pause time.Duration
}

// Adopt hands over a grant in use that another scheduler issued.
type Adopt struct{ Grant ActiveGrant }

// Fleet replaces the declared engine parameters and the targets of the pool.
type Fleet struct {
	Engine  site.Engine
	Targets []site.Target
	// ColdRate is how many requests a second a cold target tolerates; 0 means no limit.
	ColdRate float64
}

// Heartbeat reports a heartbeat of a target.
type Heartbeat struct{ Target string }

// LoadReport carries the load that an engine reports.
type LoadReport struct {
	Target string
	Load   site.Load
}

// Limit reports how many requests a second a process of a target accepts from all instances
// together.
type Limit struct {
	Target string `cbor:"1,keyasint"`
	// StartedMs identifies the process by its start time in Unix milliseconds.
	StartedMs int64   `cbor:"2,keyasint"`
	PerSecond float64 `cbor:"3,keyasint"`
	// Named is false if it names no limit any more.
	Named bool `cbor:"4,keyasint"`
	// Phase, from 0 to 1, spreads the first requests of cores that share the limit.
	Phase float64 `cbor:"-"`
}

// Cold reports how much longer a process of a target is cold.
type Cold struct {
	Target string `cbor:"1,keyasint"`
	// StartedMs identifies the process by its start time in Unix milliseconds.
	StartedMs int64 `cbor:"2,keyasint"`
	// For is how much longer it is cold; 0 if it is not.
	For time.Duration `cbor:"3,keyasint"`
	// Sequence is the number of the heartbeat that reported it; 0 if it came in another way.
	// Heartbeats may arrive in another order than they were sent.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
	// Phase, from 0 to 1, spreads the first requests of cores that share the limit.
	Phase float64 `cbor:"-"`
}

// Tick makes the core reconsider waiting requests as time passes.
type Tick struct{}

func (Arrive) event()     {}
func (Withdraw) event()   {}
func (FirstEvent) event() {}
func (Silence) event()    {}
func (End) event()        {}
func (Adopt) event()      {}
func (Fleet) event()      {}
func (Heartbeat) event()  {}
func (LoadReport) event() {}
func (PoolLoad) event()   {}
func (Limit) event()      {}
func (Cold) event()       {}
func (Tick) event()       {}

// ActiveGrant is a grant in use, as reported by the instance that uses it.
type ActiveGrant struct {
	Request Request  `cbor:"1,keyasint"`
	Lead    string   `cbor:"2,keyasint"`
	Helpers []string `cbor:"3,keyasint,omitempty"`
	Memory  []int    `cbor:"6,keyasint,omitempty"`
	// Started is set once the first event has come.
	Started bool `cbor:"4,keyasint,omitempty"`
	// Age is the time since the grant.
	Age time.Duration `cbor:"5,keyasint"`
}

// Decision is an output of Core.Step.
type Decision interface{ decision() }

// Grant assigns engines to a request: the lead prefills a part of the prompt and decodes the
// answer, the helpers prefill the other parts.
type Grant struct {
	ID      string   `cbor:"1,keyasint"`
	Lead    string   `cbor:"2,keyasint"`
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// Memory is the KV cache reserved on each helper, in tokens, if the lead has no room
	// for the whole prompt.
	Memory []int `cbor:"7,keyasint,omitempty"`
	// Urgency is the priority in the engine, from 0, the first, to 9.
	Urgency int `cbor:"4,keyasint"`
	// PredictedTTFT is the predicted time to the first event.
	PredictedTTFT time.Duration `cbor:"5,keyasint"`
	// Waited is the time from the arrival of the request to the grant.
	Waited time.Duration `cbor:"6,keyasint"`
	// Loss is the predicted loss of value by this placement.
	Loss Loss `cbor:"-"`
}

// Loss is the predicted loss of value by a placement, as fractions of the request's value:
// Own is lost by the request itself, Others by other requests. An answer on time has its full
// value, a late one loses latePenalty of it, and one whose caller gives up loses all of it. A
// risk of either counts in proportion, and any delay costs delayCost per second.
type Loss struct{ Own, Others float64 }

// Refuse rejects a request, which has not run.
type Refuse struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration `cbor:"3,keyasint"`
	// Request is what was refused, Work the engine time that it needed, and Left the time left
	// for its first event.
	Request Request       `cbor:"-"`
	Work    time.Duration `cbor:"-"`
	Left    time.Duration `cbor:"-"`
}

func (Grant) decision()  {}
func (Refuse) decision() {}
