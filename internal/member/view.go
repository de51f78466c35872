// Package member defines the view that every instance has of the site: the members, the
// holders of the shard leases, and the tables in force.
package member

import (
	"cmp"
	"fmt"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// State is the life cycle state of an instance.
type State string

// The states of an instance, in the order that it passes through them.
const (
	Joining State = "joining"
	Serving State = "serving"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Member describes one instance of the site.
type Member struct {
	Name       string `json:"name" cbor:"1,keyasint"`
	DataCentre string `json:"data_centre" cbor:"2,keyasint"`
	// CallerAddr, OperatorAddr and PeerAddr are the addresses that the instance listens on.
	CallerAddr   string `json:"callers" cbor:"3,keyasint"`
	OperatorAddr string `json:"operators" cbor:"4,keyasint"`
	PeerAddr     string `json:"peers" cbor:"5,keyasint"`
	// Incarnation grows with each restart of the instance.
	Incarnation uint64 `json:"incarnation" cbor:"6,keyasint"`
	State       State  `json:"state" cbor:"7,keyasint"`
}

// Process identifies the running process of the instance.
func (m *Member) Process() Process {
	return Process{Name: m.Name, Incarnation: m.Incarnation}
}

// Process identifies one run of an instance.
type Process struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// Compare orders processes by name and incarnation.
func (p Process) Compare(q Process) int {
	return cmp.Or(cmp.Compare(p.Name, q.Name), cmp.Compare(p.Incarnation, q.Incarnation))
}

// Shard is the unit of scheduling: the targets of a pool in a data centre.
type Shard struct {
	Pool       string `json:"pool" cbor:"1,keyasint"`
	DataCentre string `json:"data_centre" cbor:"2,keyasint"`
}

// Compare orders shards by pool and data centre.
func (s Shard) Compare(t Shard) int {
	return cmp.Or(cmp.Compare(s.Pool, t.Pool), cmp.Compare(s.DataCentre, t.DataCentre))
}

// String returns pool/data-centre.
func (s Shard) String() string { return fmt.Sprintf("%s/%s", s.Pool, s.DataCentre) }

// Lease makes one instance the scheduler of a shard. It has no expiry time: it ends by a
// handover, or when its holder is removed from the members.
type Lease struct {
	Shard Shard `json:"shard" cbor:"1,keyasint"`
	// Holder is the name of the instance that holds the lease.
	Holder string `json:"holder" cbor:"2,keyasint"`
	// Epoch grows with every new holder.
	Epoch uint64 `json:"epoch" cbor:"3,keyasint"`
	// NextHolder is the instance that the lease is being handed over to. The holder stops
	// issuing grants and confirms; only then does NextHolder get the lease, with a new epoch.
	NextHolder string `json:"next,omitempty" cbor:"4,keyasint,omitempty"`
}

// View is the part of the replicated state that every instance follows. It is immutable
// once published.
type View struct {
	// Revision is the number of the newest accepted change of the tables.
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	// Version grows with every change of the view, the tables included.
	Version uint64       `json:"version" cbor:"2,keyasint"`
	Tables  table.Tables `json:"tables" cbor:"3,keyasint"`
	// Members are sorted by name.
	Members []Member `json:"members" cbor:"4,keyasint"`
	// Leases are sorted by shard.
	Leases []Lease `json:"leases" cbor:"5,keyasint"`
	// PlannerLease is the lease of the instance that plans orders to engines. Its epoch is the
	// fencing token of the orders.
	PlannerLease Lease `json:"planner" cbor:"6,keyasint"`
	// OutOfService are the sorted names of engines that accept no new requests, because the
	// models that they serve are about to change.
	OutOfService []string `json:"out,omitempty" cbor:"7,keyasint,omitempty"`
}

// Member returns the member with the name.
func (v *View) Member(name string) (*Member, bool) {
	for i := range v.Members {
		if v.Members[i].Name == name {
			return &v.Members[i], true
		}
	}
	return nil, false
}

// Scheduler returns the lease of a shard and the member that holds it.
func (v *View) Scheduler(s Shard) (Lease, *Member, bool) {
	for _, l := range v.Leases {
		if l.Shard != s {
			continue
		}
		m, ok := v.Member(l.Holder)
		return l, m, ok
	}
	return Lease{}, nil, false
}

// ViewSource provides the newest view.
type ViewSource interface {
	// View returns the newest view, or nil before the first has arrived.
	View() *View
	// Live reports whether the configuration lease is valid. Without it the instance takes
	// no new work.
	Live() bool
}
