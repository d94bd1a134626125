package raft

import "time"

// preVoteRetryDivisor divides the election timeout into the minimum wait before a pre-vote without a quorum is repeated.
// Repeating it early is safe because a pre-vote changes no term, and voters only refuse it until the leader lease expires.
const preVoteRetryDivisor = 8

func (r *Raft) campaign(role Role) {
	r.role = role
	r.leader = ""
	r.votes = map[ID]bool{r.id: true}
	r.electionDeadline = r.now + r.electionTimeout/preVoteRetryDivisor + time.Duration(r.rng.Int64N(int64(r.electionTimeout/preVoteRetryDivisor)))
	kind := PreVote
	term := r.hardState.Term + 1
	if role == Candidate {
		r.electionDeadline = r.now + r.electionTimeout/2 + time.Duration(r.rng.Int64N(int64(r.electionTimeout/2))) // repeat a split vote early
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

// shortenElectionTimeout starts this member's own election earlier when a member with a less up-to-date log, which cannot win,
// requests pre-votes and no leader lease is active.
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

// TransferLeadership transfers leadership to a voter as soon as its log is complete; an empty id selects the voter with the
// highest match index. The leader accepts no proposals meanwhile.
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

// Resign gives up the leadership of the current term and asks the voter with the longest log to campaign at once.
func (r *Raft) Resign(now time.Duration) {
	r.now = now
	if r.role != Leader {
		return
	}
	if to := r.mostCaughtUpVoter(); to != "" {
		r.send(Message{Kind: TimeoutNow, To: to})
	}
	r.becomeFollower(r.hardState.Term, "")
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
