package dispatcher

import (
	"fmt"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// shared returns the capacity of the instance that counts for shares.
func (v InstanceView) shared() fleet.Resources {
	if v.Drained {
		return fleet.Resources{}
	}
	return v.Instance.Capacity
}

func countDrained(v InstanceView) int {
	if v.Drained {
		return 1
	}
	return 0
}

// describeDrain returns the end of the reason of a refusal while instances of the pool are in drained data centres.
func (d *Dispatcher) describeDrain() string {
	if d.drainedInstances == 0 {
		return ""
	}
	return fmt.Sprintf("; %d of %d instances are in drained data centres", d.drainedInstances, d.instances.Len())
}

// runsInDrain reports whether a task runs in a drained data centre, where its end makes no room for other tasks.
func (d *Dispatcher) runsInDrain(x *task) bool {
	r, ok := d.instances.Get(x.instance)
	return ok && r.view.Drained
}
