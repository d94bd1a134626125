// Package budgeter divides the memory and the connections of a process among what its clients make it hold.
//
// Memory is charged to a lease before it is taken. The shares of the callers of different listeners are separate, and within a share the last
// part is kept for ordinary requests, so that no crowd takes the whole budget.
package budgeter

import (
	"math"
	"sync"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// Bytes is an amount of memory.
type Bytes int64

// Units of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindFull means that the share has no room; there may be some a little later.
	KindFull Kind = iota + 1
	// KindTooLarge means that the share would have no room if it were empty.
	KindTooLarge
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "no memory or connection is left for this", "this takes more memory than there is for it"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Limits are what a process may use altogether.
type Limits struct {
	Memory      Bytes
	Descriptors int
}

// Budgeter is the budget of one process.
type Budgeter struct {
	limits   Limits
	logger   *zap.Logger
	registry metrics.Registry

	mutex       sync.Mutex
	memoryLeft  float64
	connections float64
}

// New returns a budget within the limits of the process. The registry gets the use of each share.
func New(limits Limits, logger *zap.Logger, registry metrics.Registry) *Budgeter {
	return &Budgeter{limits: limits, logger: logger, registry: registry, memoryLeft: clientMemory, connections: 1}
}

const (
	// clientMemory is the part of the memory of the process that clients may take together. The rest is for the program, its own state and
	// what the garbage collector has not freed yet.
	clientMemory = 0.68
	// reservedDescriptors are for the files of the process.
	reservedDescriptors = 200
	// clientDescriptors is the part of the others that connections of clients may take; the rest is for those that the process opens itself.
	clientDescriptors = 0.5
)

// Share reserves parts of the memory of the process and of the connections that clients may open. The parts of all shares together must
// not exceed clientMemory and 1; a share gets what is left at most.
func (b *Budgeter) Share(name string, memory, connections float64) *Share {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	memory, connections = min(memory, b.memoryLeft), min(connections, b.connections)
	b.memoryLeft -= memory
	b.connections -= connections
	all := float64(max(0, b.limits.Descriptors-reservedDescriptors)) * clientDescriptors
	return newShare(name, Bytes(math.Round(memory*float64(b.limits.Memory))), int(math.Round(connections*all)), b.logger, b.registry)
}
