package raft

import "time"

// ID identifies one incarnation of a member, such as entry-1/7f3a.
type ID string

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryNoOp EntryKind = iota
	EntryCommand
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Voters is the new set of voters; only set for EntryMembership.
	Voters []ID `cbor:"5,keyasint,omitempty"`
}

// HardState is the state that a member must sync to disk before it replies to a message.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot is the applied state at one index of the log.
type Snapshot struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Voters []ID   `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// MessageKind is the type of a message between members.
type MessageKind uint8

// Kinds of messages between members.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	SnapshotChunk
	SnapshotChunkReply
	TimeoutNow
	Join
)

// Message is one message between members.
type Message struct {
	Kind       MessageKind `cbor:"1,keyasint"`
	From       ID          `cbor:"2,keyasint"`
	To         ID          `cbor:"3,keyasint"`
	Term       uint64      `cbor:"4,keyasint"`
	Index      uint64      `cbor:"5,keyasint,omitempty"`
	LogTerm    uint64      `cbor:"6,keyasint,omitempty"`
	Entries    []Entry     `cbor:"7,keyasint,omitempty"`
	Commit     uint64      `cbor:"8,keyasint,omitempty"`
	Reject     bool        `cbor:"9,keyasint,omitempty"`
	RejectHint uint64      `cbor:"10,keyasint,omitempty"`
	// SentAt is the leader's clock when it sent the message; the reply returns it unchanged.
	SentAt time.Duration `cbor:"11,keyasint,omitempty"`
	// Clock is the follower's clock when it replied; the next Append returns it as EchoedClock.
	Clock time.Duration `cbor:"12,keyasint,omitempty"`
	// EchoedClock renews the state lease of the receiver, counted from that reading of the receiver's clock.
	EchoedClock time.Duration `cbor:"13,keyasint,omitempty"`
	// IgnoreLease lets a voter grant the vote in spite of the leader lease, during a leadership transfer.
	IgnoreLease bool `cbor:"14,keyasint,omitempty"`
	// Offset, LastChunk and Snapshot describe one chunk of a snapshot.
	Offset    uint64    `cbor:"15,keyasint,omitempty"`
	LastChunk bool      `cbor:"16,keyasint,omitempty"`
	Snapshot  *Snapshot `cbor:"17,keyasint,omitempty"`
	// Durable is set if the sender syncs to disk before it replies and may become a voter.
	Durable bool `cbor:"18,keyasint,omitempty"`
}

// Ready holds the outstanding work of a member; the driver must do it in the order of the fields.
type Ready struct {
	// Immediate messages may be sent before anything is synced.
	Immediate []Message
	// Snapshot, Entries and HardState must be synced to disk before Messages are sent.
	Snapshot  *Snapshot
	Entries   []Entry
	HardState *HardState
	Messages  []Message
	// Restore replaces the applied state before the Committed entries are applied.
	Restore   *Snapshot
	Committed []Entry
}
