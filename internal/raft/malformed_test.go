package raft_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// drawMessage draws a message to a member with any fields, most of them close to those that its group uses.
func drawMessage(rt *rapid.T, member *raft.Raft) raft.Message {
	near := func(n uint64) *rapid.Generator[uint64] { return rapid.Uint64Range(n-min(n, 1), max(n, n+1)) }
	anything := rapid.Uint64()
	term := rapid.OneOf(near(member.Term()), near(member.Term()), near(member.Term()), anything)
	index := rapid.OneOf(near(member.Commit()), near(member.Commit()+2), rapid.Uint64Range(0, 20), anything)
	entry := rapid.Custom(func(rt *rapid.T) raft.Entry {
		return raft.Entry{
			Index: index.Draw(rt, "index"), Term: term.Draw(rt, "term"), Kind: raft.EntryKind(rapid.IntRange(0, 4).Draw(rt, "entry-kind")),
			Data: rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(rt, "data"), Voters: rapid.SliceOfN(rapid.SampledFrom([]raft.ID{"a", "b", "c", ""}), 0, 3).Draw(rt, "voters"),
		}
	})
	m := raft.Message{
		Kind: raft.MessageKind(rapid.IntRange(0, 12).Draw(rt, "kind")), From: rapid.SampledFrom([]raft.ID{"b", "c", "x", ""}).Draw(rt, "from"), To: "a",
		Term: term.Draw(rt, "term"), Index: index.Draw(rt, "index"), LogTerm: term.Draw(rt, "log-term"), Commit: index.Draw(rt, "commit"),
		Entries: rapid.SliceOfN(entry, 0, 4).Draw(rt, "entries"), Reject: rapid.Bool().Draw(rt, "reject"), RejectHint: index.Draw(rt, "hint"),
		SentAt: time.Duration(rapid.Int64().Draw(rt, "sent-at")), Clock: time.Duration(rapid.Int64().Draw(rt, "clock")),
		Offset: anything.Draw(rt, "offset"), LastChunk: rapid.Bool().Draw(rt, "last"), Durable: rapid.Bool().Draw(rt, "durable"),
	}
	if rapid.Bool().Draw(rt, "contiguous") {
		for i := range m.Entries {
			m.Entries[i].Index = m.Index + 1 + uint64(i)
		}
	}
	if rapid.Bool().Draw(rt, "snapshot") {
		m.Snapshot = &raft.Snapshot{Index: index.Draw(rt, "index"), Term: term.Draw(rt, "term"), Voters: []raft.ID{"a", "b", "c"}, Data: []byte("s")}
	}
	return m
}

// TestMalformedMessagesLeaveLogWhole guards against one message that ends a member, leaves a gap in its log, or replaces entries that were given
// out as committed.
func TestMalformedMessagesLeaveLogWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Duration(1)
		member := raft.New("a", now, raft.HardState{Term: 1}, &raft.Snapshot{Index: 1, Term: 1, Voters: []raft.ID{"a", "b", "c"}}, nil, raft.WithDurable())
		next := uint64(2)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "milliseconds")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				member.Tick(now)
			case 1:
				_, _ = member.Propose(now, []byte("x"))
			default:
				member.Step(now, drawMessage(rt, member))
			}
			for range 10 {
				if !member.HasReady() {
					break
				}
				ready := member.Ready()
				if ready.Restore != nil {
					next = ready.Restore.Index + 1
				}
				for _, e := range ready.Committed {
					assert.Equal(rt, e.Index, next, "committed out of order")
					next++
				}
				member.Advance(ready)
			}
			assert.Assert(rt, !member.HasReady(), "work without end")
			for i, e := range member.EntriesAfter(member.Applied()) {
				assert.Equal(rt, e.Index, member.Applied()+1+uint64(i), "gap in the log")
			}
		}
	})
}
