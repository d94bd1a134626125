package scheduler_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// burst is a load of four pools with their turns one after the other, in which one of twenty customers of unequal size, who has a tenth of all jobs,
// sends seven times its usual for the whole turn of a pool.
type burst struct {
	factor float64 // on the usual rate of jobs
	seeds  int
}

// burstTurn is the length of a turn, and of the burst.
const burstTurn = 6 * time.Second

// burstOutcome is what was asked and what was in time, in processor-seconds by customer and in jobs.
type burstOutcome struct {
	asked, timely    map[fleet.CustomerID]float64
	jobs, timelyJobs int
}

func newBurstOutcome() *burstOutcome {
	return &burstOutcome{asked: map[fleet.CustomerID]float64{}, timely: map[fleet.CustomerID]float64{}}
}

// total returns the part of all work that was in time.
func (o *burstOutcome) total() float64 {
	asked, timely := 0.0, 0.0
	for customer, work := range o.asked {
		asked, timely = asked+work, timely+o.timely[customer]
	}
	return timely / asked
}

// worstTenth returns the mean part of the work in time of the worst-served tenth of the customers.
func (o *burstOutcome) worstTenth() float64 {
	var parts []float64
	for customer, work := range o.asked {
		parts = append(parts, o.timely[customer]/work)
	}
	slices.Sort(parts)
	sum, n := 0.0, (len(parts)+9)/10
	for _, part := range parts[:n] {
		sum += part
	}
	return sum / float64(n)
}

// play returns the outcomes of all seeds together.
func (b burst) play(ignoreFleetShares bool) *burstOutcome {
	var group sync.WaitGroup
	outcomes := make([]*burstOutcome, b.seeds)
	for i := range outcomes {
		group.Go(func() { outcomes[i] = b.playSeed(int64(i+1), ignoreFleetShares) })
	}
	group.Wait()
	sum := newBurstOutcome()
	for _, o := range outcomes {
		for customer := range o.asked {
			sum.asked[customer] += o.asked[customer]
			sum.timely[customer] += o.timely[customer]
		}
		sum.jobs, sum.timelyJobs = sum.jobs+o.jobs, sum.timelyJobs+o.timelyJobs
	}
	return sum
}

func (b burst) playSeed(seed int64, ignoreFleetShares bool) *burstOutcome {
	f := newOverloadedFleet(seed, 0, 0)
	f.ignoreFleetShares = ignoreFleetShares
	f.startLeader()
	f.workload = func(elapsed time.Duration) { b.submit(f, int(elapsed/burstTurn)) }
	o := newBurstOutcome()
	f.completed = func(jobs []scheduler.CompletedJob) {
		for _, c := range jobs {
			if j := f.submitted[c.Job]; j.inTime(c.Elapsed) {
				o.timely[j.customer] += j.value
				o.timelyJobs++
			}
		}
	}
	for f.now < f.start+time.Duration(len(overloadedQueues))*burstTurn+overloadDrain {
		f.advance()
	}
	for _, j := range f.submitted {
		o.asked[j.customer] += j.value
		o.jobs++
	}
	return o
}

// submit submits the jobs of a step. The burst is in the second turn.
func (b burst) submit(f *overloadedFleet, turn int) {
	if turn >= len(overloadedQueues) {
		return
	}
	for i, q := range overloadedQueues {
		rate := q.rate * b.factor * largeFleetStep.Seconds()
		if i != turn {
			rate *= 0.05
		}
		for range poisson(f.jobRandom, rate) {
			f.submitOverloaded(q)
		}
		if i == 1 && turn == 1 {
			pick := f.pickCustomer
			f.pickCustomer = func() fleet.CustomerID { return customerName(0) }
			for range poisson(f.jobRandom, 6*0.0975*rate) {
				f.submitOverloaded(q)
			}
			f.pickCustomer = pick
		}
	}
}

// TestBurstOfOneCustomerLeavesOthersTheirShares guards against precedence that lets jobs become late without helping anybody, as an order by long-term
// usage did, and against a burst of one customer that takes the machines of all others. Load: a burst at twice the usual rate, at which
// the fleet can't serve everything.
func TestBurstOfOneCustomerLeavesOthersTheirShares(t *testing.T) {
	load := burst{factor: 2, seeds: 3}
	without, with := load.play(true), load.play(false)
	t.Logf("without: %.4f of the work in time, %.4f of that of the worst-served tenth, %d of %d jobs", without.total(), without.worstTenth(), without.timelyJobs, without.jobs)
	t.Logf("with: %.4f of the work in time, %.4f of that of the worst-served tenth, %d of %d jobs", with.total(), with.worstTenth(), with.timelyJobs, with.jobs)
	assert.Assert(t, with.total() >= without.total(), "less work in time")
	assert.Assert(t, with.timelyJobs >= without.timelyJobs, "more jobs late")
	assert.Assert(t, with.worstTenth() > without.worstTenth(), "the worst-served customers are not served better")
}
