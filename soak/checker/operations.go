package checker

import (
	"math"
	"time"
)

// Key is a key of a customer, which is in force from the version First of the configuration up to the version Last.
type Key struct {
	Name        string
	First, Last uint64
}

// Permanent is the last version of a key that is never withdrawn.
const Permanent = math.MaxUint64

// drain says that a data centre is drained, since its acknowledgement.
type drain struct {
	since   time.Duration
	drained bool
}

// Drain records that a drain was acknowledged.
func (c *Checker) Drain(at time.Duration, dataCentre string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drains[dataCentre] = drain{at, true}
}

// Resume records that a resumption is about to be sent; from then on starts are allowed.
func (c *Checker) Resume(dataCentre string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.drains, dataCentre)
}

func (c *Checker) checkDrain(at time.Duration, r Run) {
	if d := c.drains[r.DataCentre]; d.drained && at > d.since+EffectBound {
		c.check(at, DrainHolds, false, "task %s starts on %s in %s, %.3f s after the acknowledgement of its drain", r.Task, r.Instance, r.DataCentre, (at - d.since).Seconds())
		return
	}
	c.checks[DrainHolds]++
}

// Publish records that a version of the configuration is about to be sent.
func (c *Checker) Publish(version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent = max(c.sent, version)
}

// Published records that a version was acknowledged.
func (c *Checker) Published(at time.Duration, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.acked = append(c.acked, versionAt{at, version})
}

// latest returns the highest version of a list at a time.
func latest(list []versionAt, at time.Duration) uint64 {
	var highest uint64
	for _, v := range list {
		if v.at <= at {
			highest = max(highest, v.version)
		}
	}
	return highest
}

// Read records the version of the configuration that a process answered with to a request sent at sentAt.
func (c *Checker) Read(sentAt, at time.Duration, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	inForce := latest(c.acked, sentAt-EffectBound)
	c.check(at, ConfigurationInForce, version >= inForce, "version %d is answered more than %s after version %d was acknowledged", version, EffectBound, inForce)
	seen := latest(c.observed, sentAt)
	c.check(at, ConfigurationInForce, version >= seen, "version %d is answered after version %d was", version, seen)
	c.check(at, ConfigurationInForce, version <= c.sent, "version %d is answered, and the last that was sent is %d", version, c.sent)
	if version > latest(c.observed, at) {
		c.observed = append(c.observed, versionAt{at, version})
	}
}

// UseKey records whether a request with a key, sent at sentAt, was accepted, or refused because of its key.
func (c *Checker) UseKey(sentAt, at time.Duration, k Key, accepted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lowest := latest(c.acked, sentAt-EffectBound)
	if accepted {
		c.check(at, KeyWithdrawn, lowest <= k.Last, "key %s is accepted more than %s after version %d without it was acknowledged", k.Name, EffectBound, lowest)
		return
	}
	// Each version from lowest to the last one that was sent may be in force.
	if lowest >= k.First && c.sent <= k.Last {
		c.check(at, ConfigurationInForce, false, "key %s is refused more than %s after version %d with it was acknowledged", k.Name, EffectBound, lowest)
	}
}
