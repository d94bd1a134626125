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
	recruitInterval = 200 * time.Millisecond
	recruitSeen     = time.Second     // a peer that answered within ten heartbeats is there
	recruitSilent   = 3 * time.Second // three election timeouts; a restart takes one
)

// leadership is a term that this member leads and the moment until which it surely does.
type leadership struct {
	term  uint64
	until time.Duration
}

func (r *Replicator) noteLead() {
	r.lead.Store(&leadership{term: r.core.Term(), until: r.core.LeaseUntil()})
}

// Leads returns the term that this member leads at this very moment; ok is false when another leader may exist.
func (r *Replicator) Leads() (term uint64, ok bool) {
	l := r.lead.Load()
	if l == nil || r.clock() >= l.until || r.Failed() != nil {
		return 0, false
	}
	return l.term, true
}

// recruit changes the membership one step at a time: newcomers that hold the state become voters, a voter whose disk
// was replaced or that is silent leaves once a newcomer has taken its part.
func (r *Replicator) recruit(now time.Duration) {
	if r.options.Voters == 0 || r.core.Role() != raft.Leader || now-r.lastRecruit < recruitInterval || !r.core.LeaseValid(now) {
		return
	}
	r.lastRecruit = now
	if !r.core.Settled() {
		return
	}
	voters := r.core.Voters()
	if v := r.replaced(voters); v != "" {
		r.noteRecruit("remove", v, r.core.RemoveVoter(now, v))
		return
	}
	silent := r.silent(now, voters)
	newcomer := r.newcomer(now, voters)
	switch {
	case newcomer != "" && (len(voters) < r.options.Voters || silent != "" || r.sharesEntry(newcomer, voters)):
		r.noteRecruit("add", newcomer, r.core.AddVoter(now, newcomer))
	case len(voters) > r.options.Voters && silent != "":
		r.noteRecruit("remove", silent, r.core.RemoveVoter(now, silent))
	}
}

func (r *Replicator) noteRecruit(change string, id raft.ID, err error) {
	event.MembershipAsked.Info(r.options.Logger, zap.String("change", change), zap.String("member", string(id)), zap.NamedError("error", err))
}

// replaced returns an earlier incarnation of a voter's entry that votes beside it.
func (r *Replicator) replaced(voters []raft.ID) raft.ID {
	latest := map[fleet.EntryID]raft.ID{}
	seen := map[raft.ID]time.Duration{r.id: r.clock()}
	for _, p := range r.core.Peers() {
		seen[p.ID] = p.Seen
	}
	for _, v := range voters {
		o, double := latest[EntryOf(v)]
		if !double {
			latest[EntryOf(v)] = v
			continue
		}
		if seen[o] < seen[v] {
			return o
		}
		return v
	}
	return ""
}

func (r *Replicator) sharesEntry(id raft.ID, voters []raft.ID) bool {
	return slices.ContainsFunc(voters, func(v raft.ID) bool { return EntryOf(v) == EntryOf(id) })
}

// silent returns the voter that was heard longest ago, if that is too long.
func (r *Replicator) silent(now time.Duration, voters []raft.ID) raft.ID {
	found, oldest := raft.ID(""), now-recruitSilent
	for _, p := range r.core.Peers() {
		if slices.Contains(voters, p.ID) && p.Seen < oldest {
			found, oldest = p.ID, p.Seen
		}
	}
	return found
}

// newcomer returns a member with a disk that holds the committed state and does not vote.
func (r *Replicator) newcomer(now time.Duration, voters []raft.ID) raft.ID {
	for _, p := range r.core.Peers() {
		if p.Durable && !slices.Contains(voters, p.ID) && now-p.Seen < recruitSeen && r.core.Holds(p.ID) {
			return p.ID
		}
	}
	return ""
}

// AddPeers names further processes that may know the leader.
func (r *Replicator) AddPeers(peers []fleet.EntryID) {
	r.do(func() {
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
	r.do(func() { list = r.peerNames() })
	return list
}
