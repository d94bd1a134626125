package maintainer

import "time"

// stepLoads are the service tasks on the candidates, by step.
type stepLoads map[StepID]*stepLoad

// stepLoad is how many tasks of a step are on the machines of the wave, and how many of them on machines that are evacuated.
type stepLoad struct {
	total, evacuating, budget int
}

func newStepLoads(candidates []Candidate) stepLoads {
	loads := stepLoads{}
	for i := range candidates {
		for _, t := range candidates[i].ServiceTasks {
			load := loads[t.Step]
			if load == nil {
				load = &stepLoad{budget: max(1, t.Budget)}
				loads[t.Step] = load
			}
			load.total += t.Count
			if candidates[i].Evacuating {
				load.evacuating += t.Count
			}
		}
	}
	return loads
}

// chain returns the time in which the steps of a candidate can leave all machines of the wave. With whole racks in a wave, most
// tasks of a step may be on its machines, and they move one after the other.
func (l stepLoads) chain(c *Candidate) time.Duration {
	longest := time.Duration(0)
	for _, t := range c.ServiceTasks {
		longest = max(longest, relocations(l[t.Step].total, t.Budget))
	}
	return longest
}

// take reports whether the machines that are evacuated leave a part of the budget of every step of the candidate, and counts the
// candidate as evacuated if so. Otherwise its evacuation would only wait for theirs.
func (l stepLoads) take(c *Candidate) bool {
	for _, t := range c.ServiceTasks {
		if l[t.Step].evacuating >= l[t.Step].budget {
			return false
		}
	}
	for _, t := range c.ServiceTasks {
		l[t.Step].evacuating += t.Count
	}
	return true
}
