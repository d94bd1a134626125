package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// platformReply is what the platform does with an order: whether it carries it out, what it answers, and when.
type platformReply struct {
	carriedOut bool
	outcome    scheduler.MachineOutcome
	delay      time.Duration
}

type pendingReply struct {
	at      time.Duration
	order   scheduler.MachineOrder
	outcome scheduler.MachineOutcome
}

// simulatedMachine is a machine and the instance on it.
type simulatedMachine struct {
	name     string
	pool     fleet.PoolID
	rack     string
	instance fleet.InstanceID
	boot     workload.Instance
	// upAt is when the machine is up again; zero while it is up. maintained is set while it is down for maintenance.
	upAt       time.Duration
	maintained bool
}

// boot starts an instance on a machine.
func (f *waveFleet) boot(m *simulatedMachine) {
	f.boots++
	m.upAt, m.maintained = 0, false
	if m.pool == "off" {
		return
	}
	m.boot = workload.Instance{
		ID: fleet.InstanceID(fmt.Sprint("i-", f.boots)), Boot: f.now.Milliseconds(), Pool: m.pool, Address: fmt.Sprint(f.boots), Machine: m.name, Sequence: 1,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + f.now, Rack: m.rack,
	}
	m.instance = m.boot.ID
	f.runs[m.instance] = map[workload.TaskID]workload.Run{}
	f.announce(m)
}

// announce announces the instance of a machine, and commits its enrolment if the leader asks for it.
func (f *waveFleet) announce(m *simulatedMachine) {
	m.boot.Sequence++
	m.boot.Clock = time.Minute + f.now
	if f.scheduler.HandleAnnouncement(f.now, m.boot) {
		f.commit(state.EnrolInstance{Instance: m.boot})
		f.scheduler.ConfirmEnrolled(m.instance)
	}
}

// isCut reports whether an instance is cut off, or on a machine that is down.
func (f *waveFleet) isCut(id fleet.InstanceID) bool {
	for _, m := range f.machines {
		if m.instance == id {
			return f.now < f.cutUntil[m.name]
		}
	}
	return true
}

// advanceMachine boots a machine that is up again, and announces an instance every 1.5 s. The runs of an instance that is cut off end
// with their leases.
func (f *waveFleet) advanceMachine(m *simulatedMachine) {
	switch cutUntil := f.cutUntil[m.name]; {
	case f.gone[m.name]:
	case m.upAt > 0:
		if f.now >= m.upAt {
			f.boot(m)
		}
	case f.now < cutUntil:
		if f.now >= f.cutAt[m.name]+leaseTime {
			clear(f.runs[m.instance])
		}
	case m.instance != "" && f.now.Milliseconds()%1500 == 0:
		f.announce(m)
	}
}

// cutOff cuts a machine off from the leader. A later cut renews no lease.
func (f *waveFleet) cutOff(name string, duration time.Duration) {
	if f.now >= f.cutUntil[name] {
		f.cutAt[name] = f.now
	}
	f.cutUntil[name] = f.now + duration
}

// crash lets a machine crash; it is up again after 3 s.
func (f *waveFleet) crash(name string) {
	m := f.machines[name]
	clear(f.runs[m.instance])
	m.instance, m.upAt = "", f.now+3*time.Second
}

// leave removes a machine for good.
func (f *waveFleet) leave(name string) {
	f.crash(name)
	f.gone[name] = true
}

// executeMachineOrders carries out the machine orders issued since the last call, and passes on the answers that are due.
func (f *waveFleet) executeMachineOrders() {
	orders := f.machineOrders[f.answered:]
	f.answered = len(f.machineOrders)
	for _, o := range orders {
		reply := f.replyTo(o)
		if reply.carriedOut {
			f.shutDown(f.machines[o.Machine], o)
		}
		f.replies = append(f.replies, pendingReply{f.now + reply.delay, o, reply.outcome})
	}
	f.replies = slices.DeleteFunc(f.replies, func(r pendingReply) bool {
		if f.now < r.at {
			return false
		}
		if f.scheduler.HandleMachineOutcome(f.now, r.order, r.outcome) {
			f.commit(state.RecordMaintenanceStart{Wave: r.order.Wave, Machine: r.order.Machine})
		}
		return true
	})
}

func (f *waveFleet) replyTo(o scheduler.MachineOrder) platformReply {
	switch m := f.machines[o.Machine]; {
	case f.gone[m.name]:
		return platformReply{outcome: scheduler.MachineGone}
	case m.upAt > 0:
		return platformReply{outcome: scheduler.MachineBusy}
	case f.platform != nil:
		return f.platform(o)
	default:
		return platformReply{carriedOut: true, outcome: scheduler.MachineDone}
	}
}

// listMachines passes the list of machines to the leader if it asks for it.
func (f *waveFleet) listMachines() {
	if !f.scheduler.MachineListDue() {
		return
	}
	var list []scheduler.Machine
	for _, name := range f.names {
		if m := f.machines[name]; !f.gone[name] {
			list = append(list, scheduler.Machine{Name: name, Pool: m.pool, Available: m.upAt == 0, InTransition: m.upAt > 0})
		}
	}
	f.scheduler.HandleMachineList(f.now, f.now, list)
}

// shutDown shuts a machine down for a move or for maintenance. Nothing may run there.
func (f *waveFleet) shutDown(m *simulatedMachine, o scheduler.MachineOrder) {
	assert.Equal(f.t, len(f.runs[m.instance]), 0, "%s runs tasks", m.name)
	clear(f.runs[m.instance])
	m.instance = ""
	m.upAt = f.now + moveTime
	if o.Pool != "" {
		m.pool = o.Pool
		return
	}
	m.upAt, m.maintained = f.now+maintenanceTime, true
	if _, again := f.begun[m.name]; !again {
		f.begun[m.name] = f.now
	}
	down := 0
	for _, other := range f.machines {
		if other.maintained {
			down++
		}
	}
	f.maxDown = max(f.maxDown, down)
}
