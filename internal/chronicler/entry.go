package chronicler

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
)

// Entry is a line of a history.
type Entry struct {
	Time    Instant `json:"time"`
	Process string  `json:"process"`
	Event   int     `json:"event"`
	Name    string  `json:"name"`
	// Related is true of an event that does not name the subject but bears on it.
	Related bool `json:"related,omitempty"`
	// DecidedBy is nil if the event is no decision of a leader.
	DecidedBy *Leader `json:"decided-by,omitempty"`
	Inputs    Inputs  `json:"inputs"`
	Outcome   string  `json:"outcome,omitempty"`
}

// Input is a value that an event was decided from, or that it names.
type Input struct{ Name, Value string }

// Inputs are in the order of the catalogue of events.
type Inputs []Input

// String returns the inputs as words.
func (i Inputs) String() string {
	var words []string
	for _, in := range i {
		words = append(words, in.Name+"="+in.Value)
	}
	return strings.Join(words, " ")
}

// MarshalJSON returns an object with the inputs in their order.
func (i Inputs) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	for n, in := range i {
		text, err := json.Marshal(map[string]string{in.Name: in.Value})
		if err != nil {
			return nil, err
		}
		if n > 0 {
			b.WriteByte(',')
		}
		b.Write(text[1 : len(text)-1])
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// Fields that are not inputs: those of each line, and those that say the outcome.
var (
	lineFields    = []string{"level", "ts", "msg", "event", "entry", "logger", "caller", "stacktrace"}
	outcomeFields = []string{"what", "order", "outcome", "result", "action", "success", "status", "change", "reason", "error"}
	spanFields    = []string{"took", "waited", "lapsed", "paused", "silent", "retry-after", "after", "left"}
)

// outcomes are the outcomes of events that have no field for it.
var outcomes = map[int]string{
	event.JobAccepted.Number: "accepted", event.RequestAccepted.Number: "accepted", event.JobCompleted.Number: "completed", event.JobFailed.Number: "failed",
	event.JobCancelled.Number: "cancelled", event.JobHopeless.Number: "refused: not run, because it cannot be complete in time",
	event.LeadershipAcquired.Number: "leads", event.LeadershipResumed.Number: "leads again", event.LeadershipGivenUp.Number: "stops leading",
}

// newEntry returns a line as the history shows it; r is the run that it names, or nil.
func newEntry(l *line, decider *Leader, r *run) Entry {
	e := Entry{Time: l.at, Process: l.process, Event: l.number, Name: l.name, Related: l.related, DecidedBy: decider, Outcome: outcomeOf(l)}
	var names []string
	for _, known := range event.All() {
		if known.Number == l.number {
			names = known.Fields
		}
	}
	for _, name := range append(slices.Clone(names), slices.Sorted(maps.Keys(l.fields))...) {
		value := l.text(name)
		if value == "" || slices.Contains(lineFields, name) || slices.Contains(outcomeFields, name) || slices.ContainsFunc(e.Inputs, func(i Input) bool { return i.Name == name }) {
			continue
		}
		e.Inputs = append(e.Inputs, Input{Name: name, Value: formatInput(l, name, value)})
		if name == "run" && r != nil && l.at > r.from {
			e.Inputs = append(e.Inputs, Input{Name: "run-age", Value: l.at.since(r.from).compact()})
		}
	}
	return e
}

func formatInput(l *line, name, value string) string {
	if l.number == event.CallFailed.Number && name == "subject" {
		if n, err := strconv.ParseUint(value, 10, 8); err == nil {
			return forwarder.Operation(n).String()
		}
	}
	if _, err := strconv.ParseFloat(value, 64); err == nil && slices.Contains(spanFields, name) {
		return l.seconds(name).compact()
	}
	return value
}

func (s Seconds) compact() string { return strings.ReplaceAll(s.String(), " ", "") }

// outcomeOf joins the fields that say what came of an event.
func outcomeOf(l *line) string {
	var words []string
	if text := outcomes[l.number]; text != "" {
		words = append(words, text)
	}
	for _, field := range outcomeFields {
		text := l.text(field)
		switch {
		case text == "" || text == "0" && field == "status":
			continue
		case field == "reason" && l.number == event.JobRefused.Number:
			text = refusalReason(l)
		case field == "success" || field == "status":
			text = field + " " + text
		}
		words = append(words, text)
	}
	return strings.Join(words, ": ")
}

// refusals are the texts of the outcomes of calls that a job was refused with (411), where the log has the number.
var refusals = map[forwarder.Outcome]string{
	forwarder.NotLeading: "the keeper does not lead", forwarder.Uncertain: "outcome is not known", forwarder.UnknownQueue: "unknown queue",
	forwarder.UnknownJob: "unknown job", forwarder.KeyMismatch: "the key is not of a customer of the queue", forwarder.Invalid: "invalid", forwarder.Refused: "refused",
}

// refusalReason returns why a call was refused or failed.
func refusalReason(l *line) string {
	reason := l.text("reason")
	switch l.number {
	case event.JobHopeless.Number:
		return outcomes[l.number][len("refused: "):]
	case event.JobRefused.Number:
		if n, err := strconv.ParseUint(reason, 10, 8); err == nil {
			reason = cmp.Or(refusals[forwarder.Outcome(n)], "outcome "+reason)
		}
		if v := l.text("version"); v != "" {
			return reason + ", by version " + v + " of the catalogue"
		}
	}
	return reason
}
