package raft

import "github.com/sapphiresail/sapphiresail/internal/fault"

// check returns an error if no correct member of the group sends the message. Taking it would leave a gap in the log, replace committed
// entries, or make this leader wait for entries that it does not have.
func (r *Raft) check(m Message) error {
	switch m.Kind {
	case Append:
		return r.checkEntries(m)
	case AppendReply:
		if r.role == Leader && m.Term == r.hardState.Term && !m.Reject && m.Index > r.log.lastIndex() {
			return malformed(m, "it acknowledges entry %d, the last is %d", m.Index, r.log.lastIndex())
		}
	case SnapshotChunk:
		if m.Snapshot == nil {
			return malformed(m, "it has no snapshot")
		}
		if m.Snapshot.Term > m.Term || len(m.Snapshot.Voters) == 0 {
			return malformed(m, "its snapshot of term %d has %d voters", m.Snapshot.Term, len(m.Snapshot.Voters))
		}
	}
	return nil
}

// checkEntries checks that the entries of an Append follow each other in index and term and agree with what is committed here.
func (r *Raft) checkEntries(m Message) error {
	last := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Index < m.Index {
			return malformed(m, "entry %d follows %d", e.Index, m.Index+uint64(i))
		}
		if e.Term < last || e.Term > m.Term {
			return malformed(m, "entry %d of term %d follows term %d", e.Index, e.Term, last)
		}
		last = e.Term
		if t, ok := r.log.term(e.Index); ok && e.Index <= r.hardState.Commit && t != e.Term {
			return malformed(m, "entry %d of term %d is committed with term %d", e.Index, e.Term, t)
		}
	}
	return nil
}

func malformed(m Message, format string, args ...any) error {
	return fault.New("message of "+string(m.From), KindMalformed, format, args...)
}
