package scheduler

import "time"

// Shares of the rate at which the platform accepts machine orders.
const (
	defaultMachineOrderRate = 32.0                   // orders a second, for a platform that states no rate
	sustainedShare          = 0.8                    // the rest is for repeated orders of earlier leaders
	burstShare              = 0.15                   // with sustainedShare less than a second's orders in any second
	throttleRecoveryShare   = 0.2                    // of the rate that returns each second after the platform has throttled
	minRateShare            = 0.1                    // of the rate that is left however often the platform throttles
	unansweredMoveWindow    = 300 * time.Millisecond // the platform answers within tens of milliseconds
	minUnansweredMoves      = 8                      // while the platform throttles
	maintenanceDebt         = 1.0                    // seconds of the rate that maintenance may use in advance
)

// machineBudget limits machine orders to what the platform accepts from all keepers together. Maintenance is ordered in waves with
// time limits, so it goes ahead of moves: it may leave a debt, which moves wait for.
type machineBudget struct {
	limit     float64 // orders a second
	rate      float64
	available float64
	updatedAt time.Duration
}

func newMachineBudget(now time.Duration, acceptedPerSecond float64) machineBudget {
	if acceptedPerSecond <= 0 {
		acceptedPerSecond = defaultMachineOrderRate
	}
	limit := acceptedPerSecond * sustainedShare
	return machineBudget{limit: limit, rate: limit, available: limit * burstShare / sustainedShare, updatedAt: now}
}

// update adds what has become available since the last call.
func (b *machineBudget) update(now time.Duration) {
	elapsed := max(0, now-b.updatedAt).Seconds()
	b.updatedAt = now
	b.available = min(b.available+elapsed*b.rate, max(1, b.rate*burstShare/sustainedShare))
	b.rate = min(b.limit, b.rate+elapsed*b.limit*throttleRecoveryShare)
}

// takeMove takes the budget of one move and reports whether there was any.
func (b *machineBudget) takeMove(now time.Duration) bool {
	b.update(now)
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// takeMaintenance takes the budget of one maintenance order, in advance if necessary, and reports whether there was any.
func (b *machineBudget) takeMaintenance(now time.Duration) bool {
	b.update(now)
	if b.available < 1-b.limit*maintenanceDebt {
		return false
	}
	b.available--
	return true
}

// throttled halves the rate after the platform has refused an order because there were too many.
func (b *machineBudget) throttled(now time.Duration) {
	b.update(now)
	b.rate = max(b.limit*minRateShare, b.rate/2)
	b.available = min(b.available, 0)
}

// maxUnanswered returns how many moves may be without an answer. While the platform does not answer, their machines serve nobody.
func (b *machineBudget) maxUnanswered() int {
	return max(minUnansweredMoves, int(b.rate*unansweredMoveWindow.Seconds()))
}
