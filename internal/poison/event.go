// Package poison finds the segments of prompts that crash engines, from what engines had to do when
// their processes ended. It does no input or output and reads no clock: reports and the time go
// in, blocks come out.
package poison

import "time"

// SurvivalTime is how long an engine must have written an answer until the prompt counts as
// harmless. A segment that crashes engines does so when they begin to write.
const SurvivalTime = time.Second

// Crash reports that the process of an engine ended without notice.
type Crash struct {
	Target string `cbor:"1,keyasint"`
	// StartedMs identifies the process by its start time in Unix milliseconds.
	StartedMs int64 `cbor:"2,keyasint"`
	// Age is the time since the crash was noticed.
	Age time.Duration `cbor:"3,keyasint"`
	// Suspects are the requests that it had not yet written to for SurvivalTime, each with the
	// shared segments of its prompt.
	Suspects [][]string `cbor:"4,keyasint"`
}

// Survival reports that an engine has written an answer completely, or for SurvivalTime.
type Survival struct {
	// Segments are the shared segments of the prompt.
	Segments []string `cbor:"1,keyasint"`
	// Age is the time since the first event of the answer.
	Age time.Duration `cbor:"2,keyasint"`
}

// Block tells that requests whose prompts have all of the segments must not be sent to engines.
type Block struct {
	// Segments are sorted.
	Segments []string `cbor:"1,keyasint"`
	// Left is the time until the block ends; 0 lifts it.
	Left time.Duration `cbor:"2,keyasint"`
	// Times is how often the segments have been blocked.
	Times int `cbor:"3,keyasint"`
}
