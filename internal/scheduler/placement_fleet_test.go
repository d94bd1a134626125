package scheduler_test

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// placementFleet simulates one pool of racks of eight instances without spare machines, and measures which part of the work of a load is
// complete within its objective.
type placementFleet struct {
	*largeFleet
	jobRandom *rand.Rand
	submitted map[workload.JobID]*placedJob
	// speeds are those of instances that are not of usual speed.
	speeds map[fleet.InstanceID]float64
	// asked and timely are in processor-seconds, in total and by the kind of job.
	asked, timely map[string]float64
	// open is the number of jobs of each kind that are not complete.
	open map[string]int
	// stepped, if set, is called after each step of the simulation.
	stepped func(elapsed time.Duration)
}

// placedJob is a job of the load. lengths are the run times of its tasks on an instance of usual speed near their data.
type placedJob struct {
	kind    string
	chain   time.Duration
	value   float64
	lengths [][]time.Duration
}

const placementRack = 8

// remoteFactor is what a task takes longer away from its data.
const remoteFactor = 2.0

func newPlacementFleet(seed int64, instances int, without scheduler.Criteria) *placementFleet {
	f := &placementFleet{
		largeFleet: &largeFleet{random: rand.New(rand.NewSource(seed)), start: time.Hour, now: time.Hour, state: state.New(), byID: map[fleet.InstanceID]*simulatedInstance{}},
		jobRandom:  rand.New(rand.NewSource(seed)), submitted: map[workload.JobID]*placedJob{}, speeds: map[fleet.InstanceID]float64{},
		asked: map[string]float64{}, timely: map[string]float64{}, open: map[string]int{},
	}
	f.withoutCriteria = without
	c := workload.Catalogue{Version: 1, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{
		{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 3, Objective: 600 * time.Millisecond, Stretch: 1.6},
	}}
	for i := range 8 {
		c.Customers = append(c.Customers, workload.Customer{Name: customerName(i), Weight: 1})
	}
	f.commit(state.PublishCatalogue{Source: []byte("x"), Catalogue: c})
	f.startLeader()
	for i := range instances {
		f.addInstance(workload.Instance{
			ID: placedInstance(i), Boot: 1, Pool: "p", Address: fmt.Sprint("a-", i), Machine: fmt.Sprintf("m-%03d", i), Sequence: 1,
			Capacity: workload.Resources{Processors: 32000, Memory: 65536}, Clock: time.Minute, Rack: fmt.Sprint("r-", i/placementRack),
		})
	}
	f.listMachines()
	f.runLength = func(o scheduler.Order, step workload.Step) time.Duration {
		p := o.Task.Position
		length := float64(f.submitted[o.Task.Job].lengths[p.Step()][p.Index()])
		if speed := f.speeds[o.Instance]; speed > 0 {
			length /= speed
		}
		if step.DataRack != "" && f.byID[o.Instance].Rack != step.DataRack {
			length *= remoteFactor
		}
		return time.Duration(length)
	}
	f.completed = func(jobs []scheduler.CompletedJob) {
		for _, c := range jobs {
			j := f.submitted[c.Job]
			f.open[j.kind]--
			if c.Elapsed <= time.Duration(1.6*float64(j.chain))+600*time.Millisecond {
				f.timely[j.kind] += j.value
			}
		}
	}
	return f
}

func placedInstance(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i-%03d", i)) }

// kindOfWork is a stream of jobs. Work is the median run time of a task, which varies by spread, a standard deviation of the logarithm.
type kindOfWork struct {
	name                string
	rate                float64 // jobs a second
	step                workload.Step
	work                time.Duration
	spread              float64
	steps               int
	customer, customers int // the first customer, and the number of them
}

// submitKind submits the jobs of a kind that arrive in one step of the simulation.
func (f *placementFleet) submitKind(k *kindOfWork) {
	for range poisson(f.jobRandom, k.rate*largeFleetStep.Seconds()) {
		j := &placedJob{kind: k.name}
		var steps []workload.Step
		for n := range max(1, k.steps) {
			step := k.step
			step.Estimate = k.work
			if n > 0 {
				step.After = []int{n - 1}
			}
			var lengths []time.Duration
			longest := time.Duration(0)
			centre := float64(k.work) * math.Exp(0.3*f.jobRandom.NormFloat64())
			for range step.Count {
				length := time.Duration(centre * math.Exp(k.spread*f.jobRandom.NormFloat64()))
				lengths = append(lengths, length)
				longest = max(longest, length)
				j.value += length.Seconds() * float64(step.Resources.Processors) / 1000
			}
			j.chain += longest
			j.lengths = append(j.lengths, lengths)
			steps = append(steps, step)
		}
		f.asked[k.name] += j.value
		f.open[k.name]++
		customer := customerName(k.customer + f.jobRandom.Intn(max(1, k.customers)))
		f.submitted[f.submitID("q", customer, steps...)] = j
	}
}

// play submits the kinds for a while, waits until most work has ended, and returns the part of all work that was complete in time.
func (f *placementFleet) play(duration time.Duration, kinds ...*kindOfWork) float64 {
	f.workload = func(elapsed time.Duration) {
		for _, k := range kinds {
			if elapsed < duration {
				f.submitKind(k)
			}
		}
	}
	for f.now < f.start+duration+10*time.Second {
		f.advance()
		if f.stepped != nil {
			f.stepped(f.now - f.start)
		}
	}
	asked, timely := 0.0, 0.0
	for kind, n := range f.asked {
		asked += n
		timely += f.timely[kind]
	}
	return timely / asked
}

// part returns the part of the work of one kind that was complete in time.
func (f *placementFleet) part(kind string) float64 { return f.timely[kind] / f.asked[kind] }

// lose ends the instances of which a condition holds, without notice.
func (f *placementFleet) lose(condition func(in *simulatedInstance) bool) {
	for _, in := range f.instances {
		if condition(in) {
			in.gone = true
			clear(in.runs)
		}
	}
}

// busiestRack returns the rack with most runs.
func (f *placementFleet) busiestRack() (busiest string) {
	runs := map[string]int{}
	for _, in := range f.instances {
		if runs[in.Rack] += len(in.runs); runs[in.Rack] > runs[busiest] {
			busiest = in.Rack
		}
	}
	return busiest
}
