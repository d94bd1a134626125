package chronicler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/event"
)

// run is what the lines say of one run of a task, or of one attempt of a request.
type run struct {
	number, task, instance string
	from, to               Instant
	// placed is whether a line from before the end names the run; without one, its time counts as waiting.
	placed bool
	// ended is whether the end is logged, and lost whether the run had no result.
	ended, lost bool
}

// runsOf returns the runs that lines name, in order of their first lines.
func runsOf(lines []*line) []*run {
	var runs []*run
	byNumber := map[string]*run{}
	for _, l := range lines {
		number := cmp.Or(l.text("run"), l.text("attempt"))
		if number == "" || number == "0" {
			continue
		}
		r := byNumber[number]
		if r == nil {
			r = &run{number: number, task: cmp.Or(l.text(taskField), l.text("request")), from: l.at}
			if l.number == event.OrderCompleted.Number && l.text("order") == "start" {
				r.from = l.at.before(l.seconds("took")) // the line of its placement is missing
			}
			byNumber[number] = r
			runs = append(runs, r)
		}
		r.instance = cmp.Or(l.text("instance"), r.instance)
		r.apply(l)
		r.placed = r.placed || !r.ended || r.from < r.to
	}
	return runs
}

// apply ends the run if the line says so. A run that was lost may still be believed to start on a later boot, and is lost again.
func (r *run) apply(l *line) {
	switch {
	case r.ended && r.lost && l.text("what") == "run lost":
		r.to = l.at
		return
	case r.ended:
		return
	case l.number == event.DecisionMade.Number:
		switch l.text("what") {
		case "run ended":
			r.ended, r.lost = true, l.text("reason") != "done"
		case "run lost", "run rejected", "run unsent", "task set apart", "task given up":
			r.ended, r.lost = true, true
		}
	case l.number == event.TaskEnded.Number:
		r.ended, r.lost = true, l.text("success") != "true"
	case l.number == event.TaskRetried.Number:
		r.ended, r.lost = true, true
	}
	if r.ended {
		r.to = l.at
	}
}

// Spent is how the time of a job was spent, in seconds. The four spans add up to the whole time.
type Spent struct {
	Acceptance Seconds `json:"waiting-for-acceptance"`
	Capacity   Seconds `json:"waiting-for-capacity"`
	Running    Seconds `json:"running"`
	Lost       Seconds `json:"lost-runs"`
}

// spend follows the runs backwards from the end to the acceptance: before each run, the job waited since the run that ended last before it.
// These runs decided when the job ended; what ran beside them cost it no time.
func spend(runs []*run, begin, accepted, end Instant) Spent {
	spent := Spent{Acceptance: accepted.since(begin)}
	cursor, task := end, ""
	left := slices.Clone(runs)
	for {
		left = slices.DeleteFunc(left, func(r *run) bool { return r.from > cursor || r.endBy(end) > cursor || r.from < accepted })
		if len(left) == 0 {
			spent.Capacity += max(0, cursor.since(accepted))
			return spent
		}
		last := slices.MaxFunc(left, func(a, b *run) int {
			return cmp.Or(cmp.Compare(a.endBy(end), b.endBy(end)), compareBools(a.task == task, b.task == task), cmp.Compare(a.from, b.from))
		})
		spent.Capacity += cursor.since(last.endBy(end))
		if last.lost && last.to <= end { // a run that was stopped because the job was over is no lost one
			spent.Lost += last.endBy(end).since(last.from)
		} else {
			spent.Running += last.endBy(end).since(last.from)
		}
		cursor, task = last.from, last.task
		left = slices.DeleteFunc(left, func(r *run) bool { return r == last })
	}
}

// endBy returns the end of the run, which is that of the job if no line has it, or if the run was stopped only after the job was over.
func (r *run) endBy(end Instant) Instant {
	if r.ended {
		return min(r.to, end)
	}
	return end
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
