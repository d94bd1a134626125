package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
)

// Deployment holds the settings of one process on an operator's platform, where members find each other by seeds.
type Deployment struct {
	Process string `json:"process"`
	// Address is the IP number of the instance, which also names the process to its peers.
	Address    string             `json:"address"`
	DataCentre fleet.DataCentreID `json:"data-centre"`
	PeerPort   int                `json:"peer-port"`
	// Callers, Readiness and Control are the addresses that the process serves; those it does not serve are empty.
	Callers   string `json:"callers,omitempty"`
	Readiness string `json:"readiness,omitempty"`
	Control   string `json:"control,omitempty"`
	// Metrics is the address that serves counters and histograms.
	Metrics string `json:"metrics,omitempty"`
	// Seeds are control addresses of keepers.
	Seeds []string `json:"seeds"`
	// FirstStart lets the seeds form a new group.
	FirstStart bool   `json:"first-start,omitempty"`
	DataFolder string `json:"data-folder,omitempty"`
	// Voters is how many keepers vote.
	Voters int `json:"voters"`
	// MaximumLease is the longest lease that instances grant, in milliseconds.
	MaximumLease int `json:"maximum-lease"`
	// Grace is how long a stop may take, in seconds.
	Grace           float64 `json:"grace"`
	PlatformAddress string  `json:"platform-address,omitempty"`
	// PolicyAddress is the service that says which instances may run the steps of queues with advice.
	PolicyAddress string `json:"policy-address,omitempty"`
	// FleetKey authenticates the processes of the deployment to each other, in hex.
	FleetKey string `json:"fleet-key"`
	LogLevel string `json:"log-level,omitempty"`
}

// LoadDeployment reads and checks a settings file.
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

// Check returns the first fault of the settings.
func (d *Deployment) Check() error {
	if _, err := netip.ParseAddr(d.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if d.PeerPort < 1 || d.PeerPort > 65535 {
		return fmt.Errorf("peer-port: %d, want 1 to 65535", d.PeerPort)
	}
	for i, s := range d.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return fmt.Errorf("seeds[%d]: %w", i, err)
		}
	}
	if d.Voters < 1 {
		return fmt.Errorf("voters: %d, want at least 1", d.Voters)
	}
	if d.MaximumLease <= 0 {
		return fmt.Errorf("maximum-lease: %d ms, want more than 0", d.MaximumLease)
	}
	if len(d.FleetKey) < 2*identity.MinKeyBytes {
		return fmt.Errorf("fleet-key: want at least %d bytes in hex", identity.MinKeyBytes)
	}
	return nil
}

// SeedEntries returns the processes that the seeds name.
func (d *Deployment) SeedEntries() []fleet.EntryID {
	var list []fleet.EntryID
	for _, s := range d.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			list = append(list, fleet.EntryID(a.Addr().String()))
		}
	}
	return list
}

// Lease returns the longest lease of instances.
func (d *Deployment) Lease() time.Duration { return time.Duration(d.MaximumLease) * time.Millisecond }
