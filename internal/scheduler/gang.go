package scheduler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// placeGang starts all tasks of a stage under one run number, or none of them. It returns false if they find too little room.
func (s *Scheduler) placeGang(c *candidate, instances []*instance) bool {
	if s.heldBack(c, 0) {
		return true
	}
	step := &c.job.Steps[c.stage.stepIndex]
	requested := workload.Resources{}
	for i := range c.stage.tasks {
		t := &c.stage.tasks[i]
		if t.run != nil {
			return true
		}
		requested = requested.Add(step.Resources)
	}
	if !s.withinLimit(c.job, requested) {
		return true
	}
	warm := warmInstances(instances)
	assigned := fitGang(c, step, warm)
	if assigned == nil && len(warm) < len(instances) {
		assigned = fitGang(c, step, instances)
	}
	if assigned == nil {
		return false
	}
	number := s.nextRunNumber()
	for i, in := range assigned {
		r := &run{task: workload.TaskID{Job: c.job.ID, Position: workload.NewPosition(c.occurrence, c.stage.stepIndex, i)}, number: number}
		s.startRun(in, c.job, r)
		s.logRunDecision("run placed", r, in, "gang")
	}
	return true
}

// fitGang returns an instance for each task of the stage, or nil. It prefers a single rack, the data rack first.
func fitGang(c *candidate, step *workload.Step, instances []*instance) []*instance {
	racks := map[string][]*instance{}
	var rackNames []string
	for _, in := range instances {
		if racks[in.Rack] == nil {
			rackNames = append(rackNames, in.Rack)
		}
		racks[in.Rack] = append(racks[in.Rack], in)
	}
	slices.SortStableFunc(rackNames, func(a, b string) int {
		return cmp.Compare(boolToInt(b == step.DataRack), boolToInt(a == step.DataRack))
	})
	for _, name := range rackNames {
		if assigned := assignGang(c, step, racks[name]); assigned != nil {
			return assigned
		}
	}
	if step.SameRack && c.class == classOnTime && fitsInOneRack(c, step, racks) {
		return nil // waits for capacity in a single rack until the job is late
	}
	return assignGang(c, step, instances)
}

// fitsInOneRack reports whether an otherwise empty rack could hold all tasks of the stage.
func fitsInOneRack(c *candidate, step *workload.Step, racks map[string][]*instance) bool {
	for _, list := range racks {
		n := 0
		for _, in := range list {
			if step.RequiredLabel != "" && !slices.Contains(in.Labels, step.RequiredLabel) {
				continue
			}
			free := in.Capacity
			for k := 0; free.Fits(step.Claim()) && (step.MaxPerInstance == 0 || k < step.MaxPerInstance) && n < len(c.stage.tasks); k++ {
				free = free.Sub(step.Claim())
				n++
			}
		}
		if n == len(c.stage.tasks) {
			return true
		}
	}
	return false
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// assignGang returns an instance for each task of the stage, or nil if the instances have too little free capacity.
func assignGang(c *candidate, step *workload.Step, instances []*instance) []*instance {
	var assigned []*instance
	count := len(c.stage.tasks)
	for _, in := range instances {
		if !in.admits(c.stage) {
			continue
		}
		free := in.free()
		for n := c.stage.runCounts[in]; free.Fits(step.Claim()) && len(assigned) < count && (step.MaxPerInstance == 0 || n < step.MaxPerInstance); n++ {
			free = free.Sub(step.Claim())
			assigned = append(assigned, in)
		}
	}
	if len(assigned) < count {
		return nil
	}
	return assigned
}

// stopGang stops the other members of the gang of a run that was not started. They work only together, and the gang starts anew once none of
// them runs.
func (s *Scheduler) stopGang(r *run, reason string) {
	if !r.job.step(r.task.Position).Gang {
		return
	}
	for _, p := range r.job.gangPositions(r.task.Position) {
		if t := r.job.task(p); t.run != nil && t.run.number == r.number {
			s.stopRun(t.instance, t.run, reason)
		}
	}
}
