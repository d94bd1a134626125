// Package retrier decides whether and when a failed attempt is repeated.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of retries.
const (
	// BudgetFraction is the part of the traffic that may be retries.
	BudgetFraction = 0.1
	// BudgetFloor is the number of retries that may always be saved up.
	BudgetCapacity = 20
	maxAttempts    = 4
	baseBackoff    = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// Retrier holds the retry budget of one entry.
type Retrier struct {
	mutex  sync.Mutex
	tokens float64
	rng    *rand.Rand
}

// New returns a retrier with a full budget and seeded jitter.
func New(seed uint64) *Retrier {
	return &Retrier{tokens: BudgetCapacity, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Count notes a first attempt, which earns a part of a retry.
func (r *Retrier) RecordRequest() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tokens = min(r.tokens+BudgetFraction, BudgetCapacity)
}

// Next returns the pause before the next attempt, or false when there is no budget, time or attempt left.
func (r *Retrier) NextBackoff(attempts int, remaining time.Duration) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if attempts >= maxAttempts || r.tokens < 1 {
		return 0, false
	}
	maxDelay := min(baseBackoff<<attempts, maxBackoff)
	backoff := time.Duration(r.rng.Int64N(int64(maxDelay)))
	if backoff >= remaining/2 {
		return 0, false
	}
	r.tokens--
	return backoff, true
}
