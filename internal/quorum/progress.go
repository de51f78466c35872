package quorum

import (
	"slices"
	"time"
)

// progress is the leader's view of a peer's log and of its recent replies.
type progress struct {
	// match is the newest index up to which the peer has synced the leader's log.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set until the peer's log is known to agree with the leader's; only one
	// message is then sent per heartbeat. probeSent is set once it is out.
	probing, probeSent bool
	// ackedSendTime is when the newest message that the peer acknowledged was sent, on
	// the leader's clock. The lease counts from this time.
	ackedSendTime time.Duration
	// lastReply is when the peer's newest reply arrived.
	lastReply time.Duration
	// lastSign is when the peer last gave a sign of life: that reply, or what it sent as the leader
	// before.
	lastSign time.Duration
	// outgoing is the snapshot that is being sent, or nil.
	outgoing *outgoingSnapshot
}

// syncPeers adds and removes peers to match the configuration.
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
		c.peers[r.ID] = &progress{next: c.log.lastIndex() + 1, probing: true, ackedSendTime: distantPast, lastReply: c.now, lastSign: c.now}
	}
}

// acceptReply reports whether a reply is for this leader in its current term and from a
// peer. A reply of a newer term makes this replica a follower.
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

// recordReply records that a peer replied to a message sent at the given time.
func (c *Core) recordReply(p *progress, sent time.Duration) {
	p.lastReply, p.lastSign = c.now, c.now
	p.ackedSendTime = max(p.ackedSendTime, sent)
}

// leaseEnd returns when the leader must stop serving reads. Until then a majority grants
// no vote to another candidate, even if clocks drift by up to 1/maxDriftDivisor.
func (c *Core) leaseEnd() time.Duration {
	at := c.majority(func(p *progress) time.Duration { return p.ackedSendTime })
	return at + c.timing.lease()
}

// majorityReply returns the latest time since which a majority of the voters has replied.
func (c *Core) majorityReply() time.Duration {
	return c.majority(func(p *progress) time.Duration { return p.lastReply })
}

// majority returns the latest time that timeOf has reached on a majority of the voters.
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

// advanceCommit commits the entries that a majority has synced. Counting replicas may
// only commit an entry of the leader's own term; earlier entries are committed along with
// it.
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
