// Package demonstrator runs the whole system of a site in one process on loopback and checks its guarantees under load.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/daemon"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/settings"
	"github.com/sapphiresail/sapphiresail/internal/standin"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// Size and timing of a demonstration.
const (
	Entries          = 7
	Keepers          = 3
	instancesPerPool = 10
	instancesPerRack = 4
	rebootDowntime   = 1500 * time.Millisecond
	readyTimeout     = 30 * time.Second
	pollInterval     = 50 * time.Millisecond
	settleTimeout    = 20 * time.Second
	operatorKey      = "demonstration-operator-key"
)

// Demonstrator runs the daemons, stand-in targets and keys of one site.
type Demonstrator struct {
	site       string
	configYAML []byte
	config     *configuration.Configuration
	logger     *zap.Logger
	dataFolder string
	fleetKey   string
	daemons    []*daemon.Daemon
	targets    []*standin.Target
	platform   *standin.Platform
	executions *standin.ExecutionLog
	keys       map[fleet.CustomerID]string
	operator   *client.Client
	monitor    *budgetMonitor
}

// New starts the daemons and targets of a site, applies its configuration and grants each customer a key. It returns once every
// pool is ready; Close stops all of it.
func New(ctx context.Context, site string, logger *zap.Logger) (*Demonstrator, error) {
	text, config, err := Site(site)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "sapphiresail-demo-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	d := &Demonstrator{
		site: site, configYAML: text, config: config, logger: logger, dataFolder: folder,
		executions: standin.NewExecutionLog(), keys: map[fleet.CustomerID]string{}, monitor: newBudgetMonitor(),
	}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Demonstrator) start(ctx context.Context) error {
	if err := d.startDaemons(); err != nil {
		return err
	}
	d.operator = client.New("http://"+d.daemons[0].Address(), operatorKey)
	if err := d.waitUntil(ctx, func() bool { return d.daemons[0].Replicator().LeaseValid() }); err != nil {
		return fmt.Errorf("no leader: %w", err)
	}
	if err := d.operator.Send(ctx, "PUT", "/v1/config?wait", d.configYAML, nil); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	for _, customer := range d.config.Customers {
		secret := identity.RandomHex(16)
		d.keys[customer.Name] = secret
		body := fmt.Appendf(nil, `{"customer":%q,"sha-256":"%x"}`, customer.Name, state.HashKey(secret))
		if err := d.operator.Send(ctx, "PUT", "/v1/keys/"+string(customer.Name)+"-1?wait", body, nil); err != nil {
			return fmt.Errorf("grant key: %w", err)
		}
	}
	if err := d.startTargets(); err != nil {
		return err
	}
	return d.waitUntil(ctx, d.ready)
}

func (d *Demonstrator) startDaemons() error {
	d.fleetKey = identity.RandomHex(identity.MinKeyBytes)
	for i := range Entries {
		entry, err := daemon.Start(d.settings(i), d.logger, daemon.WithPlatform(platformProxy{d}), daemon.WithViewObserver(d.monitor.observe))
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, entry)
	}
	return nil
}

// settings returns the settings of the process at index i, with all other processes that already run as peers. The first Keepers
// processes are keepers and have a data folder.
func (d *Demonstrator) settings(i int) settings.Settings {
	s := settings.Settings{
		Entry: entryName(i), DataCentre: d.config.DataCentres[i%len(d.config.DataCentres)].Name,
		HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", FleetKey: d.fleetKey, OperatorKey: operatorKey,
	}
	for n := range Keepers {
		s.Keepers = append(s.Keepers, entryName(n))
	}
	if i < Keepers {
		s.DataFolder = filepath.Join(d.dataFolder, string(s.Entry))
	}
	for n, entry := range d.daemons {
		if n != i {
			s.Peers = append(s.Peers, settings.Peer{Entry: entryName(n), Address: entry.PeerAddress()})
		}
	}
	return s
}

func entryName(i int) fleet.EntryID { return fleet.EntryID(fmt.Sprintf("entry-%d", i+1)) }

func (d *Demonstrator) startTargets() error {
	var entries []string
	for _, entry := range d.daemons {
		entries = append(entries, entry.Address())
	}
	var err error
	d.platform, d.targets, err = StartTargets(d.site, entries, d.executions)
	return err
}

// StartTargets starts the stand-in targets of a site, instancesPerPool for each pool and instancesPerRack in each rack, and the
// platform that reboots them.
func StartTargets(site string, entries []string, executions *standin.ExecutionLog) (*standin.Platform, []*standin.Target, error) {
	_, config, err := Site(site)
	if err != nil {
		return nil, nil, err
	}
	platform := standin.NewPlatform(rebootDowntime)
	var targets []*standin.Target
	for poolIndex, pool := range config.Pools {
		for n := range instancesPerPool {
			t, err := standin.NewTarget(newInstance(config, pool.Name, poolIndex, n), entries, executions)
			if err != nil {
				return nil, targets, err
			}
			targets = append(targets, t)
			platform.Add(t)
		}
	}
	return platform, targets, nil
}

func newInstance(config *configuration.Configuration, pool fleet.PoolID, poolIndex, n int) fleet.Instance {
	dataCentre := config.DataCentres[n%len(config.DataCentres)].Name
	rack := fleet.RackID(fmt.Sprintf("rack-%d", (poolIndex*instancesPerPool+n)/len(config.DataCentres)/instancesPerRack))
	return fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("%s-%s-%02d", config.Site, pool, n)), DataCentre: dataCentre, Rack: rack, HomePool: pool,
		Capacity: fleet.Resources{Processors: 64, Memory: 128 << 30, Slots: 8, Connections: 64},
	}
}

// ready reports whether every target is assigned to a pool, every pool has an owner and every customer has permits.
func (d *Demonstrator) ready() bool {
	complete := false
	d.daemons[0].Replicator().View(func(s *state.State) {
		complete = len(s.Instances) == len(d.targets) && len(s.Owners) == len(d.config.Pools) && len(s.Permits) == len(d.config.Customers)
	})
	return complete
}

// waitUntil polls condition until it holds; after readyTimeout it returns an error.
func (d *Demonstrator) waitUntil(ctx context.Context, condition func() bool) error {
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-waitCtx.Done():
			return waitCtx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Close stops all targets and daemons and removes the data folder.
func (d *Demonstrator) Close() error {
	var errs []error
	var stops sync.WaitGroup
	results := make(chan error, len(d.targets)+len(d.daemons))
	for _, c := range d.closers() {
		stops.Go(func() { results <- c.Close() })
	}
	stops.Wait()
	close(results)
	for err := range results {
		errs = append(errs, err)
	}
	errs = append(errs, os.RemoveAll(d.dataFolder))
	return errors.Join(errs...)
}

func (d *Demonstrator) closers() []io.Closer {
	var list []io.Closer
	for _, t := range d.targets {
		list = append(list, t)
	}
	for _, entry := range d.daemons {
		list = append(list, entry)
	}
	return list
}

// platformProxy passes the calls of the daemons on to the platform, which is created after them.
type platformProxy struct{ d *Demonstrator }

func (p platformProxy) Drain(ctx context.Context, id fleet.InstanceID) error {
	return p.d.platform.Drain(ctx, id)
}

func (p platformProxy) Reboot(ctx context.Context, id fleet.InstanceID, bootID string) error {
	return p.d.platform.Reboot(ctx, id, bootID)
}

// budgetMonitor checks the availability budgets on every view that a leader plans on, and counts the moves between pools.
// A pool is checked if some of its instances are out of service by plan and none is lost.
type budgetMonitor struct {
	mutex      sync.Mutex
	violations map[fleet.PoolID]int
	lastPools  map[fleet.InstanceID]fleet.PoolID
	moves      int
}

func newBudgetMonitor() *budgetMonitor {
	return &budgetMonitor{violations: map[fleet.PoolID]int{}, lastPools: map[fleet.InstanceID]fleet.PoolID{}}
}

func (m *budgetMonitor) observe(view *planner.View) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id, a := range view.State.Instances {
		if previous, ok := m.lastPools[id]; ok && previous != a.Pool {
			m.moves++
		}
		m.lastPools[id] = a.Pool
	}
	for _, p := range view.State.Configuration().Pools {
		planned, lost := 0, 0
		for _, a := range view.State.Instances {
			if a.Pool == p.Name && a.Lost {
				lost++
			}
			if a.Pool == p.Name && a.Phase != state.Serving {
				planned++
			}
		}
		if planned > 0 && lost == 0 && view.State.AvailableInstances(p.Name) < p.MinimumAvailable {
			m.violations[p.Name]++
		}
	}
}
