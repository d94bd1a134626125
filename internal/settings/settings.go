// Package settings reads the settings of one process from YAML.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindRead Kind = iota + 1
	KindInvalid
)

// Error describes the kind.
func (k Kind) Error() string {
	return [...]string{"none", "settings cannot be read", "settings are invalid"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Settings are the settings of one process.
type Settings struct {
	Entry      fleet.EntryID      `json:"entry"`
	DataCentre fleet.DataCentreID `json:"data-centre"`
	// HTTPAddress and PeerAddress are an IP address and a port.
	HTTPAddress string `json:"http-address"`
	PeerAddress string `json:"peer-address"`
	// DataFolder makes the process a keeper.
	DataFolder string          `json:"data-folder,omitempty"`
	Keepers    []fleet.EntryID `json:"keepers"`
	Peers      []Peer          `json:"peers"`
	// FleetKeyFile and OperatorKeyFile name files that hold the secrets.
	FleetKeyFile    string `json:"fleet-key-file"`
	OperatorKeyFile string `json:"operator-key-file"`
	// PlatformURL is the base URL of the platform, which drains and reboots instances.
	PlatformURL string `json:"platform-url,omitempty"`
	LogLevel    string `json:"log-level,omitempty"`
	// MemoryLimit is the memory that the process may use, in MiB, and DescriptorLimit the number of its descriptors. Zero stands for what the host
	// allows.
	MemoryLimit     int `json:"memory-limit,omitempty"`
	DescriptorLimit int `json:"descriptor-limit,omitempty"`
	// Record names the file to which the inputs of the pools owned by this process are traced.
	Record string `json:"record,omitempty"`

	FleetKey    string `json:"-"`
	OperatorKey string `json:"-"`
}

// Peer is another process of the system.
type Peer struct {
	Entry   fleet.EntryID `json:"entry"`
	Address string        `json:"address"`
}

// Load reads and validates a settings file and the key files that it names.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindRead, Err: err}
	}
	s := &Settings{LogLevel: "info"}
	if err := configuration.Decode(file, text, s); err != nil {
		return nil, &Error{Op: "load", Kind: KindRead, Err: err}
	}
	if s.FleetKey, err = readKeyFile(s.FleetKeyFile); err != nil {
		return nil, fault.New("load", KindRead, "%s: fleet-key-file: %w", file, err)
	}
	if s.OperatorKey, err = readKeyFile(s.OperatorKeyFile); err != nil {
		return nil, fault.New("load", KindRead, "%s: operator-key-file: %w", file, err)
	}
	if err := s.Check(); err != nil {
		return nil, fault.New("load", KindInvalid, "%s: %w", file, err)
	}
	return s, nil
}

// checkLimits returns an error for a negative limit, which starts with its key.
func checkLimits(memory, descriptors int) error {
	if memory < 0 {
		return fmt.Errorf("memory-limit: %d MiB is negative", memory)
	}
	if descriptors < 0 {
		return fmt.Errorf("descriptor-limit: %d is negative", descriptors)
	}
	return nil
}

func readKeyFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(text)), nil
}

// Check returns an error for the first invalid setting, which starts with the name of the setting.
func (s *Settings) Check() error {
	if s.Entry == "" || strings.ContainsAny(string(s.Entry), "/. ") {
		return fmt.Errorf("entry: %q must be a name without slash, dot or space", s.Entry)
	}
	if s.DataCentre == "" {
		return fmt.Errorf("data-centre: is missing")
	}
	if _, err := netip.ParseAddrPort(s.HTTPAddress); err != nil {
		return fmt.Errorf("http-address: %w", err)
	}
	if _, err := netip.ParseAddrPort(s.PeerAddress); err != nil {
		return fmt.Errorf("peer-address: %w", err)
	}
	if len(s.Keepers) == 0 {
		return fmt.Errorf("keepers: must name the founding members of the consensus group")
	}
	if err := checkLimits(s.MemoryLimit, s.DescriptorLimit); err != nil {
		return err
	}
	for i, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p.Address); err != nil {
			return fmt.Errorf("peers[%d].address: %w", i, err)
		}
	}
	if len(s.FleetKey) < 2*identity.MinKeyBytes {
		return fmt.Errorf("fleet key: must have at least %d bytes in hex", identity.MinKeyBytes)
	}
	if len(s.OperatorKey) < 16 {
		return fmt.Errorf("operator key: must have at least 16 characters")
	}
	return nil
}
