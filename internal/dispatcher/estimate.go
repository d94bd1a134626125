package dispatcher

import (
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Parameters of learned sizes.
const (
	processorsWeight = 0.1
	minSamples       = 8
	memoryPeakDecay  = 0.995
	sizeMargin       = 1.1
)

// estimate is the learned size of the tasks of one queue.
type estimate struct {
	samples    int
	processors fleet.Cores
	memory     fleet.Bytes
}

// learn adds one reported usage: the mean of processors and a slowly falling peak of memory.
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

// needs returns what a task of a queue takes: learned where enough was reported, else as declared.
func (d *Dispatcher) needs(id fleet.QueueID) fleet.Resources {
	needs := d.queues[id].Needs
	needs.Slots = max(needs.Slots, 1)
	if e := d.estimates[id]; e != nil && e.samples >= minSamples {
		needs.Processors = sizeMargin * e.processors
		needs.Memory = fleet.Bytes(sizeMargin * float64(e.memory))
	}
	return needs
}

// neverFits reports whether no instance of the pool could hold a task of the queue even when empty.
func (d *Dispatcher) neverFits(id fleet.QueueID) bool {
	needs := d.needs(id)
	for _, r := range d.instances.All() {
		if r.view.Instance.Offers.Fits(needs) {
			return false
		}
	}
	return true
}
