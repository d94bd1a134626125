package scheduler

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Limits of the history of crashes.
const (
	// historyTime is how long a crash is remembered, and maxHistory the number of crashes of a pool.
	historyTime = 5 * time.Minute
	maxHistory  = 64
	// hostMemory is how long a crash raises the rate that is expected of its machine.
	hostMemory = time.Minute
	// priorCrashes in priorExposure, the time of all instances together, is the rate before any is observed. Its weight is small.
	priorCrashes  = 0.5
	priorExposure = 6 * time.Minute
)

// crashHistory is the latest crashes in a pool and the rate of those that no task explains.
type crashHistory struct {
	crashes []*recordedCrash
	// since is from when on all crashes are known, and exposure the time of all instances from then to the latest crash.
	since    time.Duration
	exposure time.Duration
	// inherited is the time in which earlier leaders have observed inheritedRate.
	inherited     time.Duration
	inheritedRate float64
	// instances is the size of the pool at the latest crash.
	instances int
	// unexplained is the sum over the crashes.
	unexplained float64
}

// recordedCrash is one crash of an instance.
type recordedCrash struct {
	at       time.Duration
	host     string
	suspects []crashSuspect
	// unexplained is the probability that none of the suspects caused it.
	unexplained float64
}

// crashSuspect is a run at a crash.
type crashSuspect struct {
	streak *streak
	age    time.Duration
}

// crashesOf returns the history of a pool.
func (s *Scheduler) crashesOf(pool fleet.PoolID) *crashHistory {
	h := s.crashHistories[pool]
	if h == nil {
		h = &crashHistory{since: s.options.LeadingSince}
		for _, in := range s.instances.sorted {
			h.instances += boolToInt(in.Pool == pool)
		}
		s.crashHistories[pool] = h
	}
	return h
}

// inheritRate takes over a rate that an earlier leader has observed, the highest if there are several.
func (h *crashHistory) inheritRate(rate float64, exposure time.Duration) {
	if exposure > 0 && (h.inherited == 0 || rate > h.inheritedRate) {
		h.inherited, h.inheritedRate = exposure, rate
	}
}

// observed returns the time of all instances in which this leader and earlier ones have observed the rate.
func (h *crashHistory) observed() time.Duration {
	return min(h.inherited+h.exposure, time.Duration(h.instances)*historyTime)
}

// record adds a crash that leaves a number of instances, and forgets the old ones.
func (h *crashHistory) record(now time.Duration, host string, left int) *recordedCrash {
	event := &recordedCrash{at: now, host: host, unexplained: 1}
	h.crashes = append(h.crashes, event)
	h.since = max(h.since, now-historyTime)
	if drop := len(h.crashes) - maxHistory; drop > 0 {
		h.since = max(h.since, h.crashes[drop-1].at)
		h.crashes = slices.Delete(h.crashes, 0, drop)
	}
	h.crashes = slices.DeleteFunc(h.crashes, func(c *recordedCrash) bool { return c.at < h.since })
	h.instances = left + 1
	h.exposure = time.Duration(h.instances) * (now - h.since)
	return event
}

// explain computes anew which crashes the tasks explain. It begins with the assumption that they explain none. The contrary would blame a high
// rate of crashes on the tasks that met several of them, and each task that is blamed lowers the rate for the others.
func (h *crashHistory) explain() {
	for _, c := range h.crashes {
		c.unexplained = 1
	}
	h.unexplained = float64(len(h.crashes))
	rate, sum := h.rateWithout(nil), 0.0
	unexplained := make([]float64, len(h.crashes))
	for i, c := range h.crashes {
		unexplained[i] = rate / (rate + h.hazard(c))
		sum += unexplained[i]
	}
	for i, c := range h.crashes {
		c.unexplained = unexplained[i]
	}
	h.unexplained = sum
}

// hazard returns the rate at which the suspects of a crash explain it, by the evidence of the other crashes.
func (h *crashHistory) hazard(c *recordedCrash) float64 {
	sum := 0.0
	for _, suspect := range c.suspects {
		sum += suspect.streak.probability(h, slices.Index(suspect.streak.events, c)) * crashDensity(suspect.age)
	}
	return sum
}

// rateWithout returns how often an instance crashes without a task that explains it, in crashes a second. Those of a streak are left out.
func (h *crashHistory) rateWithout(k *streak) float64 {
	inheritedRate := h.inheritedRate
	if k != nil && k.inherited {
		inheritedRate = k.inheritedRate
	}
	crashes := max(priorCrashes, inheritedRate*(priorExposure+h.inherited).Seconds()) + h.unexplained
	if k != nil {
		for _, c := range k.events {
			if c != nil && c.at >= h.since {
				crashes -= c.unexplained
			}
		}
	}
	return max(priorCrashes, crashes) / (priorExposure + h.observed()).Seconds()
}

// hostRate returns how often a machine has crashed of late under other tasks than that of a streak, in crashes a second. A single crash does not
// raise it.
func (h *crashHistory) hostRate(now time.Duration, host string, k *streak) float64 {
	crashes := 0.0
	for _, c := range h.crashes {
		if c.host == host && now-c.at < hostMemory && !slices.Contains(k.events, c) {
			crashes += c.unexplained
		}
	}
	return max(0, crashes-1) / hostMemory.Seconds()
}
