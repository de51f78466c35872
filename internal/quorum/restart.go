package quorum

import "time"

// restart is what a replica does about an election between the start of its process and its
// first contact with a leader. After a restart it must not vote for an election timeout, as it may
// have acknowledged a leader whose lease is still valid. If every voter has restarted, though, the
// process that held the lease has ended, and nobody needs to wait.
type restart struct {
	// pending is set until this replica has led or heard from a leader since its start.
	pending bool
	// probeDue is when the other voters are asked again whether they have restarted, too.
	probeDue time.Duration
	// restarted are the voters that were in this state in term.
	restarted map[ID]bool
	term      uint64
}

// probeRestarts asks the other voters whether they have restarted, too, if that is due.
func (c *Core) probeRestarts() {
	if !c.restart.pending || c.role != follower || c.now < c.restart.probeDue || c.isOnlyVoter() {
		return
	}
	c.restart.probeDue = c.now + c.timing.HeartbeatInterval
	c.sendVoteRequests(c.term+1, VoteRequest{PreVote: true, Restarted: true})
}

// onRestartProbe answers a replica that has restarted and could lead. Of replicas with equal logs
// only the one with the highest ID gets answers from all, so that the votes are not split.
func (c *Core) onRestartProbe(m Message, b VoteRequest) {
	if !c.restart.pending || c.role != follower {
		return
	}
	if m.Term == c.term {
		// The sender is one term behind, as after an election that this replica or its last process
		// held. Unless it enters this term, neither of them can answer the other.
		c.sendAfterSync(m.From, VoteReply{PreVote: true})
		return
	}
	// Replicas in the same term can't lead in it later, as they hold no election in it. Only then does
	// an answer stay true until the election in the next term.
	if m.Term != c.term+1 {
		return
	}
	isAhead := b.LastTerm > c.log.lastTerm() || b.LastTerm == c.log.lastTerm() && b.LastIndex > c.log.lastIndex()
	if !isAhead && (!c.isUpToDate(b) || m.From < c.id) {
		return
	}
	reply := c.newMessage(m.From, VoteReply{PreVote: true, Granted: true, Restarted: true})
	reply.Term = m.Term
	c.pending.afterSync = append(c.pending.afterSync, reply)
}

// onRestartReply starts an election once all voters have restarted.
func (c *Core) onRestartReply(m Message) {
	if !c.restart.pending || c.role != follower || m.Term != c.term+1 {
		return
	}
	if c.restart.term != c.term || c.restart.restarted == nil {
		c.restart.term, c.restart.restarted = c.term, map[ID]bool{c.id: true}
	}
	c.restart.restarted[m.From] = true
	for _, r := range c.config.Replicas {
		if r.Voter && !c.restart.restarted[r.ID] {
			return
		}
	}
	if c.config.isVoter(c.id) {
		c.campaign(afterRestart)
	}
}
