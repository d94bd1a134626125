package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Limits on the age of observations and on the absence of instances.
const (
	maxObservationAge = 2500 * time.Millisecond
	lostTimeout       = 8 * time.Second
	retireTimeout     = 24 * time.Hour
	// waveFailureWindow is the time after its maintenance in which a failing instance counts against the wave.
	waveFailureWindow = 5 * time.Minute
	// startupGrace is the time after the start of a leader in which observations are collected and no instance is marked as lost.
	startupGrace = 3 * time.Second
)

func sortedAssignments(s *state.State) []state.Assignment {
	list := make([]state.Assignment, 0, len(s.Instances))
	for _, a := range s.Instances {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b state.Assignment) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// presence adopts new instances and records which ones are lost, present again, retired or isolated.
func (p *Planner) presence(v *View, c *configuration.Configuration) []Step {
	var steps []Step
	for id, o := range v.Observations.All() {
		if _, known := v.State.Instances[id]; known || o.Age > maxObservationAge {
			continue
		}
		if step, ok := adoptStep(v, c, o); ok {
			steps = append(steps, step)
		}
	}
	if v.Now.Sub(p.started) < startupGrace {
		return steps
	}
	for _, a := range p.assignments {
		if step, ok := p.checkPresence(v, a); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

func adoptStep(v *View, c *configuration.Configuration, o Observation) (Step, bool) {
	pool, ok := c.Pool(o.Instance.HomePool)
	if !ok {
		pool, ok = c.SparePool()
	}
	if !ok {
		return Step{}, false
	}
	return Step{
		Command: state.AssignInstance{
			Instance: o.Instance.ID, Pool: pool.Name, DataCentre: o.Instance.DataCentre, Rack: o.Instance.Rack,
			Boot: o.Instance.BootID, At: state.TimestampOf(v.Now),
		},
		Reason: "first announcement received",
	}, true
}

func (p *Planner) checkPresence(v *View, a state.Assignment) (Step, bool) {
	o, observed := v.Observations.Get(a.Instance)
	silence := lostTimeout + time.Millisecond
	if observed {
		silence = o.Age
	}
	sinceChange := v.Now.Sub(a.Since.Time())
	rebooting := a.Phase == state.Rebooting || a.Phase == state.Verifying
	inWave := rebooting || v.Now.Sub(a.MaintainedAt.Time()) < waveFailureWindow && a.MaintainedAt > 0 && a.MaintainedAt >= v.State.RolloutAt
	switch {
	case a.Lost && silence < maxObservationAge:
		return Step{Command: state.SetLost{Instance: a.Instance, At: state.TimestampOf(v.Now)}, Reason: "announcements received again"}, true
	case a.Lost && sinceChange > retireTimeout:
		return Step{Command: state.RemoveInstance{Instance: a.Instance}, Reason: "lost for longer than the retire timeout"}, true
	case a.Lost, rebooting && sinceChange < v.State.Configuration().Maintenance.RebootTimeout:
		return Step{}, false
	case silence > lostTimeout:
		return Step{
			Command: state.SetLost{Instance: a.Instance, Lost: true, InWave: inWave, At: state.TimestampOf(v.Now)},
			Reason:  fmt.Sprintf("no announcement for %s", silence.Round(time.Second)),
		}, true
	}
	return isolationStep(v, a, inWave)
}

// isolationStep records that the owner of the pool isolated or released an instance.
func isolationStep(v *View, a state.Assignment, inWave bool) (Step, bool) {
	r, ok := v.Reports.Get(a.Pool)
	if !ok || r.Epoch != v.State.Owners[a.Pool].Epoch || r.Sick[a.Instance] == a.Isolated {
		return Step{}, false
	}
	isolated := r.Sick[a.Instance]
	return Step{
		Command: state.SetIsolated{Instance: a.Instance, Isolated: isolated, InWave: inWave},
		Reason:  "health decision of the owner of the pool",
	}, true
}

// claims expires settled claims after ClaimRetention, and settles claims as not run if their entry is gone and never sent them. An
// open repeatable claim does not record its attempt, so it may have been sent; the leader resolves it.
func (p *Planner) claims(v *View, _ *configuration.Configuration) []Step {
	var steps []Step
	if v.Now.Sub(p.claimsExpiredAt) > expireInterval {
		p.claimsExpiredAt = v.Now
		steps = append(steps, Step{Command: state.ExpireClaims{Before: state.TimestampOf(v.Now.Add(-ClaimRetention))}, Reason: "retention"})
	}
	for _, claim := range OrphanedClaims(v.State, v.LeaseExpired) {
		if claim.Attempt != "" || claim.Repeatable {
			continue
		}
		steps = append(steps, Step{
			Command: state.SettleClaim{Key: claim.Key, Request: claim.Request, Result: fleet.NotRun, At: state.TimestampOf(v.Now)},
			Reason:  "its entry is gone and the request was never sent",
		})
	}
	return steps
}

// ClaimRetention is how long a settled claim is kept for repeated requests with its key.
const ClaimRetention = 24 * time.Hour

const expireInterval = time.Minute

// OrphanedClaims returns the open claims whose entry has restarted or lost its state lease and can no longer settle them, in order of
// their keys.
func OrphanedClaims(s *state.State, leaseOver func(fleet.EntryID) bool) []state.Claim {
	var list []state.Claim
	for _, c := range s.Claims {
		orphaned := s.Members[c.Entry].Incarnation != c.EntryBoot || leaseOver(c.Entry)
		if c.Result == "" && orphaned {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b state.Claim) int { return cmp.Compare(a.Key, b.Key) })
	return list
}
