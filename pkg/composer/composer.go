// Package composer builds the configuration of a site in Go and writes it as the YAML that the apply command takes.
package composer

import (
	"io"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindInvalid means that the configuration violates a rule.
	KindInvalid Kind = iota + 1
	// KindWrite means that the writer failed.
	KindWrite
)

// Error returns the text of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "the composed configuration is invalid", "the configuration cannot be written"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Composer is a configuration under construction.
type Composer struct {
	configuration configuration.Configuration
}

// Option adds an element, such as a pool or a queue, to a configuration.
type Option func(*Composer)

// New returns a composer of a version of the configuration of a site, with the given options applied.
func New(site string, version uint64, options ...Option) *Composer {
	c := &Composer{configuration: configuration.Configuration{Site: site, Version: version}}
	c.Add(options...)
	return c
}

// Add applies options.
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

// Customer adds a customer with its relative share of a full fleet and its limit of tasks that run at once.
func Customer(name string, share float64, limit int) Option {
	return func(c *Composer) {
		c.configuration.Customers = append(c.configuration.Customers, configuration.Customer{Name: fleet.CustomerID(name), Share: share, Limit: limit})
	}
}

// Pool adds a pool in which planned actions leave at least minimum instances available.
func Pool(name string, minimum int) Option {
	return func(c *Composer) {
		c.configuration.Pools = append(c.configuration.Pools, configuration.Pool{Name: fleet.PoolID(name), MinimumAvailable: minimum})
	}
}

// SparePool adds the pool that lends instances to the others; a configuration has at most one.
func SparePool(name string, minimum int) Option {
	return func(c *Composer) {
		c.configuration.Pools = append(c.configuration.Pools, configuration.Pool{Name: fleet.PoolID(name), MinimumAvailable: minimum, Spare: true})
	}
}

// QueueOption sets a property of a queue.
type QueueOption func(*configuration.Queue)

// Queue adds a queue of a customer, served by a pool.
func Queue(name, pool, customer string, options ...QueueOption) Option {
	return func(c *Composer) {
		q := configuration.Queue{Name: fleet.QueueID(name), Pool: fleet.PoolID(pool), Customer: fleet.CustomerID(customer)}
		for _, o := range options {
			o(&q)
		}
		c.configuration.Queues = append(c.configuration.Queues, q)
	}
}

// OpenQueue adds a queue that every customer may post to.
func OpenQueue(name, pool string, options ...QueueOption) Option {
	return Queue(name, pool, "", append(options, func(q *configuration.Queue) { q.Open = true })...)
}

// Urgent schedules the requests of the queue before batch requests.
func Urgent() QueueOption { return func(q *configuration.Queue) { q.Urgent = true } }

// Repeatable allows requests of the queue to run again after a failure.
func Repeatable() QueueOption { return func(q *configuration.Queue) { q.Repeatable = true } }

// Timeout bounds the time from a request to its response.
func Timeout(d time.Duration) QueueOption {
	return func(q *configuration.Queue) { q.Timeout = d }
}

// Needs sets the processors and the memory, in bytes, that a task takes.
func Needs(processors float64, memory int64) QueueOption {
	return func(q *configuration.Queue) {
		q.Needs.Processors = fleet.Cores(processors)
		q.Needs.Memory = fleet.Bytes(memory)
	}
}

// Accelerators sets the number of accelerators that a task takes.
func Accelerators(n int) QueueOption {
	return func(q *configuration.Queue) { q.Needs.Accelerators = n }
}

// HijriPeak adds a yearly peak of demand that starts on a date of the Hijri (lunar) calendar. Without pools it applies to all pools.
func HijriPeak(name string, month, day, days int, factor float64, pools ...string) Option {
	return peak(name, configuration.Hijri, month, day, days, factor, pools)
}

// PlainPeak adds a yearly peak of demand that starts on a date of the Gregorian calendar. Without pools it applies to all pools.
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

// Maintenance sets the period within which every instance is rebooted once, and how many are stopped at once at most.
func Maintenance(period time.Duration, batch int) Option {
	return func(c *Composer) {
		c.configuration.Maintenance.Period = period
		c.configuration.Maintenance.Batch = batch
	}
}

// WriteTo validates the configuration and writes it as YAML; an invalid configuration is not written.
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
