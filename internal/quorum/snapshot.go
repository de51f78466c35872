package quorum

// outgoingSnapshot is a snapshot that is being sent to a peer. The chunk that starts at
// offset, in bytes, is in flight.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   int
}

// incomingSnapshot holds the chunks of a snapshot received so far; meta is the snapshot
// without data.
type incomingSnapshot struct {
	meta Snapshot
	from ID
	data []byte
}

func (c *Core) startSnapshot(id ID, p *progress) {
	p.outgoing = &outgoingSnapshot{snapshot: c.snapshot}
	c.sendChunk(id, p)
}

// sendChunk sends the chunk at the offset that the peer requested. One chunk is in flight
// at a time; heartbeats repeat it.
func (c *Core) sendChunk(id ID, p *progress) {
	out := p.outgoing
	end := min(out.offset+maxChunkBytes, len(out.snapshot.Data))
	meta := out.snapshot
	meta.Data = nil
	c.sendNow(id, SnapshotChunk{
		Meta: meta, Offset: out.offset, Data: out.snapshot.Data[out.offset:end],
		Last: end == len(out.snapshot.Data), Sent: c.now,
	})
}

// onSnapshotChunk assembles a snapshot from its chunks and installs it after the last
// one. A reply with offset -1 means that this replica needs no more chunks.
func (c *Core) onSnapshotChunk(m Message, b SnapshotChunk) {
	if b.Meta.Index <= c.commitIndex || c.log.matches(b.Meta.Index, b.Meta.Term) {
		c.commitIndex = max(c.commitIndex, b.Meta.Index)
		c.incoming = incomingSnapshot{}
		c.sendAfterSync(m.From, SnapshotReply{Index: b.Meta.Index, Offset: -1, Sent: b.Sent})
		return
	}
	in := &c.incoming
	if in.meta.Index != b.Meta.Index || in.meta.Term != b.Meta.Term || in.from != m.From {
		*in = incomingSnapshot{meta: b.Meta, from: m.From}
	}
	if b.Offset != len(in.data) {
		c.sendAfterSync(m.From, SnapshotReply{Index: b.Meta.Index, Offset: len(in.data), Sent: b.Sent})
		return
	}
	in.data = append(in.data, b.Data...)
	if !b.Last {
		c.sendAfterSync(m.From, SnapshotReply{Index: b.Meta.Index, Offset: len(in.data), Sent: b.Sent})
		return
	}
	snap := b.Meta
	snap.Data = in.data
	c.incoming = incomingSnapshot{}
	c.installSnapshot(snap)
	c.sendAfterSync(m.From, SnapshotReply{Index: snap.Index, Offset: -1, Sent: b.Sent})
}

// installSnapshot replaces the whole log by a snapshot that is newer than the log or
// conflicts with it.
func (c *Core) installSnapshot(s Snapshot) {
	c.snapshot = s
	c.log.reset(s.Index, s.Term)
	c.syncedIndex, c.commitIndex, c.delivered = s.Index, s.Index, s.Index
	c.config, c.configIndex = s.Config, s.Index
	c.pending.snapshot = &s
	c.pending.unsyncedFrom = 0
}

// onSnapshotReply sends the next chunk, or resumes sending entries after the offset -1,
// with which the peer confirms that it has the whole snapshot.
func (c *Core) onSnapshotReply(m Message, b SnapshotReply) {
	p := c.peers[m.From]
	c.recordReply(p, b.Sent)
	if b.Offset < 0 {
		p.match = max(p.match, b.Index)
		p.next = max(p.match+1, p.next)
		p.outgoing = nil
		p.probing, p.probeSent = true, false
		c.advanceCommit()
		return
	}
	out := p.outgoing
	if out == nil || out.snapshot.Index != b.Index || b.Offset == out.offset || b.Offset > len(out.snapshot.Data) {
		return
	}
	out.offset = b.Offset
	c.sendChunk(m.From, p)
}

// SnapshotMeta returns the snapshot after the committed entry at index, without data.
func (c *Core) SnapshotMeta(index uint64) Snapshot {
	term, _ := c.log.term(index) // Known: the log keeps entries until a snapshot covers them.
	s := Snapshot{Index: index, Term: term, Config: c.snapshot.Config}
	if cfg, ok := c.configAt(index); ok {
		s.Config = cfg
	}
	return s
}
