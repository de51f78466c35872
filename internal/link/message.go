// Package link connects the instances of a site to the leader. The leader sends changes of
// tables and targets, and grants; the instances send placement requests and reports.
package link

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// Method is the name of the stream method that opens a link.
	Method = "link.follow"
	// HeartbeatInterval is the interval at which both sides of a link send a message even
	// if they have nothing to report.
	HeartbeatInterval = 250 * time.Millisecond
	// maxEntries bounds the instances listed for a caller.
	maxEntries = 64
	// minLocalEntries is the minimum number of ready instances in a caller's data centre
	// with which only those are listed. Two tolerate one failure.
	minLocalEntries = 2
	// MaxRelays bounds the instances of other data centres that an instance may use as relays.
	MaxRelays = 4
	// ReceiveTimeout is how long a side waits for a message before it ends the link: three
	// times HeartbeatInterval plus 250 ms for the delay of a busy process.
	ReceiveTimeout = time.Second
	// SendTimeout is how long the other side of a link may take to read one message. Meanwhile the next one
	// grows.
	SendTimeout = 10 * time.Second
	// MaxEntriesAge is how long look-ups use a list of ready instances without a message of the
	// leader. Callers keep an address for up to 3 s more, and must not use that of an instance
	// that ended more than 7 s ago.
	MaxEntriesAge = 4 * time.Second
)

// Entry is an instance that serves callers.
type Entry struct {
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is the address for callers.
	Address string `cbor:"3,keyasint"`
}

// EntriesFor returns the instances that callers of a data centre should use: those of that
// data centre, or all of its region if these are fewer than minLocalEntries, or all of the site
// if there are none. It returns at most maxEntries.
func EntriesFor(all []Entry, dataCentre string, regions site.Regions) []Entry {
	var local, near []Entry
	for _, e := range all {
		if e.DataCentre == dataCentre {
			local = append(local, e)
		}
		if regions.Same(e.DataCentre, dataCentre) {
			near = append(near, e)
		}
	}
	switch {
	case len(local) >= minLocalEntries:
		all = local
	case len(near) > 0:
		all = near
	}
	return all[:min(len(all), maxEntries)]
}

// RelaysFor returns the instances of other data centres that an instance may use as relays. They
// differ between instances, so that those of a data centre that is cut off don't all use the same.
// There is one of each region among them, as far as MaxRelays allows: some requests may pass
// through one region only, and callers of another region look up instances of theirs.
func RelaysFor(all []Entry, name, dataCentre string, regions site.Regions) []Entry {
	weights := make(map[Entry]uint64, len(all))
	var others []Entry
	for _, e := range all {
		if e.DataCentre != dataCentre {
			others = append(others, e)
			weights[e] = xxhash.Sum64String(name + "/" + e.Name)
		}
	}
	slices.SortStableFunc(others, func(a, b Entry) int { return cmp.Compare(weights[a], weights[b]) })
	var first, rest []Entry
	for _, e := range others {
		if slices.ContainsFunc(first, func(o Entry) bool { return regions.Same(o.DataCentre, e.DataCentre) }) {
			rest = append(rest, e)
		} else {
			first = append(first, e)
		}
	}
	out := slices.Concat(first, rest)
	return out[:min(len(out), MaxRelays)]
}

// EntryLister lists the instances that callers of a data centre should use.
type EntryLister interface {
	Entries(dataCentre string) []Entry
}

// Hello introduces the instance that opens a link.
type Hello struct {
	Name string `cbor:"1,keyasint"`
	// PeerAddr is the address of the sender for other instances.
	PeerAddr string `cbor:"2,keyasint"`
	// IsControl is set if the sender is a control instance, which replicates the registry.
	IsControl bool `cbor:"3,keyasint,omitempty"`
	// DataCentre is the data centre of the sender.
	DataCentre string `cbor:"5,keyasint,omitempty"`
	// Revision is the registry revision that the sender has, or NoUpdates.
	Revision uint64 `cbor:"4,keyasint"`
	// Compact is set if the sender accepts updates with packed targets, and changes of the list
	// of ready instances in place of whole lists.
	Compact bool `cbor:"6,keyasint,omitempty"`
	// Evacuates is set if the sender is a control instance that knows evacuations of data centres.
	Evacuates bool `cbor:"7,keyasint,omitempty"`
}

// NoUpdates is the Revision of a follower that requests no registry updates.
const NoUpdates = math.MaxUint64

// FollowerMessage is a message to a control instance. Every message counts as a heartbeat
// of the sender.
type FollowerMessage struct {
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	// Entries are the ready instances known to the sender: itself, or those linked to it.
	// HasEntries distinguishes an empty list from a message without one.
	Entries    []Entry `cbor:"2,keyasint,omitempty"`
	HasEntries bool    `cbor:"3,keyasint,omitempty"`
	// Heartbeats are the IDs of targets that announced themselves to the sender.
	Heartbeats []string `cbor:"4,keyasint,omitempty"`
	// Requests are new placement requests, and Cancelled the IDs of those that are no
	// longer wanted.
	Requests  []place.Request `cbor:"5,keyasint,omitempty"`
	Cancelled []string        `cbor:"6,keyasint,omitempty"`
	// Started and Ended report on granted requests. ActiveGrants are grants that the leader
	// doesn't know: when a link opens, all that are in use; later, those of requests that the
	// sender placed locally. A control instance that doesn't lead gets the latter only.
	Started      []place.FirstEvent  `cbor:"7,keyasint,omitempty"`
	Ended        []place.End         `cbor:"8,keyasint,omitempty"`
	ActiveGrants []place.ActiveGrant `cbor:"9,keyasint,omitempty"`
	// Leaving are targets that have told the sender that they are about to shut down, and
	// that are ready in its view.
	Leaving []Departure `cbor:"10,keyasint,omitempty"`
	// Crashes and Survivals report what became of engines that had requests of the sender. When
	// a link opens, they repeat recent ones, and Blocks are those in force at the sender.
	Crashes   []poison.Crash    `cbor:"11,keyasint,omitempty"`
	Survivals []poison.Survival `cbor:"12,keyasint,omitempty"`
	Blocks    []poison.Block    `cbor:"13,keyasint,omitempty"`
	// Limits are changes of the limits that targets have named to the sender; when a link opens,
	// all of them.
	Limits []place.Limit `cbor:"14,keyasint,omitempty"`
	// Cold reports how much longer targets are cold: what heartbeats or responses have told the
	// sender; when a link opens, all that it knows to be cold.
	Cold []place.Cold `cbor:"15,keyasint,omitempty"`
	// Silences report granted requests whose engines are silent.
	Silences []place.Silence `cbor:"21,keyasint,omitempty"`
	// Load is how busy the sender is, with each heartbeat of an instance that serves callers.
	Load *Load `cbor:"20,keyasint,omitempty"`
}

// Departure names a process of a target that is about to shut down.
type Departure struct {
	ID string `cbor:"1,keyasint"`
	// StartedMs identifies the process by its start time in Unix milliseconds.
	StartedMs int64 `cbor:"2,keyasint"`
}

// Welcome answers a Hello. A control instance that does not lead sends another one when it
// learns of a leader.
type Welcome struct {
	// IsLeader is set if the sender leads. Otherwise LeaderAddr is the peer address of the
	// leader, or "" if it is unknown.
	IsLeader   bool   `cbor:"1,keyasint"`
	LeaderAddr string `cbor:"2,keyasint,omitempty"`
	// ControlAddrs are the peer addresses of all control instances.
	ControlAddrs []string `cbor:"3,keyasint,omitempty"`
	// Term is the term of the log in which the sender doesn't lead, or in which LeaderAddr does; 0 if
	// it isn't known, as with older builds.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// Voters are the peer addresses of the control instances that vote, if the sender is one of them and
	// its registry has all that is in its log; otherwise, and from older builds, there are none.
	Voters []string `cbor:"5,keyasint,omitempty"`
}

// ControlMessage is a message from a control instance. Every message counts as a heartbeat
// of the sender.
type ControlMessage struct {
	Welcome *Welcome   `cbor:"1,keyasint,omitempty"`
	Update  *reg.Delta `cbor:"2,keyasint,omitempty"`
	// Since is the registry revision that Update begins at. It is not sent.
	Since uint64 `cbor:"-"`
	// Entries are the ready instances: all of them for control instances, those near the
	// receiver for others. HasEntries distinguishes an empty list from a message without
	// one.
	Entries    []Entry `cbor:"3,keyasint,omitempty"`
	HasEntries bool    `cbor:"4,keyasint,omitempty"`
	// EntryCount is the number of all ready instances; 0 if it has not changed.
	EntryCount int `cbor:"5,keyasint,omitempty"`
	// Grants and Refusals are the decisions on placement requests.
	Grants   []place.Grant  `cbor:"6,keyasint,omitempty"`
	Refusals []place.Refuse `cbor:"7,keyasint,omitempty"`
	// Queued are the IDs of placement requests that wait for an engine.
	Queued []string `cbor:"8,keyasint,omitempty"`
	// Blocks are the requests that must not be sent to targets, those that have changed or all.
	Blocks []poison.Block `cbor:"9,keyasint,omitempty"`
	// Limits are the limits that targets have named, those that have changed or all.
	Limits []place.Limit `cbor:"10,keyasint,omitempty"`
	// AddedEntries and RemovedEntries, the latter by name, change the list of Entries that the
	// receiver has.
	AddedEntries   []Entry  `cbor:"11,keyasint,omitempty"`
	RemovedEntries []string `cbor:"12,keyasint,omitempty"`
	// Relays are ready instances of other data centres that the receiver may use as relays, if
	// HasRelays is set.
	Relays    []Entry `cbor:"13,keyasint,omitempty"`
	HasRelays bool    `cbor:"14,keyasint,omitempty"`
	// Cold reports which targets are cold, or no longer, those that have changed or all.
	Cold []place.Cold `cbor:"15,keyasint,omitempty"`
	// Evacuations are the data centres whose targets get no requests: the whole list, when a link
	// opens and on a change. A receiver keeps the one with the highest counter.
	Evacuations *reg.Evacuations `cbor:"16,keyasint,omitempty"`
	// Loads are the loads of the pools' engines: all of it from time to time, and the grants of other
	// instances while there is no scheduler.
	Loads []place.PoolLoad `cbor:"17,keyasint,omitempty"`
	// Spreads are the data centres from which look-ups send callers to others: the whole list, for
	// control instances. HasSpreads distinguishes an empty list from a message without one.
	Spreads    []Spread `cbor:"20,keyasint,omitempty"`
	HasSpreads bool     `cbor:"21,keyasint,omitempty"`
	// FormerEntries is the list that these changes begin at. It is not sent.
	FormerEntries []Entry `cbor:"-"`
}

// Check unpacks the update, and rejects spreads without a meaning and loads that are cut off.
func (m *ControlMessage) Check() error {
	if slices.ContainsFunc(m.Spreads, func(s Spread) bool { return s.Share() >= 1 }) {
		return errSpread
	}
	for i := range m.Loads {
		if err := m.Loads[i].Check(); err != nil {
			return err
		}
	}
	if m.Update == nil {
		return nil
	}
	return m.Update.Unpack()
}
