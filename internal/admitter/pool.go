package admitter

import "github.com/sapphiresail/sapphiresail/internal/fleet"

// Pool is what is known of a pool at the time of a measurement.
type Pool struct {
	processors float64
	weights    map[fleet.CustomerID]float64
	work       []Work
	total      ProcessorSeconds
	// active are the customers with work of a priority, and activeWeight the sums of their weights.
	active       map[activity]bool
	activeWeight map[int]float64
}

// activity is a customer with work of a priority.
type activity struct {
	priority int
	customer fleet.CustomerID
}

// NewPool returns a pool without work. processors are the most that it can get, with all machines that may move to it. Customers that are not
// in weights have the weight 1.
func NewPool(processors float64, weights map[fleet.CustomerID]float64) *Pool {
	return &Pool{processors: processors, weights: weights, active: map[activity]bool{}, activeWeight: map[int]float64{}}
}

// Add adds the work of an accepted job.
func (p *Pool) Add(w Work) {
	p.work = append(p.work, w)
	p.total += w.Left
	if k := (activity{w.Priority, w.Customer}); !p.active[k] {
		p.active[k] = true
		p.activeWeight[w.Priority] += p.weight(w.Customer)
	}
}

// Total returns the work of the pool.
func (p *Pool) Total() ProcessorSeconds { return p.total }

// Processors returns the most processors that the pool can get.
func (p *Pool) Processors() float64 { return p.processors }

// shareOf returns the share of the pool to which the customer of a job is entitled among those with work of its priority.
func (p *Pool) shareOf(j *Job) ProcessorSeconds {
	own, total := p.weight(j.Customer), p.activeWeight[j.Priority]
	if !p.active[activity{j.Priority, j.Customer}] {
		total += own
	}
	return ProcessorSeconds(own / total)
}

func (p *Pool) weight(customer fleet.CustomerID) float64 {
	if w := p.weights[customer]; w > 0 {
		return w
	}
	return 1
}
