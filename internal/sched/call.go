package sched

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Names of the RPC methods. Entries serve liveMethod, schedulers all the others.
const (
	askMethod      = "sched.ask"
	withdrawMethod = "sched.withdraw"
	renewMethod    = "sched.renew"
	adoptMethod    = "sched.adopt"
	releaseMethod  = "sched.release"
	announceMethod = "sched.announce"
	liveMethod     = "sched.live"
)

const (
	// pollTimeout is the duration of a long poll: a scheduler that has no grant for the
	// request by then replies that it is still waiting.
	pollTimeout = time.Second
	// callTimeout bounds a call, in addition to pollTimeout if the call is a long poll.
	callTimeout = 2 * time.Second
	// pendingTTL is how long a request stays queued after its last poll.
	pendingTTL = pollTimeout + 2*callTimeout
	// maxRenewals bounds the renewals in one call.
	maxRenewals = 1 << 16
)

// AskCall requests a grant from the scheduler of a shard. Sending it again with the same
// request ID polls for the same grant.
type AskCall struct {
	Shard member.Shard `cbor:"1,keyasint"`
	Ask   policy.Ask   `cbor:"2,keyasint"`
}

// Check returns an error for the first invalid field.
func (a *AskCall) Check() error { return a.Ask.Check() }

// AskReply is the reply to an AskCall.
type AskReply struct {
	// Grant is nil while the request waits. Its UseBy is the time left to use it.
	Grant  *policy.Grant `cbor:"1,keyasint,omitempty"`
	Digest policy.Digest `cbor:"2,keyasint"`
}

// WithdrawCall cancels a request for a grant, and releases the grant if there already is
// one.
type WithdrawCall struct {
	Shard member.Shard `cbor:"1,keyasint"`
	ID    string       `cbor:"2,keyasint"`
}

// Renewal extends the lease of one grant and reports the progress of its stream.
type Renewal struct {
	Shard    member.Shard    `cbor:"1,keyasint"`
	Grant    string          `cbor:"2,keyasint"`
	Progress policy.Progress `cbor:"3,keyasint"`
}

// RenewCall renews grants that were issued by the same scheduler instance.
type RenewCall struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// Check returns an error if the call has more than maxRenewals renewals.
func (r *RenewCall) Check() error {
	if len(r.Renewals) > maxRenewals {
		return verd.New(verd.NotRun, verd.BadRequest, "at most %d renewals are allowed in one call, got %d", maxRenewals, len(r.Renewals))
	}
	return nil
}

// RenewReply lists the grants that their scheduler does not know.
type RenewReply struct {
	Unknown []string `cbor:"1,keyasint,omitempty"`
}

// LiveGrant is a grant in use, with everything that a new scheduler needs in order to
// adopt it.
type LiveGrant struct {
	Shard member.Shard `cbor:"1,keyasint"`
	Grant policy.Grant `cbor:"2,keyasint"`
	Ask   policy.Ask   `cbor:"3,keyasint"`
}

// LiveGrantsCall requests from an entry the grants of a shard that it is using.
type LiveGrantsCall struct {
	Shard member.Shard `cbor:"1,keyasint"`
}

// LiveGrantsReply is the reply to a LiveGrantsCall.
type LiveGrantsReply struct {
	Grants []LiveGrant `cbor:"1,keyasint"`
}

// AdoptCall registers grants in use with a scheduler whose predecessor issued them.
type AdoptCall struct {
	Grants []LiveGrant `cbor:"1,keyasint"`
}

// ReleaseCall returns a grant when its request has ended. Failed reports that the target
// failed or was not reached.
type ReleaseCall struct {
	Shard    member.Shard    `cbor:"1,keyasint"`
	Grant    string          `cbor:"2,keyasint"`
	Failed   bool            `cbor:"3,keyasint,omitempty"`
	Progress policy.Progress `cbor:"4,keyasint"`
}

// AnnounceCall forwards a target's announcement to the scheduler of a shard.
type AnnounceCall struct {
	Shard        member.Shard        `cbor:"1,keyasint"`
	Announcement engine.Announcement `cbor:"2,keyasint"`
}

// Check returns an error for the first invalid field.
func (a *AnnounceCall) Check() error { return a.Announcement.Check() }

// EmptyReply is the reply to calls that return no data.
type EmptyReply struct{}
