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

// versionAt is a version of the configuration and since when it is acknowledged or was observed.
type versionAt struct {
	at      time.Duration
	version uint64
}

// latest returns the highest version of a list at a time.
func latest(list []versionAt, at time.Duration) (highest uint64) {
	for _, v := range list {
		if v.at <= at {
			highest = max(highest, v.version)
		}
	}
	return highest
}

// Drain records that a drain was acknowledged.
func (c *Checker) Drain(at time.Duration, dataCentre string) {
	defer c.lock()()
	c.drains[dataCentre] = at
}

// Resume records that a resumption is about to be sent; from then on starts are allowed.
func (c *Checker) Resume(dataCentre string) {
	defer c.lock()()
	delete(c.drains, dataCentre)
}

// Publish records that a version of the configuration is about to be sent.
func (c *Checker) Publish(version uint64) {
	defer c.lock()()
	c.sent = max(c.sent, version)
}

// Published records that a version was acknowledged.
func (c *Checker) Published(at time.Duration, version uint64) {
	defer c.lock()()
	c.acked = append(c.acked, versionAt{at, version})
}

// Read records the version of the configuration that a process answered with to a request sent at sentAt.
func (c *Checker) Read(sentAt, at time.Duration, version uint64) {
	defer c.lock()()
	inForce, seen := latest(c.acked, sentAt-EffectBound), latest(c.observed, sentAt)
	c.check(at, ConfigurationInForce, version >= inForce, "version %d is answered more than %s after version %d was acknowledged", version, EffectBound, inForce)
	c.check(at, ConfigurationInForce, version >= seen, "version %d is answered after version %d was", version, seen)
	c.check(at, ConfigurationInForce, version <= c.sent, "version %d is answered, and the last that was sent is %d", version, c.sent)
	c.observed = append(c.observed, versionAt{at, version})
}

// UseKey records whether a request with a key, sent at sentAt, was accepted, or refused because of its key.
func (c *Checker) UseKey(sentAt, at time.Duration, k Key, accepted bool) {
	defer c.lock()()
	lowest := latest(c.acked, sentAt-EffectBound) // each version from this to the last that was sent may be in force
	if accepted {
		c.check(at, KeyWithdrawn, lowest <= k.Last, "key %s is accepted more than %s after version %d without it was acknowledged", k.Name, EffectBound, lowest)
		return
	}
	c.check(at, ConfigurationInForce, lowest < k.First || c.sent > k.Last, "key %s is refused more than %s after version %d with it was acknowledged", k.Name, EffectBound, lowest)
}
