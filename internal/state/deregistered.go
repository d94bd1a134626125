package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

const (
	// deregisteredRetention is how long an announcement may be in transit: the time-outs of its sender and of a keeper add up to 4 s, and
	// orders are executed up to 12 s late. The rest is for the difference between the clocks of two leaders.
	deregisteredRetention = 30 * time.Second
	// maxDeregisteredBoots bounds the records: a fleet of three thousand may be deregistered at once. Its records take less of a snapshot
	// than its enrolments did.
	maxDeregisteredBoots = 4096
)

// DeregisteredBoot is the record of the boot that a deregistered instance had.
type DeregisteredBoot struct {
	Boot int64 `cbor:"1,keyasint,omitempty"`
	// Sequence is the last known one of its announcements, zero if none is known.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// At is when the instance was deregistered.
	At Timestamp `cbor:"3,keyasint,omitempty"`
}

// compare orders boots of one instance, and what is known of one boot.
func (b DeregisteredBoot) compare(other DeregisteredBoot) int {
	return cmp.Or(cmp.Compare(b.Boot, other.Boot), cmp.Compare(b.Sequence, other.Sequence))
}

// DeregisteredBoots holds the latest boot of each deregistered instance of which an announcement may still be in transit.
type DeregisteredBoots map[fleet.InstanceID]DeregisteredBoot

// Overtakes reports whether the instance has said something later than an announcement of the given boot and sequence number.
func (d DeregisteredBoots) Overtakes(id fleet.InstanceID, boot int64, sequence uint64, now Timestamp) bool {
	b, exists := d[id]
	return exists && !b.expired(now) && (boot < b.Boot || boot == b.Boot && sequence <= b.Sequence && b.Sequence > 0)
}

func (b DeregisteredBoot) expired(now Timestamp) bool {
	return now-b.At > Timestamp(deregisteredRetention.Milliseconds())
}

// Record adds what is known of an instance that is deregistered, unless something later is known.
func (d DeregisteredBoots) Record(id fleet.InstanceID, b DeregisteredBoot) {
	if known, exists := d[id]; exists && known.compare(b) > 0 {
		b.Boot, b.Sequence = known.Boot, known.Sequence
	}
	d[id] = b
}

// Expire removes the records that have expired, and the oldest beyond the bound.
func (d DeregisteredBoots) Expire(now Timestamp) {
	maps.DeleteFunc(d, func(_ fleet.InstanceID, b DeregisteredBoot) bool { return b.expired(now) })
	if len(d) <= maxDeregisteredBoots {
		return
	}
	type age struct {
		at Timestamp
		id fleet.InstanceID
	}
	ages := make([]age, 0, len(d))
	for id, b := range d {
		ages = append(ages, age{b.At, id})
	}
	slices.SortFunc(ages, func(a, b age) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	for _, oldest := range ages[:len(d)-maxDeregisteredBoots] {
		delete(d, oldest.id)
	}
}

// DeregisterInstances removes instances that have no more runs.
type DeregisterInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
	// Boots are the latest known boots of the instances. Earlier versions neither send nor record them.
	Boots DeregisteredBoots `cbor:"2,keyasint,omitempty"`
	At    Timestamp         `cbor:"3,keyasint,omitempty"`
}

func (c DeregisterInstances) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		delete(s.Workload.Enrolled, id)
		delete(s.Workload.Cordoned, id)
	}
	for id, b := range c.Boots {
		b.At = c.At
		s.Workload.Deregistered.Record(id, b)
	}
	if len(c.Boots) > 0 {
		s.Workload.Deregistered.Expire(c.At)
	}
	return Reply{}, nil
}
