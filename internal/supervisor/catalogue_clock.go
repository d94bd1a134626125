package supervisor

import (
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
)

// catalogueClock tells for how long a leader has answered by the catalogue that is in force. An earlier leader may have answered by it
// before, so the age is a lower bound.
type catalogueClock struct {
	mutex   sync.Mutex
	version uint64
	since   time.Duration
}

// observe records the version by which a request is answered, and returns the age of the catalogue, at least 1 ns.
func (c *catalogueClock) observe(now time.Duration, version uint64) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version != c.version {
		c.version, c.since = version, now
	}
	return max(1, now-c.since)
}

// dependsOnCatalogue reports whether a response says nothing but what the catalogue holds: a queue has routes and keys, or has not.
func dependsOnCatalogue(o forwarder.Operation, outcome forwarder.Outcome) bool {
	return o == forwarder.CountJobs || outcome == forwarder.UnknownQueue || outcome == forwarder.KeyMismatch
}
