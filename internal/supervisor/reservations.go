package supervisor

import (
	"errors"
	"sync"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
)

// textCopies are those of a text that is committed: in the record, in the log, in the latest snapshot, and in the next one and its frame while it is
// taken.
const textCopies = 5

// errTermEnded is the reason of a reservation that is refused because another leader must decide.
var errTermEnded = errors.New("the term has ended")

// reservations charge what the leader holds for each key to a share of its memory, from before it is committed until it is forgotten. Each keeper has
// the same share, so the next leader has room for what it inherits. Without a share nothing is charged.
type reservations[K comparable] struct {
	share *budgeter.Share
	mutex sync.Mutex
	// leases has one for each key; what was refused or not committed has one until the next retain at most.
	leases map[K]*budgeter.Lease
	// closed is set at the end of the term. Handlers of requests may still run then.
	closed bool
}

func newReservations[K comparable](s *budgeter.Share) *reservations[K] {
	return &reservations[K]{share: s, leases: map[K]*budgeter.Lease{}}
}

// reserve charges n bytes for a key, less what it has already.
func (r *reservations[K]) reserve(key K, n budgeter.Bytes) error {
	if r.share == nil {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return errTermEnded
	}
	if lease := r.leases[key]; lease != nil {
		return lease.Grow(n - lease.Held())
	}
	lease, err := r.share.Open(n)
	if err == nil {
		r.leases[key] = lease
	}
	return err
}

// hold charges exactly n bytes for a key, whether or not there is room: what is committed cannot be refused any more.
func (r *reservations[K]) hold(key K, n budgeter.Bytes) {
	if r.share == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if lease := r.leases[key]; lease == nil {
		r.leases[key] = r.share.Take(n)
	} else {
		lease.Take(n - lease.Held())
	}
}

// release gives back what a key has.
func (r *reservations[K]) release(key K) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leases[key].Close()
	delete(r.leases, key)
}

// retain releases the keys that are not to be kept.
func (r *reservations[K]) retain(keep func(key K) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, lease := range r.leases {
		if !keep(key) {
			lease.Close()
			delete(r.leases, key)
		}
	}
}

// close releases all keys for good.
func (r *reservations[K]) close() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.retain(func(K) bool { return false })
}
