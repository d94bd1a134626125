package scheduler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// placeGang starts all tasks of a stage with one run number, or none.
func (s *Scheduler) placeGang(c candidate, instances []*instance) {
	step := &c.job.Steps[c.stage.step]
	total := workload.Need{}
	for i := range c.stage.tasks {
		t := &c.stage.tasks[i]
		if t.run != nil {
			return
		}
		total = total.Add(step.Need)
	}
	if !s.inLimit(c.job, total) {
		return
	}
	places := fitGang(c, step, instances)
	if places == nil {
		return
	}
	number := s.nextRun()
	for i, in := range places {
		r := &run{task: workload.TaskID{Job: c.job.ID, Place: workload.At(c.round, c.stage.step, i)}, number: number}
		s.start(in, c.job, r)
		s.note("run placed", r, in, "gang")
	}
}

// fitGang returns an instance for each task of the stage, in one rack where that is asked for and possible.
func fitGang(c candidate, step *workload.Step, instances []*instance) []*instance {
	racks := map[string][]*instance{}
	var names []string
	for _, in := range instances {
		if racks[in.Rack] == nil {
			names = append(names, in.Rack)
		}
		racks[in.Rack] = append(racks[in.Rack], in)
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(boolRank(b == step.DataRack), boolRank(a == step.DataRack))
	})
	for _, name := range names {
		if places := fillGang(c, step, racks[name]); places != nil {
			return places
		}
	}
	if step.SameRack && c.class == classTimely && holds(c, step, racks) {
		return nil // it is worth waiting for room in one rack
	}
	return fillGang(c, step, instances)
}

// holds reports whether one of the racks could hold all tasks of the stage if it were empty.
func holds(c candidate, step *workload.Step, racks map[string][]*instance) bool {
	for _, list := range racks {
		n := 0
		for _, in := range list {
			if step.Label != "" && !slices.Contains(in.Labels, step.Label) {
				continue
			}
			room := in.Capacity
			for k := 0; room.Fits(step.Claim()) && (step.PerInstance == 0 || k < step.PerInstance) && n < len(c.stage.tasks); k++ {
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

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func fillGang(c candidate, step *workload.Step, instances []*instance) []*instance {
	var places []*instance
	want := len(c.stage.tasks)
	for _, in := range instances {
		if !in.admits(c, step) {
			continue
		}
		room := in.free()
		for n := in.count(c); room.Fits(step.Claim()) && len(places) < want && (step.PerInstance == 0 || n < step.PerInstance); n++ {
			room = room.Sub(step.Claim())
			places = append(places, in)
		}
	}
	if len(places) < want {
		return nil
	}
	return places
}
