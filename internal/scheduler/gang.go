package scheduler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// placeGang starts all tasks of a stage with one run number, or none.
func (s *Scheduler) placeGang(c candidate, instances []*instance) {
	step := &c.job.Steps[c.stage.stepIndex]
	requested := workload.Resources{}
	for i := range c.stage.tasks {
		t := &c.stage.tasks[i]
		if t.run != nil {
			return
		}
		requested = requested.Add(step.Resources)
	}
	if !s.withinLimit(c.job, requested) {
		return
	}
	assigned := fitGang(c, step, instances)
	if assigned == nil {
		return
	}
	number := s.nextRunNumber()
	for i, in := range assigned {
		r := &run{task: workload.TaskID{Job: c.job.ID, Position: workload.NewPosition(c.occurrence, c.stage.stepIndex, i)}, number: number}
		s.startRun(in, c.job, r)
		s.logRunDecision("run placed", r, in, "gang")
	}
}

// fitGang returns an instance for each task of the stage, in one rack where that is asked for and possible.
func fitGang(c candidate, step *workload.Step, instances []*instance) []*instance {
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
		return nil // it is worth waiting for room in one rack
	}
	return assignGang(c, step, instances)
}

// holds reports whether one of the racks could hold all tasks of the stage if it were empty.
func fitsInOneRack(c candidate, step *workload.Step, racks map[string][]*instance) bool {
	for _, list := range racks {
		n := 0
		for _, in := range list {
			if step.RequiredLabel != "" && !slices.Contains(in.Labels, step.RequiredLabel) {
				continue
			}
			room := in.Capacity
			for k := 0; room.Fits(step.Claim()) && (step.MaxPerInstance == 0 || k < step.MaxPerInstance) && n < len(c.stage.tasks); k++ {
				room = room.Sub(step.Claim())
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

func assignGang(c candidate, step *workload.Step, instances []*instance) []*instance {
	var assigned []*instance
	count := len(c.stage.tasks)
	for _, in := range instances {
		if !in.admits(c, step) {
			continue
		}
		room := in.free()
		for n := in.taskCount(c); room.Fits(step.Claim()) && len(assigned) < count && (step.MaxPerInstance == 0 || n < step.MaxPerInstance); n++ {
			room = room.Sub(step.Claim())
			assigned = append(assigned, in)
		}
	}
	if len(assigned) < count {
		return nil
	}
	return assigned
}
