package quorum

import (
	"time"
)

// jitterPart is the part of an election's wait by which replicas differ at most:
// several heartbeats, so that two seldom stand at once.
const jitterPart = 2

// resetElection puts the next election off, by a random time so that two
// replicas seldom stand at once.
func (c *Core) resetElection() {
	c.due = c.now + c.timing.Election + time.Duration(c.rand.Int64N(int64(c.timing.Election)/jitterPart))
}

// setTerm enters a later term.
func (c *Core) setTerm(term uint64) {
	c.term, c.vote = term, 0
	c.out.state = true
}

// follow makes this replica a follower, of nobody if id is 0.
func (c *Core) follow(id ID) {
	c.role, c.leader = follower, id
	c.votes, c.peers = nil, nil
	c.resetElection()
}

// campaign asks for votes. With pre it asks only whether they would be given,
// so that a replica that was cut off disturbs no leader when it returns.
func (c *Core) campaign(pre, transfer bool) {
	c.follow(0)
	c.votes = map[ID]bool{c.id: true}
	c.role = preCandidate
	if !pre {
		c.role = candidate
		c.setTerm(c.term + 1)
		c.vote = c.id
	}
	if c.won(pre) {
		return
	}
	term := c.term
	if pre {
		term++
	}
	body := VoteRequest{Pre: pre, LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), Transfer: transfer}
	for _, r := range c.config.Replicas {
		if r.Voter && r.ID != c.id {
			m := c.message(r.ID, body)
			m.Term = term
			c.out.late = append(c.out.late, m)
		}
	}
}

// won moves on if a majority has granted its votes.
func (c *Core) won(pre bool) bool {
	n := 0
	for id, granted := range c.votes {
		if granted && c.config.votes(id) {
			n++
		}
	}
	if n < c.config.Quorum() {
		return false
	}
	if pre {
		c.campaign(false, false)
	} else {
		c.lead()
	}
	return true
}

// hasLeader says that a leader may hold a lease that counts on this replica.
func (c *Core) hasLeader() bool {
	return c.role == leader || c.now-c.heard < c.timing.Election
}

func (c *Core) onVoteRequest(m Message, b VoteRequest) {
	if m.Term < c.term {
		c.send(m.From, VoteReply{Pre: b.Pre})
		return
	}
	if !b.Transfer && c.hasLeader() {
		return
	}
	if m.Term > c.term && !b.Pre {
		c.setTerm(m.Term)
		c.follow(0)
	}
	current := b.LastTerm > c.log.lastTerm() || b.LastTerm == c.log.lastTerm() && b.LastIndex >= c.log.last()
	free := c.vote == 0 || c.vote == m.From
	if b.Pre {
		free = m.Term > c.term
	}
	granted := current && free
	if granted && !b.Pre {
		c.vote = m.From
		c.out.state = true
		c.resetElection()
	}
	if granted && b.Pre && c.role == preCandidate && m.From > c.id {
		// Two that stand at once would split the votes, so the one with the lower
		// ID stands back.
		c.role, c.votes = follower, nil
	}
	reply := c.message(m.From, VoteReply{Pre: b.Pre, Granted: granted})
	if b.Pre && granted {
		reply.Term = m.Term
	}
	c.out.late = append(c.out.late, reply)
}

func (c *Core) onVoteReply(m Message, b VoteReply) {
	if !b.Granted {
		if m.Term > c.term {
			c.setTerm(m.Term)
			c.follow(0)
		}
		return
	}
	if b.Pre && c.role == preCandidate && m.Term == c.term+1 || !b.Pre && c.role == candidate && m.Term == c.term {
		c.votes[m.From] = true
		c.won(b.Pre)
	}
}

// accept takes the sender of a message as the leader, unless its term has
// passed, which the answer tells it.
func (c *Core) accept(m Message, sent time.Duration) bool {
	if m.Term < c.term {
		c.send(m.From, AppendReply{Refused: true, Sent: sent})
		return false
	}
	if m.Term > c.term {
		c.setTerm(m.Term)
	}
	if c.role != follower || c.leader != m.From {
		c.follow(m.From)
	}
	c.heard = c.now
	c.resetElection()
	return true
}

// lead starts a term as the leader.
func (c *Core) lead() {
	c.role, c.leader = leader, c.id
	c.votes = nil
	c.peers = make(map[ID]*progress)
	c.syncPeers()
	c.append(Noop, nil)
	c.due = c.now
	c.tickLeader()
}

// tickLeader sends heartbeats, and steps down if no majority answers.
func (c *Core) tickLeader() {
	if c.now-c.majorityHeard() >= c.timing.Election {
		c.follow(0)
		return
	}
	if c.now < c.due {
		return
	}
	c.due = c.now + c.timing.Heartbeat
	c.beat()
	c.promote()
}

// Transfer hands the leadership to the follower that is furthest, if it has
// the whole log. This replica gives up its lease before the other stands.
func (c *Core) Transfer(now time.Duration) bool {
	c.now = now
	if c.role != leader || c.synced < c.log.last() {
		return false
	}
	for _, r := range c.config.Replicas {
		p := c.peers[r.ID]
		if r.Voter && p != nil && p.match == c.log.last() {
			c.send(r.ID, TimeoutNow{})
			c.heard = now
			c.follow(0)
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
	var best *Replica
	match := uint64(0)
	for i := range c.config.Replicas {
		r := &c.config.Replicas[i]
		if p := c.peers[r.ID]; r.Voter && p != nil && p.match > match {
			best, match = r, p.match
		}
	}
	if best == nil {
		return nil
	}
	m := c.message(best.ID, TimeoutNow{})
	c.heard = now
	c.follow(0)
	return []Message{m}
}
