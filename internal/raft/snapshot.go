package raft

// chunkRetryInterval is how long a snapshot chunk may be without a reply before it is sent again. It is less than an election
// timeout, as chunks stand in for heartbeats.
const chunkRetryInterval = 2 * DefaultHeartbeatInterval

// sendSnapshotChunk begins a snapshot, or repeats the chunk under way if its reply is overdue. One chunk is under way at a time.
func (r *Raft) sendSnapshotChunk(id ID, p *peer) {
	if r.log.snapshot == nil {
		return
	}
	switch {
	case p.snapshot == nil || p.snapshot.Index < r.log.compactedIndex:
		p.snapshot = r.log.snapshot
		p.snapshotOffset = 0
	case r.now-p.chunkSentAt < chunkRetryInterval:
		return
	}
	r.sendChunk(id, p)
}

// sendChunk sends the chunk at the peer's offset.
func (r *Raft) sendChunk(id ID, p *peer) {
	s := p.snapshot
	p.chunkSentAt = r.now
	end := min(p.snapshotOffset+snapshotChunkBytes, uint64(len(s.Data)))
	chunk := &Snapshot{Index: s.Index, Term: s.Term, Voters: s.Voters, Data: s.Data[p.snapshotOffset:end]}
	r.immediate = append(r.immediate, Message{
		Kind: SnapshotChunk, From: r.id, To: id, Term: r.hardState.Term, Commit: r.hardState.Commit, SentAt: r.now,
		Offset: p.snapshotOffset, LastChunk: end == uint64(len(s.Data)), Snapshot: chunk,
	})
}

func (r *Raft) stepSnapshotChunk(m Message) error {
	if r.role == Leader {
		return nil
	}
	r.recordLeaderContact(m)
	if m.Snapshot.Index <= r.hardState.Commit {
		r.send(Message{Kind: AppendReply, To: m.From, Index: r.hardState.Commit, SentAt: m.SentAt})
		return nil
	}
	r.appendSnapshotChunk(m)
	received := uint64(len(r.partialSnapshot.Data))
	if !m.LastChunk || received != m.Offset+uint64(len(m.Snapshot.Data)) {
		r.send(Message{Kind: SnapshotChunkReply, To: m.From, Index: r.partialSnapshot.Index, Offset: received, SentAt: m.SentAt})
		return nil
	}
	s := r.partialSnapshot
	r.partialSnapshot = nil
	if err := r.snapshotCheck(s.Data); err != nil {
		return malformed(m, "its snapshot of index %d cannot be read: %w", s.Index, err)
	}
	r.installSnapshot(s)
	r.send(Message{Kind: AppendReply, To: m.From, Index: s.Index, SentAt: m.SentAt})
	return nil
}

// appendSnapshotChunk appends a chunk that continues the partial snapshot; any other chunk is ignored.
func (r *Raft) appendSnapshotChunk(m Message) {
	if r.partialSnapshot == nil || r.partialSnapshot.Index != m.Snapshot.Index || r.partialSnapshot.Term != m.Snapshot.Term {
		r.partialSnapshot = &Snapshot{Index: m.Snapshot.Index, Term: m.Snapshot.Term, Voters: m.Snapshot.Voters}
	}
	if uint64(len(r.partialSnapshot.Data)) == m.Offset {
		r.partialSnapshot.Data = append(r.partialSnapshot.Data, m.Snapshot.Data...)
	}
}

func (r *Raft) installSnapshot(s *Snapshot) {
	r.log.reset(s)
	r.unsavedSnapshot = s
	r.restoreSnapshot = s
	r.applied = s.Index
	r.hardState.Commit = s.Index
	r.updateVoters()
}

func (r *Raft) stepSnapshotChunkReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	r.recordReply(p, m)
	if p.snapshot == nil || p.snapshot.Index != m.Index {
		return
	}
	offset := min(m.Offset, uint64(len(p.snapshot.Data)))
	if offset == p.snapshotOffset {
		return // the reply to a chunk that was sent twice
	}
	p.snapshotOffset = offset
	r.sendChunk(m.From, p)
}
