package replayer

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// runPlanner ticks the planner once, commits its steps and reboots the instances that are due for it.
func (r *Replayer) runPlanner() {
	view := &planner.View{
		Now: r.wallTime(), State: r.state, Observations: r.buildObservations(), Reports: r.buildReports(), Entries: []fleet.EntryID{ownerEntry},
		LeaseExpired: func(fleet.EntryID) bool { return false },
	}
	for _, step := range r.planner.Tick(view) {
		before := r.state.Instances[instanceOf(step.Command)]
		if r.commit(step.Command).Err() == nil {
			r.metrics.recordCommand(r, step.Command, before)
		}
	}
	r.rebootInstances()
}

func instanceOf(c state.Command) fleet.InstanceID {
	switch c := c.(type) {
	case state.Disrupt:
		return c.Instance
	case state.CompleteMove:
		return c.Instance
	}
	return ""
}

func (r *Replayer) buildObservations() *table.Table[fleet.InstanceID, planner.Observation] {
	observations := table.New[fleet.InstanceID, planner.Observation]()
	for id, t := range r.targets.All() {
		if t.lastSeen > 0 || t.instance.Sequence > 0 {
			observations.Put(id, planner.Observation{Instance: t.announced, Age: r.now - t.lastSeen})
		}
	}
	return observations
}

func (r *Replayer) buildReports() *table.Table[fleet.PoolID, planner.PoolReport] {
	reports := table.New[fleet.PoolID, planner.PoolReport]()
	for pool, d := range r.dispatchers.All() {
		report := planner.PoolReport{
			Pool: pool, Entry: ownerEntry, Epoch: r.state.Owners[pool].Epoch, Applied: r.appliedIndex, EndRate: d.EndRate(r.now),
			Customers: map[fleet.CustomerID]planner.CustomerReport{}, Busy: map[fleet.InstanceID]int{}, Sick: map[fleet.InstanceID]bool{},
		}
		loads := d.Loads()
		for customer := range r.state.Permits {
			load, _ := loads.Get(customer)
			report.Customers[customer] = planner.CustomerReport{Load: load, Revision: r.state.Permits[customer][pool].Revision}
		}
		for customer, load := range loads.All() {
			report.Customers[customer] = planner.CustomerReport{Load: load, Revision: r.state.Permits[customer][pool].Revision}
		}
		for _, id := range d.InstanceIDs() {
			if n := d.RunningOn(id); n > 0 {
				report.Busy[id] = n
			}
			if r.isolated[id] {
				report.Sick[id] = true
			}
		}
		reports.Put(pool, report)
	}
	return reports
}

// rebootInstances simulates the platform: it reboots each instance in the rebooting phase once.
func (r *Replayer) rebootInstances() {
	for id, t := range r.targets.All() {
		assignment := r.state.Instances[id]
		if assignment.Phase != state.Rebooting || t.instance.BootID != assignment.BootID || t.down {
			continue
		}
		r.failAttempts(t.interrupt(), true)
		t.bootCount++
		t.instance.BootID = fmt.Sprintf("boot-%d", t.bootCount)
		t.rebootEnds = r.now + time.Duration(r.trace.Header.RebootMillis)*time.Millisecond
		t.down = t.rebootsFail
	}
}
