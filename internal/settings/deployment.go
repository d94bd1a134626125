package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
)

// Deployment holds the settings of one process on the platform of an operator, where processes discover each other through seeds.
type Deployment struct {
	Process string `json:"process"`
	// Address is the IP address of the host; peers identify the process by it.
	Address    string             `json:"address"`
	DataCentre fleet.DataCentreID `json:"data-centre"`
	// DataCentres are those of the platform. An operator may drain them before an instance has announced itself there.
	DataCentres []fleet.DataCentreID `json:"data-centres,omitempty"`
	PeerPort    int                  `json:"peer-port"`
	// Callers, Readiness and Control are the listen addresses of the HTTP servers; a server without an address is not started.
	Callers   string `json:"callers,omitempty"`
	Readiness string `json:"readiness,omitempty"`
	Control   string `json:"control,omitempty"`
	// Metrics is the listen address of the metrics server; it is not started without one.
	Metrics string `json:"metrics,omitempty"`
	// Seeds are the control addresses of keepers.
	Seeds []string `json:"seeds"`
	// FirstStart makes the seeds the founding members of a new consensus group.
	FirstStart bool   `json:"first-start,omitempty"`
	DataFolder string `json:"data-folder,omitempty"`
	// Voters is the number of voting members of the consensus group.
	Voters int `json:"voters"`
	// MaximumLease is the longest lease that instances grant, in milliseconds.
	MaximumLease int `json:"maximum-lease"`
	// Grace is the time for a graceful shutdown, in seconds.
	Grace           float64 `json:"grace"`
	PlatformAddress string  `json:"platform-address,omitempty"`
	// MemoryLimit is the memory that the process may use, in MiB, and DescriptorLimit the number of its descriptors. Zero stands for what the host
	// allows.
	MemoryLimit     int `json:"memory-limit,omitempty"`
	DescriptorLimit int `json:"descriptor-limit,omitempty"`
	// MachineOrderRate is how many machine orders a second the platform accepts from all keepers together.
	MachineOrderRate float64 `json:"machine-order-rate,omitempty"`
	// RefuseHopelessJobs has the leader refuse batch jobs that can certainly not be complete while they are worth anything.
	RefuseHopelessJobs bool `json:"refuse-hopeless-jobs,omitempty"`
	// FleetShares has the leader give customers their share of the fleet over the last seconds.
	FleetShares bool `json:"fleet-shares,omitempty"`
	// PolicyAddress is the address of the policy service, which returns the instances that may run the steps of queues with advice.
	PolicyAddress string `json:"policy-address,omitempty"`
	// FleetKey is the shared secret, in hex, with which the processes of the deployment authenticate each other.
	FleetKey string `json:"fleet-key"`
	LogLevel string `json:"log-level,omitempty"`
}

// LoadDeployment reads and validates a settings file.
func LoadDeployment(file string) (*Deployment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindRead, Err: err}
	}
	d := &Deployment{LogLevel: "info"}
	if err := configuration.Decode(file, text, d); err != nil {
		return nil, &Error{Op: "load", Kind: KindRead, Err: err}
	}
	if err := d.Check(); err != nil {
		return nil, fault.New("load", KindInvalid, "%s: %w", file, err)
	}
	return d, nil
}

// Check returns an error for the first invalid setting, which starts with its key.
func (d *Deployment) Check() error {
	if _, err := netip.ParseAddr(d.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if d.PeerPort < 1 || d.PeerPort > 65535 {
		return fmt.Errorf("peer-port: %d is not in the range 1 to 65535", d.PeerPort)
	}
	for i, name := range d.DataCentres {
		if name == "" || slices.Contains(d.DataCentres[:i], name) {
			return fmt.Errorf("data-centres[%d]: %q is empty or named twice", i, name)
		}
	}
	for i, s := range d.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return fmt.Errorf("seeds[%d]: %w", i, err)
		}
	}
	if d.Voters < 1 {
		return fmt.Errorf("voters: %d is less than 1", d.Voters)
	}
	if d.MaximumLease <= 0 {
		return fmt.Errorf("maximum-lease: %d ms is not positive", d.MaximumLease)
	}
	if err := checkLimits(d.MemoryLimit, d.DescriptorLimit); err != nil {
		return err
	}
	if d.MachineOrderRate < 0 {
		return fmt.Errorf("machine-order-rate: %g orders a second are less than 0", d.MachineOrderRate)
	}
	if len(d.FleetKey) < 2*identity.MinKeyBytes {
		return fmt.Errorf("fleet-key: must have at least %d bytes in hex", identity.MinKeyBytes)
	}
	return nil
}

// SeedEntries returns the ids of the processes that the seeds name.
func (d *Deployment) SeedEntries() []fleet.EntryID {
	var list []fleet.EntryID
	for _, s := range d.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			list = append(list, fleet.EntryID(a.Addr().String()))
		}
	}
	return list
}

// Lease returns MaximumLease as a duration.
func (d *Deployment) Lease() time.Duration { return time.Duration(d.MaximumLease) * time.Millisecond }
