package quorum

import (
	"time"
)

// The election timeout is extended by a random jitter of up to 1/electionJitterDivisor of
// it. The jitter spans several heartbeats, so that two replicas rarely start an election
// at the same time.
const electionJitterDivisor = 2

// resetElectionTimer restarts the election timeout with a new random jitter.
func (c *Core) resetElectionTimer() {
	c.timerDue = c.now + c.timing.ElectionTimeout + time.Duration(c.rand.Int64N(int64(c.timing.ElectionTimeout)/electionJitterDivisor))
}

// setTerm enters a newer term without a vote in it.
func (c *Core) setTerm(term uint64) {
	c.term, c.votedFor = term, 0
	c.pending.hardStateChanged = true
}

// becomeFollower makes this replica a follower of id, or without a known leader if id is
// 0.
func (c *Core) becomeFollower(id ID) {
	c.role, c.leader = follower, id
	c.votes, c.peers = nil, nil
	c.resetElectionTimer()
}

// campaignKind tells why an election is held.
type campaignKind uint8

const (
	// preVote only checks whether votes would be granted and does not change the term, so that
	// a replica that returns after a partition does not depose the leader.
	preVote campaignKind = iota
	// afterPreVote is the election that follows it.
	afterPreVote
	// afterTransfer means that the old leader has released its lease, and afterRestart that all
	// voters have restarted: voters need not wait for a lease to expire.
	afterTransfer
	afterRestart
)

// campaign starts an election.
func (c *Core) campaign(kind campaignKind) {
	c.becomeFollower(0)
	c.votes = map[ID]bool{c.id: true}
	c.role = preCandidate
	if kind != preVote {
		c.role = candidate
		c.setTerm(c.term + 1)
		c.votedFor = c.id
	}
	if c.tryWin(kind == preVote) {
		return
	}
	term := c.term
	if kind == preVote {
		term++
	}
	c.sendVoteRequests(term, VoteRequest{
		PreVote: kind == preVote, LeadershipTransfer: kind == afterTransfer, Restarted: kind == afterRestart,
	})
	c.repeatsVotes, c.votesDue = kind == preVote || kind == afterPreVote, c.now+c.timing.HeartbeatInterval
}

// repeatVoteRequests sends the requests of the current campaign once more while it lasts: the first message to a
// replica that has restarted may be lost with a connection to its former process. Requests that ignore leases
// are not repeated, as the permission for them may have run out.
func (c *Core) repeatVoteRequests() {
	if !c.repeatsVotes || c.now < c.votesDue || c.role != preCandidate && c.role != candidate {
		return
	}
	c.votesDue = c.now + c.timing.HeartbeatInterval
	term := c.term
	if c.role == preCandidate {
		term++
	}
	c.sendVoteRequests(term, VoteRequest{PreVote: c.role == preCandidate})
}

// sendVoteRequests sends a request for votes in a term, completed with the end of the log, to all
// other voters.
func (c *Core) sendVoteRequests(term uint64, body VoteRequest) {
	body.LastIndex, body.LastTerm = c.log.lastIndex(), c.log.lastTerm()
	for _, r := range c.config.Replicas {
		if r.Voter && r.ID != c.id {
			m := c.newMessage(r.ID, body)
			m.Term = term
			c.pending.afterSync = append(c.pending.afterSync, m)
		}
	}
}

// isUpToDate reports whether the log of a candidate has at least the entries of this one.
func (c *Core) isUpToDate(b VoteRequest) bool {
	return b.LastTerm > c.log.lastTerm() || b.LastTerm == c.log.lastTerm() && b.LastIndex >= c.log.lastIndex()
}

// tryWin counts the granted votes. With a majority it starts the real election after a
// pre-vote, or becomes the leader, and returns true.
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
		c.campaign(afterPreVote)
	} else {
		c.becomeLeader()
	}
	return true
}

// leaderMayHoldLease reports whether a leader, this replica included, may hold a lease
// that relies on this replica not voting.
func (c *Core) leaderMayHoldLease() bool {
	return c.role == leader || c.now-c.lastLeaderContact < c.timing.ElectionTimeout
}

func (c *Core) onVoteRequest(m Message, b VoteRequest) {
	if m.Term < c.term {
		c.sendAfterSync(m.From, VoteReply{PreVote: b.PreVote})
		return
	}
	if b.PreVote && b.Restarted {
		c.onRestartProbe(m, b)
		return
	}
	mayIgnoreLease := b.LeadershipTransfer || b.Restarted && c.restart.pending
	if !mayIgnoreLease && c.leaderMayHoldLease() {
		return
	}
	if m.Term > c.term && !b.PreVote {
		c.setTerm(m.Term)
		c.becomeFollower(0)
	}
	canVote := c.votedFor == 0 || c.votedFor == m.From
	if b.PreVote {
		canVote = m.Term > c.term
	}
	granted := c.isUpToDate(b) && canVote
	if granted && !b.PreVote {
		c.votedFor = m.From
		c.pending.hardStateChanged = true
		c.resetElectionTimer()
	}
	if granted && b.PreVote && c.role == preCandidate && m.From > c.id {
		// Two candidates at the same time would split the votes, so the one with the
		// lower ID withdraws.
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
	if b.Restarted {
		c.onRestartReply(m)
		return
	}
	if b.PreVote && c.role == preCandidate && m.Term == c.term+1 ||
		!b.PreVote && c.role == candidate && m.Term == c.term {
		c.votes[m.From] = true
		c.tryWin(b.PreVote)
	}
}

// acceptLeader follows the sender of a message as the leader and returns true. It rejects
// a sender of an older term with a reply that carries the current term.
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
	c.lastLeader, c.lastLeaderContact, c.restart.pending = m.From, c.now, false
	c.resetElectionTimer()
	return true
}

// becomeLeader makes this replica the leader. It appends a Noop entry, as only an entry
// of the leader's own term can be committed by counting replicas.
func (c *Core) becomeLeader() {
	c.role, c.leader = leader, c.id
	c.votes, c.restart.pending = nil, false
	c.peers = make(map[ID]*progress)
	c.syncPeers()
	if p := c.peers[c.lastLeader]; p != nil {
		// Its silence led to the election.
		p.lastSign = c.lastLeaderContact
	}
	c.append(Noop, nil)
	c.timerDue = c.now
	c.tickLeader()
}

// tickLeader sends heartbeats and makes due membership changes. It steps down if no
// majority has replied for an election timeout.
func (c *Core) tickLeader() {
	if c.now-c.majorityReply() >= c.timing.ElectionTimeout {
		c.becomeFollower(0)
		return
	}
	if c.now < c.timerDue {
		return
	}
	c.timerDue = c.now + c.timing.HeartbeatInterval
	c.sendHeartbeats()
	c.updateMembership()
}

// TransferLeadership transfers leadership to a voter that has the whole log. It returns
// false if this replica does not lead, has unsynced entries or finds no such voter. This
// replica releases its lease before the other starts its election.
func (c *Core) TransferLeadership(now time.Duration) bool {
	c.now = now
	if c.role != leader || c.syncedIndex < c.log.lastIndex() {
		return false
	}
	for _, r := range c.config.Replicas {
		p := c.peers[r.ID]
		if r.Voter && p != nil && p.match == c.log.lastIndex() {
			c.sendAfterSync(r.ID, TimeoutNow{})
			c.lastLeaderContact = now
			c.becomeFollower(0)
			return true
		}
	}
	return false
}

// Resign steps down at once, for instance after a disk failure, in favour of the voter
// with the most entries. It returns the message that lets that voter start an election
// without waiting, or nil if this replica does not lead or no voter has any entries.
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
	c.lastLeaderContact = now
	c.becomeFollower(0)
	return []Message{m}
}
