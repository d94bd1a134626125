package dispatcher

import (
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Parameters of the usage estimates of queues.
const (
	processorsWeight = 0.1
	minSamples       = 8
	memoryPeakDecay  = 0.995
	sizeMargin       = 1.1
)

// estimate is the estimated usage of a task of one queue.
type estimate struct {
	samples    int
	processors fleet.Cores
	memory     fleet.Bytes
}

// recordUsage adds one usage sample: an exponential moving average of the processors and a slowly decaying peak of the memory.
func (d *Dispatcher) recordUsage(queue fleet.QueueID, usage fleet.Resources) {
	e := d.estimates[queue]
	if e == nil {
		e = &estimate{processors: usage.Processors, memory: usage.Memory}
		d.estimates[queue] = e
	}
	e.samples++
	e.processors += processorsWeight * (usage.Processors - e.processors)
	e.memory = max(usage.Memory, fleet.Bytes(float64(e.memory)*memoryPeakDecay))
}

// needs returns the resources of a task of a queue: estimated once there are minSamples samples, otherwise as configured.
func (d *Dispatcher) needs(id fleet.QueueID) fleet.Resources {
	needs := d.queues[id].Needs
	needs.Slots = max(needs.Slots, 1)
	if e := d.estimates[id]; e != nil && e.samples >= minSamples {
		needs.Processors = sizeMargin * e.processors
		needs.Memory = fleet.Bytes(sizeMargin * float64(e.memory))
	}
	return needs
}

// neverFits reports whether a task of the queue exceeds the total capacity of every instance of the pool.
func (d *Dispatcher) neverFits(id fleet.QueueID) bool {
	needs := d.needs(id)
	for _, r := range d.instances.All() {
		if r.view.Instance.Capacity.Fits(needs) {
			return false
		}
	}
	return true
}
