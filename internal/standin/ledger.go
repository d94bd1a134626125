package standin

import (
	"sync"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Ledger is what really happened at all stand-in targets; tests and the demo hold promises against it.
type ExecutionLog struct {
	mutex         sync.Mutex
	startsByNonce map[string]int
	running       map[fleet.CustomerID]int
	peakRunning   map[fleet.CustomerID]int
	interrupted   int
	lateStarts    int
	started       int
}

// NewLedger returns an empty ledger.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{startsByNonce: map[string]int{}, running: map[fleet.CustomerID]int{}, peakRunning: map[fleet.CustomerID]int{}}
}

func (e *ExecutionLog) recordStart(customer fleet.CustomerID, nonce string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.started++
	e.startsByNonce[nonce]++
	e.running[customer]++
	e.peakRunning[customer] = max(e.peakRunning[customer], e.running[customer])
}

func (e *ExecutionLog) recordEnd(customer fleet.CustomerID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running[customer]--
}

func (e *ExecutionLog) add(counter *int, n int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	*counter += n
}

// Runs returns how often the work with a nonce was begun.
func (e *ExecutionLog) StartCount(nonce string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.startsByNonce[nonce]
}

// Most returns the largest number of tasks that a customer had running at once.
func (e *ExecutionLog) PeakRunning(customer fleet.CustomerID) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.peakRunning[customer]
}

// Totals returns the tasks begun, those cut by reboots and those that came to a target long after it began to leave.
func (e *ExecutionLog) Totals() (started, interrupted, lateStarts int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started, e.interrupted, e.lateStarts
}
