package chronicler

import (
	"bytes"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/event"
)

// lossMargin covers the order of lines within one planning run: the loss of an instance is logged after the loss of its runs.
const lossMargin Seconds = 1

// lossDecisions are the decisions (420) that an instance with runs is lost.
var lossDecisions = []string{"instance crashed", "instance left", "instance silent"}

// maxRelated is how many related lines of one event are kept. A job that has not ended may have one dropped-lines event (442) a second for hours.
const maxRelated = 1000

// related finds the events that bear on a history while it lasted.
type related struct {
	begin, end Instant
	runs       []*run
	pools      map[string]bool
	// kept and leftOut are the numbers of lines by event.
	kept, leftOut map[int]int
}

func newRelated(s *subject, v *verdict, lines []*line) *related {
	w := &related{begin: v.Begin, end: v.End, pools: map[string]bool{}, kept: map[int]int{}, leftOut: map[int]int{}}
	if s.kind() != kindInstance {
		w.runs = v.runs
	}
	for _, l := range lines {
		if p := l.text("pool"); p != "" && s.kind() == kindRequest {
			w.pools[p] = true
		}
	}
	return w
}

// mayBear reports whether the text of a line with an event number may bear on the history. It spares the parsing of most lines.
func (w *related) mayBear(number int, text []byte) bool {
	switch number {
	case event.LeadershipAcquired.Number, event.LeadershipEnded.Number, event.LeadershipResumed.Number, event.LeadershipGivenUp.Number,
		event.JobsMismatched.Number, event.LinesDropped.Number:
		return true
	case event.DecisionMade.Number:
		return len(w.runs) > 0 && bytes.Contains(text, []byte(`"instance `))
	case event.InstanceLost.Number:
		return len(w.runs) > 0
	case event.PoolAcquired.Number, event.PoolReleased.Number:
		return len(w.pools) > 0
	}
	return false
}

// bears reports whether a line bears on the history.
func (w *related) bears(l *line) bool {
	switch l.number {
	case event.LeadershipEnded.Number:
		return w.overlaps(l.at.before(max(0, l.seconds("lapsed"))), l.at)
	case event.LeadershipResumed.Number:
		return w.overlaps(l.at.before(l.seconds("paused")), l.at)
	case event.DecisionMade.Number:
		return slices.Contains(lossDecisions, l.text("what")) && w.lostWithRun(l)
	case event.InstanceLost.Number:
		return w.lostWithRun(l)
	case event.PoolAcquired.Number, event.PoolReleased.Number:
		return w.pools[l.text("pool")] && w.overlaps(l.at, l.at)
	}
	return w.mayBear(l.number, nil) && w.overlaps(l.at, l.at)
}

// keep reports whether there is room for one more line of the event, and counts the line.
func (w *related) keep(l *line) bool {
	if w.kept[l.number] == maxRelated {
		w.leftOut[l.number]++
		return false
	}
	w.kept[l.number]++
	return true
}

// overlaps reports whether a span overlaps the history. The line of a leader that was paused or cut off comes after the span.
func (w *related) overlaps(from, to Instant) bool { return from <= w.end && to >= w.begin }

// lostWithRun reports whether a run of the job was on the instance when it was lost.
func (w *related) lostWithRun(l *line) bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool {
		return r.instance == l.text("instance") && l.at >= r.from && (!r.ended || l.at.before(lossMargin) <= r.to)
	})
}
