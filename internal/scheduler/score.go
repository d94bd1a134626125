package scheduler

import "github.com/sapphiresail/sapphiresail/internal/scorer"

// score returns how well an instance with room suits a task.
func (in *instance) score(c *candidate, t *task) float64 {
	step := c.stage.step
	p := scorer.Place{
		Cold: in.cold, AwaitsMaintenance: in.awaitsMaintenance, InDataRack: step.DataRack != "" && in.Rack == step.DataRack, Previous: t.lastInstance == in.ID,
		Failures: in.recentFailures, CrashRisk: in.crashRisk(c, t), Load: float64(in.claimed.Processors) / float64(max(1, in.Capacity.Processors)),
	}
	if !step.Service {
		return p.Score()
	}
	service := scorer.Service{
		Gathers: in.serviceRuns > 0 || c.serviceInstances < minPoolInstances, OnInstance: c.stage.runCounts[in], InRack: c.tasksPerRack[in.Rack],
	}
	if step.TailLatencyTarget > 0 || step.BestEffort {
		service.Interfering = in.interferingRuns(step)
	}
	p.Service = &service
	return p.Score()
}
