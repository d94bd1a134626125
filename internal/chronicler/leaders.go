package chronicler

import (
	"cmp"
	"slices"
	"sort"

	"github.com/sapphiresail/sapphiresail/internal/event"
)

// Leader is who made a decision.
type Leader struct {
	Process string `json:"process"`
	Term    string `json:"term,omitempty"`
}

// leaderMark is the begin or the end of a term at a process.
type leaderMark struct {
	at     Instant
	leader Leader
	begins bool
}

// leaders are the terms of all processes, ordered by time.
type leaders struct {
	marks []leaderMark
	// latest is the last mark of each process, so that a term that many lines name is stored once.
	latest map[string]leaderMark
}

// isLeaderMark reports whether events of a number say that a process leads or no longer leads. 404 comes once a second, so that the term is known
// although the log begins within it; 113 is for the product's own interface.
func isLeaderMark(number int) bool {
	switch number {
	case event.LeadershipAcquired.Number, event.LeadershipEnded.Number, event.RoleChanged.Number, event.LeaderLoad.Number:
		return true
	}
	return false
}

func (t *leaders) add(l *line) {
	m := leaderMark{at: l.at, leader: Leader{Process: l.process, Term: l.text("term")}}
	switch {
	case l.number == event.DecisionMade.Number && l.text("what") == "run placed":
		m.begins, m.leader.Term = true, termOfRun(l.text("run"))
	case !isLeaderMark(l.number):
		return
	case l.number == event.RoleChanged.Number:
		m.begins = l.text("role") == "leader"
	default:
		m.begins = l.number != event.LeadershipEnded.Number
	}
	if last := t.latest[l.process]; m.leader.Term == "" || last.leader == m.leader && last.begins == m.begins {
		return
	}
	if t.latest == nil {
		t.latest = map[string]leaderMark{}
	}
	t.latest[l.process] = m
	t.marks = append(t.marks, m)
}

func (t *leaders) sort() {
	slices.SortStableFunc(t.marks, func(a, b leaderMark) int { return cmp.Compare(a.at, b.at) })
}

// decider returns who decided what a line says. Only leaders write the events of decisions; the term is that of the line, of the process at
// that time or, if the log begins later, of the number of a run that it starts.
func (t *leaders) decider(l *line) *Leader {
	if !isDecision(l.number) {
		return nil
	}
	decider := Leader{Process: l.process, Term: l.text("term")}
	if decider.Term != "" {
		return &decider
	}
	end := sort.Search(len(t.marks), func(i int) bool { return t.marks[i].at > l.at })
	for _, m := range slices.Backward(t.marks[:end]) {
		if m.leader.Process == l.process {
			if m.begins {
				decider.Term = m.leader.Term
			}
			return &decider
		}
	}
	if l.text("order") == "start" {
		decider.Term = termOfRun(l.text("run"))
	}
	return &decider
}

// termOfRun returns the term in a run number, which is the term x 1,000,000,000 + a count.
func termOfRun(run string) string {
	const countDigits = 9
	if len(run) <= countDigits {
		return ""
	}
	return run[:len(run)-countDigits]
}

// isDecision reports whether only leaders write events of a number. Of the others, 400 is of each process that has found the leader, 440 to 443
// are of the process itself, and 453 is of a keeper that collects announcements.
func isDecision(number int) bool {
	switch {
	case number == event.LeaderFound.Number, number == event.AnnouncementsDelayed.Number:
		return false
	case number >= event.CallFailed.Number && number <= event.CarrierLost.Number:
		return false
	}
	return number >= event.PermitAllotted.Number && number < 500
}
