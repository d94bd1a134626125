package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// newLoadedScheduler returns a scheduler with n polled instances in one pool, its committed state and the time.
func newLoadedScheduler(b *testing.B, n int) (*scheduler.Scheduler, *state.State, time.Duration) {
	b.Helper()
	s := state.New()
	s.ApplyCommand(1, state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, Stretch: 2}},
	}})
	now := time.Hour
	sched := scheduler.New(now, now.Milliseconds(), scheduler.Options{Fence: 1, LeaseDuration: 5 * time.Second, LeadingSince: now}, &s.Workload)
	for i := range n {
		id := fleet.InstanceID(fmt.Sprint("i-", i))
		sched.HandleAnnouncement(now, workload.Instance{
			ID: id, Boot: 1, Pool: "p", Address: fmt.Sprint(i), Machine: fmt.Sprint("m-", i), Sequence: 1,
			Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute,
		})
		sched.ConfirmEnrolled(id)
		sched.HandleReport(now, id, now, scheduler.StatusReport{Clock: time.Minute})
	}
	return sched, s, now
}

// BenchmarkStart measures one start on a pool of 12 instances, from the submission of the job to the outcome of the
// order. The time includes the cancellation of the job and one status report of each instance.
func BenchmarkStart(b *testing.B) {
	sched, s, now := newLoadedScheduler(b, 12)
	for n := range b.N {
		id := workload.JobID(fmt.Sprintf("%016x", n))
		s.ApplyCommand(uint64(n+2), state.SubmitJob{Job: workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 100}}}}, Queue: "q"})
		sched.AddJob(now, now.Milliseconds(), s.Workload.Jobs[id], false)
		sched.Tick(now, now.Milliseconds())
		for _, o := range sched.TakeOrders() {
			sched.HandleOrderOutcome(now, o, scheduler.Accepted)
		}
		sched.CancelJob(now, id)
		sched.TakeOrders()
		sched.TakeDecisions()
		now += 20 * time.Second // longer than finished jobs are retained
		for i := range 12 {
			sched.HandleReport(now, fleet.InstanceID(fmt.Sprint("i-", i)), now, scheduler.StatusReport{Clock: now})
		}
	}
}

// BenchmarkHandleReport measures one poll of an instance with 16 runs, from the request to the processed report.
func BenchmarkHandleReport(b *testing.B) {
	sched, s, now := newLoadedScheduler(b, 1)
	s.ApplyCommand(2, state.SubmitJob{Job: workload.Job{ID: "00000000000000aa", Steps: []workload.Step{{Count: 16, Resources: workload.Resources{Processors: 100}}}}, Queue: "q"})
	sched.AddJob(now, now.Milliseconds(), s.Workload.Jobs["00000000000000aa"], false)
	sched.Tick(now, now.Milliseconds())
	report := scheduler.StatusReport{Clock: time.Minute}
	for _, o := range sched.TakeOrders() {
		sched.HandleOrderOutcome(now, o, scheduler.Accepted)
		report.Running = append(report.Running, scheduler.ReportedRun{Task: o.Task, Run: o.Run, Percent: 100})
	}
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		report.Clock += time.Millisecond
		sched.NextPoll(now, "i-0", true)
		sched.HandleReport(now, "i-0", now, report)
	}
}

// BenchmarkTick measures one tick with 200 waiting jobs on pools of several sizes.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 48, 192} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sched, s, now := newLoadedScheduler(b, n)
			for i := range 200 {
				id := workload.JobID(fmt.Sprintf("%016x", i))
				step := workload.Step{Count: 6, Resources: workload.Resources{Processors: 65000}}
				s.ApplyCommand(uint64(i+2), state.SubmitJob{Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q"})
				sched.AddJob(now, now.Milliseconds(), s.Workload.Jobs[id], false)
			}
			b.ResetTimer()
			for range b.N {
				now += time.Microsecond
				sched.Tick(now, now.Milliseconds())
				sched.TakeDecisions()
			}
		})
	}
}

// BenchmarkLargeFleet measures the scheduler of a leader with 349 instances from the sixth second of a day on: the time of
// one planning run, poll and submission, and the share of a core that they use together. It runs once with as many more
// queues as a large configuration adds.
func BenchmarkLargeFleet(b *testing.B) {
	for _, extraQueues := range []int{0, 1200} {
		b.Run(fmt.Sprint("queues=", 8+extraQueues), func(b *testing.B) {
			f := newLargeFleet(1, extraQueues)
			for f.now < f.start+5*time.Second {
				f.advance()
			}
			f.tick, f.report, f.add, f.ticks, f.reports, f.addings = 0, 0, 0, 0, 0, 0
			begun := f.now
			b.ResetTimer()
			for range b.N {
				f.advance()
			}
			b.ReportMetric(float64(f.tick.Microseconds())/float64(f.ticks), "µs/tick")
			b.ReportMetric(float64(f.report.Microseconds())/float64(max(1, f.reports)), "µs/poll")
			b.ReportMetric(float64(f.add.Microseconds())/float64(max(1, f.addings)), "µs/job")
			b.ReportMetric((f.tick+f.report+f.add).Seconds()/(f.now-begun).Seconds(), "cores")
		})
	}
}
