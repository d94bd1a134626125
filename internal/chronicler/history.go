package chronicler

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/event"
)

// History is what the logs say about a subject, in order of time.
type History struct {
	ID    string  `json:"id"`
	Kind  string  `json:"kind"`
	Lines []Entry `json:"lines"`
	// Notes say what was read and what may be missing.
	Notes   []string `json:"notes"`
	Outcome Outcome  `json:"outcome"`
	Summary string   `json:"summary"`
}

func newHistory(s *subject, t tally, v *verdict, lines []*line, leaders *leaders) *History {
	h := &History{ID: s.id, Kind: string(s.kind()), Outcome: v.Outcome, Notes: notes(t, v, lines)}
	runs := map[string]*run{}
	for _, r := range v.runs {
		runs[r.number] = r
	}
	changes := 0
	for _, l := range lines {
		h.Lines = append(h.Lines, newEntry(l, leaders.decider(l), runs[l.text("run")]))
		if l.number == event.LeadershipAcquired.Number {
			changes++
		}
	}
	h.Summary = summarise(s, v, leaders, changes)
	return h
}

// notes says what was read, and why the history may have gaps.
func notes(t tally, v *verdict, lines []*line) []string {
	list := []string{fmt.Sprintf("log lines read: %d, files: %d", t.valid, t.files)}
	if t.malformed > 0 {
		list = append(list, fmt.Sprintf("malformed lines left out: %d", t.malformed))
	}
	list = append(list, t.damaged...)
	dropped, benchTimes, epochTimes := 0, false, false
	for _, l := range lines {
		if l.number == event.LinesDropped.Number {
			dropped++
		}
		benchTimes, epochTimes = benchTimes || l.at < epochLimit, epochTimes || l.at >= epochLimit
	}
	if dropped > 0 {
		list = append(list, "processes dropped log lines meanwhile (442), so that lines of this history may be missing")
	}
	for _, number := range slices.Sorted(maps.Keys(t.leftOut)) {
		list = append(list, fmt.Sprintf("related events %d left out beyond the first %d read: %d", number, maxRelated, t.leftOut[number]))
	}
	list = append(list, runNotes(v)...)
	if benchTimes && epochTimes {
		list = append(list, "the times are of two clocks, so that the order between files is not known")
	}
	return list
}

// runNotes says which runs have no logged begin or end, because that makes the spans of the outcome inexact. The leader logs only a sample of the
// runs that went well.
func runNotes(v *verdict) (list []string) {
	unplaced, open := 0, 0
	for _, r := range v.runs {
		switch {
		case !r.placed:
			unplaced++
		case !r.ended && v.isOver:
			open++
		}
	}
	if unplaced > 0 {
		list = append(list, fmt.Sprintf("runs without a logged placement: %d; their time counts as waiting", unplaced))
	}
	if open > 0 {
		list = append(list, fmt.Sprintf("runs without a logged end: %d; they count as running until the end", open))
	}
	return list
}

// summarise returns the sentence that states the outcome.
func summarise(s *subject, v *verdict, leaders *leaders, changes int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "The %s %s ", s.kind(), s.id)
	if s.kind() == kindPath {
		b.Reset()
		fmt.Fprintf(&b, "The last call of the path %s ", s.id)
	}
	switch {
	case s.kind() == kindInstance:
		return b.String() + summariseInstance(v)
	case v.State == NotEnded:
		fmt.Fprintf(&b, "has not ended by %s, the end of the logs, %s after its first trace", v.End, v.Total)
	case v.State == Unknown:
		fmt.Fprintf(&b, "has no known outcome: the call failed at %s, %s after its first trace", v.End, v.Total)
	case v.State == Refused:
		fmt.Fprintf(&b, "was refused at %s by %s", v.End, describeDecider(leaders, v.decidedBy))
	case v.State == Cancelled:
		fmt.Fprintf(&b, "was cancelled at %s, %s after its first trace", v.End, v.Total)
	default:
		fmt.Fprintf(&b, "%s at %s, %s after its first trace", v.State, v.End, v.Total)
	}
	if v.Reason != "" {
		if v.State == NotEnded {
			b.WriteString("; it waited last because of: ")
		} else {
			b.WriteString(": ")
		}
		b.WriteString(strings.TrimRight(v.Reason, "."))
	}
	if v.Spent != nil {
		fmt.Fprintf(&b, "; of that, %s", v.Spent)
	}
	if changes > 0 {
		fmt.Fprintf(&b, "; the leader changed %s meanwhile", times(changes))
	}
	return b.String() + "."
}

func times(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}

// String returns the spans in words.
func (s Spent) String() string {
	return fmt.Sprintf("%s waiting for acceptance, %s waiting for capacity, %s running and %s in lost runs", s.Acceptance, s.Capacity, s.Running, s.Lost)
}

func summariseInstance(v *verdict) string {
	ended, lost := 0, 0
	for _, r := range v.runs {
		switch {
		case r.lost:
			lost++
		case r.ended:
			ended++
		}
	}
	state := "has no line about its own state"
	if v.decidedBy != nil {
		state = fmt.Sprintf("has as its last event %q at %s", string(v.State), v.decidedBy.at)
		if v.Reason != "" {
			state += " (" + v.Reason + ")"
		}
	}
	return fmt.Sprintf("%s; of %d runs that the logs name on it, %d ended with a result, %d were lost and %d have no logged end.", state, len(v.runs), ended, lost, len(v.runs)-ended-lost)
}

func describeDecider(leaders *leaders, l *line) string {
	d := leaders.decider(l)
	if d == nil {
		return l.process
	}
	return d.String()
}

// String returns the process and its term.
func (l *Leader) String() string {
	switch {
	case l == nil:
		return "-"
	case l.Term == "":
		return l.Process + " (term not logged)"
	}
	return l.Process + " (term " + l.Term + ")"
}

// WriteTable writes a row for each line, with a plus sign before events that do not name the subject, then the notes and the sentence.
func (h *History) WriteTable(w io.Writer) error {
	rows := [][]string{{"time", "process", "event", "decided by"}}
	for _, e := range h.Lines {
		mark := ""
		if e.Related {
			mark = "+"
		}
		rows = append(rows, []string{mark + e.Time.String(), e.Process, fmt.Sprintf("%d %s", e.Event, e.Name), e.DecidedBy.String()})
	}
	widths := make([]int, len(rows[0]))
	for _, r := range rows {
		for i, cell := range r {
			widths[i] = max(widths[i], len(cell))
		}
	}
	var b strings.Builder
	for n, r := range rows {
		for i, cell := range r {
			fmt.Fprintf(&b, "%-*s  ", widths[i], cell)
		}
		if n == 0 {
			b.WriteString("outcome | inputs\n")
			continue
		}
		e := h.Lines[n-1]
		b.WriteString(strings.TrimRight(fmt.Sprintf("%s | %s", cmp.Or(e.Outcome, "-"), e.Inputs), " ") + "\n")
	}
	fmt.Fprintf(&b, "\n%s\n\n%s\n", strings.Join(h.Notes, "\n"), h.Summary)
	_, err := io.WriteString(w, b.String())
	return err
}
