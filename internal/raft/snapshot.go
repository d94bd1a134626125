package raft

func (r *Raft) sendSnapshotChunk(id ID, p *peer, retry bool) {
	s := r.log.snapshot
	if s == nil {
		return
	}
	if p.snapshot == nil || p.snapshot.Index < r.log.compactedIndex {
		p.snapshot = s
		p.snapshotOffset = 0
		retry = true
	}
	if !retry {
		return
	}
	s = p.snapshot
	end := min(p.snapshotOffset+snapshotChunkBytes, uint64(len(s.Data)))
	chunk := &Snapshot{Index: s.Index, Term: s.Term, Voters: s.Voters, Data: s.Data[p.snapshotOffset:end]}
	r.immediate = append(r.immediate, Message{
		Kind: SnapshotChunk, From: r.id, To: id, Term: r.hardState.Term, Commit: r.hardState.Commit, SentAt: r.now,
		Offset: p.snapshotOffset, LastChunk: end == uint64(len(s.Data)), Snapshot: chunk,
	})
}

func (r *Raft) stepSnapshotChunk(m Message) {
	if r.role == Leader || m.Snapshot == nil {
		return
	}
	r.recordLeaderContact(m)
	if m.Snapshot.Index <= r.hardState.Commit {
		r.send(Message{Kind: AppendReply, To: m.From, Index: r.hardState.Commit, SentAt: m.SentAt})
		return
	}
	r.appendSnapshotChunk(m)
	received := uint64(len(r.partialSnapshot.Data))
	if !m.LastChunk || received != m.Offset+uint64(len(m.Snapshot.Data)) {
		r.send(Message{Kind: SnapshotChunkReply, To: m.From, Index: r.partialSnapshot.Index, Offset: received, SentAt: m.SentAt})
		return
	}
	r.installSnapshot(r.partialSnapshot)
	r.partialSnapshot = nil
	r.send(Message{Kind: AppendReply, To: m.From, Index: m.Snapshot.Index, SentAt: m.SentAt})
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
	p.snapshotOffset = min(m.Offset, uint64(len(p.snapshot.Data)))
	r.sendSnapshotChunk(m.From, p, true)
}
