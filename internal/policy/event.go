// Package policy decides when each request runs and on which targets. It does no I/O and
// reads no clock: events and the time go in, decisions come out.
package policy

import (
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Ask is a request for a grant.
type Ask struct {
	// ID is unique for each attempt of a request.
	ID           string      `cbor:"1,keyasint"`
	Organisation string      `cbor:"2,keyasint"`
	Class        table.Class `cbor:"3,keyasint"`
	// Prompt and Output are the expected numbers of prompt and answer tokens.
	Prompt int `cbor:"4,keyasint"`
	Output int `cbor:"5,keyasint"`
	// Prefix holds the chained hashes of the prompt's blocks in the prefix cache.
	Prefix []uint64 `cbor:"6,keyasint,omitempty"`
	// Left is the time left until the request must have ended.
	Left time.Duration `cbor:"7,keyasint"`
	// Avoid names the targets on which earlier attempts failed.
	Avoid []string `cbor:"8,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
func (a *Ask) Check() error {
	switch {
	case a.ID == "":
		return verd.New(verd.NotRun, verd.BadRequest, "request id is missing")
	case a.Prompt < 0 || a.Output < 0:
		return verd.New(verd.NotRun, verd.BadRequest, "prompt tokens %d and output tokens %d must not be negative", a.Prompt, a.Output)
	case a.Left <= 0:
		return verd.New(verd.NotRun, verd.Timeout, "time limit reached before scheduling")
	}
	return nil
}

// Event is an input of the scheduler.
type Event interface{ event() }

// Arrive adds a request to the queue.
type Arrive struct{ Ask Ask }

// Withdraw removes a queued request whose caller has disconnected.
type Withdraw struct{ ID string }

// Renew extends the lease of a grant and reports how far the request has come.
type Renew struct {
	Grant    string
	Progress Progress
}

// Progress is the part of an answer stream that the instance serving the caller has
// received.
type Progress struct {
	// First is the time from sending the prompt to the first token; 0 before it.
	First time.Duration `cbor:"1,keyasint,omitempty"`
	// Generated is the number of answer tokens so far.
	Generated int `cbor:"2,keyasint,omitempty"`
	// Reused is the number of prompt tokens that were found in the prefix cache.
	Reused int `cbor:"3,keyasint,omitempty"`
}

// Adopt registers a grant of an earlier scheduler that is still in use.
type Adopt struct {
	Grant Grant
	Ask   Ask
	// Share is the memory reserved on each target, in tokens.
	Share int
}

// Hold lists the requests for which an engine holds KV cache memory.
type Hold struct {
	Target   string
	Holdings []engine.Holding
}

// Release ends a grant.
type Release struct {
	Grant string
	// Failed reports that a target could not be reached or its connection broke.
	Failed bool
	// Progress is the last progress of the answer stream.
	Progress Progress
}

// Announce carries an announcement of a target.
type Announce struct {
	News engine.Announcement
	// Out reports that the target is to take no new work because an order is about to
	// change what it serves.
	Out bool
}

// Heard reports that a target has answered a Probe.
type Heard struct{ Target string }

// Cached reports changes of a target's prefix cache. Such events come late, and some are
// lost.
type Cached struct {
	Target string
	// Added and Removed are chained hashes of blocks.
	Added, Removed []uint64
}

// Depart reports that a target is leaving or gone.
type Depart struct{ Target string }

// Tick triggers the work that depends on time: lease expiry, target checks and the
// division of targets between short and long prompts.
type Tick struct{}

func (Arrive) event()   {}
func (Withdraw) event() {}
func (Renew) event()    {}
func (Adopt) event()    {}
func (Hold) event()     {}
func (Release) event()  {}
func (Announce) event() {}
func (Heard) event()    {}
func (Cached) event()   {}
func (Depart) event()   {}
func (Tick) event()     {}

// Decision is an output of the scheduler.
type Decision interface{ decision() }

// Grant permits a request to run.
type Grant struct {
	// ID identifies the grant; it is the ID of the Ask.
	ID string `cbor:"1,keyasint"`
	// Targets are the targets to use; the first one generates the answer.
	Targets []engine.Target `cbor:"2,keyasint"`
	// Priority orders requests inside an engine; the lowest goes first.
	Priority int `cbor:"3,keyasint"`
	// Epoch is the epoch of the scheduler's lease.
	Epoch uint64 `cbor:"4,keyasint"`
	// UseBy is the time within which the target must receive the request.
	UseBy time.Duration `cbor:"5,keyasint"`
	// Lease is how long the grant lasts without renewal.
	Lease time.Duration `cbor:"6,keyasint"`
	// Share is the memory reserved on each target, in tokens.
	Share int `cbor:"7,keyasint,omitempty"`
}

// Refuse rejects a request, which has not run.
type Refuse struct {
	ID         string
	Reason     verd.Reason
	Message    string
	RetryAfter time.Duration
}

// Cancel frees the memory that a target has reserved for a grant and ends its request.
type Cancel struct {
	Target engine.Target
	Grant  string
}

// Probe checks whether a silent target still answers. Heard reports that it does.
type Probe struct{ Target engine.Target }

func (Grant) decision()  {}
func (Refuse) decision() {}
func (Cancel) decision() {}
func (Probe) decision()  {}
