package quorum

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
)

// ID names a replica for as long as its disk lasts. A replica that lost its
// disk gets a new one.
type ID uint64

// Kind says what an entry of the log is for.
type Kind uint8

const (
	// Noop opens a leader's term.
	Noop Kind = iota + 1
	// Command changes the state machine.
	Command
	// Reconfigure replaces the configuration from the entry onwards.
	Reconfigure
)

// Entry is one place of the log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Kind  Kind   `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// HardState must be synced before an answer that depends on it is sent.
type HardState struct {
	Term     uint64 `cbor:"1,keyasint"`
	VotedFor ID     `cbor:"2,keyasint"`
	// CommitIndex is an entry that is committed, with all before it, and was on the disk
	// before this was written: after a restart they are applied without a leader.
	CommitIndex uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
}

// Replica is one member of the group.
type Replica struct {
	ID ID `cbor:"1,keyasint" json:"id"`
	// Addr is its address for other instances.
	Addr string `cbor:"2,keyasint" json:"addr"`
	// Voter says that it counts for elections and commits. A learner doesn't.
	Voter bool `cbor:"3,keyasint" json:"voter"`
	// Replaces is the member that leaves once this learner has caught up.
	Replaces ID `cbor:"4,keyasint,omitempty" json:"replaces,omitempty"`
}

// Config lists the members of the group, ordered by ID.
type Config struct {
	Replicas []Replica `cbor:"1,keyasint"`
	// GroupID is chosen when the group is founded. Replicas of different groups
	// don't hear each other.
	GroupID uint64 `cbor:"2,keyasint,omitempty"`
}

// NewConfig returns a configuration in which all replicas vote.
func NewConfig(replicas ...Replica) Config {
	c := Config{Replicas: slices.Clone(replicas)}
	for i := range c.Replicas {
		c.Replicas[i].Voter = true
	}
	c.sort()
	return c
}

// Check refuses doubled members.
func (c Config) Check() error {
	for i, r := range c.Replicas {
		if r.ID == 0 || i > 0 && r.ID <= c.Replicas[i-1].ID {
			return errors.Newf("configuration has replica %x out of order", uint64(r.ID))
		}
	}
	return nil
}

// Find returns the member with the ID.
func (c Config) Find(id ID) (Replica, bool) {
	for _, r := range c.Replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// FindAddr returns the member with the address.
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

// Quorum returns the least number of voters that is a majority.
func (c Config) Quorum() int { return c.VoterCount()/2 + 1 }

func (c Config) isVoter(id ID) bool {
	r, ok := c.Find(id)
	return ok && r.Voter
}

// with returns a copy in which r takes the place of the member with its ID.
func (c Config) with(r Replica) Config {
	out := c.without(r.ID)
	out.Replicas = append(out.Replicas, r)
	out.sort()
	return out
}

// without returns a copy that lacks the member.
func (c Config) without(id ID) Config {
	out := c
	out.Replicas = slices.Clone(c.Replicas)
	out.Replicas = slices.DeleteFunc(out.Replicas, func(r Replica) bool { return r.ID == id })
	return out
}

func (c Config) sort() {
	slices.SortFunc(c.Replicas, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
}
