// Package demonstrator runs the whole system in one process on loopback and checks its promises.
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

// Size and pace of a demonstration.
const (
	Entries       = 7
	Keepers       = 3
	perPool       = 10
	perRack       = 4
	rebootTime    = 1500 * time.Millisecond
	readyTimeout  = 30 * time.Second
	readyPause    = 50 * time.Millisecond
	settleTimeout = 20 * time.Second
	operatorKey   = "demonstration-operator-key"
)

// Demonstrator is one site of the demonstration.
type Demonstrator struct {
	site     string
	text     []byte
	config   *configuration.Configuration
	logger   *zap.Logger
	folder   string
	fleetKey string
	daemons  []*daemon.Daemon
	targets  []*standin.Target
	platform *standin.Platform
	ledger   *standin.Ledger
	keys     map[fleet.CustomerID]string
	operator *client.Client
	watch    *watch
}

// New starts the processes, targets and keys of a site.
func New(ctx context.Context, site string, logger *zap.Logger) (*Demonstrator, error) {
	text, config, err := Site(site)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "sapphiresail-demo-")
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	d := &Demonstrator{
		site: site, text: text, config: config, logger: logger, folder: folder,
		ledger: standin.NewLedger(), keys: map[fleet.CustomerID]string{}, watch: newWatch(),
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
	if err := d.until(ctx, func() bool { return d.daemons[0].Replicator().LeaseValid() }); err != nil {
		return fmt.Errorf("no leader: %w", err)
	}
	if err := d.operator.Send(ctx, "PUT", "/v1/config?wait", d.text, nil); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	for _, t := range d.config.Customers {
		secret := identity.RandomHex(16)
		d.keys[t.Name] = secret
		body := fmt.Appendf(nil, `{"customer":%q,"sha-256":"%x"}`, t.Name, state.HashKey(secret))
		if err := d.operator.Send(ctx, "PUT", "/v1/keys/"+string(t.Name)+"-1?wait", body, nil); err != nil {
			return fmt.Errorf("grant key: %w", err)
		}
	}
	if err := d.startTargets(); err != nil {
		return err
	}
	return d.until(ctx, d.staffed)
}

func (d *Demonstrator) startDaemons() error {
	d.fleetKey = identity.RandomHex(identity.MinKeyBytes)
	for i := range Entries {
		x, err := daemon.Start(d.settings(i), d.logger, daemon.WithPlatform(platformOf{d}), daemon.WithViewObserver(d.watch.see))
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, x)
	}
	return nil
}

// settings returns the settings of a process, whose peers are those that run already.
func (d *Demonstrator) settings(i int) settings.Settings {
	s := settings.Settings{
		Entry: entryName(i), DataCentre: d.config.DataCentres[i%len(d.config.DataCentres)].Name,
		HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", FleetKey: d.fleetKey, OperatorKey: operatorKey,
	}
	for n := range Keepers {
		s.Keepers = append(s.Keepers, entryName(n))
	}
	if i < Keepers {
		s.DataFolder = filepath.Join(d.folder, string(s.Entry))
	}
	for n, x := range d.daemons {
		if n != i {
			s.Peers = append(s.Peers, settings.Peer{Entry: entryName(n), Address: x.PeerAddress()})
		}
	}
	return s
}

func entryName(i int) fleet.EntryID { return fleet.EntryID(fmt.Sprintf("entry-%d", i+1)) }

func (d *Demonstrator) startTargets() error {
	var entries []string
	for _, x := range d.daemons {
		entries = append(entries, x.Address())
	}
	var err error
	d.platform, d.targets, err = Targets(d.site, entries, d.ledger)
	return err
}

// Targets starts the stand-in targets of a site, ten a pool and four to a rack, and the platform that reboots them.
func Targets(site string, entries []string, ledger *standin.Ledger) (*standin.Platform, []*standin.Target, error) {
	_, config, err := Site(site)
	if err != nil {
		return nil, nil, err
	}
	platform := standin.NewPlatform(rebootTime)
	var targets []*standin.Target
	for p, pool := range config.Pools {
		for n := range perPool {
			t, err := standin.NewTarget(instance(config, pool.Name, p, n), entries, ledger)
			if err != nil {
				return nil, targets, err
			}
			targets = append(targets, t)
			platform.Add(t)
		}
	}
	return platform, targets, nil
}

func instance(config *configuration.Configuration, pool fleet.PoolID, p, n int) fleet.Instance {
	centre := config.DataCentres[n%len(config.DataCentres)].Name
	rack := fleet.RackID(fmt.Sprintf("rack-%d", (p*perPool+n)/len(config.DataCentres)/perRack))
	return fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("%s-%s-%02d", config.Site, pool, n)), DataCentre: centre, Rack: rack, HomePool: pool,
		Capacity: fleet.Resources{Processors: 64, Memory: 128 << 30, Slots: 8, Connections: 64},
	}
}

// staffed reports whether every pool has its owner, its instances and permits.
func (d *Demonstrator) staffed() bool {
	ok := false
	d.daemons[0].Replicator().View(func(s *state.State) {
		ok = len(s.Instances) == len(d.targets) && len(s.Owners) == len(d.config.Pools) && len(s.Permits) == len(d.config.Customers)
	})
	return ok
}

func (d *Demonstrator) until(ctx context.Context, reached func() bool) error {
	limit, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !reached() {
		select {
		case <-limit.Done():
			return limit.Err()
		case <-time.After(readyPause):
		}
	}
	return nil
}

// Close stops everything and removes the data folder.
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
	errs = append(errs, os.RemoveAll(d.folder))
	return errors.Join(errs...)
}

func (d *Demonstrator) closers() []io.Closer {
	var list []io.Closer
	for _, t := range d.targets {
		list = append(list, t)
	}
	for _, x := range d.daemons {
		list = append(list, x)
	}
	return list
}

// platformOf hands the platform, which is made after the daemons, to them.
type platformOf struct{ d *Demonstrator }

func (p platformOf) Drain(ctx context.Context, id fleet.InstanceID) error {
	return p.d.platform.Drain(ctx, id)
}

func (p platformOf) Reboot(ctx context.Context, id fleet.InstanceID, boot string) error {
	return p.d.platform.Reboot(ctx, id, boot)
}

// watch checks the availability budgets on every view that a leader plans on.
type watch struct {
	mutex  sync.Mutex
	broken map[fleet.PoolID]int
	moved  map[fleet.InstanceID]fleet.PoolID
	moves  int
}

func newWatch() *watch {
	return &watch{broken: map[fleet.PoolID]int{}, moved: map[fleet.InstanceID]fleet.PoolID{}}
}

func (w *watch) see(v *planner.View) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, a := range v.State.Instances {
		if last, ok := w.moved[id]; ok && last != a.Pool {
			w.moves++
		}
		w.moved[id] = a.Pool
	}
	for _, p := range v.State.Configuration().Pools {
		planned, lost := 0, 0
		for _, a := range v.State.Instances {
			if a.Pool == p.Name && a.Lost {
				lost++
			}
			if a.Pool == p.Name && a.Phase != state.Serving {
				planned++
			}
		}
		if planned > 0 && lost == 0 && v.State.AvailableInstances(p.Name) < p.MinimumAvailable {
			w.broken[p.Name]++
		}
	}
}
