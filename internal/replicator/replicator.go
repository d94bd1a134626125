// Package replicator runs one member of the Raft group: it drives the Raft state machine, syncs its records to the journal,
// exchanges its messages and applies committed commands to the state.
package replicator

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/bootclock"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/namer"
	"github.com/sapphiresail/sapphiresail/internal/raft"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Kind classifies the errors of this package.
type Kind uint8

// Error kinds.
const (
	KindNoLeader Kind = iota + 1
	KindUncertain
	KindClosed
	KindMembershipChange
)

// Error returns the message of the kind.
func (k Kind) Error() string {
	return namer.Name(k, "none", "no leader is known", "outcome is not known", "replicator is closed", "membership change failed")
}

// notExecuted reports whether a command that failed with the kind was certainly not executed. A leader of a later version may know other kinds.
func (k Kind) notExecuted() bool { return k == KindNoLeader }

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Messenger topics of this package.
const (
	topicRaft messenger.Topic = iota + 1
	topicPropose
	topicBootstrap
	topicMemberChange
)

// Intervals and limits of the event loop, of compaction and of proposals.
const (
	tickInterval           = 40 * time.Millisecond
	joinInterval           = 500 * time.Millisecond
	inboxCapacity          = 8192
	maxBatchInputs         = 1024
	compactAfterEntries    = 4096
	compactTrailingEntries = 1024
	compactTrailingBytes   = 4 << 20 // usual entries have a kilobyte; a follower that lacks larger ones gets the snapshot
	maxJournalBytes        = 16 << 20
	maxProposeAttempts     = 40
	proposeRetryInterval   = 50 * time.Millisecond
	fullDiskRetryInterval  = 200 * time.Millisecond // shorter than an election, so that a short shortage costs little
)

// Options configure a replicator.
type Options struct {
	Entry     fleet.EntryID
	Messenger *messenger.Messenger
	// Journal is nil for a member without a disk.
	Journal *journaler.Journaler
	// Keepers are the entries that bootstrap the group together.
	Keepers []fleet.EntryID
	// Peers are all other processes that may be or know the leader.
	Peers  []fleet.EntryID
	Logger *zap.Logger
	// DesiredVoters is the number of voters that the leader maintains automatically; zero leaves the membership to operators.
	DesiredVoters int
	// ElectionTimeout is the minimum election timeout; zero selects the default.
	ElectionTimeout time.Duration
	// LazyCommits delays the notification of the other members about commits by up to a heartbeat interval.
	LazyCommits bool
}

// Replicator is a running member of the Raft group.
type Replicator struct {
	options   Options
	id        raft.ID
	startedAt time.Duration
	raft      *raft.Raft
	inbox     chan input
	// messages are handled before the inbox: heartbeats and votes must not wait behind proposals, or be dropped because those fill the inbox.
	messages chan raft.Message
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
	waiters  map[uint64]waiter

	lastJoin      time.Duration
	lastReconcile time.Duration
	lastSnapshot  uint64
	role          raft.Role
	lastLeader    raft.ID

	mutex      sync.RWMutex
	state      *state.State
	applied    uint64
	changed    chan struct{}
	leaseUntil atomic.Int64
	leadership atomic.Pointer[leadership]
	status     atomic.Pointer[Status]
	// knownPeers is the result of Peers, renewed at each tick.
	knownPeers atomic.Pointer[[]fleet.EntryID]
	failure    atomic.Pointer[error]
}

// input is one input of the event loop: a message, a proposal or a function to call.
type input struct {
	message  *raft.Message
	proposal *proposal
	callback func()
}

type proposal struct {
	record []byte
	reply  chan outcome
}

type waiter struct {
	term  uint64
	reply chan outcome
}

type outcome struct {
	Reply state.Reply `cbor:"1,keyasint"`
	Kind  Kind        `cbor:"2,keyasint,omitempty"`
}

// Start starts a member, which runs until Close or Kill.
func Start(o Options) (*Replicator, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replicator{
		options:   o,
		startedAt: bootclock.Now(),
		inbox:     make(chan input, inboxCapacity),
		messages:  make(chan raft.Message, inboxCapacity),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		waiters:   map[uint64]waiter{},
		state:     state.New(),
		changed:   make(chan struct{}),
	}
	if err := r.open(); err != nil {
		cancel()
		return nil, err
	}
	r.publishStatus()
	r.publishPeers()
	o.Messenger.Handle(topicRaft, r.handleMessage)
	o.Messenger.Handle(topicPropose, r.handleProposal)
	o.Messenger.Handle(topicBootstrap, r.handleBootstrap)
	o.Messenger.Handle(topicMemberChange, r.handleMemberChange)
	go r.loop()
	return r, nil
}

// open creates the Raft state machine from the journal, or an empty one with a new incarnation.
func (r *Replicator) open() error {
	var loaded journaler.Loaded
	incarnation := identity.RandomHex(8)
	options := []raft.Option{raft.WithSeed(hashSeed(incarnation)), raft.WithClockDrift(fleet.MaxClockDrift), raft.WithSnapshotCheck(checkSnapshot)}
	if r.options.ElectionTimeout > 0 {
		options = append(options, raft.WithTimeouts(r.options.ElectionTimeout, raft.DefaultHeartbeatInterval))
	}
	if r.options.LazyCommits {
		options = append(options, raft.WithLazyCommits())
	}
	if j := r.options.Journal; j != nil {
		loaded = j.Loaded()
		options = append(options, raft.WithDurable())
		if loaded.Incarnation == "" {
			if err := j.SetIncarnation(incarnation); err != nil {
				return err
			}
		} else {
			incarnation = loaded.Incarnation
		}
		event.JournalOpened.Info(r.options.Logger, zap.Uint64("index", snapshotIndex(loaded.Snapshot)),
			zap.Int("entries", len(loaded.Entries)), zap.Int64("cut-bytes", loaded.TruncatedBytes))
		j.ReleaseLoaded()
	}
	r.id = raft.ID(string(r.options.Entry) + "/" + incarnation)
	r.raft = raft.New(r.id, r.clock(), loaded.HardState, loaded.Snapshot, loaded.Entries, options...)
	return nil
}

func checkSnapshot(data []byte) error {
	_, err := state.FromSnapshot(data)
	return err
}

func snapshotIndex(s *raft.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Index
}

func hashSeed(text string) uint64 {
	seed := uint64(14695981039346656037)
	for _, b := range []byte(text) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return seed
}

// EntryOf returns the entry that a member id belongs to.
func EntryOf(id raft.ID) fleet.EntryID {
	name, _, _ := strings.Cut(string(id), "/")
	return fleet.EntryID(name)
}

// clock returns the time since Start. It includes suspended time, because leases must expire while the instance is suspended.
func (r *Replicator) clock() time.Duration { return bootclock.Now() - r.startedAt + time.Nanosecond }

// View calls read with the applied state, which read must neither modify nor retain.
func (r *Replicator) View(read func(s *state.State)) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	read(r.state)
}

// Applied returns the highest applied index and a channel that is closed when the state changes next.
func (r *Replicator) Applied() (uint64, <-chan struct{}) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.applied, r.changed
}

// LeaseValid reports whether this process holds a state lease and may act on its copy of the state.
func (r *Replicator) LeaseValid() bool { return r.LeaseLeft() > 0 }

// LeaseLeft returns the remaining time of the state lease, zero or less if it has expired.
func (r *Replicator) LeaseLeft() time.Duration {
	return time.Duration(r.leaseUntil.Load()) - r.clock()
}

// Failed returns the error that stopped the member, or nil.
func (r *Replicator) Failed() error {
	if err := r.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Close stops the member and waits for its event loop to end; a leader transfers its leadership first.
func (r *Replicator) Close() error {
	r.TransferLeadership()
	r.Kill()
	return nil
}

// Kill stops the member without a leadership transfer, as a crash would, and waits for its event loop to end.
func (r *Replicator) Kill() {
	r.cancel()
	<-r.done
}

// TransferLeadership transfers the leadership to another voter. It waits until this member no longer leads, at most for the
// default election timeout.
func (r *Replicator) TransferLeadership() {
	if !r.Status().Leading {
		return
	}
	r.runInLoop(func() { r.raft.TransferLeadership("") })
	deadline := time.After(raft.DefaultElectionTimeout)
	for r.Status().Leading {
		select {
		case <-deadline:
			return
		case <-r.done:
			return
		case <-time.After(tickInterval):
		}
	}
}

// Resign gives up the leadership of a term if this member still leads it.
func (r *Replicator) Resign(term uint64) {
	r.runInLoop(func() {
		if r.raft.Term() == term {
			r.raft.Resign(r.clock())
		}
	})
}

// runInLoop runs f in the event loop and waits until it returns or the loop has ended.
func (r *Replicator) runInLoop(f func()) {
	finished := make(chan struct{})
	select {
	case r.inbox <- input{callback: func() { f(); close(finished) }}:
	case <-r.done:
		return
	}
	select {
	case <-finished:
	case <-r.done:
	}
}
