package scheduler_test

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// vary submits kinds of work that the site lacks, cancels jobs, gives one queue advice, and changes priorities and limits.
func (f *largeFleet) vary(elapsed time.Duration) {
	if elapsed%(20*time.Millisecond) == 0 {
		f.submitVaried()
	}
	if elapsed%(300*time.Millisecond) == 0 {
		f.scheduler.CancelJob(f.now, f.jobs[f.random.Intn(len(f.jobs))])
	}
	if elapsed == 4*time.Second {
		c := largeFleetCatalogue(0)
		c.Version++
		for i := range c.Queues {
			c.Queues[i].Priority = i % 3
			if c.Queues[i].Name == "studio" {
				c.Queues[i].Advice = &workload.Advice{Validity: 2 * time.Second}
			}
		}
		for i := range c.Customers {
			c.Customers[i].Limit.Processors /= 2
			c.Customers[i].Weight = float64(i % 5)
		}
		f.commit(state.PublishCatalogue{Source: []byte("y"), Catalogue: c})
		f.scheduler.SetCatalogue(&c)
	}
	for _, request := range f.scheduler.TakeAdviceRequests() {
		tickets := map[fleet.InstanceID]string{}
		for i, id := range request.Instances {
			if i%3 > 0 {
				tickets[id] = "t"
			}
		}
		f.scheduler.HandleAdvice(f.now, request, tickets, true)
	}
}

// submitVaried submits one job of a random kind to a random queue.
func (f *largeFleet) submitVaried() {
	pool := largeFleetPools[f.random.Intn(4)]
	step := workload.Step{Count: 2 + f.random.Intn(6), Resources: workload.Resources{Processors: int64(1000 + f.random.Intn(9000)), Memory: 4000}, Estimate: 500 * time.Millisecond}
	switch f.random.Intn(6) {
	case 0:
		step.Gang, step.SameRack = true, f.random.Intn(2) == 0
	case 1:
		step.RequiredLabel = "label"
	case 2:
		step.DataRack = string(pool.name) + "-1"
	case 3:
		step.Service, step.BestEffort, step.MaxUnavailable = true, true, step.Count
	case 4:
		step.Service, step.TailLatencyTarget, step.MaxUnavailable = true, 100*time.Millisecond, step.Count
	}
	f.submit(fleet.QueueID(pool.name), customerName(f.random.Intn(20)), step)
}

// tailMillis is the tail latency that every run reports.
func (f *largeFleet) tailMillis() int {
	if !f.varied {
		return 0
	}
	return 50 + int(f.now/(400*time.Millisecond))%3*30
}
