// Package fleet defines the types that all other packages share: identifiers, resource amounts, announced instances and the
// timing bounds that several packages rely on.
package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Identifiers of the entities of a fleet.
type (
	// InstanceID identifies one machine that runs tasks.
	InstanceID string
	// PoolID identifies a pool of instances.
	PoolID string
	// CustomerID identifies a customer, the unit of shares and limits.
	CustomerID string
	// QueueID identifies a queue that callers post requests to.
	QueueID string
	// DataCentreID identifies a data centre.
	DataCentreID string
	// RackID identifies a rack within a data centre.
	RackID string
	// EntryID identifies one process of the system.
	EntryID string
	// AttemptID identifies one dispatch of a request to a target.
	AttemptID string
	// RequestID identifies a request of a caller.
	RequestID string
)

// Cores is a processor capacity or use, in whole processors.
type Cores float64

// Bytes is an amount of memory or traffic in bytes.
type Bytes int64

var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// MarshalText formats the amount in the largest binary unit that divides it.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return []byte(strconv.FormatInt(int64(b/u.size), 10) + u.suffix), nil
		}
	}
	return []byte("0B"), nil
}

// UnmarshalText parses an amount such as 64GiB or 512; without a unit it is in bytes.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := strings.TrimSpace(string(text))
	size := Bytes(1)
	for _, u := range byteUnits {
		if rest, found := strings.CutSuffix(s, u.suffix); found {
			s, size = rest, u.size
			break
		}
	}
	n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
	if err != nil {
		return fmt.Errorf("size %q: want a whole number with B, KiB, MiB, GiB or TiB", text)
	}
	if n < 0 || n > int64(1<<62)/int64(size) {
		return fmt.Errorf("size %q: out of range", text)
	}
	*b = Bytes(n) * size
	return nil
}

// Resources is the capacity of an instance, or the demand or use of a task.
type Resources struct {
	Processors   Cores `json:"processors,omitempty"`
	Memory       Bytes `json:"memory,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	Slots        int   `json:"slots,omitempty"`
	Connections  int   `json:"connections,omitempty"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Processors:   r.Processors + o.Processors,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		Processors:   r.Processors - o.Processors,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// Fits reports whether r covers need in every resource.
func (r Resources) Fits(need Resources) bool {
	return need.Processors <= r.Processors && need.Memory <= r.Memory &&
		need.Accelerators <= r.Accelerators && need.Slots <= r.Slots && need.Connections <= r.Connections
}

// DominantShare returns the largest fraction that r takes of any resource of total, except connections. A resource that total
// lacks counts as 0.
func (r Resources) DominantShare(total Resources) float64 {
	return max(
		fraction(float64(r.Processors), float64(total.Processors)),
		fraction(float64(r.Memory), float64(total.Memory)),
		fraction(float64(r.Accelerators), float64(total.Accelerators)),
		fraction(float64(r.Slots), float64(total.Slots)),
	)
}

func fraction(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// Condition is the condition that a target announces for itself.
type Condition string

// Conditions of a target.
const (
	Ready   Condition = "ready"
	Leaving Condition = "leaving"
)

// Task is a running task as its target reports it.
type Task struct {
	Attempt  AttemptID  `json:"attempt"`
	Customer CustomerID `json:"customer"`
	Queue    QueueID    `json:"queue"`
	Usage    Resources  `json:"usage"`
}

// Instance is an instance as its target announces it.
type Instance struct {
	ID         InstanceID   `json:"instance"`
	Address    string       `json:"address"`
	DataCentre DataCentreID `json:"data-centre"`
	Rack       RackID       `json:"rack"`
	HomePool   PoolID       `json:"home-pool,omitempty"`
	Capacity   Resources    `json:"offers"`
	BootID     string       `json:"boot-id"`
	Sequence   uint64       `json:"sequence"`
	Condition  Condition    `json:"condition"`
	Tasks      []Task       `json:"tasks,omitempty"`
}

// FailureDomain returns the smallest failure domain of the instance: its rack, prefixed with the data centre.
func (i Instance) FailureDomain() string { return string(i.DataCentre) + "/" + string(i.Rack) }

// Result is the known result of a request at its end.
type Result string

// Results of a request.
const (
	NotRun  Result = "not-run"
	Done    Result = "done"
	Unknown Result = "unknown"
)

// Timing bounds that several components rely on together.
const (
	// StateLease is how long an entry may act on its copy of the committed state.
	StateLease = 3 * time.Second
	// TicketLifetime is how long a placement may stay unused before its ticket expires.
	TicketLifetime = time.Second
	// TaskLease is how long a target may run a task without a lease renewal.
	TaskLease = 10 * time.Second
	// MaxClockDrift is the largest relative difference between the rates of two clocks that lease durations allow for.
	MaxClockDrift = 0.02
)
