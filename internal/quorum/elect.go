package quorum

import (
	"time"
)

// electionJitterDivisor is the part of an election's wait by which replicas differ at most:
// several heartbeats, so that two seldom stand at once.
const electionJitterDivisor = 2

// resetElectionTimer puts the next election off, by a random time so that two
// replicas seldom stand at once.
func (c *Core) resetElectionTimer() {
	c.timerDue = c.now + c.timing.Election + time.Duration(c.rand.Int64N(int64(c.timing.Election)/electionJitterDivisor))
}

// setTerm enters a later term.
func (c *Core) setTerm(term uint64) {
	c.term, c.votedFor = term, 0
	c.pending.hardStateChanged = true
}

// becomeFollower makes this replica a follower, of nobody if id is 0.
func (c *Core) becomeFollower(id ID) {
	c.role, c.leader = follower, id
	c.votes, c.peers = nil, nil
	c.resetElectionTimer()
}

// campaign asks for votes. With pre it asks only whether they would be given,
// so that a replica that was cut off disturbs no leader when it returns.
func (c *Core) campaign(preVote, transfer bool) {
	c.becomeFollower(0)
	c.votes = map[ID]bool{c.id: true}
	c.role = preCandidate
	if !preVote {
		c.role = candidate
		c.setTerm(c.term + 1)
		c.votedFor = c.id
	}
	if c.tryWin(preVote) {
		return
	}
	term := c.term
	if preVote {
		term++
	}
	body := VoteRequest{PreVote: preVote, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm(), LeadershipTransfer: transfer}
	for _, r := range c.config.Replicas {
		if r.Voter && r.ID != c.id {
			m := c.newMessage(r.ID, body)
			m.Term = term
			c.pending.afterSync = append(c.pending.afterSync, m)
		}
	}
}

// tryWin moves on if a majority has granted its votes.
func (c *Core) tryWin(preVote bool) bool {
	n := 0
	for id, granted := range c.votes {
		if granted && c.config.isVoter(id) {
			n++
		}
	}
	if n < c.config.Quorum() {
		return false
	}
	if preVote {
		c.campaign(false, false)
	} else {
		c.becomeLeader()
	}
	return true
}

// leaderMayHoldLease says that a leader may hold a lease that counts on this replica.
func (c *Core) leaderMayHoldLease() bool {
	return c.role == leader || c.now-c.leaderHeardAt < c.timing.Election
}

func (c *Core) onVoteRequest(m Message, b VoteRequest) {
	if m.Term < c.term {
		c.sendAfterSync(m.From, VoteReply{PreVote: b.PreVote})
		return
	}
	if !b.LeadershipTransfer && c.leaderMayHoldLease() {
		return
	}
	if m.Term > c.term && !b.PreVote {
		c.setTerm(m.Term)
		c.becomeFollower(0)
	}
	upToDate := b.LastTerm > c.log.lastTerm() || b.LastTerm == c.log.lastTerm() && b.LastIndex >= c.log.lastIndex()
	canVote := c.votedFor == 0 || c.votedFor == m.From
	if b.PreVote {
		canVote = m.Term > c.term
	}
	granted := upToDate && canVote
	if granted && !b.PreVote {
		c.votedFor = m.From
		c.pending.hardStateChanged = true
		c.resetElectionTimer()
	}
	if granted && b.PreVote && c.role == preCandidate && m.From > c.id {
		// Two that stand at once would split the votes, so the one with the lower
		// ID stands back.
		c.role, c.votes = follower, nil
	}
	reply := c.newMessage(m.From, VoteReply{PreVote: b.PreVote, Granted: granted})
	if b.PreVote && granted {
		reply.Term = m.Term
	}
	c.pending.afterSync = append(c.pending.afterSync, reply)
}

func (c *Core) onVoteReply(m Message, b VoteReply) {
	if !b.Granted {
		if m.Term > c.term {
			c.setTerm(m.Term)
			c.becomeFollower(0)
		}
		return
	}
	if b.PreVote && c.role == preCandidate && m.Term == c.term+1 || !b.PreVote && c.role == candidate && m.Term == c.term {
		c.votes[m.From] = true
		c.tryWin(b.PreVote)
	}
}

// acceptLeader takes the sender of a message as the leader, unless its term has
// passed, which the answer tells it.
func (c *Core) acceptLeader(m Message, sent time.Duration) bool {
	if m.Term < c.term {
		c.sendAfterSync(m.From, AppendReply{Rejected: true, Sent: sent})
		return false
	}
	if m.Term > c.term {
		c.setTerm(m.Term)
	}
	if c.role != follower || c.leader != m.From {
		c.becomeFollower(m.From)
	}
	c.leaderHeardAt = c.now
	c.resetElectionTimer()
	return true
}

// becomeLeader starts a term as the leader.
func (c *Core) becomeLeader() {
	c.role, c.leader = leader, c.id
	c.votes = nil
	c.peers = make(map[ID]*progress)
	c.syncPeers()
	c.append(Noop, nil)
	c.timerDue = c.now
	c.tickLeader()
}

// tickLeader sends heartbeats, and steps down if no majority answers.
func (c *Core) tickLeader() {
	if c.now-c.majorityReply() >= c.timing.Election {
		c.becomeFollower(0)
		return
	}
	if c.now < c.timerDue {
		return
	}
	c.timerDue = c.now + c.timing.Heartbeat
	c.sendHeartbeats()
	c.promoteLearners()
}

// TransferLeadership hands the leadership to the follower that is furthest, if it has
// the whole log. This replica gives up its lease before the other stands.
func (c *Core) TransferLeadership(now time.Duration) bool {
	c.now = now
	if c.role != leader || c.syncedIndex < c.log.lastIndex() {
		return false
	}
	for _, r := range c.config.Replicas {
		p := c.peers[r.ID]
		if r.Voter && p != nil && p.match == c.log.lastIndex() {
			c.sendAfterSync(r.ID, TimeoutNow{})
			c.leaderHeardAt = now
			c.becomeFollower(0)
			return true
		}
	}
	return false
}

// Resign gives the leadership up at once, as this replica can't go on: the
// follower that is furthest stands without waiting. It returns the message to it.
func (c *Core) Resign(now time.Duration) []Message {
	c.now = now
	if c.role != leader {
		return nil
	}
	var target *Replica
	match := uint64(0)
	for i := range c.config.Replicas {
		r := &c.config.Replicas[i]
		if p := c.peers[r.ID]; r.Voter && p != nil && p.match > match {
			target, match = r, p.match
		}
	}
	if target == nil {
		return nil
	}
	m := c.newMessage(target.ID, TimeoutNow{})
	c.leaderHeardAt = now
	c.becomeFollower(0)
	return []Message{m}
}
