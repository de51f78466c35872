package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxPromotionLag is how many entries a learner may lack when it becomes a voter.
const maxPromotionLag = 64

// A voter that was silent for replaceAfterTimeouts elections is replaced if a learner is
// at hand; a learner that was silent for removeAfterTimeouts elections is let go.
const (
	replaceAfterTimeouts = 2
	removeAfterTimeouts  = 10
)

// Errors of a change of the configuration.
var (
	// ErrNotLeader says that another replica must be asked.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangeInProgress says that another change is not yet committed.
	ErrChangeInProgress = errors.New("another change of the replicas is in progress")
	// ErrRemoveLeader says that a leader does not remove itself.
	ErrRemoveLeader = errors.New("the leader can't be removed: it hands over first")
	// ErrLastVoter says that the group would have no voter.
	ErrLastVoter = errors.New("the last voter can't be removed")
)

// ConfigChange is a change of the group's members.
type ConfigChange interface{ isConfigChange() }

// AddReplica adds a learner, which becomes a voter once it has caught up. A
// replica at the same address has lost its disk: it is removed at once. The
// one that Replaces names is removed when the new one has caught up.
type AddReplica struct{ Replica Replica }

// RemoveReplica removes a member.
type RemoveReplica struct{ ID ID }

func (AddReplica) isConfigChange()    {}
func (RemoveReplica) isConfigChange() {}

// ProposeChange starts a change and returns the place of its entry.
func (c *Core) ProposeChange(ch ConfigChange) (index, term uint64, err error) {
	if c.role != leader {
		return 0, 0, ErrNotLeader
	}
	// Two configurations that are one voter apart have a common member in any
	// two majorities; so the one before must be committed in this term.
	if c.configIndex > c.commitIndex || !c.log.matches(c.commitIndex, c.term) {
		return 0, 0, ErrChangeInProgress
	}
	next, err := c.configAfter(ch)
	if err != nil {
		return 0, 0, err
	}
	if slices.Equal(next.Replicas, c.config.Replicas) {
		term, _ = c.log.term(c.configIndex) // 0 if it lies behind the snapshot.
		return c.configIndex, term, nil
	}
	index, err = c.appendConfig(next)
	return index, c.term, err
}

func (c *Core) configAfter(ch ConfigChange) (Config, error) {
	switch ch := ch.(type) {
	case AddReplica:
		if have, ok := c.config.Find(ch.Replica.ID); ok && have.Addr == ch.Replica.Addr {
			return c.config, nil
		}
		next := c.config
		if old, ok := c.config.FindAddr(ch.Replica.Addr); ok {
			var err error
			if next, err = c.configAfter(RemoveReplica{ID: old.ID}); err != nil {
				return Config{}, err
			}
		}
		learner := ch.Replica
		learner.Voter = false
		return next.with(learner), nil
	case RemoveReplica:
		if ch.ID == c.id {
			return Config{}, ErrRemoveLeader
		}
		next := c.config.without(ch.ID)
		if next.VoterCount() == 0 {
			return Config{}, ErrLastVoter
		}
		return next, nil
	default:
		return Config{}, errors.Newf("unknown change %T", ch)
	}
}

// appendConfig appends a configuration, which holds from now on.
func (c *Core) appendConfig(next Config) (uint64, error) {
	b, err := cbor.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "configuration")
	}
	index := c.append(Reconfigure, b)
	c.config, c.configIndex = next, index
	c.syncPeers()
	return index, nil
}

// promoteLearners makes a learner that has caught up a voter, and lets the member go
// that it replaces. A leader that is replaced hands over first: the next one
// removes it.
func (c *Core) promoteLearners() {
	if c.configIndex > c.commitIndex || !c.log.matches(c.commitIndex, c.term) {
		return
	}
	if c.replaceSilentMembers() {
		return
	}
	for _, r := range c.config.Replicas {
		if !c.isPromotable(r) {
			continue
		}
		_, replacing := c.config.Find(r.Replaces)
		if r.Voter && replacing && r.Replaces == c.id {
			c.TransferLeadership(c.now)
			return
		}
		next := c.config
		if replacing && r.Replaces != c.id {
			next = next.without(r.Replaces)
		} else {
			r.Voter = true
		}
		if !replacing || r.Voter && r.Replaces != c.id {
			r.Replaces = 0
		}
		// The members encode as they did when they were decoded.
		_, _ = c.appendConfig(next.with(r))
		return
	}
}

// isPromotable says whether a member is at hand that is to vote, or that has
// taken the place of another.
func (c *Core) isPromotable(r Replica) bool {
	p := c.peers[r.ID]
	if r.ID != c.id && (p == nil || !c.caughtUp(p)) {
		return false
	}
	if r.Replaces != 0 {
		return true
	}
	return !r.Voter && (c.TargetVoters == 0 || c.config.VoterCount() < c.TargetVoters)
}

// replaceSilentMembers keeps the number of voters where the group does so by itself: a learner
// at hand takes the place of a silent voter, and a silent learner is let go. It
// returns whether it changed anything.
func (c *Core) replaceSilentMembers() bool {
	if c.TargetVoters == 0 {
		return false
	}
	var learner, silentVoter *Replica
	for i := range c.config.Replicas {
		r := &c.config.Replicas[i]
		p := c.peers[r.ID]
		if r.ID == c.id || p == nil {
			continue
		}
		silence := c.now - p.lastReply
		switch {
		case r.Voter && silence > replaceAfterTimeouts*c.timing.Election:
			silentVoter = r
		case !r.Voter && silence > removeAfterTimeouts*c.timing.Election:
			_, _ = c.appendConfig(c.config.without(r.ID))
			return true
		case !r.Voter && r.Replaces == 0 && c.caughtUp(p):
			learner = r
		}
	}
	if learner == nil || silentVoter == nil {
		return false
	}
	next := *learner
	next.Replaces = silentVoter.ID
	// The members encode as they did when they were decoded.
	_, _ = c.appendConfig(c.config.with(next))
	return true
}

// caughtUp says whether a learner is at hand and has nearly the whole log.
func (c *Core) caughtUp(p *progress) bool {
	return p.match > 0 && p.match+maxPromotionLag >= c.log.lastIndex() && c.now-p.lastReply < c.timing.Election
}

// configAt returns the newest configuration of the log up to index.
func (c *Core) configAt(index uint64) (Config, bool) {
	if index <= c.snapshot.Index {
		return Config{}, false
	}
	es := c.log.entriesBetween(max(c.snapshot.Index, c.log.baseIndex)+1, index)
	for i := len(es) - 1; i >= 0; i-- {
		if es[i].Kind != Reconfigure {
			continue
		}
		var cfg Config
		if err := cbor.Unmarshal(es[i].Data, &cfg); err == nil {
			return cfg, true
		}
	}
	return Config{}, false
}
