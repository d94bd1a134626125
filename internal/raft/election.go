package raft

import "time"

// preVoteParts is the part of the election timeout after which a pre-vote that found no quorum is asked for again: it
// disturbs nobody, and voters refuse it only until the lease that they promised is over.
const preVoteParts = 8

func (r *Raft) campaign(role Role) {
	r.role = role
	r.leader = ""
	r.votes = map[ID]bool{r.id: true}
	r.deadline = r.now + r.election/preVoteParts + time.Duration(r.rng.Int64N(int64(r.election/preVoteParts)))
	kind := PreVote
	term := r.hard.Term + 1
	if role == Candidate {
		r.deadline = r.now + r.election/2 + time.Duration(r.rng.Int64N(int64(r.election/2))) // a split vote is soon repeated
		kind = Vote
		r.hard.Term = term
		r.hard.Vote = r.id
	}
	r.requestVotes(kind, term, false)
	r.countVotes()
}

func (r *Raft) requestVotes(kind MessageKind, term uint64, force bool) {
	for _, v := range r.voters {
		if v == r.id {
			continue
		}
		r.send(Message{Kind: kind, To: v, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm(), Force: force})
	}
}

func (r *Raft) stepVote(m Message) {
	reply := PreVoteReply
	if m.Kind == Vote {
		reply = VoteReply
	}
	grant := r.log.upToDate(m.Index, m.LogTerm) && (m.Force || !r.protected())
	if m.Kind == Vote {
		grant = grant && (r.hard.Vote == "" || r.hard.Vote == m.From) && r.role != Leader
	}
	if !grant {
		r.hasten(m)
		r.send(Message{Kind: reply, To: m.From, Reject: true})
		return
	}
	if m.Kind == Vote {
		r.hard.Vote = m.From
		r.resetDeadline()
	}
	r.send(Message{Kind: reply, To: m.From, Term: m.Term})
}

// hasten brings the own campaign forward when a member without a leader asks for votes with an older log: it can't win.
func (r *Raft) hasten(m Message) {
	if m.Kind != PreVote || r.protected() || r.role != Follower || r.log.upToDate(m.Index, m.LogTerm) {
		return
	}
	r.deadline = min(r.deadline, r.now+time.Duration(r.rng.Int64N(int64(r.election/preVoteParts))))
}

func (r *Raft) stepVoteReply(m Message) {
	wanted := m.Kind == VoteReply && r.role == Candidate && m.Term == r.hard.Term ||
		m.Kind == PreVoteReply && r.role == PreCandidate && m.Term == r.hard.Term+1
	if !wanted || m.Reject {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}

func (r *Raft) countVotes() {
	n := 0
	for _, v := range r.voters {
		if r.votes[v] {
			n++
		}
	}
	if n < r.quorum() {
		return
	}
	if r.role == PreCandidate {
		r.campaign(Candidate)
		return
	}
	r.lead()
}

func (r *Raft) lead() {
	r.role = Leader
	r.leader = r.id
	r.transfer = ""
	r.ledAt = r.now
	r.peers = map[ID]*peer{}
	for _, v := range r.voters {
		if v != r.id {
			r.peers[v] = &peer{next: r.log.last() + 1, stamp: never, seen: r.now, rolled: never}
		}
	}
	r.log.add([]Entry{{Index: r.log.last() + 1, Term: r.hard.Term, Kind: EntryEmpty}})
	r.broadcast()
}

func (r *Raft) stepTimeoutNow(m Message) {
	if r.role != Follower || m.From != r.leader || !r.isVoter(r.id) {
		return
	}
	r.role = Candidate
	r.leader = ""
	r.votes = map[ID]bool{r.id: true}
	r.hard.Term++
	r.hard.Vote = r.id
	r.resetDeadline()
	r.requestVotes(Vote, r.hard.Term, true)
	r.countVotes()
}

// Transfer hands leadership to a voter that holds the whole log; an empty id picks the most advanced one.
func (r *Raft) Transfer(to ID) {
	if r.role != Leader {
		return
	}
	if to == "" {
		to = r.mostAdvanced()
	}
	r.transfer = to
	r.continueTransfer()
}

func (r *Raft) mostAdvanced() ID {
	best := ID("")
	for _, v := range r.voters {
		p := r.peers[v]
		if p != nil && (best == "" || p.match > r.peers[best].match) {
			best = v
		}
	}
	return best
}

func (r *Raft) continueTransfer() {
	p := r.peers[r.transfer]
	if r.transfer == "" || p == nil || p.match < r.log.last() {
		return
	}
	r.send(Message{Kind: TimeoutNow, To: r.transfer})
}
