package raft

// log holds the entries of the replicated log that have not been compacted, and the newest snapshot.
type log struct {
	// compactedIndex and compactedTerm are the index and term of the last compacted entry, the one before entries[0].
	compactedIndex uint64
	compactedTerm  uint64
	entries        []Entry
	snapshot       *Snapshot
	syncedIndex    uint64
}

func (l *log) reset(s *Snapshot) {
	l.compactedIndex = s.Index
	l.compactedTerm = s.Term
	l.entries = nil
	l.snapshot = s
	l.syncedIndex = s.Index
}

func (l *log) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

func (l *log) term(index uint64) (uint64, bool) {
	if index == l.compactedIndex {
		return l.compactedTerm, true
	}
	if index < l.compactedIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].Term, true
}

// slice returns the entries from index first to index last inclusive, or nil if any of them is not in the log.
func (l *log) slice(first, last uint64) []Entry {
	if first <= l.compactedIndex || first > last || last > l.lastIndex() {
		return nil
	}
	return l.entries[first-l.compactedIndex-1 : last-l.compactedIndex : last-l.compactedIndex]
}

// appendEntries appends entries whose predecessor is in the log. It truncates the log at the first conflicting entry and
// reports whether it did.
func (l *log) appendEntries(entries []Entry) (truncated bool) {
	for i, e := range entries {
		if e.Index <= l.compactedIndex {
			continue
		}
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.entries = append([]Entry(nil), l.entries[:e.Index-l.compactedIndex-1]...)
			l.syncedIndex = min(l.syncedIndex, e.Index-1)
			truncated = true
		}
		l.entries = append(l.entries, entries[i:]...)
		break
	}
	return truncated
}

// compact installs a snapshot and drops the entries that it covers, except for at most trailing ones of at most trailingBytes.
func (l *log) compact(s *Snapshot, trailing, trailingBytes uint64) {
	if l.snapshot != nil && s.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = s
	trailing = l.trailingWithin(s.Index, trailing, trailingBytes)
	if s.Index <= l.compactedIndex+trailing {
		return
	}
	compactedIndex := s.Index - trailing
	compactedTerm, ok := l.term(compactedIndex)
	if !ok {
		return
	}
	l.entries = append([]Entry(nil), l.entries[compactedIndex-l.compactedIndex:]...)
	l.compactedIndex = compactedIndex
	l.compactedTerm = compactedTerm
}

// trailingWithin returns how many of the last entries up to an index, at most limit, have at most limitBytes of data.
func (l *log) trailingWithin(index, limit, limitBytes uint64) uint64 {
	bytes := uint64(0)
	for n := range limit {
		i := index - n
		if i <= l.compactedIndex || i > l.lastIndex() {
			return n
		}
		if bytes += uint64(len(l.entries[i-l.compactedIndex-1].Data)); bytes > limitBytes {
			return n
		}
	}
	return limit
}

// votersAt returns the voters in effect at index.
func (l *log) votersAt(index uint64) []ID {
	for i := min(index, l.lastIndex()); i > l.compactedIndex; i-- {
		if e := l.entries[i-l.compactedIndex-1]; e.Kind == EntryMembership {
			return e.Voters
		}
	}
	if l.snapshot != nil {
		return l.snapshot.Voters
	}
	return nil
}

// membershipIndex returns the index of the newest membership entry in the log, or zero.
func (l *log) membershipIndex() uint64 {
	for i := l.lastIndex(); i > l.compactedIndex; i-- {
		if l.entries[i-l.compactedIndex-1].Kind == EntryMembership {
			return i
		}
	}
	return 0
}

// upToDate reports whether a log whose last entry has this index and term is at least as up-to-date as this one.
func (l *log) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}
