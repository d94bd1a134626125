package scheduler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// instanceTable holds the instances by ID, in the order of their IDs, and by machine.
type instanceTable struct {
	byID map[fleet.InstanceID]*instance
	// sorted is replaced rather than changed, so that a loop over it may add and remove instances.
	sorted    []*instance
	byMachine map[string][]*instance
}

func newInstanceTable() instanceTable {
	return instanceTable{byID: map[fleet.InstanceID]*instance{}, byMachine: map[string][]*instance{}}
}

// put adds an instance in place of one with the same ID.
func (t *instanceTable) put(in *instance) {
	t.remove(in.ID)
	i, _ := t.position(in.ID)
	t.sorted = slices.Insert(slices.Clone(t.sorted), i, in)
	t.byID[in.ID] = in
	t.byMachine[in.Machine] = append(t.byMachine[in.Machine], in)
}

func (t *instanceTable) remove(id fleet.InstanceID) {
	in := t.byID[id]
	if in == nil {
		return
	}
	i, _ := t.position(id)
	t.sorted = slices.Delete(slices.Clone(t.sorted), i, i+1)
	delete(t.byID, id)
	t.removeFromMachine(in)
}

func (t *instanceTable) position(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(in *instance, id fleet.InstanceID) int { return cmp.Compare(in.ID, id) })
}

// update replaces what an instance announced.
func (t *instanceTable) update(in *instance, announced workload.Instance) {
	moved := in.Machine != announced.Machine
	if moved {
		t.removeFromMachine(in)
	}
	in.Instance = announced
	in.largestCapacity = in.largestCapacity.Max(announced.Capacity)
	if moved {
		t.byMachine[in.Machine] = append(t.byMachine[in.Machine], in)
	}
}

func (t *instanceTable) removeFromMachine(in *instance) {
	rest := slices.DeleteFunc(t.byMachine[in.Machine], func(other *instance) bool { return other == in })
	if len(rest) == 0 {
		delete(t.byMachine, in.Machine)
		return
	}
	t.byMachine[in.Machine] = rest
}
