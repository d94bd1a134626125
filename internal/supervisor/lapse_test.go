package supervisor

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// lapsingReplica is a consensus group of one member that leads term 1 until it is deposed or leads a later term. Its leader lease
// can lapse, it can refuse proposals as Raft does that is overloaded, and it can hold proposals back, which are then committed in
// the order in which they were proposed.
type lapsingReplica struct {
	singleReplica
	lapsed  bool
	deposed bool
	// laterTerms is how many terms after the first this member leads.
	laterTerms uint64
	refusing   bool
	holding    bool
	queue      []heldProposal
	// proposed and abandoned count the batches that were held back, and those whose proposer has stopped waiting.
	proposed, abandoned int
	refused             int
}

type heldProposal struct {
	commands  []state.Command
	committed chan []state.Reply
}

func (r *lapsingReplica) Leads() (uint64, bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return 1 + r.laterTerms, !r.lapsed && !r.deposed
}

func (r *lapsingReplica) LeaderTerm() (uint64, bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return 1 + r.laterTerms, !r.deposed
}

// Resign makes this member, the only one, lead the next term.
func (r *lapsingReplica) Resign(term uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if term == 1+r.laterTerms {
		r.laterTerms++
	}
}

func (r *lapsingReplica) CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error) {
	p := heldProposal{commands: commands, committed: make(chan []state.Reply, 1)}
	errs := make([]error, len(commands))
	r.mutex.Lock()
	if r.refusing {
		defer r.mutex.Unlock()
		r.refused++
		for i := range errs {
			errs[i] = errors.New("overloaded")
		}
		return make([]state.Reply, len(commands)), errs
	}
	r.queue = append(r.queue, p)
	if r.holding {
		r.proposed++
	} else {
		r.commitQueue()
	}
	r.mutex.Unlock()
	select {
	case replies := <-p.committed:
		for i := range replies {
			errs[i] = replies[i].Err()
		}
		return replies, errs
	case <-ctx.Done():
	}
	r.mutex.Lock()
	r.abandoned++
	r.mutex.Unlock()
	for i := range errs {
		errs[i] = ctx.Err()
	}
	return make([]state.Reply, len(commands)), errs
}

func (r *lapsingReplica) commitQueue() {
	for _, p := range r.queue {
		var replies []state.Reply
		for _, c := range p.commands {
			r.index++
			replies = append(replies, r.state.ApplyCommand(r.index, c))
		}
		p.committed <- replies
	}
	r.queue = nil
}

// hold begins to hold proposals back.
func (r *lapsingReplica) hold() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.holding, r.proposed, r.abandoned = true, 0, 0
}

// release commits the proposals that were held back, and later ones at once.
func (r *lapsingReplica) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.holding = false
	r.commitQueue()
}

func (r *lapsingReplica) setLapsed(lapsed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lapsed = lapsed
}

func (r *lapsingReplica) setDeposed(deposed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.deposed = deposed
}

// leadNextTerm makes this member the leader of the next term, with a lease.
func (r *lapsingReplica) leadNextTerm() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.laterTerms++
	r.lapsed, r.deposed = false, false
}

func (r *lapsingReplica) setRefusing(refusing bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusing = refusing
}

func (r *lapsingReplica) refusals() int {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.refused
}

func (r *lapsingReplica) counts() (proposed, abandoned int) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.proposed, r.abandoned
}

// responsiveFleet is one instance that executes all orders, on a machine for which the platform accepts all orders.
type responsiveFleet struct {
	unresponsiveFleet
	mutex    sync.Mutex
	boot     int64
	bootedAt time.Time
	running  []scheduler.ReportedRun
	started  []scheduler.Order
	machines []scheduler.MachineOrder
	ordered  int
	polled   int
	advised  int
	// frozen is set while the instance answers nothing.
	frozen bool
}

func (f *responsiveFleet) Order(_ context.Context, o scheduler.Order) (scheduler.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ordered++
	if f.frozen {
		return scheduler.Uncertain, nil
	}
	f.running = slices.DeleteFunc(f.running, func(r scheduler.ReportedRun) bool { return r.Task == o.Task && r.Run == o.Run })
	if o.Kind == scheduler.Start {
		f.running = append(f.running, scheduler.ReportedRun{Task: o.Task, Run: o.Run, Percent: 100})
		f.started = append(f.started, o)
	}
	return scheduler.Accepted, nil
}

func (f *responsiveFleet) Poll(context.Context, scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.polled++
	if f.frozen {
		return scheduler.StatusReport{}, scheduler.Uncertain, nil
	}
	return scheduler.StatusReport{Boot: f.boot, Clock: time.Since(f.bootedAt), Running: slices.Clone(f.running)}, scheduler.Accepted, nil
}

func (f *responsiveFleet) OrderMachine(_ context.Context, _ fleet.EntryID, _ uint64, o scheduler.MachineOrder) (scheduler.MachineOutcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.machines = append(f.machines, o)
	return scheduler.MachineDone, nil
}

// runs reports whether the instance runs a task of the job.
func (f *responsiveFleet) runs(id workload.JobID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.running, func(r scheduler.ReportedRun) bool { return r.Task.Job == id })
}

func (f *responsiveFleet) maintained(machine string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.machines, func(o scheduler.MachineOrder) bool { return o.Machine == machine && o.Pool == "" })
}

func (f *responsiveFleet) Advise(context.Context, workload.TaskID, []fleet.InstanceID) (map[fleet.InstanceID]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.advised++
	return nil, nil
}

// requests returns the number of requests to the instance, to the platform and to its policy service.
func (f *responsiveFleet) requests() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ordered + f.polled + f.advised + len(f.machines)
}
