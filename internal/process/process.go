// Package process assembles the processes of a deployment: entries, which serve callers, and keepers, which replicate the state
// and schedule.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/bootclock"
	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/coalescer"
	"github.com/sapphiresail/sapphiresail/internal/collector"
	"github.com/sapphiresail/sapphiresail/internal/courier"
	"github.com/sapphiresail/sapphiresail/internal/drainer"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/exposer"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/settings"
	"github.com/sapphiresail/sapphiresail/internal/supervisor"
	"github.com/sapphiresail/sapphiresail/platform"
)

// Timing of processes: leases, retention, reload and shutdown.
const (
	leaseShare         = 0.9                     // a tenth of the longest lease is reserved for the delivery of an order
	jobRetention       = 150 * time.Second       // callers may inspect a job for two minutes after its end
	reloadInterval     = time.Second             // a changed settings file is read within a second
	balancerDrainDelay = 2300 * time.Millisecond // the load balancer checks every second and needs two failed checks
	leaderTransferWait = 400 * time.Millisecond  // a requested transfer of leadership takes less
	electionTimeout    = 700 * time.Millisecond  // seven heartbeats; callers wait while there is no leader
	fetchTimeout       = 900 * time.Millisecond  // clients of the control address try the next keeper after a second
	shutdownMargin     = 700 * time.Millisecond  // part of the grace period left for Close
)

// Process is a running entry or keeper of a deployment.
type Process struct {
	settings    settings.Deployment
	file        string
	logger      *zap.Logger
	messenger   *messenger.Messenger
	journal     *journaler.Journaler
	replicator  *replicator.Replicator
	supervisor  *supervisor.Supervisor
	forwarder   *forwarder.Forwarder
	servers     []*platform.Server
	ctx         context.Context
	cancel      context.CancelFunc
	watcherDone chan struct{}
	reloadMutex sync.Mutex
	stopping    chan struct{}
	closers     []io.Closer
	collector   *collector.Collector
	// catalogues reads the catalogue for all that ask for it: the answers to a crowd share one copy.
	catalogues *coalescer.Coalescer[forwarder.Response]
	startedAt  time.Duration
	budget     budget
}

// Start starts the process that the settings file describes; it runs until Close or Shutdown.
func Start(file string, logger *zap.Logger) (*Process, error) {
	d, err := settings.LoadDeployment(file)
	if err != nil {
		return nil, err
	}
	p := &Process{settings: *d, file: file, logger: logger.With(zap.String("entry", d.Process)), watcherDone: make(chan struct{}), stopping: make(chan struct{}), startedAt: bootclock.Now()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.start(); err != nil {
		close(p.watcherDone)
		return nil, errors.Join(err, p.Close())
	}
	go p.watchSettings()
	event.ProcessStarted.Info(p.logger, zap.String("data-centre", string(d.DataCentre)), zap.String("http-address", d.Callers+d.Control),
		zap.String("peer-address", p.messenger.Address()), zap.Bool("keeper", d.DataFolder != ""))
	return p, nil
}

// entryID returns the id of this process among its peers, which is its address.
func (p *Process) entryID() fleet.EntryID { return fleet.EntryID(p.settings.Address) }

// start starts the parts of the process in the order of their dependencies; Close stops them in reverse.
func (p *Process) start() error {
	id, err := identity.New(string(p.entryID()), p.settings.FleetKey)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	p.startBudget(registry)
	if p.settings.Metrics != "" {
		metricsServer, err := exposer.Start(p.settings.Metrics, registry, p.budget.metrics)
		if err != nil {
			return err
		}
		p.closers = append(p.closers, metricsServer)
	}
	address := net.JoinHostPort(p.settings.Address, strconv.Itoa(p.settings.PeerPort))
	if p.messenger, err = messenger.New(id, address, registry); err != nil {
		return err
	}
	p.closers = append(p.closers, p.messenger)
	p.messenger.SetResolver(func(id fleet.EntryID) (string, bool) {
		return net.JoinHostPort(string(id), strconv.Itoa(p.settings.PeerPort)), net.ParseIP(string(id)) != nil
	})
	if p.settings.DataFolder != "" {
		if err := p.startKeeper(registry); err != nil {
			return err
		}
	}
	p.forwarder = forwarder.Start(p.entryID(), p.messenger, p.settings.SeedEntries(), p.logger, registry)
	p.closers = append(p.closers, p.forwarder)
	if p.supervisor != nil {
		p.collector = collector.Start(collector.Options{Deliver: p.deliverAnnouncements, MaxBatch: forwarder.MaxBatch, Room: p.budget.instances, Clock: bootclock.Now, Logger: p.logger, Metrics: registry})
		p.catalogues = coalescer.New(func(ctx context.Context) (forwarder.Response, error) {
			return p.callAsKeeper(ctx, forwarder.Request{Operation: forwarder.FetchCatalogue})
		}, fetchTimeout)
		p.closers = append(p.closers, p.collector, p.catalogues)
	}
	return p.startServers()
}

// startKeeper starts the member of the consensus group and the supervisor on top of it.
func (p *Process) startKeeper(registry metrics.Registry) error {
	var err error
	if p.journal, err = journaler.Open(p.settings.DataFolder); err != nil {
		return err
	}
	p.closers = append(p.closers, p.journal)
	var founders []fleet.EntryID
	if p.settings.FirstStart {
		founders = p.settings.SeedEntries()
	}
	p.replicator, err = replicator.Start(replicator.Options{
		Entry: p.entryID(), Messenger: p.messenger, Journal: p.journal, Keepers: founders, Peers: p.settings.SeedEntries(),
		Logger: p.logger, DesiredVoters: p.settings.Voters, ElectionTimeout: electionTimeout,
		LazyCommits: true, // only the leader reads the state
	})
	if err != nil {
		return err
	}
	p.closers = append(p.closers, p.replicator)
	client := platform.NewClient(p.settings.PlatformAddress, p.settings.PolicyAddress, platform.WithMachinePermission(func(fence uint64) bool {
		term, leads := p.replicator.Leads()
		return leads && term == fence
	}))
	p.closers = append(p.closers, client)
	carrier := courier.StartCarrier(courier.CarrierOptions{
		Transport: p.messenger, Instances: client, DataCentre: p.settings.DataCentre, Term: func() uint64 { return p.replicator.Status().Term }, Clock: bootclock.Now, Metrics: registry,
	})
	p.closers = append(p.closers, carrier)
	dispatcher := courier.StartDispatcher(courier.DispatcherOptions{
		Transport: p.messenger, Direct: client, Leads: p.replicator.Leads, LeaseLeft: p.replicator.LeaderLeaseLeft,
		Carriers: func() []fleet.EntryID { return followers(p.replicator.Status()) }, Clock: bootclock.Now, Logger: p.logger,
	})
	p.closers = append(p.closers, dispatcher)
	p.supervisor = supervisor.Start(supervisor.Options{
		Entry: p.entryID(), Replica: p.replicator, Instances: dispatcher, Machines: client, Adviser: client,
		Lease: time.Duration(leaseShare * float64(p.settings.Lease())), JobRetention: jobRetention, Jobs: p.budget.jobs, Waves: p.budget.waves, EnrolledInstances: p.budget.instances, MachineOrderRate: p.settings.MachineOrderRate, DataCentres: p.settings.DataCentres,
		RefuseHopelessJobs: p.settings.RefuseHopelessJobs, FleetShares: p.settings.FleetShares, Logger: p.logger, Metrics: registry,
	})
	p.closers = append(p.closers, p.supervisor)
	p.messenger.Handle(forwarder.TopicCall, p.handleRequest)
	p.messenger.Handle(forwarder.TopicLeadership, p.handleLeaderQuery)
	return nil
}

// handleRequest handles a request that a peer forwards; a keeper that does not lead names the leader that it knows.
func (p *Process) handleRequest(ctx context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	lease, refusal, err := admitCall(p.budget.peers, payload)
	if lease == nil {
		return refusal, err
	}
	defer lease.Close()
	var request forwarder.Request
	if err := messenger.Codec.Decode(payload, &request); err != nil {
		return nil, fmt.Errorf("read call: %w", err)
	}
	response := p.supervisor.HandleRequest(ctx, request)
	if response.Outcome == forwarder.NotLeading {
		response.Leader = p.replicator.Status().Leader
	}
	return response, nil
}

// handleLeaderQuery reports to a peer whether this keeper leads, which leader and peers it knows, and whether a catalogue is in
// force.
func (p *Process) handleLeaderQuery(context.Context, fleet.EntryID, []byte) (any, error) {
	leads, ready := p.supervisor.Leads()
	return forwarder.LeadershipStatus{Leading: leads, Leader: p.replicator.Status().Leader, Keepers: p.replicator.Peers(), Ready: ready}, nil
}

// Call handles a request in this process if it leads, and forwards it to the leader otherwise.
func (p *Process) Call(ctx context.Context, request forwarder.Request) (forwarder.Response, error) {
	if o := request.Operation; o == forwarder.DrainDataCentre || o == forwarder.ResumeDataCentre {
		return drainer.New(p.callLeader).Change(ctx, request)
	}
	return p.callLeader(ctx, request)
}

// callLeader sends one request of this process's servers to the leader.
func (p *Process) callLeader(ctx context.Context, request forwarder.Request) (forwarder.Response, error) {
	if p.supervisor == nil {
		return p.forwarder.Call(ctx, request)
	}
	switch request.Operation {
	case forwarder.Announce:
		return p.announce(ctx, request)
	case forwarder.Depart:
		p.collector.Forget(request.Instance)
	case forwarder.FetchCatalogue:
		return p.catalogues.Get(ctx)
	}
	return p.callAsKeeper(ctx, request)
}

// callAsKeeper handles a request in this keeper if it leads, and forwards it to the leader otherwise.
func (p *Process) callAsKeeper(ctx context.Context, request forwarder.Request) (forwarder.Response, error) {
	response := p.supervisor.HandleRequest(ctx, request)
	switch response.Outcome {
	case forwarder.NotLeading:
		return p.forwarder.Call(ctx, request)
	case forwarder.Uncertain:
		return response, &forwarder.Error{Op: "call", Kind: forwarder.KindUncertain}
	default:
		return response, nil
	}
}

// startServers starts the HTTP servers that the settings name.
func (p *Process) startServers() error {
	if err := p.serveAddress(p.settings.Callers, platform.NewCallerHandler(p, p.logger), p.budget.callers); err != nil {
		return err
	}
	if err := p.serveAddress(p.settings.Readiness, platform.NewReadinessHandler(p.ready), p.budget.readiness); err != nil {
		return err
	}
	port := ""
	if p.settings.Control != "" {
		var err error
		if _, port, err = net.SplitHostPort(p.settings.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	return p.serveAddress(p.settings.Control, platform.NewControlHandler(p, port, p.logger), p.budget.control)
}

// serveAddress starts a server on an address; it does nothing if the address is not set.
func (p *Process) serveAddress(address string, handler http.Handler, share *budgeter.Share) error {
	if address == "" {
		return nil
	}
	s, err := platform.Serve(address, handler, share, p.logger)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, s)
	p.closers = append(p.closers, s)
	return nil
}

// ready reports whether the load balancer may send callers to this process.
func (p *Process) ready() bool {
	select {
	case <-p.stopping:
		return false
	default:
		return p.forwarder.Ready()
	}
}

// watchSettings reloads the settings file at every reloadInterval until Close.
func (p *Process) watchSettings() {
	defer close(p.watcherDone)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(reloadInterval):
			p.Reload()
		}
	}
}

// Reload reads the settings file and puts changed seeds in force; other settings need a restart.
func (p *Process) Reload() {
	d, err := settings.LoadDeployment(p.file)
	if err != nil {
		p.logger.Warn("settings not reloaded; the previous ones stay in force", zap.Error(err))
		return
	}
	p.reloadMutex.Lock()
	defer p.reloadMutex.Unlock()
	if slices.Equal(d.Seeds, p.settings.Seeds) {
		return
	}
	p.settings.Seeds = d.Seeds
	event.SettingsReloaded.Info(p.logger, zap.Strings("seeds", d.Seeds))
	p.forwarder.AddKeepers(d.SeedEntries())
	if p.replicator != nil {
		p.replicator.AddPeers(d.SeedEntries())
	}
}

// Shutdown fails the readiness check, transfers the leadership to another keeper, waits until the load balancer sends no
// more callers, completes the requests in flight and closes the process, all within the grace period.
func (p *Process) Shutdown() error {
	event.ProcessStopping.Info(p.logger, zap.String("reason", "asked to stop"))
	ctx, cancel := context.WithTimeout(context.Background(), p.Grace()-shutdownMargin)
	defer cancel()
	close(p.stopping)
	if p.replicator != nil {
		p.replicator.TransferLeadership()
		p.sleep(ctx, leaderTransferWait)
	}
	if p.settings.Callers != "" {
		p.sleep(ctx, balancerDrainDelay)
	}
	var errs []error
	for _, s := range p.servers {
		errs = append(errs, s.Drain(ctx))
	}
	return errors.Join(append(errs, p.Close())...)
}

// Grace returns the time that the process has to stop.
func (p *Process) Grace() time.Duration {
	return time.Duration(p.settings.Grace * float64(time.Second))
}

func (p *Process) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Close stops all parts in the reverse order of their start and waits for them.
func (p *Process) Close() error {
	p.cancel()
	<-p.watcherDone
	var errs []error
	for i := len(p.closers) - 1; i >= 0; i-- {
		errs = append(errs, p.closers[i].Close())
	}
	p.closers = nil
	event.ProcessStopped.Info(p.logger)
	return errors.Join(errs...)
}

// Leads reports whether this process leads now.
func (p *Process) Leads() bool {
	if p.supervisor == nil {
		return false
	}
	leads, _ := p.supervisor.Leads()
	return leads
}
