// Package daemon assembles a process of the system from its components.
package daemon

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/gateway"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/leader"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/owner"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/recorder"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/settings"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// clientMemory is the part of the memory of the process that its clients may take.
const clientMemory = 0.4

// Daemon is one running process of the system.
type Daemon struct {
	settings      settings.Settings
	boot          string
	logger        *zap.Logger
	metrics       metrics.Registry
	startedAt     time.Time
	messenger     *messenger.Messenger
	journal       *journaler.Journaler
	replicator    *replicator.Replicator
	announcements *announcementGossip
	carrier       *carrier.Carrier
	owner         *owner.Owner
	leader        *leader.Leader
	gateway       *gateway.Gateway
	recorder      *recorder.Recorder
	platform      leader.Platform
	onDecision    func(pool fleet.PoolID, d dispatcher.Decision)
	onView        func(v *planner.View)
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	closers       []io.Closer
}

// Option sets a property of a daemon.
type Option func(*Daemon)

// WithPlatform replaces the adapter that drains and reboots instances.
func WithPlatform(p leader.Platform) Option { return func(d *Daemon) { d.platform = p } }

// WithDecisionObserver sets a function that is called with every decision about the pools that this process owns.
func WithDecisionObserver(onDecision func(pool fleet.PoolID, d dispatcher.Decision)) Option {
	return func(d *Daemon) { d.onDecision = onDecision }
}

// WithViewObserver sets a function that is called with every view that the leader plans on.
func WithViewObserver(onView func(v *planner.View)) Option {
	return func(d *Daemon) { d.onView = onView }
}

// Start runs a process until Close.
func Start(s settings.Settings, logger *zap.Logger, options ...Option) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, boot: identity.RandomHex(8), logger: logger.With(zap.String("entry", string(s.Entry))),
		metrics: metrics.NewRegistry(), startedAt: time.Now(), ctx: ctx, cancel: cancel,
	}
	d.platform = newPlatformClient(s.PlatformURL)
	for _, o := range options {
		o(d)
	}
	if err := d.startComponents(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	event.ProcessStarted.Info(d.logger, zap.String("data-centre", string(s.DataCentre)), zap.String("http-address", d.gateway.Address()),
		zap.String("peer-address", d.messenger.Address()), zap.Bool("keeper", s.DataFolder != ""))
	return d, nil
}

func (d *Daemon) clock() time.Duration { return time.Since(d.startedAt) + time.Nanosecond }

// startComponents starts the components in the order of their dependencies; Close stops them in reverse order.
func (d *Daemon) startComponents() error {
	if err := d.startReplication(); err != nil {
		return err
	}
	if err := d.startRecorder(); err != nil {
		return err
	}
	d.announcements = newAnnouncementGossip(d)
	d.carrier = carrier.New(carrier.Options{
		Entry: d.settings.Entry, Boot: d.boot, Placer: placer{d}, Committer: d.replicator, Logger: d.logger, Metrics: d.metrics,
		OnResponse: d.recordRequest,
	})
	d.closers = append(d.closers, d.carrier)
	d.owner = owner.Start(owner.Options{
		Entry: d.settings.Entry, Messenger: d.messenger, Replica: d.replicator, Announcements: d.announcements, ActionSender: d.carrier,
		Logger: d.logger, Clock: d.clock, OnDecision: d.handleDecision,
	})
	d.closers = append(d.closers, d.owner)
	d.leader = leader.Start(leader.Options{
		Entry: d.settings.Entry, Messenger: d.messenger, Replica: d.replicator, Announcements: d.announcements, Platform: d.platform, ActionSender: d.carrier,
		OutcomeFetcher: outcomeFetcher{d.carrier}, Reports: d.owner.Reports, Logger: d.logger, Clock: d.clock, OnView: d.onView,
	})
	d.closers = append(d.closers, d.leader)
	limits := budgeter.NewLimits(d.settings.MemoryLimit, d.settings.DescriptorLimit)
	limits.Apply()
	var err error
	d.gateway, err = gateway.Start(gateway.Options{
		Entry: d.settings.Entry, Boot: d.boot, Address: d.settings.HTTPAddress, Replica: d.replicator, Carrier: d.carrier,
		Announcements: d.announcements, Leader: d.leader, Messenger: d.messenger, OperatorKey: d.settings.OperatorKey,
		Share:  budgeter.New(limits, d.logger, d.metrics).Share("gateway", clientMemory, 1),
		Logger: d.logger, Metrics: d.metrics, Clock: d.clock,
	})
	if err != nil {
		return err
	}
	d.closers = append(d.closers, d.gateway)
	d.goroutines.Go(d.announcements.gossipLoop)
	d.goroutines.Go(d.maintainMembership)
	if d.recorder != nil {
		d.goroutines.Go(d.recordLoop)
	}
	return nil
}

func (d *Daemon) startReplication() error {
	id, err := identity.New(string(d.settings.Entry), d.settings.FleetKey)
	if err != nil {
		return err
	}
	if d.messenger, err = messenger.New(id, d.settings.PeerAddress, d.metrics); err != nil {
		return err
	}
	d.closers = append(d.closers, d.messenger)
	var peers []fleet.EntryID
	for _, p := range d.settings.Peers {
		peers = append(peers, p.Entry)
	}
	if d.settings.DataFolder != "" {
		if d.journal, err = journaler.Open(d.settings.DataFolder); err != nil {
			return err
		}
		d.closers = append(d.closers, d.journal)
	}
	d.replicator, err = replicator.Start(replicator.Options{
		Entry: d.settings.Entry, Messenger: d.messenger, Journal: d.journal, Keepers: d.settings.Keepers, Peers: peers, Logger: d.logger,
	})
	if err != nil {
		return err
	}
	d.closers = append(d.closers, d.replicator)
	for _, p := range d.settings.Peers {
		d.messenger.SetPeer(p.Entry, p.Address)
	}
	return nil
}

func (d *Daemon) handleDecision(pool fleet.PoolID, decision dispatcher.Decision) {
	if d.leader != nil {
		d.leader.RecordDecision(pool, decision)
	}
	if d.onDecision != nil {
		d.onDecision(pool, decision)
	}
}

const registerInterval = 200 * time.Millisecond

// maintainMembership keeps the member record of this process up to date and follows the peer addresses of the other members.
func (d *Daemon) maintainMembership() {
	self := state.Member{
		Entry: d.settings.Entry, Incarnation: d.boot, PeerAddress: d.messenger.Address(), HTTPAddress: d.gateway.Address(),
		DataCentre: d.settings.DataCentre, Keeper: d.settings.DataFolder != "",
	}
	knownMembers := map[fleet.EntryID]state.Member{}
	for d.ctx.Err() == nil {
		_, changed := d.replicator.Applied()
		var members []state.Member
		d.replicator.View(func(s *state.State) {
			for _, m := range s.Members {
				members = append(members, m)
			}
		})
		registered := false
		for _, m := range members {
			registered = registered || m == self
			if knownMembers[m.Entry] != m {
				knownMembers[m.Entry] = m
				d.messenger.SetPeer(m.Entry, m.PeerAddress)
			}
		}
		if !registered && d.replicator.LeaseValid() {
			_, _ = d.replicator.Commit(d.ctx, state.RegisterMember{Member: self})
		}
		select {
		case <-changed:
		case <-time.After(registerInterval):
		case <-d.ctx.Done():
		}
	}
}

// Address returns the HTTP address of the process.
func (d *Daemon) Address() string { return d.gateway.Address() }

// PeerAddress returns the address at which other processes reach this one.
func (d *Daemon) PeerAddress() string { return d.messenger.Address() }

// SetPeer sets the address of another process, for one whose address changed.
func (d *Daemon) SetPeer(id fleet.EntryID, address string) { d.messenger.SetPeer(id, address) }

// Replicator returns this process's member of the consensus group.
func (d *Daemon) Replicator() *replicator.Replicator { return d.replicator }

// SetBlocked drops all traffic with another process while blocked is true.
func (d *Daemon) SetBlocked(id fleet.EntryID, blocked bool) { d.messenger.SetBlocked(id, blocked) }

// Metrics returns the metrics of the process.
func (d *Daemon) Metrics() metrics.Registry { return d.metrics }

// Shutdown transfers the owned pools, waits until accepted requests are answered or ctx ends, and closes the process.
func (d *Daemon) Shutdown(ctx context.Context) error {
	event.ProcessStopping.Info(d.logger, zap.String("reason", "asked to stop"))
	d.transferOwnership(ctx)
	err := d.gateway.Drain(ctx)
	return errors.Join(err, d.Close())
}

// transferOwnership stops placement for the pools that this process owns and assigns them to the other members in turn.
func (d *Daemon) transferOwnership(ctx context.Context) {
	var others []fleet.EntryID
	epochs := map[fleet.PoolID]uint64{}
	d.owner.Retire()
	d.replicator.View(func(s *state.State) {
		for id := range s.Members {
			if id != d.settings.Entry {
				others = append(others, id)
			}
		}
		for pool, o := range s.Owners {
			if o.Entry == d.settings.Entry {
				epochs[pool] = o.Epoch + 1
			}
		}
	})
	if len(others) == 0 {
		return
	}
	slices.Sort(others)
	next := 0
	for pool, epoch := range epochs {
		_, _ = d.replicator.Commit(ctx, state.AssignOwner{Pool: pool, Entry: others[next%len(others)], Epoch: epoch})
		next++
	}
}

// Close stops all components and waits for them.
func (d *Daemon) Close() error {
	d.cancel()
	d.goroutines.Wait()
	var errs []error
	for i := len(d.closers) - 1; i >= 0; i-- {
		errs = append(errs, d.closers[i].Close())
	}
	d.closers = nil
	event.ProcessStopped.Info(d.logger)
	return errors.Join(errs...)
}
