package raft

import "time"

// ID names one incarnation of a member, such as entry-1/7f3a.
type ID string

// EntryKind tells what an entry of the log carries.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryNoOp EntryKind = iota
	EntryCommand
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Voters is the new membership of an EntryMembership.
	Voters []ID `cbor:"5,keyasint,omitempty"`
}

// HardState is what a member must have synced before it answers.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot is the state at one index of the log.
type Snapshot struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Voters []ID   `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// MessageKind tells messages between members apart.
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
	// Sent is the leader's clock at sending; a reply returns it.
	SentAt time.Duration `cbor:"11,keyasint,omitempty"`
	// Clock is the follower's clock at replying; the next append returns it as Echo.
	Clock time.Duration `cbor:"12,keyasint,omitempty"`
	// Echo renews the state lease of the receiver, counted from that moment of its own clock.
	EchoedClock time.Duration `cbor:"13,keyasint,omitempty"`
	// Force lets a vote pass the leader lease during a leader transfer.
	IgnoreLease bool `cbor:"14,keyasint,omitempty"`
	// Offset, Last and Snapshot describe one part of a snapshot.
	Offset    uint64    `cbor:"15,keyasint,omitempty"`
	LastChunk bool      `cbor:"16,keyasint,omitempty"`
	Snapshot  *Snapshot `cbor:"17,keyasint,omitempty"`
	// Durable tells that the sender syncs before it replies and may become a voter.
	Durable bool `cbor:"18,keyasint,omitempty"`
}

// Ready is the work that a driver must do, in the order of its fields.
type Ready struct {
	// Immediate messages may leave before anything is synced.
	Immediate []Message
	// Snapshot, Entries and HardState must be synced before Messages leave.
	Snapshot  *Snapshot
	Entries   []Entry
	HardState *HardState
	Messages  []Message
	// Restore replaces the applied state before Committed is applied.
	Restore   *Snapshot
	Committed []Entry
}
