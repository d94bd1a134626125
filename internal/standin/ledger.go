package standin

import (
	"sync"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Ledger is what really happened at all stand-in targets; tests and the demo hold promises against it.
type Ledger struct {
	mutex   sync.Mutex
	runs    map[string]int
	running map[fleet.CustomerID]int
	most    map[fleet.CustomerID]int
	cut     int
	late    int
	ran     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, running: map[fleet.CustomerID]int{}, most: map[fleet.CustomerID]int{}}
}

func (l *Ledger) begin(customer fleet.CustomerID, nonce string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ran++
	l.runs[nonce]++
	l.running[customer]++
	l.most[customer] = max(l.most[customer], l.running[customer])
}

func (l *Ledger) end(customer fleet.CustomerID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running[customer]--
}

func (l *Ledger) count(counter *int, n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	*counter += n
}

// Runs returns how often the work with a nonce was begun.
func (l *Ledger) Runs(nonce string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[nonce]
}

// Most returns the largest number of tasks that a customer had running at once.
func (l *Ledger) Most(customer fleet.CustomerID) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.most[customer]
}

// Totals returns the tasks begun, those cut by reboots and those that came to a target long after it began to leave.
func (l *Ledger) Totals() (ran, cut, late int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ran, l.cut, l.late
}
