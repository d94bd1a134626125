package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// instance is the book of one boot of an instance: what may run there and until when.
type instance struct {
	workload.Instance
	enrolled  bool
	inherited bool
	// looked is set once this leader has seen what runs there.
	looked   bool
	departed bool
	// heard is when the instance last told its clock, and clock what it told.
	heard time.Duration
	clock time.Duration
	// sent is the latest deadline that an order may have carried there.
	sent     time.Duration
	misses   int
	runs     map[workload.TaskID]*run
	used     workload.Need
	seen     uint64
	marks    []mark
	cursor   uint64
	strays   map[stray]time.Duration
	rested   time.Duration
	announce time.Duration
	faults   int
	paced    int
	evacuate bool
	// vacating is set while the standing tasks of an instance that its pool can do without move to others.
	vacating bool
	// closed instances get no start: they were silent, and the committed state says so. closedAt is the log index of that,
	// for those that an earlier leader closed, and reopening is set while the opposite is being committed.
	closed    bool
	closedAt  uint64
	reopening bool
	// strayed is set while runs are listed whose size is not known.
	strayed bool
}

// mark is an end that was seen, with the batch whose commit it waits for.
type mark struct {
	number uint64
	batch  uint64
}

type stray struct {
	task   workload.TaskID
	number workload.Run
}

// Progress of a run.
type progress uint8

const (
	ordered progress = iota + 1
	running
	unsure
)

// run is one start of a task on an instance.
type run struct {
	task     workload.TaskID
	number   workload.Run
	job      *job
	progress progress
	claim    workload.Need
	since    time.Duration
	// settled is when the instance answered the start.
	settled time.Duration
	// stopping is set once the run must end; stopSent and stopped are when a stop was sent and answered.
	stopping bool
	stopSent time.Duration
	stopped  time.Duration
	saved    string
	percent  int
	moved    time.Duration
	tail     int
	pace     int
	begun    bool
	// counted is whose part of which pool the run takes; it is empty for standing tasks.
	counted poolCustomer
}

func (s *Scheduler) addInstance(i workload.Instance) *instance {
	in := &instance{Instance: i, runs: map[workload.TaskID]*run{}, strays: map[stray]time.Duration{}, heard: s.now, announce: s.now, paced: 100}
	s.instances[i.ID] = in
	return in
}

// Announce takes what an instance says of itself and reports whether its boot must be enrolled first.
func (s *Scheduler) Announce(now time.Duration, i workload.Instance) (enrol bool) {
	s.now = now
	if s.isStale(i) {
		return false
	}
	in := s.instances[i.ID]
	if in != nil && i.Boot > in.Boot {
		s.kill(in, "born again")
		in = nil
	}
	if in == nil {
		s.addInstance(i).heardClock(now, i.Clock)
		return true
	}
	if i.Sequence <= in.Sequence && in.Sequence > 0 {
		return in.wantsWork()
	}
	in.heardClock(now, i.Clock)
	in.Instance = i
	in.announce = now
	return in.wantsWork()
}

// isStale reports whether the announcement is of a boot that a later one has replaced; it ends earlier boots.
func (s *Scheduler) isStale(i workload.Instance) bool {
	for _, o := range s.instances {
		same := o.ID == i.ID || o.Address == i.Address || i.Machine != "" && o.Machine == i.Machine
		if !same {
			continue
		}
		if o.Boot > i.Boot {
			return true
		}
		if o.ID != i.ID && o.Boot < i.Boot {
			s.kill(o, "replaced at its address")
		}
	}
	return false
}

// wantsWork reports whether the instance must be enrolled to get work.
func (in *instance) wantsWork() bool {
	return !in.enrolled && !in.evacuate && !in.Draining && !in.departed
}

// heardClock raises the lower bound of the instance's clock.
func (in *instance) heardClock(now, clock time.Duration) {
	if clock > in.clockAt(now) || in.clock == 0 {
		in.heard = now
		in.clock = clock
	}
}

func (in *instance) clockAt(now time.Duration) time.Duration {
	return in.clock + time.Duration(float64(now-in.heard)*(1-clockDrift))
}

// Enrolled records that the boot is in the committed state, so that work may be given to it.
func (s *Scheduler) Enrolled(id fleet.InstanceID) {
	if in := s.instances[id]; in != nil {
		in.enrolled = true
	}
}

// Depart records that an instance ends.
func (s *Scheduler) Depart(now time.Duration, id fleet.InstanceID, boot int64) {
	s.now = now
	in := s.instances[id]
	if in == nil || boot != 0 && in.Boot > boot {
		return
	}
	in.departed = true
}

// Followed returns the enrolled instances.
func (s *Scheduler) Followed() []fleet.InstanceID {
	list := make([]fleet.InstanceID, 0, len(s.instances))
	for id, in := range s.instances {
		if in.enrolled {
			list = append(list, id)
		}
	}
	return list
}

// outlived returns when the leases of all runs on the instance are surely over.
func (s *Scheduler) outlived(in *instance) time.Duration {
	over := in.heard + lapse(in.sent-in.clock)
	if in.inherited && !in.looked {
		over = max(over, s.options.Led+lapse(s.options.Lease))
	}
	return over + outliveMargin
}

// lapse returns how long a lease lasts at most on a clock that may be slow.
func lapse(left time.Duration) time.Duration {
	return time.Duration(float64(max(0, left)) / (1 - clockDrift))
}

// deadline returns the next lease deadline on the clock of the instance and remembers that it is sent.
func (s *Scheduler) deadline(in *instance) time.Duration {
	d := in.clock + (s.now - in.heard) + s.options.Lease
	in.sent = max(in.sent, d)
	return d
}

// kill forgets an instance that is known to run nothing.
func (s *Scheduler) kill(in *instance, reason string) {
	s.dropRuns(in, reason)
	delete(s.instances, in.ID)
	delete(s.unsettled, in.ID)
	s.struck = append(s.struck, in.ID)
}

// retire takes an instance without work out of the committed state before planned work ends it: a later leader need
// not wait for it.
func (s *Scheduler) retire(in *instance) {
	in.evacuate = true
	s.strike(in)
}

// strike takes an instance that surely runs nothing out of the committed state; it is enrolled again when it announces itself.
func (s *Scheduler) strike(in *instance) {
	if in.enrolled {
		in.enrolled = false
		s.struck = append(s.struck, in.ID)
	}
}

// restore gives an instance work again whose planned work was refused.
func (s *Scheduler) restore(in *instance) {
	if in == nil || s.instances[in.ID] != in {
		return
	}
	in.evacuate = false
	if !in.enrolled {
		s.enrols = append(s.enrols, in.Instance)
	}
}

// Enrols returns instances that must be enrolled again before they get work.
func (s *Scheduler) Enrols() []workload.Instance {
	list := s.enrols
	s.enrols = nil
	return list
}

func (s *Scheduler) dropRuns(in *instance, reason string) {
	for _, r := range in.runs {
		s.note("run lost", r, in, reason)
		s.detach(in, r)
	}
}

func (s *Scheduler) attach(in *instance, r *run) {
	in.runs[r.task] = r
	in.used = in.used.Add(r.claim)
	s.usage[r.job.customer] = s.usage[r.job.customer].Add(r.job.step(r.task.Place).Need)
	s.countUse(in, r)
	r.job.begun = true
	r.job.placed++
	if t := r.job.task(r.task.Place); t.run == nil {
		t.run = r
		t.on = in
	}
}

// detach removes a run that is surely over; its task waits again unless it is done.
func (s *Scheduler) detach(in *instance, r *run) {
	if in.runs[r.task] != r {
		return
	}
	delete(in.runs, r.task)
	in.used = in.used.Sub(r.claim)
	s.usage[r.job.customer] = s.usage[r.job.customer].Sub(r.job.step(r.task.Place).Need)
	s.uncountUse(r)
	t := r.job.task(r.task.Place)
	if t.run == r {
		t.run = nil
		t.on = nil
		t.last = in.ID
	}
	r.job.placed--
	if r.saved != "" {
		s.keepCheckpoint(r)
	}
}

// free returns what may still be placed on the instance.
func (in *instance) free() workload.Need { return in.Capacity.Sub(in.used) }

// open reports whether new tasks may be placed on the instance.
func (s *Scheduler) open(in *instance) bool {
	return in.enrolled && in.looked && !in.Draining && !in.departed && !in.evacuate && !in.vacating && !in.closed && !in.strayed && in.misses < refuseSilence && s.now >= in.rested
}

// age drops the runs of silent instances whose leases are over, and forgets instances that are gone.
//
// An instance that is empty and gets no more work leaves the committed state, so that a later leader need not wait for it.
func (s *Scheduler) age() {
	for _, in := range s.instances {
		if (in.Draining || in.departed) && in.looked && len(in.runs) == 0 && !in.strayed {
			s.strike(in)
		}
		if in.misses == 0 && in.looked || s.now < s.outlived(in) {
			continue
		}
		s.dropRuns(in, "lease outlived")
		delete(s.unsettled, in.ID)
		if in.misses > 0 {
			s.strike(in)
		}
		in.looked = false
		in.inherited = false
		if in.departed || s.now-max(in.announce, in.heard) > forgetSilent {
			s.kill(in, "gone")
		}
	}
}
