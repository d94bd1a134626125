// Package raft implements the Raft protocol as a deterministic state machine without I/O: it takes messages, proposals
// and ticks, and returns messages to send, records to sync and committed entries.
package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// Kind classifies the errors of this package.
type Kind uint8

// Error kinds.
const (
	KindNotLeader Kind = iota + 1
	KindChangePending
	KindNotCaughtUp
	KindInvalidChange
	KindOverloaded
	KindMalformed
)

// Error returns the message of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "not the leader", "another change is pending",
		"member holds too little of the state",
		"no such change of membership", "too many proposals are pending", "malformed message"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Role is the role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timeouts, intervals and limits on entries and bytes.
const (
	DefaultElectionTimeout   = 1000 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	maxBatchEntries          = 512
	maxBatchBytes            = 256 << 10
	maxUncommittedEntries    = 8192
	maxInFlightEntries       = 1024            // unacknowledged entries per peer; more would only fill the peer's queue
	maxLearnerLag            = maxBatchEntries // one message brings a learner up to date
	snapshotChunkBytes       = 64 << 10
	learnerExpiry            = 30 * time.Second
)

// Raft is one member of the Raft group. All times are readings of this member's clock.
type Raft struct {
	id                ID
	durable           bool
	lazyCommits       bool
	snapshotCheck     func(data []byte) error
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	clockDrift        float64
	rng               *rand.Rand

	now               time.Duration
	startedAt         time.Duration
	lastLeaderContact time.Duration
	electionDeadline  time.Duration
	role              Role
	hardState         HardState
	syncedHardState   HardState
	leader            ID
	log               log
	voters            []ID
	votes             map[ID]bool
	peers             map[ID]*peer
	applied           uint64
	partialSnapshot   *Snapshot
	restoreSnapshot   *Snapshot
	unsavedSnapshot   *Snapshot
	leaderSince       time.Duration
	transferee        ID
	lastHeartbeat     time.Duration

	immediate       []Message
	messages        []Message
	stateLeaseStart time.Duration
}

// New returns a member restored from the hard state, snapshot and entries of its journal, at clock reading now.
func New(id ID, now time.Duration, hardState HardState, snapshot *Snapshot, entries []Entry, options ...Option) *Raft {
	r := &Raft{
		id:                id,
		electionTimeout:   DefaultElectionTimeout,
		heartbeatInterval: DefaultHeartbeatInterval,
		now:               now,
		startedAt:         now,
		lastLeaderContact: now,
		hardState:         hardState,
		syncedHardState:   hardState,
		peers:             map[ID]*peer{},
		snapshotCheck:     func([]byte) error { return nil },
	}
	WithSeed(1)(r)
	for _, o := range options {
		o(r)
	}
	if snapshot != nil {
		r.log.reset(snapshot)
		r.restoreSnapshot = snapshot
		r.applied = snapshot.Index
		r.hardState.Commit = max(r.hardState.Commit, snapshot.Index)
		r.hardState.Term = max(r.hardState.Term, snapshot.Term)
	}
	r.log.entries = append(r.log.entries, entries...)
	r.log.syncedIndex = r.log.lastIndex()
	r.hardState.Commit = min(r.hardState.Commit, r.log.lastIndex())
	r.updateVoters()
	r.resetElectionDeadline()
	return r
}

// ID returns the id of this member.
func (r *Raft) ID() ID { return r.id }

// Role returns the current role.
func (r *Raft) Role() Role { return r.role }

// Leader returns the current leader, or an empty id if none is known.
func (r *Raft) Leader() ID { return r.leader }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.hardState.Term }

// Commit returns the commit index known to this member.
func (r *Raft) Commit() uint64 { return r.hardState.Commit }

// Voters returns the voters in effect, which may not be committed yet.
func (r *Raft) Voters() []ID { return slices.Clone(r.voters) }

// Durable reports whether the member may become a voter.
func (r *Raft) Durable() bool { return r.durable }

func (r *Raft) isVoter(id ID) bool { return slices.Contains(r.voters, id) }

func (r *Raft) quorum() int { return len(r.voters)/2 + 1 }

func (r *Raft) resetElectionDeadline() {
	r.electionDeadline = r.now + r.electionTimeout + time.Duration(r.rng.Int64N(int64(r.electionTimeout)))
}

// Tick advances the clock of the member and starts elections and heartbeats that are due.
func (r *Raft) Tick(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.electionDeadline && r.isVoter(r.id) {
		r.campaign(PreCandidate)
	}
}

func (r *Raft) tickLeader() {
	if r.now-max(r.quorumAckedAt(), r.leaderSince) > r.electionTimeout {
		r.becomeFollower(r.hardState.Term, "")
		return
	}
	if r.now-r.lastHeartbeat < r.heartbeatInterval {
		return
	}
	r.lastHeartbeat = r.now
	for id, p := range r.peers {
		if !r.isVoter(id) && r.now-p.lastContact > learnerExpiry {
			delete(r.peers, id)
			continue
		}
		r.sendAppend(id, p, true)
	}
	r.continueTransfer()
}

// Step handles one message received at clock reading now. It returns an error of KindMalformed for a message that it refuses.
func (r *Raft) Step(now time.Duration, m Message) error {
	r.now = now
	if m.To != r.id {
		return nil
	}
	if m.Kind == Join {
		r.stepJoin(m)
		return nil
	}
	if m.Term < r.hardState.Term {
		r.rejectStaleTerm(m)
		return nil
	}
	if err := r.check(m); err != nil {
		return err
	}
	if m.Term > r.hardState.Term && !r.adoptTerm(m) {
		return nil
	}
	switch m.Kind {
	case PreVote, Vote:
		r.stepVote(m)
	case PreVoteReply, VoteReply:
		r.stepVoteReply(m)
	case Append:
		r.stepAppend(m)
	case AppendReply:
		r.stepAppendReply(m)
	case SnapshotChunk:
		return r.stepSnapshotChunk(m)
	case SnapshotChunkReply:
		r.stepSnapshotChunkReply(m)
	case TimeoutNow:
		r.stepTimeoutNow(m)
	}
	return nil
}

// adoptTerm handles a message of a newer term: it moves to that term where the protocol demands it, and reports whether m
// is still to be processed.
func (r *Raft) adoptTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if !m.Reject {
			return true
		}
		r.becomeFollower(m.Term, "")
		return false
	case Vote:
		if r.leaderLeaseActive() && !m.IgnoreLease {
			return false
		}
		r.becomeFollower(m.Term, "")
		return true
	case Append, SnapshotChunk:
		r.becomeFollower(m.Term, m.From)
		return true
	default:
		r.becomeFollower(m.Term, "")
		return m.Kind != AppendReply && m.Kind != SnapshotChunkReply
	}
}

func (r *Raft) rejectStaleTerm(m Message) {
	switch m.Kind {
	case Append, SnapshotChunk:
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true, RejectHint: r.log.lastIndex(), SentAt: m.SentAt})
	case PreVote:
		r.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// leaderLeaseActive reports whether votes must be refused: this member leads, had contact with a leader within the election
// timeout, or was restarted less than an election timeout ago and may have acknowledged a leader before.
func (r *Raft) leaderLeaseActive() bool {
	if r.role == Leader {
		return true
	}
	if r.now-r.startedAt < r.electionTimeout && r.hardState.Term > 0 && r.lastLeaderContact == r.startedAt {
		return true
	}
	return r.leader != "" && r.now-r.lastLeaderContact < r.electionTimeout
}

func (r *Raft) becomeFollower(term uint64, leader ID) {
	if term > r.hardState.Term {
		r.hardState.Term = term
		r.hardState.Vote = ""
	}
	if r.role == Leader {
		r.peers = map[ID]*peer{}
		r.transferee = ""
	}
	r.role = Follower
	r.leader = leader
	r.partialSnapshot = nil
	r.resetElectionDeadline()
}

func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	if m.Kind == AppendReply || m.Kind == SnapshotChunkReply {
		m.Clock = r.now
		m.Durable = r.durable
		m.Commit = r.applied
	}
	r.messages = append(r.messages, m)
}

// HasReady reports whether Ready would return any work.
func (r *Raft) HasReady() bool {
	return len(r.immediate) > 0 || len(r.messages) > 0 || r.unsavedSnapshot != nil || r.restoreSnapshot != nil ||
		r.log.syncedIndex < r.log.lastIndex() || r.hardState != r.syncedHardState || r.appliableIndex() > r.applied
}

func (r *Raft) appliableIndex() uint64 { return min(r.hardState.Commit, r.log.syncedIndex) }

// Ready returns the outstanding work; the driver must complete it and then call Advance.
func (r *Raft) Ready() Ready {
	ready := Ready{Immediate: r.immediate, Messages: r.messages, Snapshot: r.unsavedSnapshot, Restore: r.restoreSnapshot}
	ready.Entries = r.log.slice(r.log.syncedIndex+1, r.log.lastIndex())
	if r.hardState != r.syncedHardState {
		hardState := r.hardState
		ready.HardState = &hardState
	}
	ready.Committed = r.log.slice(r.applied+1, r.appliableIndex())
	r.immediate = nil
	r.messages = nil
	return ready
}

// Advance records that the driver has completed the work of a Ready.
func (r *Raft) Advance(ready Ready) {
	if ready.Snapshot != nil && r.unsavedSnapshot == ready.Snapshot {
		r.unsavedSnapshot = nil
	}
	if ready.Restore != nil && r.restoreSnapshot == ready.Restore {
		r.restoreSnapshot = nil
	}
	if n := len(ready.Entries); n > 0 {
		r.log.syncedIndex = ready.Entries[n-1].Index
	}
	if ready.HardState != nil {
		r.syncedHardState = *ready.HardState
	}
	if n := len(ready.Committed); n > 0 {
		r.applied = ready.Committed[n-1].Index
	}
	if r.role == Leader && len(ready.Entries) > 0 {
		r.advanceCommit()
	}
}

// Applied returns the highest index whose entry or snapshot the driver has been given to apply.
func (r *Raft) Applied() uint64 { return r.applied }

// Compact installs s as the newest snapshot and drops the log entries that it covers, except for the last ones, which slow followers may
// still need: at most trailing entries with at most trailingBytes of data.
func (r *Raft) Compact(s *Snapshot, trailing, trailingBytes uint64) {
	r.log.compact(s, trailing, trailingBytes)
}

// Bootstrap installs the initial state and voters of a new group on an empty member. It must be called before any message
// is handled, and returns false if the member is not empty.
func (r *Raft) Bootstrap(voters []ID, data []byte) bool {
	if r.log.lastIndex() > 0 || len(r.voters) > 0 || r.hardState.Term > 0 {
		return false
	}
	r.hardState.Term = 1
	r.installSnapshot(&Snapshot{Index: 1, Term: 1, Voters: voters, Data: data})
	return true
}

// IsEmpty reports whether the member has never been part of a group.
func (r *Raft) IsEmpty() bool { return r.log.lastIndex() == 0 && r.hardState.Term == 0 }

// LeaderSince returns the clock reading at which this member last became leader.
func (r *Raft) LeaderSince() time.Duration { return r.leaderSince }

// HardState returns the current hard state.
func (r *Raft) HardState() HardState { return r.hardState }

// EntriesAfter returns the log entries after index.
func (r *Raft) EntriesAfter(index uint64) []Entry { return r.log.slice(index+1, r.log.lastIndex()) }

// SnapshotMetadata returns the term and voters at index, for a snapshot taken there.
func (r *Raft) SnapshotMetadata(index uint64) (term uint64, voters []ID) {
	term, _ = r.log.term(index)
	return term, slices.Clone(r.log.votersAt(index))
}
