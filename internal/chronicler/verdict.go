package chronicler

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
)

// State is how a history ended.
type State string

// States of a job, a task, a request or a call. An instance has the name of its last event.
const (
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Refused   State = "refused"
	// Unknown is the state of a call without an answer: it may have been executed, but no other line says so.
	Unknown  State = "outcome unknown"
	NotEnded State = "not ended"
)

// Outcome is the end of a history.
type Outcome struct {
	State  State   `json:"state"`
	Reason string  `json:"reason,omitempty"`
	Begin  Instant `json:"begin"`
	End    Instant `json:"end"`
	Total  Seconds `json:"total"`
	// Spent is nil if the job was never accepted, and for an instance.
	Spent *Spent `json:"spent,omitempty"`
}

// verdict derives the outcome from the lines of the subject.
type verdict struct {
	Outcome
	runs []*run
	// accepted is when the scheduler first knew the job, or zero.
	accepted  Instant
	isKnown   bool
	isOver    bool
	unknownAt Instant // last time at which the scheduler did not know the job
	// failure is the last decision that a task failed.
	failure string
	// decidedBy is the line that says how it ended.
	decidedBy *line
}

func newVerdict(s *subject, lines []*line, last Instant) *verdict {
	v := &verdict{runs: runsOf(lines)}
	v.Begin, v.End = lines[0].at, lines[len(lines)-1].at
	for _, l := range lines {
		v.Begin = min(v.Begin, beginOf(l))
		if s.kind() == kindInstance {
			v.applyToInstance(l)
		} else {
			v.apply(s, l)
		}
	}
	switch {
	case s.kind() == kindInstance:
	case v.isOver:
		v.End = v.decidedBy.at
	case v.isKnown:
		v.State, v.End = NotEnded, max(last, v.End)
	case v.decidedBy != nil:
		v.End = v.decidedBy.at
	default:
		v.State = NotEnded
	}
	v.Total = v.End.since(v.Begin)
	if v.isKnown {
		spent := spend(v.runs, v.Begin, v.acceptedAt(), v.End)
		v.Spent = &spent
	}
	return v
}

// beginOf returns when what a line reports began. An instance has no such line of its own.
func beginOf(l *line) Instant {
	switch l.number {
	case event.CallFailed.Number, event.JobCompleted.Number:
		return l.at.before(l.seconds("took"))
	case event.TaskWaiting.Number:
		return l.at.before(l.seconds("waited"))
	}
	return l.at
}

// acceptedAt returns when the job could first be placed. The line of the acceptance (410) is written beside the first placements and may come after them.
func (v *verdict) acceptedAt() Instant {
	at := cmp.Or(v.accepted, v.unknownAt, v.Begin)
	for _, r := range v.runs {
		at = min(at, r.from)
	}
	return max(at, v.Begin)
}

// apply takes a line of a job, a task, a request or a call into account.
func (v *verdict) apply(s *subject, l *line) {
	if v.isOver {
		return
	}
	switch l.number {
	case event.JobAccepted.Number, event.RequestAccepted.Number:
		v.accepted, v.isKnown = cmp.Or(v.accepted, l.at), true
	case event.JobCompleted.Number:
		v.finish(l, Completed, "")
	case event.JobCancelled.Number:
		v.finish(l, Cancelled, "")
	case event.JobFailed.Number:
		v.finish(l, Failed, v.failure)
	case event.RequestRefused.Number:
		v.isKnown = false
		v.finish(l, Refused, l.text("reason"))
	case event.JobRefused.Number, event.JobHopeless.Number, event.CallRefused.Number, event.CallFailed.Number:
		v.applyCall(s, l)
	case event.JobsMismatched.Number:
		if strings.Contains(l.text("what"), "unknown to the scheduler") {
			v.unknownAt, v.isKnown = l.at, true
		}
	case event.TaskWaiting.Number:
		v.isKnown, v.Reason = true, l.text("reason")
	case event.OrderCompleted.Number, event.RequestQueued.Number, event.TaskPlaced.Number, event.TaskRetried.Number, event.TaskEnded.Number:
		v.isKnown = true
	case event.DecisionMade.Number:
		v.isKnown = true
		v.applyDecision(s, l)
	}
}

// applyCall takes a refusal or a failed call into account. It says nothing about a job that is known or was accepted later.
func (v *verdict) applyCall(s *subject, l *line) {
	state := Refused
	if l.number == event.CallFailed.Number {
		if s.kind() != kindPath && l.text("subject") != strconv.Itoa(int(forwarder.SubmitJob)) && v.decidedBy != nil {
			return // a failed inspection says nothing about the submission
		}
		if reason := l.text("reason"); !strings.Contains(reason, forwarder.KindNotSent.Error()) && !strings.Contains(reason, forwarder.KindOutdated.Error()) {
			state = Unknown
		}
	}
	if !v.isKnown {
		v.State, v.Reason, v.decidedBy = state, refusalReason(l), l
	}
}

func (v *verdict) applyDecision(s *subject, l *line) {
	what, reason := l.text("what"), l.text("reason")
	switch {
	case what == "task given up", what == "job refused", what == "run ended" && reason == "failed":
		v.failure = describeFailure(l)
	case what == "run ended" && reason == "done" && s.isTask && l.text(taskField) == s.id:
		v.finish(l, Completed, "")
	}
}

func describeFailure(l *line) string {
	text := fmt.Sprintf("%s of %s", l.text("what"), l.text(taskField))
	if on := l.text("instance"); on != "" {
		text += " on " + on
	}
	return text + ": " + l.text("reason")
}

func (v *verdict) finish(l *line, state State, reason string) {
	v.State, v.Reason, v.isOver, v.decidedBy = state, reason, true, l
}

// applyToInstance keeps the last event that says what became of the instance.
func (v *verdict) applyToInstance(l *line) {
	ofInstance := []int{
		event.InstanceAnnounced.Number, event.InstanceEnrolled.Number, event.InstanceDraining.Number, event.InstanceChanged.Number, event.InstanceLost.Number,
		event.InstanceAdopted.Number, event.InstanceIsolated.Number, event.InstanceReleased.Number, event.StopCompleted.Number,
	}
	what := l.text("what")
	switch {
	case slices.Contains(ofInstance, l.number):
		v.State, v.Reason, v.decidedBy = State(l.name), "", l
	case l.number == event.DecisionMade.Number && strings.HasPrefix(what, "instance "):
		v.State, v.Reason, v.decidedBy = State(what), l.text("reason"), l
	}
}
