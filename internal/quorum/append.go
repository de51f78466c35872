package quorum

// replicate sends new entries to every peer that has fewer than maxUnackedEntries entries
// unacknowledged.
func (c *Core) replicate() {
	for _, r := range c.config.Replicas {
		p := c.peers[r.ID]
		if p == nil || p.outgoing != nil || p.probing && p.probeSent {
			continue
		}
		c.sendEntries(r.ID, p)
	}
}

func (c *Core) sendEntries(id ID, p *progress) {
	for p.next <= c.log.lastIndex() && p.next-p.match <= maxUnackedEntries {
		if p.next <= c.log.baseIndex {
			c.startSnapshot(id, p)
			return
		}
		es := c.log.entriesFrom(p.next, maxAppendBytes)
		c.sendAppend(id, p, es)
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(es))
	}
}

func (c *Core) sendAppend(id ID, p *progress, es []Entry) {
	prev := p.next - 1
	term, _ := c.log.term(prev) // Known: callers send only while p.next is above the base index.
	c.sendNow(id, Append{PrevIndex: prev, PrevTerm: term, Entries: es, CommitIndex: c.commitIndex, Sent: c.now})
}

// sendHeartbeats sends every peer a message that it must answer. The answer also reveals
// which earlier messages were lost.
func (c *Core) sendHeartbeats() {
	for _, r := range c.config.Replicas {
		p := c.peers[r.ID]
		switch {
		case p == nil:
		case p.outgoing != nil:
			c.sendChunk(r.ID, p)
		case p.next <= c.log.baseIndex:
			c.startSnapshot(r.ID, p)
		default:
			p.probeSent = false
			c.sendAppend(r.ID, p, nil)
		}
	}
}

// onAppend handles entries and heartbeats from the leader. It rejects them if the log has
// no entry of the same index and term to append them to.
func (c *Core) onAppend(m Message, b Append) {
	prev, term, es := b.PrevIndex, b.PrevTerm, b.Entries
	if prev < c.commitIndex {
		// Committed entries are identical on all replicas, so skip them.
		skip := min(c.commitIndex-prev, uint64(len(es)))
		if skip < c.commitIndex-prev {
			c.sendAfterSync(m.From, AppendReply{Sent: b.Sent, MatchIndex: c.commitIndex})
			return
		}
		prev, term, es = c.commitIndex, es[skip-1].Term, es[skip:]
	}
	if !c.log.matches(prev, term) {
		c.sendAfterSync(m.From, AppendReply{
			Sent: b.Sent, Rejected: true, RejectedIndex: b.PrevIndex, HintIndex: c.conflictHint(prev),
		})
		return
	}
	c.mergeEntries(es)
	match := prev + uint64(len(es))
	c.commitIndex = max(c.commitIndex, min(b.CommitIndex, match))
	c.sendAfterSync(m.From, AppendReply{Sent: b.Sent, MatchIndex: match})
}

// conflictHint returns the index after which the leader should retry: the end of the log
// if it is too short, else the last entry before the conflicting term.
func (c *Core) conflictHint(prevIndex uint64) uint64 {
	index := min(prevIndex, c.log.lastIndex())
	if index < prevIndex {
		return index
	}
	term, _ := c.log.term(index)
	for index > c.commitIndex && c.log.matches(index, term) {
		index--
	}
	return index
}

// mergeEntries appends the entries that the log lacks and replaces those that conflict.
func (c *Core) mergeEntries(es []Entry) {
	for len(es) > 0 && c.log.matches(es[0].Index, es[0].Term) {
		es = es[1:]
	}
	if len(es) == 0 {
		return
	}
	c.markUnsynced(es[0].Index)
	c.log.replaceFrom(es)
	if es[0].Index <= c.configIndex || hasConfigChange(es) {
		// Leaders append only configurations that they have encoded, so decoding can't
		// fail.
		_ = c.loadConfig()
	}
}

func hasConfigChange(es []Entry) bool {
	for _, e := range es {
		if e.Kind == Reconfigure {
			return true
		}
	}
	return false
}

// onAppendReply records what the peer has stored. After a rejection it moves the peer's
// next index back to where the two logs may agree.
func (c *Core) onAppendReply(m Message, b AppendReply) {
	p := c.peers[m.From]
	c.recordReply(p, b.Sent)
	if p.outgoing != nil {
		return
	}
	if b.Rejected {
		if b.RejectedIndex > p.match {
			p.next = max(p.match+1, min(b.RejectedIndex, b.HintIndex+1))
			p.probing, p.probeSent = true, false
		}
		return
	}
	p.match = max(p.match, b.MatchIndex)
	p.next = max(p.next, p.match+1)
	p.probing, p.probeSent = false, false
	c.advanceCommit()
}
