// Package composer is the operators' library: it builds a configuration in Go and prints the YAML that apply takes.
package composer

import (
	"io"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindInvalid Kind = iota + 1
	KindWrite
)

// Error names the kind.
func (k Kind) Error() string {
	return [...]string{"none", "the composed configuration is invalid", "the configuration cannot be written"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Composer collects the parts of a configuration.
type Composer struct {
	configuration configuration.Configuration
}

// Option adds a part to a configuration.
type Option func(*Composer)

// New returns the configuration of a site at a version, made of the given parts.
func New(site string, version uint64, options ...Option) *Composer {
	c := &Composer{configuration: configuration.Configuration{Site: site, Version: version}}
	c.Add(options...)
	return c
}

// Add adds parts.
func (c *Composer) Add(options ...Option) {
	for _, o := range options {
		o(c)
	}
}

// DataCentre adds a data centre in a region.
func DataCentre(name, region string) Option {
	return func(c *Composer) {
		c.configuration.DataCentres = append(c.configuration.DataCentres, configuration.DataCentre{Name: fleet.DataCentreID(name), Region: region})
	}
}

// Customer adds a customer with its share of a full fleet and its upper limit of running tasks.
func Customer(name string, share float64, limit int) Option {
	return func(c *Composer) {
		c.configuration.Customers = append(c.configuration.Customers, configuration.Customer{Name: fleet.CustomerID(name), Share: share, Limit: limit})
	}
}

// Pool adds a pool that planned actions leave with at least minimum available instances.
func Pool(name string, minimum int) Option {
	return func(c *Composer) {
		c.configuration.Pools = append(c.configuration.Pools, configuration.Pool{Name: fleet.PoolID(name), MinimumAvailable: minimum})
	}
}

// SparePool adds the pool that lends instances to the others.
func SparePool(name string, minimum int) Option {
	return func(c *Composer) {
		c.configuration.Pools = append(c.configuration.Pools, configuration.Pool{Name: fleet.PoolID(name), MinimumAvailable: minimum, Spare: true})
	}
}

// QueueOption sets a property of a queue.
type QueueOption func(*configuration.Queue)

// Queue adds a queue of a customer that is served by a pool.
func Queue(name, pool, customer string, options ...QueueOption) Option {
	return func(c *Composer) {
		q := configuration.Queue{Name: fleet.QueueID(name), Pool: fleet.PoolID(pool), Customer: fleet.CustomerID(customer)}
		for _, o := range options {
			o(&q)
		}
		c.configuration.Queues = append(c.configuration.Queues, q)
	}
}

// OpenQueue adds a queue that serves every customer.
func OpenQueue(name, pool string, options ...QueueOption) Option {
	return Queue(name, pool, "", append(options, func(q *configuration.Queue) { q.Open = true })...)
}

// Urgent marks requests that go before batch requests.
func Urgent() QueueOption { return func(q *configuration.Queue) { q.Urgent = true } }

// Repeatable marks requests that may run again after a failure.
func Repeatable() QueueOption { return func(q *configuration.Queue) { q.Repeatable = true } }

// Timeout bounds the time from the request to its answer.
func Timeout(d time.Duration) QueueOption {
	return func(q *configuration.Queue) { q.Timeout = d }
}

// Needs declares the processors and the memory, in bytes, of a task.
func Needs(processors float64, memory int64) QueueOption {
	return func(q *configuration.Queue) {
		q.Needs.Processors = fleet.Cores(processors)
		q.Needs.Memory = fleet.Bytes(memory)
	}
}

// Accelerators declares the accelerators of a task.
func Accelerators(n int) QueueOption {
	return func(q *configuration.Queue) { q.Needs.Accelerators = n }
}

// HijriPeak adds a busy time that begins on a day of the lunar calendar.
func HijriPeak(name string, month, day, days int, factor float64, pools ...string) Option {
	return peak(name, configuration.Hijri, month, day, days, factor, pools)
}

// PlainPeak adds a busy time that begins on the same date of every year.
func PlainPeak(name string, month, day, days int, factor float64, pools ...string) Option {
	return peak(name, configuration.Gregorian, month, day, days, factor, pools)
}

func peak(name string, calendar configuration.Calendar, month, day, days int, factor float64, pools []string) Option {
	return func(c *Composer) {
		p := configuration.Peak{Name: name, Calendar: calendar, Month: month, Day: day, Days: days, Factor: factor}
		for _, pool := range pools {
			p.Pools = append(p.Pools, fleet.PoolID(pool))
		}
		c.configuration.Peaks = append(c.configuration.Peaks, p)
	}
}

// Maintenance sets the period within which every instance is rebooted once, and the largest batch.
func Maintenance(period time.Duration, batch int) Option {
	return func(c *Composer) {
		c.configuration.Maintenance.Period = period
		c.configuration.Maintenance.Batch = batch
	}
}

// WriteTo checks the configuration and writes its YAML.
func (c *Composer) WriteTo(w io.Writer) (int64, error) {
	text := c.configuration.CanonicalYAML()
	if _, err := configuration.Parse("composed", text); err != nil {
		return 0, &Error{Op: "compose", Kind: KindInvalid, Err: err}
	}
	n, err := w.Write(text)
	if err != nil {
		return int64(n), &Error{Op: "compose", Kind: KindWrite, Err: err}
	}
	return int64(n), nil
}
