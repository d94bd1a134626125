// Package chronicler reconstructs the history of a job, a task, a request or an instance from the log files of the processes.
//
// It reads the files as streams, two or three times: first the lines of the subject, then those that the first ones lead to. So it holds only lines that
// belong to the history, and one small record for each change of leader.
package chronicler

import (
	"cmp"
	"io/fs"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindUnreadable is the kind of a folder or file that cannot be read.
	KindUnreadable Kind = iota + 1
	// KindNoLines is the kind of a folder without a single log line.
	KindNoLines
	// KindUnknownID is the kind of an id that no log line names.
	KindUnknownID
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "log files cannot be read", "no log lines", "unknown id"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Size is a number of bytes.
type Size int

// defaultMaxLine is far above the longest line of the product, the load of a leader with about a kilobyte.
const defaultMaxLine Size = 1 << 20

// Option changes a Chronicler.
type Option func(*Chronicler)

// WithMaxLine sets the length beyond which a line counts as malformed; no more than that of a line is held.
func WithMaxLine(n Size) Option { return func(c *Chronicler) { c.maxLine = n } }

// Chronicler reads the log files in a file system.
type Chronicler struct {
	files   fs.FS
	maxLine Size
}

// New returns a chronicler of the regular files in files and its folders, plain or compressed by gzip.
func New(files fs.FS, options ...Option) *Chronicler {
	c := &Chronicler{files: files, maxLine: defaultMaxLine}
	for _, o := range options {
		o(c)
	}
	return c
}

// History returns the history of the job, task, request, instance or path of calls with an id.
func (c *Chronicler) History(id string) (*History, error) {
	if id == "" {
		return nil, fault.New("explain", KindUnknownID, "the id is empty")
	}
	names, err := c.list()
	if err != nil {
		return nil, err
	}
	s := newSubject(id)
	t := tally{}
	var lines []*line
	err = c.scan(names, &t, func(r *rawLine) {
		if !s.mayName(r.text) {
			return
		}
		if l := r.parse(); l != nil && s.names(l) {
			lines = append(lines, l)
		}
	})
	switch {
	case err != nil:
		return nil, err
	case t.valid == 0:
		return nil, fault.New("read logs", KindNoLines, "%d files, %d other lines", len(names), t.foreign)
	case s.kind() == "":
		return nil, fault.New("explain "+id, KindUnknownID, "none of %d log lines in %d files names it%s", t.valid, len(names), s.hint(len(lines)))
	}
	if lines, err = c.follow(names, s, lines); err != nil {
		return nil, err
	}
	sortLines(lines)
	return c.relate(names, s, t, lines)
}

// follow adds the lines that name no subject but an attempt of the request, or the machine of the instance.
func (c *Chronicler) follow(names []string, s *subject, lines []*line) ([]*line, error) {
	k := newLinks(s, lines)
	if k.empty() {
		return lines, nil
	}
	err := c.scan(names, &tally{}, func(r *rawLine) {
		if !k.mayBeOwn(r.number()) {
			return
		}
		if l := r.parse(); l != nil && k.own(l) && !s.names(l) {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// relate adds the events that bear on the history while it lasted, and completes it.
func (c *Chronicler) relate(names []string, s *subject, t tally, lines []*line) (*History, error) {
	v := newVerdict(s, lines, t.last)
	related := newRelated(s, v, lines)
	// The marks of other scans must not come between those of one process, which are in order of its file.
	var leaders, placements leaders
	for _, l := range lines {
		placements.add(l)
	}
	err := c.scan(names, &tally{}, func(r *rawLine) {
		number := r.number()
		if !isLeaderMark(number) && !related.mayBear(number, r.text) {
			return
		}
		l := r.parse()
		if l == nil {
			return
		}
		leaders.add(l)
		if related.bears(l) && !s.names(l) && related.keep(l) {
			l.related = true
			lines = append(lines, l)
		}
	})
	if err != nil {
		return nil, err
	}
	sortLines(lines)
	leaders.marks = append(leaders.marks, placements.marks...)
	leaders.sort()
	t.leftOut = related.leftOut
	return newHistory(s, t, v, lines, &leaders), nil
}

// sortLines orders lines by time, and those of one time by file and row, so that the order within a process is kept.
func sortLines(lines []*line) {
	slices.SortFunc(lines, func(a, b *line) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.file, b.file), cmp.Compare(a.row, b.row))
	})
}
