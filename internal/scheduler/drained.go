package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// SetDrainedDataCentres replaces the data centres on whose instances nothing is started. What runs there ends by itself. The caller must
// not change the map afterwards.
func (s *Scheduler) SetDrainedDataCentres(drained map[fleet.DataCentreID]bool) {
	s.drainedDataCentres = drained
	for _, in := range s.instances.sorted {
		if s.drained(in.DataCentre) {
			in.consolidating, in.reclaimed = false, false // machines there are not moved
		}
	}
}

func (s *Scheduler) drained(dataCentre fleet.DataCentreID) bool {
	return len(s.drainedDataCentres) > 0 && s.drainedDataCentres[dataCentre]
}

// machineDrained reports whether a machine was in a drained data centre when it was last seen. A machine that was on standby ever since the
// deployment began is in none that is known.
func (s *Scheduler) machineDrained(name string) bool {
	return len(s.drainedDataCentres) > 0 && s.drainedDataCentres[s.machineDataCentres[name]]
}

// locateMachine records in which data centre the machine of an instance is.
func (s *Scheduler) locateMachine(in *instance) {
	if in.Machine != "" && in.DataCentre != "" {
		s.machineDataCentres[in.Machine] = in.DataCentre
	}
}

// StartPending reports whether a start in a data centre that was ordered within the given time has not been answered. Its instance may
// still execute it.
func (s *Scheduler) StartPending(now time.Duration, dataCentre fleet.DataCentreID, within time.Duration) bool {
	for _, in := range s.instances.sorted {
		if in.DataCentre != dataCentre {
			continue
		}
		if in.inherited && !in.polled && now-s.options.LeadingSince < within {
			return true
		}
		for _, r := range in.runs {
			if (r.status == statusOrdered || r.status == statusUncertain) && now-r.orderedAt < within {
				return true
			}
		}
	}
	return false
}
