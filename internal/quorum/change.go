package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxPromotionLag is how many entries a learner may lack when it becomes a voter.
const maxPromotionLag = 64

// In a group that manages its members itself, a voter that has given no sign of life for
// replaceAfterTimeouts election timeouts is replaced if a learner has caught up, and a
// learner that has not replied for removeAfterTimeouts election timeouts is removed.
const (
	replaceAfterTimeouts = 2
	removeAfterTimeouts  = 10
)

// Errors of membership changes.
var (
	// ErrNotLeader means that only the leader can change the members.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangeInProgress means that an earlier membership change, or the first entry of
	// the leader's term, is not yet committed.
	ErrChangeInProgress = errors.New("another membership change is in progress")
	// ErrRemoveLeader means that the leader received a request to remove itself.
	ErrRemoveLeader = errors.New("the leader can't remove itself: it must transfer leadership first")
	// ErrLastVoter means that the change would leave the group without voters.
	ErrLastVoter = errors.New("the last voter can't be removed")
)

// ConfigChange is a change of the group's members.
type ConfigChange interface{ isConfigChange() }

// AddReplica adds a learner, which becomes a voter once it has caught up. A member at the
// same address has lost its disk and is removed in the same change. The member that
// Replica.Replaces names is removed once the learner has caught up.
type AddReplica struct{ Replica Replica }

// RemoveReplica removes a member.
type RemoveReplica struct{ ID ID }

func (AddReplica) isConfigChange()    {}
func (RemoveReplica) isConfigChange() {}

// ProposeChange appends a new configuration and returns the index and term of its entry.
// If the members already are as requested, it returns the entry of the current
// configuration.
func (c *Core) ProposeChange(ch ConfigChange) (index, term uint64, err error) {
	if c.role != leader {
		return 0, 0, ErrNotLeader
	}
	// Any majorities of two configurations that differ by one voter overlap. So the
	// previous configuration must be committed, and an entry of this term too, before the
	// next change.
	if c.configIndex > c.commitIndex || !c.log.matches(c.commitIndex, c.term) {
		return 0, 0, ErrChangeInProgress
	}
	next, err := c.configAfter(ch)
	if err != nil {
		return 0, 0, err
	}
	if slices.Equal(next.Replicas, c.config.Replicas) {
		term, _ = c.log.term(c.configIndex) // 0 if the entry was compacted.
		return c.configIndex, term, nil
	}
	index, err = c.appendConfig(next)
	return index, c.term, err
}

// configAfter returns the configuration that results from a change.
func (c *Core) configAfter(ch ConfigChange) (Config, error) {
	switch ch := ch.(type) {
	case AddReplica:
		if existing, ok := c.config.Find(ch.Replica.ID); ok && existing.Addr == ch.Replica.Addr {
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
		return Config{}, errors.Newf("unknown membership change %T", ch)
	}
}

// appendConfig appends a configuration to the log. It takes effect at once, before it is
// committed.
func (c *Core) appendConfig(next Config) (uint64, error) {
	b, err := cbor.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encode configuration")
	}
	index := c.append(Reconfigure, b)
	c.config, c.configIndex = next, index
	c.syncPeers()
	return index, nil
}

// updateMembership makes the next due membership change, if none is in progress: it turns
// a learner that has caught up into a voter, or removes the member that the learner
// replaces. A leader that is to be replaced transfers leadership first, and its successor
// removes it.
func (c *Core) updateMembership() {
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
		_, replacesMember := c.config.Find(r.Replaces)
		if r.Voter && replacesMember && r.Replaces == c.id {
			c.TransferLeadership(c.now)
			return
		}
		next := c.config
		if replacesMember && r.Replaces != c.id {
			next = next.without(r.Replaces)
		} else {
			r.Voter = true
		}
		if !replacesMember || r.Voter && r.Replaces != c.id {
			r.Replaces = 0
		}
		// Encoding can't fail: the same fields were encoded before.
		_, _ = c.appendConfig(next.with(r))
		return
	}
}

// isPromotable reports whether a member has caught up and is either a learner that should
// vote or the replacement of another member.
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

// replaceSilentMembers maintains the number of voters in a group that manages its members
// itself: a learner that has caught up replaces a silent voter, and a silent learner is
// removed. It reports whether it changed the configuration.
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
		silence := c.now - p.lastSign
		switch {
		case r.Voter && silence > replaceAfterTimeouts*c.timing.ElectionTimeout:
			silentVoter = r
		case !r.Voter && silence > removeAfterTimeouts*c.timing.ElectionTimeout:
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
	// Encoding can't fail: the same fields were encoded before.
	_, _ = c.appendConfig(c.config.with(next))
	return true
}

// caughtUp reports whether a peer has replied recently and lacks at most maxPromotionLag
// entries.
func (c *Core) caughtUp(p *progress) bool {
	return p.match > 0 && p.match+maxPromotionLag >= c.log.lastIndex() && c.now-p.lastReply < c.timing.ElectionTimeout
}

// configAt returns the newest configuration in the log up to index, if the log has one.
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
