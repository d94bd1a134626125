package raft

import "time"

// preVoteParts is the part of the election timeout after which a pre-vote that found no quorum is asked for again: it
// disturbs nobody, and voters refuse it only until the lease that they promised is over.
const preVoteRetryDivisor = 8

func (r *Raft) campaign(role Role) {
	r.role = role
	r.leader = ""
	r.votes = map[ID]bool{r.id: true}
	r.electionDeadline = r.now + r.electionTimeout/preVoteRetryDivisor + time.Duration(r.rng.Int64N(int64(r.electionTimeout/preVoteRetryDivisor)))
	kind := PreVote
	term := r.hardState.Term + 1
	if role == Candidate {
		r.electionDeadline = r.now + r.electionTimeout/2 + time.Duration(r.rng.Int64N(int64(r.electionTimeout/2))) // a split vote is soon repeated
		kind = Vote
		r.hardState.Term = term
		r.hardState.Vote = r.id
	}
	r.requestVotes(kind, term, false)
	r.countVotes()
}

func (r *Raft) requestVotes(kind MessageKind, term uint64, ignoreLease bool) {
	for _, v := range r.voters {
		if v == r.id {
			continue
		}
		r.send(Message{Kind: kind, To: v, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), IgnoreLease: ignoreLease})
	}
}

func (r *Raft) stepVote(m Message) {
	replyKind := PreVoteReply
	if m.Kind == Vote {
		replyKind = VoteReply
	}
	grant := r.log.upToDate(m.Index, m.LogTerm) && (m.IgnoreLease || !r.leaderLeaseActive())
	if m.Kind == Vote {
		grant = grant && (r.hardState.Vote == "" || r.hardState.Vote == m.From) && r.role != Leader
	}
	if !grant {
		r.shortenElectionTimeout(m)
		r.send(Message{Kind: replyKind, To: m.From, Reject: true})
		return
	}
	if m.Kind == Vote {
		r.hardState.Vote = m.From
		r.resetElectionDeadline()
	}
	r.send(Message{Kind: replyKind, To: m.From, Term: m.Term})
}

// hasten brings the own campaign forward when a member without a leader asks for votes with an older log: it can't win.
func (r *Raft) shortenElectionTimeout(m Message) {
	if m.Kind != PreVote || r.leaderLeaseActive() || r.role != Follower || r.log.upToDate(m.Index, m.LogTerm) {
		return
	}
	r.electionDeadline = min(r.electionDeadline, r.now+time.Duration(r.rng.Int64N(int64(r.electionTimeout/preVoteRetryDivisor))))
}

func (r *Raft) stepVoteReply(m Message) {
	expected := m.Kind == VoteReply && r.role == Candidate && m.Term == r.hardState.Term ||
		m.Kind == PreVoteReply && r.role == PreCandidate && m.Term == r.hardState.Term+1
	if !expected || m.Reject {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}

func (r *Raft) countVotes() {
	granted := 0
	for _, v := range r.voters {
		if r.votes[v] {
			granted++
		}
	}
	if granted < r.quorum() {
		return
	}
	if r.role == PreCandidate {
		r.campaign(Candidate)
		return
	}
	r.becomeLeader()
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.id
	r.transferee = ""
	r.leaderSince = r.now
	r.peers = map[ID]*peer{}
	for _, v := range r.voters {
		if v != r.id {
			r.peers[v] = &peer{nextIndex: r.log.lastIndex() + 1, ackedSentAt: never, lastContact: r.now, backtrackedAt: never}
		}
	}
	r.log.appendEntries([]Entry{{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Kind: EntryNoOp}})
	r.broadcast()
}

func (r *Raft) stepTimeoutNow(m Message) {
	if r.role != Follower || m.From != r.leader || !r.isVoter(r.id) {
		return
	}
	r.role = Candidate
	r.leader = ""
	r.votes = map[ID]bool{r.id: true}
	r.hardState.Term++
	r.hardState.Vote = r.id
	r.resetElectionDeadline()
	r.requestVotes(Vote, r.hardState.Term, true)
	r.countVotes()
}

// Transfer hands leadership to a voter that holds the whole log; an empty id picks the most advanced one.
func (r *Raft) TransferLeadership(to ID) {
	if r.role != Leader {
		return
	}
	if to == "" {
		to = r.mostCaughtUpVoter()
	}
	r.transferee = to
	r.continueTransfer()
}

func (r *Raft) mostCaughtUpVoter() ID {
	best := ID("")
	for _, v := range r.voters {
		p := r.peers[v]
		if p != nil && (best == "" || p.matchIndex > r.peers[best].matchIndex) {
			best = v
		}
	}
	return best
}

func (r *Raft) continueTransfer() {
	p := r.peers[r.transferee]
	if r.transferee == "" || p == nil || p.matchIndex < r.log.lastIndex() {
		return
	}
	r.send(Message{Kind: TimeoutNow, To: r.transferee})
}
