package quorum

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
)

// ID identifies a replica for the lifetime of its disk. A replica that has lost its disk
// gets a new ID.
type ID uint64

// Kind is the kind of a log entry.
type Kind uint8

const (
	// Noop is the first entry of a leader's term and has no data.
	Noop Kind = iota + 1
	// Command is a command for the state machine.
	Command
	// Reconfigure sets the configuration from this entry on.
	Reconfigure
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Kind  Kind   `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// HardState is the part of a replica's state that must be synced before it sends a reply
// that depends on it.
type HardState struct {
	Term     uint64 `cbor:"1,keyasint"`
	VotedFor ID     `cbor:"2,keyasint"`
	// CommitIndex is the index of a committed entry that was already on disk when this
	// state was written. After a restart the entries up to it are applied without waiting
	// for a leader.
	CommitIndex uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state machine's state and the configuration after the entry at Index.
type Snapshot struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
}

// Replica is one member of the group.
type Replica struct {
	ID ID `cbor:"1,keyasint" json:"id"`
	// Addr is the peer address at which other instances reach the replica.
	Addr string `cbor:"2,keyasint" json:"addr"`
	// Voter is set if the replica counts towards majorities. A learner, which does not,
	// only receives the log.
	Voter bool `cbor:"3,keyasint" json:"voter"`
	// Replaces is the ID of the member that is removed once this replica has caught up,
	// or 0.
	Replaces ID `cbor:"4,keyasint,omitempty" json:"replaces,omitempty"`
}

// Config lists the members of the group, ordered by ID.
type Config struct {
	Replicas []Replica `cbor:"1,keyasint"`
	// GroupID is set when the group is created. Replicas ignore messages of other groups.
	GroupID uint64 `cbor:"2,keyasint,omitempty"`
}

// NewConfig returns a configuration in which all replicas are voters.
func NewConfig(replicas ...Replica) Config {
	c := Config{Replicas: slices.Clone(replicas)}
	for i := range c.Replicas {
		c.Replicas[i].Voter = true
	}
	c.sort()
	return c
}

// Check rejects members that have no ID, are duplicates or are not ordered by ID.
func (c Config) Check() error {
	for i, r := range c.Replicas {
		if r.ID == 0 || i > 0 && r.ID <= c.Replicas[i-1].ID {
			return errors.Newf("configuration: replica ID %x is zero, duplicate or out of order", uint64(r.ID))
		}
	}
	return nil
}

// Find returns the member with the ID, if there is one.
func (c Config) Find(id ID) (Replica, bool) {
	for _, r := range c.Replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// FindAddr returns the member with the peer address, if there is one.
func (c Config) FindAddr(addr string) (Replica, bool) {
	for _, r := range c.Replicas {
		if r.Addr == addr {
			return r, true
		}
	}
	return Replica{}, false
}

// VoterCount returns the number of voters.
func (c Config) VoterCount() int {
	n := 0
	for _, r := range c.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the smallest number of voters that is a majority.
func (c Config) Quorum() int { return c.VoterCount()/2 + 1 }

func (c Config) isVoter(id ID) bool {
	r, ok := c.Find(id)
	return ok && r.Voter
}

// with returns a copy in which r is added, or replaces the member with its ID.
func (c Config) with(r Replica) Config {
	out := c.without(r.ID)
	out.Replicas = append(out.Replicas, r)
	out.sort()
	return out
}

// without returns a copy without the member.
func (c Config) without(id ID) Config {
	out := c
	out.Replicas = slices.Clone(c.Replicas)
	out.Replicas = slices.DeleteFunc(out.Replicas, func(r Replica) bool { return r.ID == id })
	return out
}

func (c Config) sort() {
	slices.SortFunc(c.Replicas, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
}
