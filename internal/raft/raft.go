// Package raft is the consensus core: a pure state machine that takes messages, proposals and ticks
// and hands out messages, records to sync and committed entries.
package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindNotLeader Kind = iota + 1
	KindPending
	KindBehind
	KindMember
	KindOverload
)

// Error names the kind.
func (k Kind) Error() string {
	return [...]string{"none", "not the leader", "another change is pending", "member holds too little of the state",
		"no such change of membership", "too many proposals are pending"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Role is the part a member plays in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing and size limits of the core.
const (
	DefaultElection  = 1000 * time.Millisecond
	DefaultHeartbeat = 100 * time.Millisecond
	maxBatch         = 512
	maxBatchBytes    = 256 << 10
	maxWindow        = 8192
	maxInFlight      = 1024 // entries that a peer may have unanswered; more only fills its queue
	partBytes        = 64 << 10
	peerForget       = 30 * time.Second
)

// Option sets a property of a new member.
type Option func(*Raft)

// WithTimeouts sets the least election timeout and the heartbeat interval.
func WithTimeouts(election, heartbeat time.Duration) Option {
	return func(r *Raft) {
		r.election = election
		r.heartbeat = heartbeat
	}
}

// WithDrift sets the bound on the relative difference of clock rates.
func WithDrift(d float64) Option { return func(r *Raft) { r.drift = d } }

// WithSeed seeds the election jitter.
func WithSeed(seed uint64) Option {
	return func(r *Raft) { r.rng = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)) }
}

// WithDurable marks a member that syncs its records and may become a voter.
func WithDurable() Option { return func(r *Raft) { r.durable = true } }

// Raft is one member of the consensus group.
type Raft struct {
	id        ID
	durable   bool
	election  time.Duration
	heartbeat time.Duration
	drift     float64
	rng       *rand.Rand

	now      time.Duration
	booted   time.Duration
	heard    time.Duration
	deadline time.Duration
	role     Role
	hard     HardState
	synced   HardState
	leader   ID
	log      log
	voters   []ID
	votes    map[ID]bool
	peers    map[ID]*peer
	applied  uint64
	partial  *Snapshot
	restore  *Snapshot
	pending  *Snapshot
	ledAt    time.Duration
	transfer ID
	lastBeat time.Duration

	immediate []Message
	messages  []Message
	observed  time.Duration
}

// New returns a member that resumes from what its journal held, at clock now.
func New(id ID, now time.Duration, hard HardState, snapshot *Snapshot, entries []Entry, options ...Option) *Raft {
	r := &Raft{
		id:        id,
		election:  DefaultElection,
		heartbeat: DefaultHeartbeat,
		now:       now,
		booted:    now,
		heard:     now,
		hard:      hard,
		synced:    hard,
		peers:     map[ID]*peer{},
	}
	WithSeed(1)(r)
	for _, o := range options {
		o(r)
	}
	if snapshot != nil {
		r.log.reset(snapshot)
		r.restore = snapshot
		r.applied = snapshot.Index
		r.hard.Commit = max(r.hard.Commit, snapshot.Index)
		r.hard.Term = max(r.hard.Term, snapshot.Term)
	}
	r.log.entries = append(r.log.entries, entries...)
	r.log.synced = r.log.last()
	r.hard.Commit = min(r.hard.Commit, r.log.last())
	r.recompute()
	r.resetDeadline()
	return r
}

// ID returns the identity of this member.
func (r *Raft) ID() ID { return r.id }

// Role returns the current role.
func (r *Raft) Role() Role { return r.role }

// Leader returns the leader this member follows, or nothing.
func (r *Raft) Leader() ID { return r.leader }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.hard.Term }

// Commit returns the highest committed index known.
func (r *Raft) Commit() uint64 { return r.hard.Commit }

// Voters returns the membership in use.
func (r *Raft) Voters() []ID { return slices.Clone(r.voters) }

// Durable reports whether the member may become a voter.
func (r *Raft) Durable() bool { return r.durable }

func (r *Raft) isVoter(id ID) bool { return slices.Contains(r.voters, id) }

func (r *Raft) quorum() int { return len(r.voters)/2 + 1 }

func (r *Raft) resetDeadline() {
	r.deadline = r.now + r.election + time.Duration(r.rng.Int64N(int64(r.election)))
}

// Tick advances the clock of the member.
func (r *Raft) Tick(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.deadline && r.isVoter(r.id) {
		r.campaign(PreCandidate)
	}
}

func (r *Raft) tickLeader() {
	if r.now-max(r.quorumStamp(), r.ledAt) > r.election {
		r.follow(r.hard.Term, "")
		return
	}
	if r.now-r.lastBeat < r.heartbeat {
		return
	}
	r.lastBeat = r.now
	for id, p := range r.peers {
		if !r.isVoter(id) && r.now-p.seen > peerForget {
			delete(r.peers, id)
			continue
		}
		r.sendAppend(id, p, true)
	}
	r.continueTransfer()
}

// Step handles one message received at clock now.
func (r *Raft) Step(now time.Duration, m Message) {
	r.now = now
	if m.To != r.id {
		return
	}
	if m.Kind == Hello {
		r.stepHello(m)
		return
	}
	if m.Term < r.hard.Term {
		r.answerStale(m)
		return
	}
	if m.Term > r.hard.Term && !r.adopt(m) {
		return
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
	case Part:
		r.stepPart(m)
	case PartReply:
		r.stepPartReply(m)
	case TimeoutNow:
		r.stepTimeoutNow(m)
	}
}

// adopt moves to the newer term of m and reports whether m is still to be handled.
func (r *Raft) adopt(m Message) bool {
	switch m.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if !m.Reject {
			return true
		}
		r.follow(m.Term, "")
		return false
	case Vote:
		if r.protected() && !m.Force {
			return false
		}
		r.follow(m.Term, "")
		return true
	case Append, Part:
		r.follow(m.Term, m.From)
		return true
	default:
		r.follow(m.Term, "")
		return m.Kind != AppendReply && m.Kind != PartReply
	}
}

func (r *Raft) answerStale(m Message) {
	switch m.Kind {
	case Append, Part:
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: r.log.last(), Sent: m.Sent})
	case PreVote:
		r.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// protected reports whether a leader was heard so lately that no vote may be given.
func (r *Raft) protected() bool {
	if r.role == Leader {
		return true
	}
	if r.now-r.booted < r.election && r.hard.Term > 0 && r.heard == r.booted {
		return true
	}
	return r.leader != "" && r.now-r.heard < r.election
}

func (r *Raft) follow(term uint64, leader ID) {
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = ""
	}
	if r.role == Leader {
		r.peers = map[ID]*peer{}
		r.transfer = ""
	}
	r.role = Follower
	r.leader = leader
	r.partial = nil
	r.resetDeadline()
}

func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	if m.Kind == AppendReply || m.Kind == PartReply {
		m.Clock = r.now
		m.Durable = r.durable
		m.Commit = r.applied
	}
	r.messages = append(r.messages, m)
}

// HasReady reports whether Ready would return any work.
func (r *Raft) HasReady() bool {
	return len(r.immediate) > 0 || len(r.messages) > 0 || r.pending != nil || r.restore != nil ||
		r.log.synced < r.log.last() || r.hard != r.synced || r.appliable() > r.applied
}

func (r *Raft) appliable() uint64 { return min(r.hard.Commit, r.log.synced) }

// Ready returns the outstanding work; the driver does it and then calls Advance.
func (r *Raft) Ready() Ready {
	work := Ready{Immediate: r.immediate, Messages: r.messages, Snapshot: r.pending, Restore: r.restore}
	work.Entries = r.log.slice(r.log.synced+1, r.log.last())
	if r.hard != r.synced {
		hard := r.hard
		work.HardState = &hard
	}
	work.Committed = r.log.slice(r.applied+1, r.appliable())
	r.immediate = nil
	r.messages = nil
	return work
}

// Advance records that the work of a Ready is done.
func (r *Raft) Advance(work Ready) {
	if work.Snapshot != nil && r.pending == work.Snapshot {
		r.pending = nil
	}
	if work.Restore != nil && r.restore == work.Restore {
		r.restore = nil
	}
	if n := len(work.Entries); n > 0 {
		r.log.synced = work.Entries[n-1].Index
	}
	if work.HardState != nil {
		r.synced = *work.HardState
	}
	if n := len(work.Committed); n > 0 {
		r.applied = work.Committed[n-1].Index
	}
	if r.role == Leader && len(work.Entries) > 0 {
		r.advanceCommit()
	}
}

// Applied returns the highest index handed out as committed.
func (r *Raft) Applied() uint64 { return r.applied }

// Compact drops the log up to the snapshot, keeping keep entries for slow followers.
func (r *Raft) Compact(s *Snapshot, keep uint64) {
	r.log.compact(s, keep)
}

// Bootstrap makes an empty durable member the first of a new group; it must be called before any message.
func (r *Raft) Bootstrap(voters []ID, data []byte) bool {
	if r.log.last() > 0 || len(r.voters) > 0 || r.hard.Term > 0 {
		return false
	}
	r.hard.Term = 1
	r.install(&Snapshot{Index: 1, Term: 1, Voters: voters, Data: data})
	return true
}

// Empty reports whether the member never took part in any group.
func (r *Raft) Empty() bool { return r.log.last() == 0 && r.hard.Term == 0 }

// LeaderSince returns the clock at which this member became leader.
func (r *Raft) LeaderSince() time.Duration { return r.ledAt }

// Hard returns the hard state.
func (r *Raft) Hard() HardState { return r.hard }

// Tail returns the entries after index.
func (r *Raft) Tail(index uint64) []Entry { return r.log.slice(index+1, r.log.last()) }

// Boundary returns the term and voters at index, for a snapshot taken there.
func (r *Raft) Boundary(index uint64) (term uint64, voters []ID) {
	term, _ = r.log.term(index)
	return term, slices.Clone(r.log.votersAt(index))
}
