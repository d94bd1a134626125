package state

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// AssignInstance assigns a newly announced instance to a pool.
type AssignInstance struct {
	Instance   fleet.InstanceID
	Pool       fleet.PoolID
	DataCentre fleet.DataCentreID
	Rack       fleet.RackID
	Boot       string
	At         Timestamp
}

func (c AssignInstance) apply(s *State) (Reply, error) {
	if _, ok := s.config.Pool(c.Pool); !ok {
		return Reply{}, refuse("adopt", KindUnknown, "pool %q is not configured", c.Pool)
	}
	if existing, ok := s.Instances[c.Instance]; ok {
		if existing.Pool == c.Pool {
			return Reply{}, nil
		}
		return Reply{}, refuse("adopt", KindConflict, "instance %q belongs to pool %q", c.Instance, existing.Pool)
	}
	s.Instances[c.Instance] = Assignment{
		Instance: c.Instance, Pool: c.Pool, DataCentre: c.DataCentre, Rack: c.Rack,
		Phase: Serving, Since: c.At, MaintainedAt: c.At, BootID: c.Boot,
	}
	return Reply{}, nil
}

// assignment returns the assignment of an instance, or refuses the operation if there is none.
func (s *State) assignment(op string, id fleet.InstanceID) (Assignment, error) {
	a, ok := s.Instances[id]
	if !ok {
		return a, refuse(op, KindUnknown, "instance %q is not known", id)
	}
	return a, nil
}

// AvailableInstances returns the number of instances that count for the availability budget of a pool.
func (s *State) AvailableInstances(pool fleet.PoolID) int {
	n := 0
	for _, a := range s.Instances {
		if a.Pool == pool && a.Available() {
			n++
		}
	}
	return n
}

// Disrupt starts to drain an instance for planned work, within the availability budget of its pool.
type Disrupt struct {
	Instance fleet.InstanceID
	Reason   DisruptionReason
	Target   fleet.PoolID
	// Boot is the boot id that a reboot must replace.
	Boot string
	At   Timestamp
}

func (c Disrupt) apply(s *State) (Reply, error) {
	a, err := s.assignment("disrupt", c.Instance)
	if err != nil {
		return Reply{}, err
	}
	if a.Phase != Serving {
		return Reply{}, refuse("disrupt", KindPhase, "instance %q is %s for %s", c.Instance, a.Phase, a.Reason)
	}
	if c.Reason == ReasonMaintenance && s.HaltReason != "" {
		return Reply{}, refuse("disrupt", KindHalted, "%s", s.HaltReason)
	}
	if _, configured := s.config.Pool(c.Target); c.Reason == ReasonMove && (!configured || c.Target == a.Pool) {
		return Reply{}, refuse("disrupt", KindUnknown, "pool %q cannot take instance %q", c.Target, c.Instance)
	}
	pool, _ := s.config.Pool(a.Pool)
	if available := s.AvailableInstances(a.Pool); a.Available() && available-1 < pool.MinimumAvailable {
		return Reply{}, refuse("disrupt", KindBudget, "pool %q has %d of at least %d available", a.Pool, available, pool.MinimumAvailable)
	}
	a.Phase, a.Reason, a.MoveTo, a.Since = Draining, c.Reason, c.Target, c.At
	a.BootID, a.PhaseIndex, a.Deprioritized = c.Boot, s.AppliedIndex, false
	s.Instances[c.Instance] = a
	return Reply{}, nil
}

// AdvancePhase moves an instance to the next phase of its maintenance: draining, rebooting, verifying.
type AdvancePhase struct {
	Instance fleet.InstanceID
	From     Phase
	To       Phase
	At       Timestamp
}

func (c AdvancePhase) apply(s *State) (Reply, error) {
	a, err := s.assignment("advance", c.Instance)
	if err != nil {
		return Reply{}, err
	}
	if a.Phase == c.To {
		return Reply{}, nil
	}
	next := map[Phase]Phase{Draining: Rebooting, Rebooting: Verifying}
	if a.Phase != c.From || next[c.From] != c.To || a.Reason == ReasonMove {
		return Reply{}, refuse("advance", KindPhase, "instance %q is %s, not %s", c.Instance, a.Phase, c.From)
	}
	a.Phase, a.Since, a.PhaseIndex = c.To, c.At, s.AppliedIndex
	s.Instances[c.Instance] = a
	return Reply{}, nil
}

// CompleteMove assigns a drained instance to the destination pool of its move.
type CompleteMove struct {
	Instance fleet.InstanceID
	At       Timestamp
}

func (c CompleteMove) apply(s *State) (Reply, error) {
	a, ok := s.Instances[c.Instance]
	if !ok || a.Phase != Draining || a.Reason != ReasonMove {
		return Reply{}, refuse("move", KindPhase, "instance %q is not draining for a move", c.Instance)
	}
	if _, ok := s.config.Pool(a.MoveTo); !ok {
		return Reply{}, refuse("move", KindUnknown, "pool %q is not configured", a.MoveTo)
	}
	a.Pool, a.MoveTo = a.MoveTo, ""
	a.Phase, a.Reason, a.Since, a.PhaseIndex = Serving, "", c.At, s.AppliedIndex
	s.Instances[c.Instance] = a
	return Reply{}, nil
}

// Restore returns an instance to service; Maintained is set after completed maintenance.
type Restore struct {
	Instance   fleet.InstanceID
	Maintained bool
	Boot       string
	At         Timestamp
}

func (c Restore) apply(s *State) (Reply, error) {
	a, err := s.assignment("restore", c.Instance)
	if err != nil {
		return Reply{}, err
	}
	if c.Maintained && a.Phase != Verifying {
		return Reply{}, refuse("restore", KindPhase, "instance %q is %s, not verifying", c.Instance, a.Phase)
	}
	if !c.Maintained && a.Phase == Rebooting {
		return Reply{}, refuse("restore", KindPhase, "instance %q may be rebooted at any moment", c.Instance)
	}
	if c.Maintained {
		a.MaintainedAt = c.At
		a.BootID = c.Boot
	}
	a.Phase, a.Reason, a.MoveTo, a.Since, a.PhaseIndex = Serving, "", "", c.At, s.AppliedIndex
	s.Instances[c.Instance] = a
	return Reply{}, nil
}

// SetLost records that an instance was lost outside planned work, or that it has returned.
type SetLost struct {
	Instance fleet.InstanceID
	Lost     bool
	// InWave is set if the loss counts as a failure of the maintenance wave.
	InWave bool
	At     Timestamp
}

func (c SetLost) apply(s *State) (Reply, error) {
	a, err := s.assignment("lose", c.Instance)
	if err != nil {
		return Reply{}, err
	}
	if a.Lost == c.Lost {
		return Reply{}, nil
	}
	a.Lost, a.Since = c.Lost, c.At
	s.Instances[c.Instance] = a
	if c.Lost && c.InWave {
		s.recordWaveFailure(string(c.Instance))
	}
	return Reply{}, nil
}

// recordWaveFailure counts a failure of the maintenance wave and halts maintenance at the configured number.
func (s *State) recordWaveFailure(instance string) {
	s.WaveFailures++
	if s.HaltReason == "" && s.WaveFailures >= s.config.Maintenance.HaltAfter {
		s.HaltReason = "instances failed together in a wave, last " + instance
	}
}

// SetIsolated records that an instance fails requests that other instances complete, or that it has recovered.
type SetIsolated struct {
	Instance fleet.InstanceID
	Isolated bool
	// InWave is set if the isolation counts as a failure of the maintenance wave.
	InWave bool
}

func (c SetIsolated) apply(s *State) (Reply, error) {
	a, err := s.assignment("isolate", c.Instance)
	if err != nil {
		return Reply{}, err
	}
	if a.Isolated == c.Isolated {
		return Reply{}, nil
	}
	a.Isolated = c.Isolated
	s.Instances[c.Instance] = a
	if c.Isolated && c.InWave {
		s.recordWaveFailure(string(c.Instance))
	}
	return Reply{}, nil
}

// RemoveInstance deletes the assignment of a lost instance.
type RemoveInstance struct {
	Instance fleet.InstanceID
}

func (c RemoveInstance) apply(s *State) (Reply, error) {
	if a, ok := s.Instances[c.Instance]; ok && !a.Lost {
		return Reply{}, refuse("retire", KindPhase, "instance %q is not lost", c.Instance)
	}
	delete(s.Instances, c.Instance)
	return Reply{}, nil
}

// Halt stops maintenance until a Resume; the reason of an earlier halt stays.
type Halt struct {
	Reason string
}

func (c Halt) apply(s *State) (Reply, error) {
	if s.HaltReason == "" {
		s.HaltReason = c.Reason
	}
	return Reply{}, nil
}

// Resume continues maintenance and resets the failure count of the wave.
type Resume struct{}

func (c Resume) apply(s *State) (Reply, error) {
	s.HaltReason = ""
	s.WaveFailures = 0
	return Reply{}, nil
}

// Roll requests maintenance of every instance that was last maintained before At, and resets the failure count of the wave.
type Roll struct {
	At Timestamp
}

func (c Roll) apply(s *State) (Reply, error) {
	s.RolloutAt = max(s.RolloutAt, c.At)
	s.WaveFailures = 0
	return Reply{}, nil
}

// SetDeprioritized sets whether the pool owner prefers other instances to this one, which is stopped next.
type SetDeprioritized struct {
	Instance fleet.InstanceID
	Fading   bool
}

func (c SetDeprioritized) apply(s *State) (Reply, error) {
	a, err := s.assignment("fade", c.Instance)
	if err != nil {
		return Reply{}, err
	}
	a.Deprioritized = c.Fading
	s.Instances[c.Instance] = a
	return Reply{}, nil
}
