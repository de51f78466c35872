// Package poison finds the segments of prompts that crash engines, and the requests that crash
// targets of any kind, from what targets had to do when their processes ended. It does no input or
// output and reads no clock: reports and the time go in, blocks come out.
package poison

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// SurvivalTime is how long an engine must have written an answer until the prompt counts as
// harmless. A segment that crashes engines does so when they begin to write.
const SurvivalTime = time.Second

// requestMark begins the segment that stands for a whole request. No segment of a prompt does.
const requestMark = "="

// RequestSegment returns the segment that stands for all requests with this digest. It is blamed
// and blocked like a segment of their prompts.
func RequestSegment(digest string) string { return requestMark + digest }

// isRequest reports whether a segment stands for a whole request.
func isRequest(segment string) bool { return strings.HasPrefix(segment, requestMark) }

// Crash reports that the process of a target ended without notice.
type Crash struct {
	Target string `cbor:"1,keyasint"`
	// StartedMs identifies the process by its start time in Unix milliseconds.
	StartedMs int64 `cbor:"2,keyasint"`
	// Age is the time since the crash was noticed.
	Age time.Duration `cbor:"3,keyasint"`
	// Suspects are the requests that it had not yet written to for SurvivalTime, each with the
	// shared segments of its prompt and its RequestSegment.
	Suspects [][]string `cbor:"4,keyasint"`
	// Sends tells of each of the Suspects how it was sent. It may be shorter: instances of older
	// builds don't report it.
	Sends []Send `cbor:"5,keyasint,omitempty"`
	// Window is how long before Age the process may have ended at the earliest; 0 if the end itself
	// was noticed.
	Window time.Duration `cbor:"6,keyasint,omitempty"`
	// Unconfirmed is set if the process only fell silent, and no other one has replaced it yet.
	Unconfirmed bool `cbor:"7,keyasint,omitempty"`
}

// Send tells how a request was sent to a target that crashed.
type Send struct {
	// Age is the time from sending the request until the crash was noticed.
	Age time.Duration `cbor:"1,keyasint"`
	// Repeated is set if the request was sent because another target had crashed while it had it.
	Repeated bool `cbor:"2,keyasint,omitempty"`
}

// Survival reports that a target has answered a request completely, or an engine has written to it
// for SurvivalTime.
type Survival struct {
	// Segments are the shared segments of the prompt, and the RequestSegment if the request is a
	// suspect.
	Segments []string `cbor:"1,keyasint"`
	// Age is the time since the first event of the answer, or since a service was sent the request.
	Age time.Duration `cbor:"2,keyasint"`
}

const (
	// maxReportedSegments bounds the segments of one request, and maxSegmentBytes the length of each. Instances
	// look at fewer and shorter ones.
	maxReportedSegments = 256
	maxSegmentBytes     = 256
)

// CheckSegments rejects segments of sizes that no instance reports.
func CheckSegments(segments []string) error {
	if len(segments) > maxReportedSegments {
		return errors.Newf("%d segments of a request", len(segments))
	}
	for _, s := range segments {
		if len(s) > maxSegmentBytes {
			return errors.Newf("segment of %d bytes", len(s))
		}
	}
	return nil
}

// Block tells that requests with all of the segments must not be sent to targets.
type Block struct {
	// Segments are sorted.
	Segments []string `cbor:"1,keyasint"`
	// Left is the time until the block ends; 0 lifts it.
	Left time.Duration `cbor:"2,keyasint"`
	// Times is how often the segments have been blocked.
	Times int `cbor:"3,keyasint"`
}
