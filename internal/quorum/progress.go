package quorum

import (
	"slices"
	"time"
)

// progress is what a leader knows of another replica.
type progress struct {
	// match is the newest index known to equal the leader's and to be synced.
	match uint64
	// next is the first index that was not yet sent.
	next uint64
	// probing sends one message at a time until the logs are known to meet.
	probing, probeSent bool
	// ackedSendTime is when the newest message that it answered was sent, on the
	// leader's clock; the lease counts from there.
	ackedSendTime time.Duration
	// lastReply is when its newest answer came.
	lastReply time.Duration
	// outgoing is the snapshot that is being sent, if one is.
	outgoing *outgoingSnapshot
}

// syncPeers makes the peers those of the configuration.
func (c *Core) syncPeers() {
	for id := range c.peers {
		if _, ok := c.config.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, r := range c.config.Replicas {
		if r.ID == c.id || c.peers[r.ID] != nil {
			continue
		}
		c.peers[r.ID] = &progress{next: c.log.lastIndex() + 1, probing: true, ackedSendTime: distantPast, lastReply: c.now}
	}
}

// acceptReply says whether an answer is to this leader in its present term.
func (c *Core) acceptReply(m Message) bool {
	if m.Term > c.term {
		c.setTerm(m.Term)
		c.becomeFollower(0)
	}
	if m.Term < c.term || c.role != leader {
		return false
	}
	return c.peers[m.From] != nil
}

// recordReply notes that a peer answered a message sent at a time.
func (c *Core) recordReply(p *progress, sent time.Duration) {
	p.lastReply = c.now
	p.ackedSendTime = max(p.ackedSendTime, sent)
}

// leaseEnd returns when the leader must stop reading: a majority will not
// vote for another before, whatever the bounded drift of their clocks.
func (c *Core) leaseEnd() time.Duration {
	at := c.majority(func(p *progress) time.Duration { return p.ackedSendTime })
	return at + c.timing.lease()
}

// majorityReply returns since when a majority has answered.
func (c *Core) majorityReply() time.Duration {
	return c.majority(func(p *progress) time.Duration { return p.lastReply })
}

// majority returns the latest time that a majority of the voters has reached.
func (c *Core) majority(timeOf func(*progress) time.Duration) time.Duration {
	var times []time.Duration
	for _, r := range c.config.Replicas {
		switch p := c.peers[r.ID]; {
		case !r.Voter:
		case r.ID == c.id:
			times = append(times, c.now)
		case p != nil:
			times = append(times, timeOf(p))
		default:
			times = append(times, distantPast)
		}
	}
	if len(times) == 0 {
		return distantPast
	}
	slices.Sort(times)
	return times[len(times)-c.config.Quorum()]
}

// advanceCommit commits what a majority has synced. Only an entry of the leader's
// own term commits by counting; those before it go with it.
func (c *Core) advanceCommit() {
	var indexes []uint64
	for _, r := range c.config.Replicas {
		if !r.Voter {
			continue
		}
		if r.ID == c.id {
			indexes = append(indexes, c.syncedIndex)
		} else if p := c.peers[r.ID]; p != nil {
			indexes = append(indexes, p.match)
		}
	}
	if len(indexes) < c.config.Quorum() {
		return
	}
	slices.Sort(indexes)
	index := indexes[len(indexes)-c.config.Quorum()]
	if index > c.commitIndex && c.log.matches(index, c.term) {
		c.commitIndex = index
	}
}
