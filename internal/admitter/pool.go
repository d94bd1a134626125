package admitter

import (
	"math"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Pool is what is known of a pool at the time of a measurement.
type Pool struct {
	processors float64
	work       []entry
	total      ProcessorSeconds
	customers  []customer
	indexes    map[fleet.CustomerID]int
	weights    map[fleet.CustomerID]float64
	// activeWeight are the sums of the weights of the customers with work of a priority.
	activeWeight map[int]float64
}

// entry is the work of a job.
type entry struct {
	Work
	customer int
}

// customer is what is known of a customer with work.
type customer struct {
	weight float64
	// most are the processors that its limit lets its work use at a time.
	most   float64
	active map[int]bool
}

// NewPool returns a pool without work. processors are the most that it can get, with all machines that may move to it. Customers that are not
// in weights have the weight 1.
func NewPool(processors float64, weights map[fleet.CustomerID]float64) *Pool {
	return &Pool{processors: processors, weights: weights, indexes: map[fleet.CustomerID]int{}, activeWeight: map[int]float64{}}
}

// Add adds the work of an accepted job.
func (p *Pool) Add(w Work) {
	i, known := p.indexes[w.Customer]
	if !known {
		i = len(p.customers)
		p.indexes[w.Customer] = i
		p.customers = append(p.customers, customer{weight: p.weight(w.Customer), most: math.Inf(1), active: map[int]bool{}})
	}
	c := &p.customers[i]
	if w.Most > 0 {
		c.most = min(c.most, w.Most)
	}
	if !c.active[w.Priority] {
		c.active[w.Priority] = true
		p.activeWeight[w.Priority] += c.weight
	}
	p.work = append(p.work, entry{w, i})
	p.total += w.Left
}

// Total returns the work of the pool.
func (p *Pool) Total() ProcessorSeconds { return p.total }

// Processors returns the most processors that the pool can get.
func (p *Pool) Processors() float64 { return p.processors }

// shareOf returns the share of the pool to which the customer of a job is entitled among those with work of its priority.
func (p *Pool) shareOf(j *Job) float64 {
	own, total := p.weight(j.Customer), p.activeWeight[j.Priority]
	if i, known := p.indexes[j.Customer]; !known || !p.customers[i].active[j.Priority] {
		total += own
	}
	return own / total
}

func (p *Pool) weight(id fleet.CustomerID) float64 {
	if w := p.weights[id]; w > 0 {
		return w
	}
	return 1
}
