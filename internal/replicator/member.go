package replicator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// Status is a snapshot of the member's role, log position and membership, for operators and for lease checks.
type Status struct {
	Entry       fleet.EntryID `json:"entry"`
	Incarnation string        `json:"member"`
	Role        string        `json:"role"`
	Term        uint64        `json:"term"`
	Leader      fleet.EntryID `json:"leader"`
	Leading     bool          `json:"leading"`
	Commit      uint64        `json:"commit"`
	Applied     uint64        `json:"applied"`
	Voters      []string      `json:"voters"`
	Peers       []PeerStatus  `json:"peers,omitempty"`
	takenAt     time.Duration
	leaderSince time.Duration
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	Member       string        `json:"member"`
	Entry        fleet.EntryID `json:"entry"`
	Match        uint64        `json:"match"`
	Applied      uint64        `json:"applied"`
	LeaseGranted time.Duration `json:"-"`
	Durable      bool          `json:"durable"`
}

// Status returns the latest published status.
func (r *Replicator) Status() Status { return *r.status.Load() }

// maxLeaseDuration is the time on the leader's clock after which a granted state lease has expired at any clock drift allowed.
const maxLeaseDuration = fleet.StateLease + time.Duration(2*fleet.MaxClockDrift*float64(fleet.StateLease))

// LeaseExpired reports whether, as known to the leader, the state lease of an entry has certainly expired. A lease that an
// earlier leader granted counts from the start of this leadership.
func (s Status) LeaseExpired(entry fleet.EntryID) bool {
	if entry == s.Entry {
		return !s.Leading
	}
	granted := s.leaderSince
	for _, p := range s.Peers {
		if p.Entry == entry {
			granted = max(granted, p.LeaseGranted)
		}
	}
	return s.Leading && s.takenAt > granted+maxLeaseDuration
}

// LeaseActive reports whether, as known to the leader, an entry was granted a state lease less than fleet.StateLease ago.
func (s Status) LeaseActive(entry fleet.EntryID) bool {
	if entry == s.Entry {
		return s.Leading
	}
	return slices.ContainsFunc(s.Peers, func(p PeerStatus) bool {
		return p.Entry == entry && p.LeaseGranted > 0 && s.takenAt-p.LeaseGranted < fleet.StateLease
	})
}

// AppliedEverywhere reports whether, as known to the leader, every listed entry has applied index or its state lease has
// certainly expired.
func (s Status) AppliedEverywhere(index uint64, entries []fleet.EntryID) bool {
	if !s.Leading || s.Applied < index {
		return false
	}
	for _, e := range entries {
		applied := e == s.Entry || slices.ContainsFunc(s.Peers, func(p PeerStatus) bool {
			return p.Entry == e && p.Applied >= index && p.LeaseGranted > 0
		})
		if !applied && !s.LeaseExpired(e) {
			return false
		}
	}
	return true
}

// bootstrapState is the reply of a keeper to the one that bootstraps the group.
type bootstrapState struct {
	ID    raft.ID `cbor:"1,keyasint"`
	Empty bool    `cbor:"2,keyasint"`
}

func (r *Replicator) handleBootstrap(context.Context, fleet.EntryID, []byte) (any, error) {
	var own bootstrapState
	r.runInLoop(func() { own = bootstrapState{ID: r.id, Empty: r.raft.Durable() && r.raft.IsEmpty()} })
	if own.ID == "" {
		return nil, fault.New("form", KindClosed, "stopped")
	}
	return own, nil
}

// bootstrapGroup bootstraps the group if this member is the first keeper by name and all keepers reply and are empty.
//
// A keeper that lost its disk finds keepers that are not empty, so it can never bootstrap a second group.
func (r *Replicator) bootstrapGroup() {
	keepers := slices.Sorted(slices.Values(r.options.Keepers))
	if len(keepers) == 0 || keepers[0] != r.options.Entry {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, joinInterval)
	defer cancel()
	voters := []raft.ID{r.id}
	for _, k := range keepers[1:] {
		var peer bootstrapState
		err := r.options.Messenger.Call(ctx, k, topicBootstrap, true, &peer)
		if err != nil || !peer.Empty || EntryOf(peer.ID) != k {
			return
		}
		voters = append(voters, peer.ID)
	}
	r.runInLoop(func() {
		if r.raft.Bootstrap(voters, nil) {
			event.GroupBootstrapped.Info(r.options.Logger, zap.String("voters", fmt.Sprint(voters)))
		}
	})
}

// MemberChange is a request to the leader to add a voter, to remove one, or both.
type MemberChange struct {
	Add    fleet.EntryID `cbor:"1,keyasint,omitempty"`
	Remove string        `cbor:"2,keyasint,omitempty"`
}

// String returns the change as a log field, such as "add entry-4, remove entry-2".
func (c MemberChange) String() string {
	parts := []string{}
	if c.Add != "" {
		parts = append(parts, "add "+string(c.Add))
	}
	if c.Remove != "" {
		parts = append(parts, "remove "+c.Remove)
	}
	return strings.Join(parts, ", ")
}

func (r *Replicator) handleMemberChange(ctx context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var c MemberChange
	if err := messenger.Codec.Decode(payload, &c); err != nil {
		return nil, err
	}
	return true, r.changeAsLeader(ctx, c)
}

// ChangeMembers adds a voter, then removes one. It returns when both changes are committed and the added voter has all
// committed entries.
func (r *Replicator) ChangeMembers(ctx context.Context, c MemberChange) error {
	leader := r.Status().Leader
	if leader == r.options.Entry {
		return r.changeAsLeader(ctx, c)
	}
	var done bool
	return r.options.Messenger.Call(ctx, leader, topicMemberChange, c, &done)
}

func (r *Replicator) changeAsLeader(ctx context.Context, c MemberChange) error {
	err := r.applyMemberChange(ctx, c)
	event.MembershipChangeRequested.Info(r.options.Logger, zap.String("change", "voters"), zap.Stringer("member", c), zap.NamedError("error", err))
	return err
}

func (r *Replicator) applyMemberChange(ctx context.Context, c MemberChange) error {
	var added raft.ID
	if c.Add != "" {
		id, err := r.findDurableLearner(c.Add)
		if err != nil {
			return err
		}
		added = id
		if err := r.proposeChange(ctx, func(now time.Duration) error { return r.raft.AddVoter(now, id) }); err != nil {
			return err
		}
	}
	if c.Remove != "" {
		id, err := r.findVoter(c.Remove)
		if err != nil {
			return err
		}
		if err := r.proposeChange(ctx, func(now time.Duration) error { return r.raft.RemoveVoter(now, id) }); err != nil {
			return err
		}
	}
	return r.waitUntil(ctx, func() bool { return added == "" || r.raft.CaughtUp(added) })
}

// proposeChange retries one membership change while an earlier one is pending or the learner lags behind, then waits until it
// is committed.
func (r *Replicator) proposeChange(ctx context.Context, propose func(now time.Duration) error) error {
	for {
		var err error
		r.runInLoop(func() { err = propose(r.clock()) })
		if err == nil {
			return r.waitUntil(ctx, r.raft.MembershipCommitted)
		}
		retry := errors.Is(err, raft.KindChangePending) || errors.Is(err, raft.KindNotCaughtUp)
		if !retry || !waitTick(ctx) {
			return &Error{Op: "change members", Kind: KindMembershipChange, Err: err}
		}
	}
}

func (r *Replicator) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		ok := false
		r.runInLoop(func() { ok = condition() })
		if ok {
			return nil
		}
		if !waitTick(ctx) {
			return &Error{Op: "change members", Kind: KindMembershipChange, Err: ctx.Err()}
		}
	}
}

func waitTick(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(tickInterval):
		return true
	}
}

// findDurableLearner returns the durable learner of an entry with the most recent contact. An entry that lost its disk may
// still be listed under its earlier incarnation as well.
func (r *Replicator) findDurableLearner(entry fleet.EntryID) (raft.ID, error) {
	var found raft.ID
	r.runInLoop(func() {
		voters := r.raft.Voters()
		lastContact := time.Duration(0)
		for _, p := range r.raft.Peers() {
			if EntryOf(p.ID) == entry && p.Durable && !slices.Contains(voters, p.ID) && p.LastContact > lastContact {
				found, lastContact = p.ID, p.LastContact
			}
		}
	})
	if found == "" {
		return "", fault.New("change members", KindMembershipChange, "no new member with a disk answers as %q", entry)
	}
	return found, nil
}

// findVoter returns the voter with a full id, or the voter of an entry. Among several incarnations of the entry it returns the
// one that no longer replies.
func (r *Replicator) findVoter(name string) (raft.ID, error) {
	var found []raft.ID
	r.runInLoop(func() {
		for _, v := range r.raft.Voters() {
			if string(v) == name || string(EntryOf(v)) == name {
				found = append(found, v)
			}
		}
	})
	if len(found) == 0 {
		return "", fault.New("change members", KindMembershipChange, "no voter is called %q", name)
	}
	if len(found) == 1 {
		return found[0], nil
	}
	return r.unresponsiveIncarnation(found)
}

// unresponsiveIncarnation returns the only one of these incarnations of an entry that has not replied within the default
// election timeout.
func (r *Replicator) unresponsiveIncarnation(ids []raft.ID) (raft.ID, error) {
	var unresponsive []raft.ID
	r.runInLoop(func() {
		now := r.clock()
		for _, p := range r.raft.Peers() {
			if slices.Contains(ids, p.ID) && now-p.LastContact > raft.DefaultElectionTimeout {
				unresponsive = append(unresponsive, p.ID)
			}
		}
	})
	if len(unresponsive) != 1 {
		return "", fault.New("change members", KindMembershipChange, "name one of %v by its whole id", ids)
	}
	return unresponsive[0], nil
}
