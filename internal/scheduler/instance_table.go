package scheduler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// instanceTable holds the instances by ID, in the order of their IDs, by machine and by address.
type instanceTable struct {
	byID map[fleet.InstanceID]*instance
	// sorted is replaced rather than changed, so that a loop over it may add and remove instances.
	sorted    []*instance
	byMachine map[string][]*instance
	byAddress map[string][]*instance
}

func newInstanceTable() instanceTable {
	return instanceTable{byID: map[fleet.InstanceID]*instance{}, byMachine: map[string][]*instance{}, byAddress: map[string][]*instance{}}
}

// put adds an instance in place of one with the same ID.
func (t *instanceTable) put(in *instance) {
	t.remove(in.ID)
	i, _ := t.position(in.ID)
	t.sorted = slices.Insert(slices.Clone(t.sorted), i, in)
	t.byID[in.ID] = in
	t.byMachine[in.Machine] = append(t.byMachine[in.Machine], in)
	t.byAddress[in.Address] = append(t.byAddress[in.Address], in)
}

func (t *instanceTable) remove(id fleet.InstanceID) {
	in := t.byID[id]
	if in == nil {
		return
	}
	i, _ := t.position(id)
	t.sorted = slices.Delete(slices.Clone(t.sorted), i, i+1)
	delete(t.byID, id)
	removeFrom(t.byMachine, in.Machine, in)
	removeFrom(t.byAddress, in.Address, in)
}

func (t *instanceTable) position(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(in *instance, id fleet.InstanceID) int { return cmp.Compare(in.ID, id) })
}

// conflicting returns the instances that cannot exist beside an announced boot, in the order of their IDs: those with its ID, its address or
// its machine.
func (t *instanceTable) conflicting(announced *workload.Instance) []*instance {
	list := slices.Clone(t.byAddress[announced.Address])
	if in := t.byID[announced.ID]; in != nil {
		list = append(list, in)
	}
	if announced.Machine != "" {
		list = append(list, t.byMachine[announced.Machine]...)
	}
	slices.SortFunc(list, func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Compact(list)
}

// update replaces what an instance announced.
func (t *instanceTable) update(in *instance, announced workload.Instance) {
	machine, address := in.Machine, in.Address
	in.Instance = announced
	in.largestCapacity = in.largestCapacity.Max(announced.Capacity)
	reindex(t.byMachine, in, machine, in.Machine)
	reindex(t.byAddress, in, address, in.Address)
}

// reindex moves an instance from one key of an index to another.
func reindex(index map[string][]*instance, in *instance, from, to string) {
	if from != to {
		removeFrom(index, from, in)
		index[to] = append(index[to], in)
	}
}

func removeFrom(index map[string][]*instance, key string, in *instance) {
	rest := slices.DeleteFunc(index[key], func(other *instance) bool { return other == in })
	if len(rest) == 0 {
		delete(index, key)
		return
	}
	index[key] = rest
}

// dueInstances are the instances that a planning run has to look at before it places tasks, in the order of their IDs.
type dueInstances struct {
	// unsettled instances leave, or have not answered the last poll; draining ones shut down; of reported ones there is a report that no
	// planning run has seen.
	unsettled, draining, reported []*instance
}

// dueInstances finds all of them in one pass, which reads the memory of thousands of instances once. Nothing that a planning run does before
// it uses the lists makes another instance due.
func (s *Scheduler) dueInstances() (due dueInstances) {
	for _, in := range s.instances.sorted {
		if in.Draining {
			due.draining = append(due.draining, in)
		}
		if in.Draining || in.departed || in.failedPolls > 0 || !in.polled {
			due.unsettled = append(due.unsettled, in)
		}
		if in.stallsCheckedAt != in.clockReadAt {
			if len(in.runs) == 0 && in.polled && in.failedPolls == 0 {
				in.stallsCheckedAt = in.clockReadAt
				continue
			}
			due.reported = append(due.reported, in)
		}
	}
	return due
}
