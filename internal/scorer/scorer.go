// Package scorer computes how well an instance suits a task. It only knows the values that it is given.
package scorer

// Weights of the score, in units of a fully used instance.
const (
	weightCold            = 500.0 // an instance gets nothing before it is warm if a warm one has room, whatever else speaks for it
	weightDataRack        = 100.0 // away from its data a task takes two to three times as long
	weightFailure         = 20.0  // an instance on which tasks failed recently is the last choice
	weightLastInstance    = 10.0  // a task is retried on another instance after a lost or failed run
	weightMaintenance     = 6.0   // a machine that a wave has yet to maintain must be emptied again, which costs a service task 1 s
	weightInterference    = 5.0   // best-effort tasks and latency-sensitive service tasks slow each other down
	weightServiceInstance = 4.0   // with service tasks on few instances, the others can go to standby when batch work ends
	weightRackSpread      = 0.5   // the loss of a rack should not stop all tasks of a service step
	weightPacking         = 1.0   // packing leaves other instances empty for maintenance and moves
	weightInstanceSpread  = 0.3   // the loss of an instance should not either; both spread weights are below the cost of another instance

	weightTight          = 4.0 // on a slow instance a task makes its job late, which costs most of the worth of the job
	weightSlow           = 1.5 // a slow instance is used once the others have no room; exceeds weightPacking
	weightSpare          = 1.5 // work that loses nothing there leaves the others free; exceeds weightPacking
	weightCustomerSpread = 0.1 // the loss of a rack should not stop all work of a customer; less than a task adds to the load of an instance
)

// maxFailures bounds the effect of failed runs, so that an instance can recover.
const maxFailures = 3

// Place is an instance with room for a task.
type Place struct {
	// Cold is set while the instance warms up, and AwaitsMaintenance while a wave has yet to maintain its machine.
	Cold, AwaitsMaintenance bool
	// InDataRack is set in the rack of the task's data, and Previous on the instance of its last run.
	InDataRack, Previous bool
	// Failures is the number of recent failed starts and runs.
	Failures int
	// CrashRisk is the score that the risk of a crash costs.
	CrashRisk float64
	// Load is the claimed part of the processors.
	Load float64
	// Slow is set on a slow instance, and Haste is what the longer run time there costs.
	Slow  bool
	Haste Haste
	// CheckDue is set for a slow instance that has started nothing for so long that its speed has to be measured again.
	CheckDue bool
	// CustomerShare is the part of the customer's batch runs in the pool that are in the rack, zero if that is of no concern.
	CustomerShare float64
	// Service is nil for the tasks of batch steps.
	Service *Service
}

// Haste is what a longer run time costs the job of a task.
type Haste uint8

// Kinds of haste.
const (
	// Indifferent work is late or best effort, and loses nothing.
	Indifferent Haste = iota
	// Slack work can be in time on any instance.
	Slack
	// Tight work becomes late by the longer run time on this instance.
	Tight
)

// Service describes a place for a task of a service step.
type Service struct {
	// Interfering is the number of runs that the task and its neighbours slow down.
	Interfering int
	// Gathers is set if service tasks run on the instance, or on too few others.
	Gathers bool
	// OnInstance and InRack are the numbers of tasks of the step on the instance and in its rack.
	OnInstance, InRack int
}

// Score returns how well the place suits the task; a task goes to the place with the highest score.
func (p *Place) Score() float64 {
	score := 0.0
	if p.Cold {
		score -= weightCold
	}
	if p.InDataRack {
		score += weightDataRack
	}
	score -= weightFailure * float64(min(p.Failures, maxFailures))
	score -= p.CrashRisk
	if p.Previous {
		score -= weightLastInstance
	}
	if p.AwaitsMaintenance {
		score -= weightMaintenance
	}
	if p.Service != nil {
		return p.Service.adjust(score, p.Load)
	}
	return p.adjust(score) + weightPacking*p.Load
}

// adjust completes the score of a place for a batch task, but for packing.
func (p *Place) adjust(score float64) float64 {
	if p.Slow {
		score += p.slowScore()
	}
	return score - weightCustomerSpread*p.CustomerShare
}

// slowScore returns what a slow instance gains or loses for a batch task.
func (p *Place) slowScore() float64 {
	switch {
	case p.Haste == Tight:
		return -weightTight
	case p.Haste == Indifferent || p.CheckDue:
		return weightSpare
	default:
		return -weightSlow
	}
}

// adjust completes the score of a place for a service task.
func (s *Service) adjust(score, load float64) float64 {
	score -= weightInterference * float64(s.Interfering)
	if s.Gathers {
		score += weightServiceInstance
	}
	return score + weightPacking*load - weightInstanceSpread*float64(s.OnInstance) - weightRackSpread*float64(s.InRack)
}
