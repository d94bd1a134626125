package chronicler

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strconv"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// tally counts what a scan has read.
type tally struct {
	files, valid int
	// malformed is the number of lines that are no log lines, beside log lines; foreign is that in files without any log line.
	malformed, foreign int
	// damaged are the files that end early or hold no log line, each with the reason.
	damaged []string
	// last is the latest time of the last lines of the files.
	last Instant
	// leftOut is the number of related lines beyond maxRelated, by event.
	leftOut map[int]int
}

// rawLine is a line before it is parsed. Its texts are valid until the next line is read.
type rawLine struct {
	prefix, text []byte
	name         string
	file, row    int
	// earlier is the last line before this one in the file that had a time of its own.
	earlier *rawLine
}

// list returns the names of the regular files, in lexical order. A file that also has a link in the folder is read once.
func (c *Chronicler) list() ([]string, error) {
	var names []string
	var infos []fs.FileInfo
	err := fs.WalkDir(c.files, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		info, err := fs.Stat(c.files, name)
		switch {
		case errors.Is(err, fs.ErrNotExist): // a link to a file that is gone, or a file that was just rotated
			return nil
		case err == nil && info.Mode().IsRegular() && !slices.ContainsFunc(infos, func(i fs.FileInfo) bool { return os.SameFile(i, info) }):
			names, infos = append(names, name), append(infos, info)
		}
		return err
	})
	if err != nil {
		return nil, fault.New("list logs", KindUnreadable, "%w", err)
	}
	return names, nil
}

// scan calls visit with each valid line of the files.
func (c *Chronicler) scan(names []string, t *tally, visit func(r *rawLine)) error {
	for i, name := range names {
		if err := c.scanFile(i, name, t, visit); err != nil {
			return fault.New("read "+name, KindUnreadable, "%w", err)
		}
	}
	return nil
}

// scanFile reads a file. A compressed file that ends early or is damaged is read up to there: so ends the file of a process that was killed.
func (c *Chronicler) scanFile(index int, name string, t *tally, visit func(r *rawLine)) error {
	f, err := c.files.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	t.files++
	valid, malformed := t.valid, t.malformed
	in, compressed, err := decompress(f)
	if err == nil {
		err = c.scanLines(rawLine{name: name, file: index, earlier: &rawLine{name: name}}, in, t, visit)
	}
	switch {
	case err != nil && compressed:
		t.damaged = append(t.damaged, fmt.Sprintf("%s: read only in part: %s", name, err.Error()))
	case err != nil:
		return err
	case t.valid == valid:
		t.damaged = append(t.damaged, fmt.Sprintf("%s: no log lines in %d lines", name, t.malformed-malformed))
		t.malformed, t.foreign = malformed, t.foreign+t.malformed-malformed
	}
	return nil
}

// decompress returns a reader of the plain text. It looks at the content, because a file may have any name.
func decompress(r io.Reader) (in *bufio.Reader, compressed bool, err error) {
	in = bufio.NewReaderSize(r, 1<<16)
	magic, err := in.Peek(2)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, false, err
	}
	if !bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		return in, false, nil
	}
	z, err := gzip.NewReader(in)
	if err != nil {
		return nil, true, err
	}
	return bufio.NewReaderSize(z, 1<<16), true, nil
}

// scanLines reads lines until the end; r is the line before the first one.
func (c *Chronicler) scanLines(r rawLine, in *bufio.Reader, t *tally, visit func(r *rawLine)) error {
	var buffer []byte
	for {
		text, tooLong, err := c.readLine(in, buffer[:0])
		buffer = text
		if len(text) > 0 {
			r.row++
			if !tooLong && r.split(bytes.TrimSpace(text)) {
				t.valid++
				visit(&r)
				r.keep()
			} else if tooLong || len(bytes.TrimSpace(text)) > 0 {
				t.malformed++
			}
		}
		if err != nil {
			t.last = max(t.last, r.earlier.time())
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return err
		}
	}
}

// readLine appends the next line to buffer, at most maxLine of it.
func (c *Chronicler) readLine(in *bufio.Reader, buffer []byte) (text []byte, tooLong bool, err error) {
	for {
		part, err := in.ReadSlice('\n')
		tooLong = tooLong || len(buffer)+len(part) > int(c.maxLine)
		if !tooLong || len(buffer) == 0 {
			buffer = append(buffer, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buffer, tooLong, err
		}
	}
}

// split separates the JSON object from the text before it, and reports whether there is an object with an event or a message.
func (r *rawLine) split(text []byte) bool {
	start := bytes.Index(text, []byte(`{"`))
	if start < 0 || !json.Valid(text[start:]) {
		return false
	}
	r.prefix, r.text = text[:start], text[start:]
	return bytes.Contains(r.text, []byte(`"event":`)) || bytes.Contains(r.text, []byte(`"msg":`))
}

// keep stores the line as the last one with a time.
func (r *rawLine) keep() {
	if len(r.prefix) == 0 && !bytes.Contains(r.text, []byte(`"ts":`)) {
		return
	}
	e := r.earlier
	e.prefix, e.text = append(e.prefix[:0], r.prefix...), append(e.text[:0], r.text...)
}

// number returns the number of the event, or zero if the line has none.
func (r *rawLine) number() int {
	key := []byte(`"event":`)
	at := bytes.LastIndex(r.text, key)
	if at < 0 {
		return 0
	}
	digits := bytes.TrimLeft(r.text[at+len(key):], " ")
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	n, err := strconv.Atoi(string(digits[:end]))
	if err != nil {
		return 0
	}
	return n
}
