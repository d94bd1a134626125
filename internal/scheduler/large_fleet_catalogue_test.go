package scheduler_test

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

var largeFleetPools = []struct {
	name fleet.PoolID
	size int
	rate float64 // mean of submitted jobs a second
	step workload.Step
	work time.Duration
	prio int
}{
	{"counter", 61, 13.8, workload.Step{Resources: workload.Resources{Processors: 4100, Memory: 7500}}, time.Second, 0},
	{"studio", 69, 3.41, workload.Step{Resources: workload.Resources{Processors: 8800, Memory: 9000}, Checkpointing: true}, 1700 * time.Millisecond, 1},
	{"rush", 78, 17.3, workload.Step{Resources: workload.Resources{Processors: 4100, Memory: 7500}}, time.Second, 0},
	{"events", 85, 4.17, workload.Step{Resources: workload.Resources{Processors: 8800, Memory: 9000}, Checkpointing: true}, 1700 * time.Millisecond, 1},
	{"backoffice", 56, 0, workload.Step{}, 0, 0},
}

// largeFleetCatalogue has extraQueues queues without jobs beside the used ones.
func largeFleetCatalogue(extraQueues int) workload.Catalogue {
	c := workload.Catalogue{Version: 1}
	for i := range extraQueues {
		name := fmt.Sprint("extra-", i)
		c.Queues = append(c.Queues, workload.Queue{Name: fleet.QueueID(name), Host: "h", Prefix: "/" + name, Pool: "counter"})
	}
	for _, p := range largeFleetPools {
		c.Pools = append(c.Pools, workload.Pool{Name: p.name, Standby: p.rate == 0})
		if p.rate > 0 {
			name := fleet.QueueID(p.name)
			c.Queues = append(c.Queues,
				workload.Queue{Name: name, Host: "h", Prefix: "/" + string(p.name), Pool: p.name, Priority: p.prio, MaxAttempts: 2, Objective: 600 * time.Millisecond, Stretch: 1.6},
				workload.Queue{Name: name + "-hold", Host: "h", Prefix: "/hold/" + string(p.name), Pool: p.name, MaxAttempts: 2, Objective: 2500 * time.Millisecond, Stretch: 2.2})
		}
	}
	for i := range 20 {
		customer := workload.Customer{Name: customerName(i), Weight: float64(1 + i%4)}
		customer.Limit = workload.Resources{Processors: 900_000, Memory: 3_000_000}
		if i < 3 {
			customer.Limit = workload.Resources{Processors: 3_000_000, Memory: 9_000_000}
		}
		c.Customers = append(c.Customers, customer)
	}
	return c
}

func customerName(i int) fleet.CustomerID { return fleet.CustomerID(fmt.Sprint("c-", i)) }
