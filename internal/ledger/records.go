package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// DefaultRetention is how long the outcome of a call is kept after it was recorded.
	DefaultRetention = 60 * 24 * time.Hour
	// MaxBodyBytes bounds the body of a stored response in bytes. A larger one is truncated.
	MaxBodyBytes = 16 << 10
	// maxReleasedAttempts bounds the released attempts kept per record.
	maxReleasedAttempts = 8
)

// ID identifies a call by its organisation and its idempotency key.
type ID struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
}

// compare orders ids by organisation, then by key.
func (i ID) compare(j ID) int {
	return cmp.Or(cmp.Compare(i.Organisation, j.Organisation), cmp.Compare(i.Key, j.Key))
}

// ID returns the id of the call.
func (c *Call) ID() ID { return ID{Organisation: c.Organisation, Key: c.Key} }

// process returns the process that makes the attempt.
func (c *Call) process() member.Process {
	return member.Process{Name: c.Entry, Incarnation: c.Incarnation}
}

// Record is the stored state of one idempotency key.
type Record struct {
	ID      ID             `cbor:"1,keyasint"`
	Digest  [32]byte       `cbor:"2,keyasint"`
	Attempt string         `cbor:"3,keyasint"`
	Process member.Process `cbor:"4,keyasint"`
	// State is Acquired while the attempt is in progress, and zero while the key is free.
	State    State        `cbor:"5,keyasint"`
	Verdict  verd.Verdict `cbor:"6,keyasint,omitempty"`
	Response *Response    `cbor:"7,keyasint,omitempty"`
	// ReleasedAttempts are earlier attempts that ended as NotRun. They can't be registered
	// again.
	ReleasedAttempts []string `cbor:"8,keyasint,omitempty"`
	// ExpiresAt is when the record is removed, in the time that commands carry, or 0 while
	// the attempt is in progress.
	ExpiresAt time.Duration `cbor:"9,keyasint,omitempty"`
}

// expiry schedules the removal of a record. It is stale if at differs from the ExpiresAt
// of the record.
type expiry struct {
	id ID
	at time.Duration
}

// Records is the replicated state machine that holds the records. It doesn't read the clock:
// each command carries its time, so that all replicas reach the same state.
type Records struct {
	// Retention replaces DefaultRetention if it isn't zero.
	Retention time.Duration

	records map[ID]*Record
	// open holds the ids of the calls in progress of each process.
	open map[member.Process]map[ID]bool
	// expiries is ordered by time.
	expiries []expiry
}

// Len returns the number of records.
func (b *Records) Len() int { return len(b.records) }

// Lookup returns the status of a call for the attempt c, without changing it. It returns
// false if the key is free.
func (b *Records) Lookup(c *Call) (CallStatus, bool) {
	r := b.records[c.ID()]
	if r == nil || r.State == 0 {
		return CallStatus{}, false
	}
	return r.status(c), true
}

// Record returns the record with the id, if there is one.
func (b *Records) Record(id ID) (Record, bool) {
	r := b.records[id]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Begin registers the attempt c if the key is free, and returns the status of the call for
// this attempt. A released attempt can't be registered again.
func (b *Records) Begin(c *Call, now time.Duration) CallStatus {
	b.expire(now)
	r := b.records[c.ID()]
	if r == nil {
		r = &Record{ID: c.ID()}
		b.add(r)
	}
	if r.State != 0 {
		return r.status(c)
	}
	if slices.Contains(r.ReleasedAttempts, c.Attempt) {
		return CallStatus{State: Completed, Verdict: verd.NotRun}
	}
	r.Digest, r.Attempt, r.Process = c.Digest, c.Attempt, c.process()
	r.State, r.ExpiresAt = Acquired, 0
	b.addOpen(r)
	return CallStatus{State: Acquired}
}

// End records the outcome of an attempt. It returns true if the ledger now holds this
// outcome, also if it was recorded before. An attempt in state Orphaned may still report its
// outcome, since its process may have been considered failed by mistake.
func (b *Records) End(c *Call, v verd.Verdict, a *Response, now time.Duration) bool {
	b.expire(now)
	r := b.records[c.ID()]
	if r == nil && v == verd.NotRun {
		r = &Record{ID: c.ID()}
		b.add(r)
		b.scheduleExpiry(r, now)
	}
	if r == nil {
		return false
	}
	if r.Attempt != c.Attempt || r.State != Acquired && r.State != Orphaned {
		return r.endInactive(c, v)
	}
	b.removeOpen(r)
	b.scheduleExpiry(r, now)
	if v == verd.NotRun {
		r.State = 0
		r.markReleased(c.Attempt)
		return true
	}
	r.State, r.Verdict, r.Response = Completed, v, truncate(a)
	return true
}

// endInactive returns the result of End for an attempt that is not in progress. A NotRun of
// an attempt without a record releases it, so that a delayed Begin can't register it.
func (r *Record) endInactive(c *Call, v verd.Verdict) bool {
	if r.Attempt == c.Attempt && r.State != 0 {
		return r.Verdict == v
	}
	if v != verd.NotRun {
		return false
	}
	r.markReleased(c.Attempt)
	return true
}

// markReleased adds an attempt to the released ones and drops the oldest above the limit.
func (r *Record) markReleased(attempt string) {
	if slices.Contains(r.ReleasedAttempts, attempt) {
		return
	}
	r.ReleasedAttempts = append(slices.Clone(r.ReleasedAttempts), attempt)
	if n := len(r.ReleasedAttempts) - maxReleasedAttempts; n > 0 {
		r.ReleasedAttempts = r.ReleasedAttempts[n:]
	}
}

// MarkLost sets the calls in progress of a failed process to Orphaned, in the order of their ids
// so that all replicas schedule the expiries alike.
func (b *Records) MarkLost(p member.Process, now time.Duration) {
	ids := make([]ID, 0, len(b.open[p]))
	for id := range b.open[p] {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, ID.compare)
	for _, id := range ids {
		r := b.records[id]
		b.removeOpen(r)
		r.State, r.Verdict = Orphaned, verd.MayHaveRun
		b.scheduleExpiry(r, now)
	}
}

// status returns the status of the call for the attempt c.
func (r *Record) status(c *Call) CallStatus {
	switch {
	case r.Digest != c.Digest:
		return CallStatus{State: KeyReused}
	case r.State == Acquired && r.Attempt != c.Attempt:
		return CallStatus{State: InProgress}
	default:
		return CallStatus{State: r.State, Verdict: r.Verdict, Response: r.Response}
	}
}

// add stores a new record.
func (b *Records) add(r *Record) {
	if b.records == nil {
		b.records = make(map[ID]*Record)
	}
	b.records[r.ID] = r
}

// addOpen adds the record to the calls in progress of its process.
func (b *Records) addOpen(r *Record) {
	if b.open == nil {
		b.open = make(map[member.Process]map[ID]bool)
	}
	if b.open[r.Process] == nil {
		b.open[r.Process] = make(map[ID]bool)
	}
	b.open[r.Process][r.ID] = true
}

// removeOpen removes the record from the calls in progress of its process.
func (b *Records) removeOpen(r *Record) {
	delete(b.open[r.Process], r.ID)
	if len(b.open[r.Process]) == 0 {
		delete(b.open, r.Process)
	}
}

// scheduleExpiry schedules the removal of a record after the retention time.
func (b *Records) scheduleExpiry(r *Record, now time.Duration) {
	retention := b.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	r.ExpiresAt = now + retention
	b.expiries = append(b.expiries, expiry{id: r.ID, at: r.ExpiresAt})
}

// expire removes the records whose retention has ended. The times of commands never
// decrease, so the expiries are in order.
func (b *Records) expire(now time.Duration) {
	for len(b.expiries) > 0 && b.expiries[0].at <= now {
		e := b.expiries[0]
		b.expiries = b.expiries[1:]
		if r := b.records[e.id]; r != nil && r.ExpiresAt == e.at {
			delete(b.records, e.id)
		}
	}
}

// Snapshot returns all records in the order of their ids, for a snapshot.
func (b *Records) Snapshot() []Record {
	out := make([]Record, 0, len(b.records))
	for _, r := range b.records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(x, y Record) int { return x.ID.compare(y.ID) })
	return out
}

// Restore replaces all records by those of a snapshot. It keeps pointers into list,
// so the caller must not modify it.
func (b *Records) Restore(list []Record) {
	b.records = make(map[ID]*Record, len(list))
	b.open, b.expiries = nil, nil
	for i := range list {
		r := &list[i]
		b.records[r.ID] = r
		if r.State == Acquired {
			b.addOpen(r)
		} else {
			b.expiries = append(b.expiries, expiry{id: r.ID, at: r.ExpiresAt})
		}
	}
	slices.SortFunc(b.expiries, func(x, y expiry) int {
		return cmp.Or(cmp.Compare(x.at, y.at), x.id.compare(y.id))
	})
}

// truncate returns a, or a copy with its body truncated to MaxBodyBytes if it is larger.
func truncate(a *Response) *Response {
	if a == nil || len(a.Body) <= MaxBodyBytes {
		return a
	}
	out := *a
	out.Body, out.Truncated = a.Body[:MaxBodyBytes], true
	return &out
}
