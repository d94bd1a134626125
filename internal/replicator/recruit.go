package replicator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// Timing of changes that the leader makes by itself.
const (
	reconcileInterval   = 200 * time.Millisecond
	learnerActiveWithin = time.Second     // a peer that answered within ten heartbeats is there
	voterFailureTimeout = 3 * time.Second // three election timeouts; a restart takes one
)

// leadership is a term that this member leads and the moment until which it surely does.
type leadership struct {
	term       uint64
	validUntil time.Duration
}

func (r *Replicator) updateLeadership() {
	r.leadership.Store(&leadership{term: r.raft.Term(), validUntil: r.raft.LeaderLeaseUntil()})
}

// Leads returns the term that this member leads at this very moment; ok is false when another leader may exist.
func (r *Replicator) Leads() (term uint64, ok bool) {
	l := r.leadership.Load()
	if l == nil || r.clock() >= l.validUntil || r.Failed() != nil {
		return 0, false
	}
	return l.term, true
}

// recruit changes the membership one step at a time: newcomers that hold the state become voters, a voter whose disk
// was replaced or that is silent leaves once a newcomer has taken its part.
func (r *Replicator) reconcileVoters(now time.Duration) {
	if r.options.DesiredVoters == 0 || r.raft.Role() != raft.Leader || now-r.lastReconcile < reconcileInterval || !r.raft.LeaderLeaseValid(now) {
		return
	}
	r.lastReconcile = now
	if !r.raft.MembershipCommitted() {
		return
	}
	voters := r.raft.Voters()
	if v := r.replacedIncarnation(voters); v != "" {
		r.logMemberChange("remove", v, r.raft.RemoveVoter(now, v))
		return
	}
	unresponsive := r.unresponsiveVoter(now, voters)
	learner := r.promotableLearner(now, voters)
	switch {
	case learner != "" && (len(voters) < r.options.DesiredVoters || unresponsive != "" || r.hasVoterOfEntry(learner, voters)):
		r.logMemberChange("add", learner, r.raft.AddVoter(now, learner))
	case len(voters) > r.options.DesiredVoters && unresponsive != "":
		r.logMemberChange("remove", unresponsive, r.raft.RemoveVoter(now, unresponsive))
	}
}

func (r *Replicator) logMemberChange(change string, id raft.ID, err error) {
	event.MembershipAsked.Info(r.options.Logger, zap.String("change", change), zap.String("member", string(id)), zap.NamedError("error", err))
}

// replaced returns an earlier incarnation of a voter's entry that votes beside it.
func (r *Replicator) replacedIncarnation(voters []raft.ID) raft.ID {
	voterOf := map[fleet.EntryID]raft.ID{}
	lastContact := map[raft.ID]time.Duration{r.id: r.clock()}
	for _, p := range r.raft.Peers() {
		lastContact[p.ID] = p.LastContact
	}
	for _, v := range voters {
		other, duplicate := voterOf[EntryOf(v)]
		if !duplicate {
			voterOf[EntryOf(v)] = v
			continue
		}
		if lastContact[other] < lastContact[v] {
			return other
		}
		return v
	}
	return ""
}

func (r *Replicator) hasVoterOfEntry(id raft.ID, voters []raft.ID) bool {
	return slices.ContainsFunc(voters, func(v raft.ID) bool { return EntryOf(v) == EntryOf(id) })
}

// silent returns the voter that was heard longest ago, if that is too long.
func (r *Replicator) unresponsiveVoter(now time.Duration, voters []raft.ID) raft.ID {
	found, oldest := raft.ID(""), now-voterFailureTimeout
	for _, p := range r.raft.Peers() {
		if slices.Contains(voters, p.ID) && p.LastContact < oldest {
			found, oldest = p.ID, p.LastContact
		}
	}
	return found
}

// newcomer returns a member with a disk that holds the committed state and does not vote.
func (r *Replicator) promotableLearner(now time.Duration, voters []raft.ID) raft.ID {
	for _, p := range r.raft.Peers() {
		if p.Durable && !slices.Contains(voters, p.ID) && now-p.LastContact < learnerActiveWithin && r.raft.CaughtUp(p.ID) {
			return p.ID
		}
	}
	return ""
}

// AddPeers names further processes that may know the leader.
func (r *Replicator) AddPeers(peers []fleet.EntryID) {
	r.runInLoop(func() {
		for _, p := range peers {
			if !slices.Contains(r.options.Peers, p) {
				r.options.Peers = append(r.options.Peers, p)
			}
		}
	})
}

// Peers returns all processes that may know the leader.
func (r *Replicator) Peers() []fleet.EntryID {
	var list []fleet.EntryID
	r.runInLoop(func() { list = r.peerEntries() })
	return list
}
