// Package retrier decides whether and when a failed attempt is retried, with a retry budget and jittered exponential backoff.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of retries.
const (
	// BudgetFraction is the number of retries that each request adds to the budget, and so the fraction of the traffic that may be
	// retries.
	BudgetFraction = 0.1
	// BudgetCapacity is the number of retries that the budget can hold; it is full at the start.
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

// RecordRequest adds the share of one request to the budget. It is called once per request, not per attempt.
func (r *Retrier) RecordRequest() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tokens = min(r.tokens+BudgetFraction, BudgetCapacity)
}

// NextBackoff returns the delay before the next attempt and takes one retry from the budget. It returns false if the budget or
// the attempts are used up, or if the delay would take half of the remaining time or more.
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
