package scheduler

import (
	"maps"
	"slices"
	"time"
)

// Timing of reads of the platform's list of machines for waves.
const (
	returnListDelay    = 2300 * time.Millisecond // maintenance takes 2 s, and an instance announces itself at its start
	returnListInterval = time.Second             // a machine on standby holds its place for half of this longer than it is down; each read is charged
)

// releaseReturned releases the places of the machines that are back, and reports whether there were any. Only a later boot or the
// platform's list of machines shows that a machine is back.
func (s *Scheduler) releaseReturned(w *wave) (released bool) {
	for _, machine := range slices.Sorted(maps.Keys(w.inProgress)) {
		m := w.inProgress[machine]
		if !m.done {
			continue
		}
		if in := s.instanceOn(machine); in != nil && in.Boot > m.orderedBoot {
			w.maintainer.ObserveReturn(s.now - m.requestedAt)
			delete(w.inProgress, machine)
			s.cancelEvacuation(in) // it may have announced itself before the order was answered
			released = true
		}
	}
	return released
}

// followBoots applies to the machines that another boot runs there. A later boot has to be evacuated too, and gets no work while an order that
// may end it is in flight.
func (s *Scheduler) followBoots(w *wave) {
	for machine, m := range w.inProgress {
		in := s.instanceOn(machine)
		if in == nil || in == m.instance || m.done {
			continue
		}
		if !m.uncertain && !m.inFlight {
			delete(w.inProgress, machine)
			continue
		}
		m.instance = in
		in.evacuating = true
	}
}

// returnListDue reports whether the platform's list is to be read because places are held by machines whose instances have not
// announced themselves. Machines on standby have none.
func (s *Scheduler) returnListDue() bool {
	if s.now-s.machinesListedAt < returnListInterval {
		return false
	}
	for _, w := range s.waves {
		for _, m := range w.inProgress {
			if m.done && s.now-m.begunAt >= returnListDelay {
				return true
			}
		}
	}
	return false
}

// HandleMachineList processes the platform's list of machines that was requested at the given time. It shows for the machines whose
// maintenance had begun by then whether they are up again.
func (s *Scheduler) HandleMachineList(now, requestedAt time.Duration, list []Machine) {
	s.now = now
	s.applyMachineList(requestedAt, list)
	listed := make(map[string]Machine, len(list))
	for _, m := range list {
		listed[m.Name] = m
	}
	for _, w := range s.waves {
		for machine, m := range w.inProgress {
			entry, exists := listed[machine]
			if !m.done || requestedAt <= m.begunAt || exists && !entry.Available {
				continue
			}
			delete(w.inProgress, machine)
			if m.instance != nil && !m.instance.departed {
				m.instance.awaitsMaintenance = false
				s.cancelEvacuation(m.instance) // the repeated order had been carried out before
			}
		}
	}
}

func (s *Scheduler) instanceOn(machine string) *instance {
	for _, in := range s.instances.byMachine[machine] {
		if !in.departed {
			return in
		}
	}
	return nil
}
