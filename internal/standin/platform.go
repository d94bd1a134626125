package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Platform is a stand-in for the platform that drains and reboots instances.
type Platform struct {
	downtime time.Duration
	mutex    sync.Mutex
	targets  map[fleet.InstanceID]*Target
}

// NewPlatform returns a platform whose reboots take the given time.
func NewPlatform(downtime time.Duration) *Platform {
	return &Platform{downtime: downtime, targets: map[fleet.InstanceID]*Target{}}
}

// Add puts a target under the platform.
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

// Drain tells a target that it will be rebooted.
func (p *Platform) Drain(_ context.Context, id fleet.InstanceID) error {
	t, err := p.find(id)
	if err != nil {
		return err
	}
	t.AnnounceLeaving()
	return nil
}

// Reboot reboots a target unless it has booted since boot.
func (p *Platform) Reboot(_ context.Context, id fleet.InstanceID, bootID string) error {
	t, err := p.find(id)
	if err != nil {
		return err
	}
	t.Reboot(bootID, p.downtime)
	return nil
}
