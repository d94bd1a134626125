package courier

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// chooseLink returns the usable link for an instance: in its data centre if there is one, because an HTTP exchange has more bytes than what
// the leader and the carrier send of it, and among those the one with the highest weight, so that the loss of a carrier moves only its instances.
func (d *Dispatcher) chooseLink(id fleet.InstanceID, dataCentre fleet.DataCentreID) *link {
	var best *link
	near, highest := false, uint64(0)
	for _, l := range d.active {
		if !l.usable || l.doubted {
			continue
		}
		isNear, w := l.dataCentre == dataCentre, weight(id, l.carrier)
		if best == nil || isNear && !near || isNear == near && w > highest {
			best, near, highest = l, isNear, w
		}
	}
	return best
}

// weight is a hash (FNV-1a) of an instance and a carrier.
func weight(id fleet.InstanceID, carrier fleet.EntryID) uint64 {
	h := uint64(14695981039346656037)
	for _, text := range []string{string(carrier), string(id)} {
		for _, b := range []byte(text) {
			h = (h ^ uint64(b)) * 1099511628211
		}
	}
	// FNV-1a alone orders the carriers alike for ids that differ in their last characters; the finaliser of MurmurHash3 mixes the bits.
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// choose makes links to the carriers, takes as many as the fleet needs, and asks those whose clock is not known or old.
func (d *Dispatcher) choose(now time.Duration, carriers []fleet.EntryID) {
	d.active = nil
	if len(d.routes) <= directInstances {
		return
	}
	var candidates []*link
	for _, id := range carriers {
		l := d.links[id]
		if l == nil {
			l = &link{carrier: id, pending: map[uint64]chan result{}}
			d.links[id] = l
		}
		if l.usable && !l.doubted {
			candidates = append(candidates, l)
		}
		if !l.asking && (!l.usable && now >= l.retryAt || l.usable && (l.doubted || now-l.clockReadAt > maxClockAge)) {
			l.asking = true
			d.goroutines.Go(func() { d.askClock(l) })
		}
	}
	d.active = chooseActive(candidates, (len(d.routes)+instancesPerCarrier-1)/instancesPerCarrier)
}

// chooseActive returns the first candidate of each data centre, and others until there are as many as are needed.
func chooseActive(candidates []*link, needed int) []*link {
	var active, rest []*link
	seen := map[fleet.DataCentreID]bool{}
	for _, l := range candidates {
		if seen[l.dataCentre] {
			rest = append(rest, l)
			continue
		}
		seen[l.dataCentre] = true
		active = append(active, l)
	}
	return append(active, rest[:min(len(rest), max(0, needed-len(active)))]...)
}
