package workload

import (
	"fmt"
	"strings"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Advice configures the policy service that decides which instances may run a step of a queue.
type Advice struct {
	DecisionTime time.Duration `cbor:"1,keyasint"`
	Period       time.Duration `cbor:"2,keyasint"`
	Validity     time.Duration `cbor:"3,keyasint"`
}

// Queue accepts jobs under a host and path prefix.
type Queue struct {
	Name   fleet.QueueID `cbor:"1,keyasint"`
	Host   string        `cbor:"2,keyasint"`
	Prefix string        `cbor:"3,keyasint"`
	Pool   fleet.PoolID  `cbor:"4,keyasint"`
	// Priority ranks queues; lower values are placed first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs of a task at which its job fails.
	MaxAttempts int           `cbor:"6,keyasint,omitempty"`
	Objective   time.Duration `cbor:"7,keyasint,omitempty"`
	// Stretch is the factor on the critical path of a job in its latency objective; Objective is added to the product.
	Stretch float64 `cbor:"8,keyasint,omitempty"`
	// AuthExempt queues accept requests without a key.
	AuthExempt bool    `cbor:"9,keyasint,omitempty"`
	Advice     *Advice `cbor:"10,keyasint,omitempty"`
}

// Pool is a set of instances that run the jobs of queues.
type Pool struct {
	Name fleet.PoolID `cbor:"1,keyasint"`
	// Standby marks a pool whose machines are off and cost nothing.
	Standby bool `cbor:"2,keyasint,omitempty"`
}

// Customer owns keys; fair shares and limits apply to each customer.
type Customer struct {
	Name     fleet.CustomerID `cbor:"1,keyasint"`
	Keys     []string         `cbor:"2,keyasint"`
	Priority int              `cbor:"3,keyasint,omitempty"`
	Weight   float64          `cbor:"4,keyasint,omitempty"`
	// Limit bounds the resources of all running tasks together; zero means no limit.
	Limit Resources `cbor:"5,keyasint"`
}

// Catalogue is one version of the configuration of queues, pools and customers.
type Catalogue struct {
	Version   uint64     `cbor:"1,keyasint"`
	Queues    []Queue    `cbor:"2,keyasint"`
	Pools     []Pool     `cbor:"3,keyasint"`
	Customers []Customer `cbor:"4,keyasint"`
}

// Validate returns the first error in the catalogue.
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

// MatchQueue returns the queue with the longest prefix of path at host, and the rest of the path.
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

// QueueByName returns the queue with the name.
func (c *Catalogue) QueueByName(name fleet.QueueID) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// CustomerByKey returns the customer that holds the key; an empty key matches none.
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

// CustomerLimit returns the limit of a customer; an unknown customer has none.
func (c *Catalogue) CustomerLimit(name fleet.CustomerID) Resources {
	for i := range c.Customers {
		if c.Customers[i].Name == name {
			return c.Customers[i].Limit
		}
	}
	return Resources{}
}

// IsStandby reports whether the pool is a standby pool.
func (c *Catalogue) IsStandby(name fleet.PoolID) bool {
	for _, p := range c.Pools {
		if p.Name == name {
			return p.Standby
		}
	}
	return false
}
