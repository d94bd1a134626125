package standin

import (
	"sync"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// ExecutionLog counts what actually ran on all stand-in targets. Tests and the demo check the guarantees of the system against it.
type ExecutionLog struct {
	mutex         sync.Mutex
	startsByNonce map[string]int
	running       map[fleet.CustomerID]int
	peakRunning   map[fleet.CustomerID]int
	// interrupted counts the tasks that were running when their target rebooted.
	interrupted int
	// lateStarts counts the tasks sent to a target more than lateStartThreshold after it began to leave.
	lateStarts int
	started    int
}

// NewExecutionLog returns an empty log.
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

// add increases one of the counters of the log.
func (e *ExecutionLog) add(counter *int, n int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	*counter += n
}

// StartCount returns how many times the request with a nonce was started.
func (e *ExecutionLog) StartCount(nonce string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.startsByNonce[nonce]
}

// PeakRunning returns the largest number of tasks of a customer that ran at once.
func (e *ExecutionLog) PeakRunning(customer fleet.CustomerID) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.peakRunning[customer]
}

// Totals returns the number of tasks started, of those interrupted by reboots, and of those sent to a target more than
// lateStartThreshold after it began to leave.
func (e *ExecutionLog) Totals() (started, interrupted, lateStarts int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.started, e.interrupted, e.lateStarts
}
