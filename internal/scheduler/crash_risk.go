package scheduler

import "math"

// maxStreakLevel is the number of crashes from which tasks are not told apart by their number.
const maxStreakLevel = 4

// Weights of the risk of a crash in the score of an instance.
const (
	weightRival       = 8.0  // tasks with as many crashes are told apart only on different instances
	weightStreak      = 8.0  // a crash under a task with two crashes or more ends its neighbours too
	weightServiceRisk = 12.0 // a service task loses more by a crash than a batch task does
	weightEmptiness   = 2.0  // of several instances without rivals the one with the fewest neighbours; exceeds the weight of packing in the score
	weightLot         = 2.0  // a choice by what has crashed before could keep innocent tasks where the next crash is due
)

// level is the number of crashes up to maxStreakLevel.
func (k *streak) level() int { return min(k.crashes(), maxStreakLevel) }

// countStreak replaces the level with which a run counts on the instance.
func (in *instance) countStreak(r *run, level int) {
	in.streakRuns[r.streakLevel]--
	in.streakRuns[level]++
	r.streakLevel = level
}

// rivals returns the number of runs whose tasks have a streak of at least a level.
func (in *instance) rivals(level int) int {
	n := 0
	for _, count := range in.streakRuns[level:] {
		n += count
	}
	return n
}

// crashRisk returns by how much the score of an instance is lowered because of streaks: that of the task to start or those of the runs there.
func (in *instance) crashRisk(c *candidate, t *task) float64 {
	if level := t.streak.level(); level > 0 {
		return in.suspectRisk(c.job, level)
	}
	switch {
	case in.rivals(2) == 0:
		return 0
	case c.stage.step.Service:
		return weightStreak + weightServiceRisk
	default:
		return weightStreak
	}
}

// suspectRisk is the risk of an instance for a task with a streak, which starts away from tasks with as many crashes. From the second crash on
// it keeps away from service tasks, and prefers few neighbours.
func (in *instance) suspectRisk(j *job, level int) float64 {
	risk := weightRival*float64(in.rivals(level)) + weightLot*in.lot(j, level)
	if level == 1 {
		return risk
	}
	load := float64(in.claimed.Processors) / float64(max(1, in.Capacity.Processors))
	return risk + weightServiceRisk*float64(boolToInt(in.serviceRuns > 0)) + weightEmptiness*load
}

// lot returns a number from 0 to 1 that is as good as random for a job, an instance and a level. It is computed for each instance and task after
// the loss of a data centre, hence without the hash functions of the library.
func (in *instance) lot(j *job, level int) float64 {
	hash := uint32(2166136261) // FNV-1a
	for i := range len(in.ID) {
		hash = (hash ^ uint32(in.ID[i])) * 16777619
	}
	hash = (hash ^ uint32(j.acceptedIndex) ^ uint32(level)<<24) * 2654435769
	hash = (hash ^ hash>>15) * 2246822519
	return float64(hash^hash>>13) / math.MaxUint32
}
