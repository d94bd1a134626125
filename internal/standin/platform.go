package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Platform simulates the platform that drains and reboots instances.
type Platform struct {
	downtime time.Duration
	mutex    sync.Mutex
	targets  map[fleet.InstanceID]*Target
}

// NewPlatform returns a platform whose reboots last for downtime.
func NewPlatform(downtime time.Duration) *Platform {
	return &Platform{downtime: downtime, targets: map[fleet.InstanceID]*Target{}}
}

// Add registers a target with the platform.
func (p *Platform) Add(t *Target) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.targets[t.ID()] = t
}

func (p *Platform) find(id fleet.InstanceID) (*Target, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t, ok := p.targets[id]
	if !ok {
		return nil, fmt.Errorf("instance %q is not known to the platform", id)
	}
	return t, nil
}

// Drain makes a target announce that it is leaving, because it will be rebooted.
func (p *Platform) Drain(_ context.Context, id fleet.InstanceID) error {
	t, err := p.find(id)
	if err != nil {
		return err
	}
	t.AnnounceLeaving()
	return nil
}

// Reboot reboots a target if bootID still identifies its current boot.
func (p *Platform) Reboot(_ context.Context, id fleet.InstanceID, bootID string) error {
	t, err := p.find(id)
	if err != nil {
		return err
	}
	t.Reboot(bootID, p.downtime)
	return nil
}
