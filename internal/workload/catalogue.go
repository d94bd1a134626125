package workload

import (
	"fmt"
	"strings"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Advice describes the policy service that says which instances may run a step of a queue.
type Advice struct {
	DecisionTime time.Duration `cbor:"1,keyasint"`
	Period       time.Duration `cbor:"2,keyasint"`
	Validity     time.Duration `cbor:"3,keyasint"`
}

// Queue is a place where callers hand in jobs.
type Queue struct {
	Name   fleet.QueueID `cbor:"1,keyasint"`
	Host   string        `cbor:"2,keyasint"`
	Prefix string        `cbor:"3,keyasint"`
	Pool   fleet.PoolID  `cbor:"4,keyasint"`
	// Priority orders queues; zero comes first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// Attempts is how many runs of a task may fail before its job fails.
	MaxAttempts int           `cbor:"6,keyasint,omitempty"`
	Objective   time.Duration `cbor:"7,keyasint,omitempty"`
	// Stretch multiplies the longest chain of work in the latency objective.
	Stretch float64 `cbor:"8,keyasint,omitempty"`
	// Open queues take calls without a key.
	AuthExempt bool    `cbor:"9,keyasint,omitempty"`
	Advice     *Advice `cbor:"10,keyasint,omitempty"`
}

// Pool is a set of instances that queues run on.
type Pool struct {
	Name fleet.PoolID `cbor:"1,keyasint"`
	// Standby instances are off and cost nothing.
	Standby bool `cbor:"2,keyasint,omitempty"`
}

// Customer is the unit of keys, shares and limits.
type Customer struct {
	Name     fleet.CustomerID `cbor:"1,keyasint"`
	Keys     []string         `cbor:"2,keyasint"`
	Priority int              `cbor:"3,keyasint,omitempty"`
	Weight   float64          `cbor:"4,keyasint,omitempty"`
	// Limit is what may run at once over all instances; zero means no limit.
	Limit Resources `cbor:"5,keyasint"`
}

// Catalogue is one version of what operators configure for jobs.
type Catalogue struct {
	Version   uint64     `cbor:"1,keyasint"`
	Queues    []Queue    `cbor:"2,keyasint"`
	Pools     []Pool     `cbor:"3,keyasint"`
	Customers []Customer `cbor:"4,keyasint"`
}

// Check returns the first fault of the catalogue.
func (c *Catalogue) Validate() error {
	pools := map[fleet.PoolID]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	routes := map[string]bool{}
	for _, q := range c.Queues {
		if !pools[q.Pool] {
			return fmt.Errorf("queue %q: pool %q does not exist", q.Name, q.Pool)
		}
		route := q.Host + " " + q.Prefix
		if routes[route] {
			return fmt.Errorf("queue %q: %s is taken by another queue", q.Name, route)
		}
		routes[route] = true
	}
	return c.validateKeys()
}

func (c *Catalogue) validateKeys() error {
	owners := map[string]fleet.CustomerID{}
	for _, customer := range c.Customers {
		for _, k := range customer.Keys {
			if owner, taken := owners[k]; taken && owner != customer.Name {
				return fmt.Errorf("customers %q and %q share a key", owner, customer.Name)
			}
			owners[k] = customer.Name
		}
	}
	return nil
}

// Queue returns the queue with the longest prefix of path at host, and the rest of the path.
func (c *Catalogue) MatchQueue(host, path string) (queue *Queue, rest string, ok bool) {
	for i := range c.Queues {
		q := &c.Queues[i]
		suffix, found := strings.CutPrefix(path, q.Prefix)
		if found && q.Host == host && (queue == nil || len(q.Prefix) > len(queue.Prefix)) {
			queue, rest = q, suffix
		}
	}
	return queue, rest, queue != nil
}

// Named returns the queue with a name.
func (c *Catalogue) QueueByName(name fleet.QueueID) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// Customer returns the customer that holds a key.
func (c *Catalogue) CustomerByKey(key string) (*Customer, bool) {
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			if k == key && key != "" {
				return &c.Customers[i], true
			}
		}
	}
	return nil, false
}

// Limit returns the upper limit of a customer; an unknown customer has none.
func (c *Catalogue) CustomerLimit(name fleet.CustomerID) Resources {
	for i := range c.Customers {
		if c.Customers[i].Name == name {
			return c.Customers[i].Limit
		}
	}
	return Resources{}
}

// Standby reports whether the instances of a pool are off.
func (c *Catalogue) IsStandby(name fleet.PoolID) bool {
	for _, p := range c.Pools {
		if p.Name == name {
			return p.Standby
		}
	}
	return false
}
