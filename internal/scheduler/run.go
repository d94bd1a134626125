package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// runKey identifies a run.
type runKey struct {
	task   workload.TaskID
	number workload.Run
}

// runStatus is what is known of a run's start.
type runStatus uint8

const (
	statusOrdered runStatus = iota + 1
	statusRunning
	statusUncertain
	// statusEnded is that of a run which has ended in a way that the instance has not reported yet.
	statusEnded
)

// run is one attempt to run a task on an instance.
type run struct {
	task   workload.TaskID
	number workload.Run
	job    *job
	status runStatus
	claim  workload.Resources
	// orderedAt is when the start was ordered or the run adopted.
	orderedAt time.Duration
	// startOutcomeAt is when the outcome of the start became known, by its response or by the first report that lists the run.
	startOutcomeAt time.Duration
	// stopping is set once a stop was sent; stopSentAt and stopAckedAt are when the last one was sent and accepted.
	stopping    bool
	stopSentAt  time.Duration
	stopAckedAt time.Duration
	checkpoint  string
	percent     int
	// progressedAt is the clock of the instance in the first report with the current percent.
	progressedAt    time.Duration
	tailMillis      int
	throttlePercent int
	// reported is set once the instance has listed the run.
	reported bool
	// listedAt is the clock of the instance in the first report that listed the run, and listedPercent the progress in it.
	listedAt      time.Duration
	listedPercent int
	// undelivered is set if the instance refused the connection of the start order.
	undelivered bool
	// suspicion is that of the task while the run is on probation.
	suspicion suspicion
	// streakLevel is that of the task when the run was attached.
	streakLevel int
	// adopted is set if the run was not started by this leader.
	adopted bool
	// account includes the run's claim; it is nil for service tasks.
	account *account
	// spread counts the run in the rack with rackIndex; it is nil for service tasks.
	spread    *spread
	rackIndex int
	// measured is set for a full run of the task that this leader has started on an instance at its full speed.
	measured bool
	// startedAt is when the run was started, within startDoubt; zero while it is not known.
	startedAt, startDoubt time.Duration
	// sample is what the progress of the run shows about the other tasks of its stage.
	sample forecaster.Sample
	// sampledPercent is the progress at that time.
	sampledPercent int
}

func (s *Scheduler) attachRun(in *instance, r *run) {
	if in.runs[r.task] == nil {
		in.count(r, 1)
	}
	in.runs[r.task] = r
	in.claimed = in.claimed.Add(r.claim)
	*r.job.customerUsage = r.job.customerUsage.Add(r.job.step(r.task.Position).Resources)
	s.chargeUsage(in, r)
	s.countRack(in, r)
	r.job.started = true
	r.job.runCount++
	if t := r.job.task(r.task.Position); t.run == nil {
		t.run = r
		t.instance = in
		if !t.done {
			r.job.stage(r.task.Position).waiting--
		}
	}
	s.beginProbation(in, r)
	in.countStreak(r, r.job.suspectAt(r.task.Position).streak.level())
}

// detachRun removes a run that has certainly ended. Its task waits for placement again unless it is done.
func (s *Scheduler) detachRun(in *instance, r *run) {
	if in.runs[r.task] != r {
		return
	}
	delete(in.runs, r.task)
	s.dropSample(r)
	in.count(r, -1)
	in.claimed = in.claimed.Sub(r.claim)
	*r.job.customerUsage = r.job.customerUsage.Sub(r.job.step(r.task.Position).Resources)
	s.releaseUsage(r)
	r.uncountRack()
	t := r.job.task(r.task.Position)
	if t.run == r {
		t.run = nil
		t.instance = nil
		t.lastInstance = in.ID
		if !t.done {
			r.job.stage(r.task.Position).waiting++
		}
	}
	r.job.runCount--
	in.endProbation(r)
	in.countStreak(r, 0)
	if r.checkpoint != "" {
		s.storeCheckpoint(r)
	}
}

// count adds n to the number of the instance's runs of the run's stage, and of service tasks.
func (in *instance) count(r *run, n int) {
	st := r.job.stage(r.task.Position)
	st.runCounts[in] += n
	if st.runCounts[in] == 0 {
		delete(st.runCounts, in)
	}
	if !st.step.Service {
		return
	}
	in.serviceRuns += n
	if n > 0 {
		in.serviceClaimed = in.serviceClaimed.Add(r.claim)
	} else {
		in.serviceClaimed = in.serviceClaimed.Sub(r.claim)
	}
}
