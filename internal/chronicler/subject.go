package chronicler

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// subjectKind is what an id names, in the words of the output.
type subjectKind string

// Kinds of subjects.
const (
	kindTask     subjectKind = "task"
	kindJob      subjectKind = "job"
	kindRequest  subjectKind = "request"
	kindInstance subjectKind = "instance"
	kindPath     subjectKind = "path"
)

// jobFields are the fields that name a job or a task.
const (
	jobField  = "job"
	taskField = "task"
)

// subject finds the lines that name an id.
type subject struct {
	id string
	// job is the job of a task, else the id itself.
	job    string
	isTask bool
	// needle is in the text of each line that names the subject; it is nil if JSON may write the id in several ways.
	needle []byte
	found  map[subjectKind]int
}

func newSubject(id string) *subject {
	s := &subject{id: id, job: id, found: map[subjectKind]int{}}
	if task, err := workload.ParseTaskID(id); err == nil {
		s.job, s.isTask = string(task.Job), true
	}
	if !strings.ContainsFunc(s.job, func(r rune) bool { return r < ' ' || r > '~' || strings.ContainsRune(`"\<>&`, r) }) {
		s.needle = []byte(s.job)
	}
	return s
}

// mayName reports whether the text of a line may name the subject. It spares the parsing of most lines.
func (s *subject) mayName(text []byte) bool { return bytes.Contains(text, s.needle) }

// names reports whether a line names the subject, and counts how.
func (s *subject) names(l *line) bool {
	k := s.match(l)
	if k != "" {
		s.found[k]++
	}
	return k != ""
}

func (s *subject) match(l *line) subjectKind {
	task := l.text(taskField)
	switch {
	case s.isTask && task == s.id:
		return kindTask
	case l.text(jobField) == s.job, s.lists(l), s.inPath(l) && s.id[0] != '/', !s.isTask && s.isTaskOfJob(task):
		return kindJob
	case s.isTask:
		return ""
	case l.text("request") == s.id, l.text("attempt") == s.id:
		return kindRequest
	case l.text("instance") == s.id:
		return kindInstance
	case l.text("path") == s.id:
		return kindPath
	}
	return ""
}

// isTaskOfJob reports whether a task belongs to the job; a decision about a whole job names a task without a position.
func (s *subject) isTaskOfJob(task string) bool {
	return s.job != "" && strings.HasPrefix(task, s.job+".")
}

// lists reports whether the line lists the job among others (415).
func (s *subject) lists(l *line) bool {
	jobs, _ := l.fields["jobs"].([]any)
	return slices.Contains(jobs, any(s.job))
}

// inPath reports whether the path of a call has the job as a part: callers put the id there.
func (s *subject) inPath(l *line) bool {
	return slices.Contains(strings.Split(l.text("path"), "/"), s.job)
}

// kind returns what the id names, or nothing if no line names it. A task needs a line of its own: its job's lines do not show that it exists.
func (s *subject) kind() subjectKind {
	for _, k := range []subjectKind{kindTask, kindJob, kindRequest, kindInstance, kindPath} {
		if s.found[k] > 0 && (k != kindJob || !s.isTask) {
			return k
		}
	}
	return ""
}

// hint names the job of a task that is unknown itself.
func (s *subject) hint(lines int) string {
	if !s.isTask || lines == 0 {
		return ""
	}
	return fmt.Sprintf("; %d lines name its job %s", lines, s.job)
}

// links are the names that lead from the lines of a subject to lines that do not name it.
type links struct {
	attempts, machines map[string]bool
}

func newLinks(s *subject, lines []*line) links {
	k := links{attempts: map[string]bool{}, machines: map[string]bool{}}
	for _, l := range lines {
		if a := l.text("attempt"); s.kind() == kindRequest && a != "" {
			k.attempts[a] = true
		}
		if m := l.text("machine"); s.kind() == kindInstance && m != "" {
			k.machines[m] = true
		}
	}
	return k
}

func (k links) empty() bool { return len(k.attempts) == 0 && len(k.machines) == 0 }

// mayBeOwn reports whether events of a number name an attempt without its request, or a machine without its instance.
func (k links) mayBeOwn(number int) bool {
	switch number {
	case 214, 216, 217, 219:
		return len(k.attempts) > 0
	case 420, 433:
		return len(k.machines) > 0
	}
	return false
}

func (k links) own(l *line) bool {
	return k.attempts[l.text("attempt")] || l.text("instance") == "" && k.machines[l.text("machine")]
}
