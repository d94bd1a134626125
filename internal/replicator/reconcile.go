package replicator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// Interval and timeouts of automatic membership changes by the leader.
const (
	reconcileInterval   = 200 * time.Millisecond
	learnerActiveWithin = time.Second     // ten heartbeat intervals; a learner that replied within them counts as running
	voterFailureTimeout = 3 * time.Second // three election timeouts; a restart takes one
)

// leadership is the current term, whether this member is the leader of it, and the expiry of its leader lease in it, zero if it
// holds none.
type leadership struct {
	term       uint64
	leader     bool
	validUntil time.Duration
	// latest is validUntil or, after the end of a leadership, its last value.
	latest time.Duration
}

func (r *Replicator) updateLeadership() {
	l := &leadership{term: r.raft.Term(), leader: r.raft.Role() == raft.Leader, validUntil: r.raft.LeaderLeaseUntil()}
	l.latest = l.validUntil
	if previous := r.leadership.Load(); l.validUntil == 0 && previous != nil {
		l.latest = previous.latest
	}
	r.leadership.Store(l)
}

// LeaderLeaseLeft returns the remaining time of the latest leader lease; it is negative since the lease expired. It is
// positive without a lease if the member gave up its leadership before the lease expired.
func (r *Replicator) LeaderLeaseLeft() time.Duration {
	l := r.leadership.Load()
	if l == nil {
		return 0
	}
	return l.latest - r.clock()
}

// Leads returns the term that this member leads; ok is false if it holds no valid leader lease, so that another leader may
// exist, or if it has stopped with an error.
func (r *Replicator) Leads() (term uint64, ok bool) {
	l := r.leadership.Load()
	if l == nil || r.clock() >= l.validUntil || r.Failed() != nil {
		return 0, false
	}
	return l.term, true
}

// LeaderTerm returns the term of which this member is the leader, whether or not its leader lease is valid; ok is false if it is
// not the leader or has stopped. A member that ceases to be the leader of a term never becomes it again.
func (r *Replicator) LeaderTerm() (term uint64, ok bool) {
	l := r.leadership.Load()
	if l == nil || !l.leader || r.ctx.Err() != nil || r.Failed() != nil {
		return 0, false
	}
	return l.term, true
}

// reconcileVoters changes the membership towards the desired number of voters, one voter at a time: durable learners that have
// caught up become voters, and a voter that is unresponsive or whose disk was replaced is removed once a learner has replaced it.
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
	event.MembershipChangeRequested.Info(r.options.Logger, zap.String("change", change), zap.String("member", string(id)), zap.NamedError("error", err))
}

// replacedIncarnation returns the earlier incarnation of an entry that has two voters, the one with the older contact, or an
// empty id.
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

// unresponsiveVoter returns the voter with the oldest contact if that exceeds voterFailureTimeout, or an empty id.
func (r *Replicator) unresponsiveVoter(now time.Duration, voters []raft.ID) raft.ID {
	found, oldest := raft.ID(""), now-voterFailureTimeout
	for _, p := range r.raft.Peers() {
		if slices.Contains(voters, p.ID) && p.LastContact < oldest {
			found, oldest = p.ID, p.LastContact
		}
	}
	return found
}

// promotableLearner returns a durable learner that is in contact and has all committed entries, or an empty id.
func (r *Replicator) promotableLearner(now time.Duration, voters []raft.ID) raft.ID {
	for _, p := range r.raft.Peers() {
		if p.Durable && !slices.Contains(voters, p.ID) && now-p.LastContact < learnerActiveWithin && r.raft.CaughtUp(p.ID) {
			return p.ID
		}
	}
	return ""
}

// AddPeers adds processes that may be or know the leader.
func (r *Replicator) AddPeers(peers []fleet.EntryID) {
	r.runInLoop(func() {
		for _, p := range peers {
			if !slices.Contains(r.options.Peers, p) {
				r.options.Peers = append(r.options.Peers, p)
			}
		}
		r.publishPeers()
	})
}

// Peers returns all other processes that may be or know the leader, as of the last tick. It must not wait for the event loop, which
// waits for the disk: every entry asks several times a second.
func (r *Replicator) Peers() []fleet.EntryID {
	return *r.knownPeers.Load()
}

func (r *Replicator) publishPeers() {
	list := r.peerEntries()
	r.knownPeers.Store(&list)
}
