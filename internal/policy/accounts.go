package policy

import "time"

// organisation is the account of an organisation in fair queueing. Its virtual time grows
// by the work that it is granted, and the organisation with the lowest goes first.
type organisation struct {
	name        string
	virtualTime time.Duration
	// queued and granted count the requests without and with a grant.
	queued   int
	granted  int
	backlogs [numClasses * int(NumBands)]*backlog
}

// backlog returns the organisation's queued requests in a lane.
func (o *organisation) backlog(l laneID) *backlog {
	if o.backlogs[l] == nil {
		b := &backlog{org: o, laneIndex: notInHeap}
		b.requests = indexedHeap[*queuedRequest]{less: (*queuedRequest).before, index: func(r *queuedRequest) *int { return &r.backlogIndex }}
		o.backlogs[l] = b
	}
	return o.backlogs[l]
}

// before orders backlogs by the virtual time of their organisations. Equal ones are
// ordered by the grant deadline of their next requests and then by name, so that arrival
// order decides nothing.
func (b *backlog) before(o *backlog) bool {
	if b.org.virtualTime != o.org.virtualTime {
		return b.org.virtualTime < o.org.virtualTime
	}
	if x, y := b.requests.first(), o.requests.first(); !x.grantDeadline.Equal(y.grantDeadline) {
		return x.grantDeadline.Before(y.grantDeadline)
	}
	return b.org.name < o.org.name
}

// accounts holds the organisations that have queued or granted requests, or have been
// granted more work than others.
type accounts struct {
	byName map[string]*organisation
	// minVirtualTime is the virtual time, before the charge, of the organisation that was
	// served last. An organisation that returns after a pause starts there: a pause earns
	// no credit.
	minVirtualTime time.Duration
}

// get returns the account of an organisation that has a new request, and opens it if
// needed.
func (a *accounts) get(name string) *organisation {
	o := a.byName[name]
	if o == nil {
		o = &organisation{name: name, virtualTime: a.minVirtualTime}
		a.byName[name] = o
	}
	if o.queued == 0 {
		o.virtualTime = max(o.virtualTime, a.minVirtualTime)
	}
	return o
}

// charge adds granted work to an account.
func (a *accounts) charge(o *organisation, work time.Duration) {
	a.minVirtualTime = max(a.minVirtualTime, o.virtualTime)
	o.virtualTime += work
}

// deleteIdle deletes an account that has nothing queued or granted and is not ahead of
// minVirtualTime.
func (a *accounts) deleteIdle(o *organisation) {
	if o.queued == 0 && o.granted == 0 && o.virtualTime <= a.minVirtualTime {
		delete(a.byName, o.name)
	}
}
