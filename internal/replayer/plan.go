package replayer

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// plan runs the planner once and commits its steps at once.
func (r *Replayer) plan() {
	v := &planner.View{
		Now: r.wall(), State: r.state, Observations: r.sights(), Reports: r.reports(), Entries: []fleet.EntryID{owner},
		LeaseExpired: func(fleet.EntryID) bool { return false },
	}
	for _, s := range r.planner.Tick(v) {
		before := r.state.Instances[instanceOf(s.Command)]
		if r.commit(s.Command).Err() == nil {
			r.measure.note(r, s.Command, before)
		}
	}
	r.reboot()
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

func (r *Replayer) sights() *table.Table[fleet.InstanceID, planner.Observation] {
	sights := table.New[fleet.InstanceID, planner.Observation]()
	for id, t := range r.targets.All() {
		if t.heard > 0 || t.instance.Sequence > 0 {
			sights.Put(id, planner.Observation{Instance: t.told, Age: r.now - t.heard})
		}
	}
	return sights
}

func (r *Replayer) reports() *table.Table[fleet.PoolID, planner.PoolReport] {
	reports := table.New[fleet.PoolID, planner.PoolReport]()
	for pool, d := range r.pools.All() {
		report := planner.PoolReport{
			Pool: pool, Entry: owner, Epoch: r.state.Owners[pool].Epoch, Applied: r.index, EndRate: d.EndRate(r.now),
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
			if r.sick[id] {
				report.Sick[id] = true
			}
		}
		reports.Put(pool, report)
	}
	return reports
}

// reboot is the fake of the platform: instances in the phase are rebooted once.
func (r *Replayer) reboot() {
	for id, t := range r.targets.All() {
		a := r.state.Instances[id]
		if a.Phase != state.Rebooting || t.instance.BootID != a.BootID || t.down {
			continue
		}
		r.lose(t.kill(), true)
		t.boots++
		t.instance.BootID = fmt.Sprintf("boot-%d", t.boots)
		t.back = r.now + time.Duration(r.trace.Header.RebootMillis)*time.Millisecond
		t.down = t.bad
	}
}
