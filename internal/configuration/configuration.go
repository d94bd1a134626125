// Package configuration defines the settings that operators apply to a fleet, and parses and validates their YAML.
package configuration

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Configuration is one version of the settings of a fleet.
type Configuration struct {
	Version     uint64       `json:"version"`
	Site        string       `json:"site"`
	DataCentres []DataCentre `json:"data-centres"`
	Customers   []Customer   `json:"customers"`
	Pools       []Pool       `json:"pools"`
	Queues      []Queue      `json:"queues"`
	Peaks       []Peak       `json:"peaks,omitempty"`
	Maintenance Maintenance  `json:"maintenance,omitempty"`
}

// DataCentre is a failure domain that may be lost as a whole.
type DataCentre struct {
	Name   fleet.DataCentreID `json:"name"`
	Region string             `json:"region"`
}

// Customer is a tenant of the fleet, with its relative share of a full fleet and its limit of tasks that run at once over all pools.
type Customer struct {
	Name  fleet.CustomerID `json:"name"`
	Share float64          `json:"share"`
	Limit int              `json:"limit"`
}

// Pool is a set of instances with an availability budget.
type Pool struct {
	Name fleet.PoolID `json:"name"`
	// MinimumAvailable is the number of available instances that every planned action must leave.
	MinimumAvailable int `json:"minimum-available"`
	// Spare marks the pool that lends instances to the others.
	Spare bool `json:"spare,omitempty"`
}

// Queue is a named service that callers post requests to.
type Queue struct {
	Name fleet.QueueID `json:"name"`
	Pool fleet.PoolID  `json:"pool"`
	// Customer owns the queue; an open queue has no owner and serves every customer.
	Customer fleet.CustomerID `json:"customer,omitempty"`
	Open     bool             `json:"open,omitempty"`
	// Urgent requests are scheduled before batch requests.
	Urgent bool `json:"urgent,omitempty"`
	// Repeatable requests may be run again after a failure.
	Repeatable bool            `json:"repeatable,omitempty"`
	Timeout    time.Duration   `json:"timeout,omitempty"`
	Needs      fleet.Resources `json:"needs,omitempty"`
	BodyLimit  fleet.Bytes     `json:"body-limit,omitempty"`
}

// Calendar is the calendar in which the date of a peak is given.
type Calendar string

// Calendars of peaks.
const (
	Hijri     Calendar = "hijri"
	Gregorian Calendar = "gregorian"
)

// Peak is a yearly period of higher demand, which starts on a date of its calendar and lasts for a number of days.
type Peak struct {
	Name     string         `json:"name"`
	Calendar Calendar       `json:"calendar"`
	Month    int            `json:"month"`
	Day      int            `json:"day"`
	Days     int            `json:"days"`
	Factor   float64        `json:"factor"`
	Pools    []fleet.PoolID `json:"pools,omitempty"`
}

// Maintenance is the policy by which every instance is rebooted once in each period.
type Maintenance struct {
	Period time.Duration `json:"period,omitempty"`
	// Batch is the largest number of instances that maintenance stops at once.
	Batch int `json:"batch,omitempty"`
	// HaltAfter is the number of failures in one wave at which maintenance halts.
	HaltAfter int `json:"halt-after,omitempty"`
	// DrainTimeout bounds how long an instance may take to become empty before its planned stop is cancelled.
	DrainTimeout time.Duration `json:"drain-timeout,omitempty"`
	// RebootTimeout bounds how long a reboot may take before the instance counts as a failure of its wave.
	RebootTimeout time.Duration `json:"reboot-timeout,omitempty"`
}

// Defaults of optional settings.
const (
	DefaultQueueTimeout      = 30 * time.Second
	DefaultBodyLimit         = fleet.Bytes(8 << 20)
	DefaultMaintenancePeriod = 21 * 24 * time.Hour
	DefaultMaintenanceBatch  = 4
	DefaultHaltAfter         = 2
	DefaultDrainTimeout      = 10 * time.Minute
	DefaultRebootTimeout     = 10 * time.Minute
)

// applyDefaults sets the optional settings that the configuration leaves out.
func (c *Configuration) applyDefaults() {
	for i := range c.Queues {
		q := &c.Queues[i]
		q.Needs.Slots = max(q.Needs.Slots, 1)
		if q.Timeout == 0 {
			q.Timeout = DefaultQueueTimeout
		}
		if q.BodyLimit == 0 {
			q.BodyLimit = DefaultBodyLimit
		}
	}
	m := &c.Maintenance
	if m.Period == 0 {
		m.Period = DefaultMaintenancePeriod
	}
	if m.Batch == 0 {
		m.Batch = DefaultMaintenanceBatch
	}
	if m.HaltAfter == 0 {
		m.HaltAfter = DefaultHaltAfter
	}
	if m.DrainTimeout == 0 {
		m.DrainTimeout = DefaultDrainTimeout
	}
	if m.RebootTimeout == 0 {
		m.RebootTimeout = DefaultRebootTimeout
	}
}

// Queue returns the queue named name.
func (c *Configuration) Queue(name fleet.QueueID) (Queue, bool) {
	return find(c.Queues, func(q Queue) bool { return q.Name == name })
}

// Pool returns the pool named name.
func (c *Configuration) Pool(name fleet.PoolID) (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.Name == name })
}

// Customer returns the customer named name.
func (c *Configuration) Customer(name fleet.CustomerID) (Customer, bool) {
	return find(c.Customers, func(customer Customer) bool { return customer.Name == name })
}

// SparePool returns the pool that lends instances to the others, if one is configured.
func (c *Configuration) SparePool() (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.Spare })
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(items, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return items[i], true
}
