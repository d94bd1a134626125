package chronicler

import (
	"bytes"
	"encoding/json"
	"math"
	"path"
	"strconv"
	"strings"
	"time"
)

// Instant is the time since the Unix epoch or, in logs that a test bench has stamped, since the start of the bench's clock.
type Instant time.Duration

// epochLimit separates the two clocks: no bench runs for three years, and no log is from before 1973.
const epochLimit = Instant(100_000_000 * time.Second)

// String returns the time in UTC, or the seconds of a bench's clock.
func (i Instant) String() string {
	if i < epochLimit {
		return strconv.FormatFloat(time.Duration(i).Seconds(), 'f', 4, 64)
	}
	return time.Unix(0, int64(i)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// MarshalText returns the text of String.
func (i Instant) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Seconds is a span of time.
type Seconds float64

// String returns the span with milliseconds.
func (s Seconds) String() string { return strconv.FormatFloat(float64(s), 'f', 3, 64) + " s" }

func (i Instant) since(earlier Instant) Seconds { return Seconds(time.Duration(i - earlier).Seconds()) }

func (i Instant) before(s Seconds) Instant { return i - Instant(float64(s)*float64(time.Second)) }

// line is a parsed log line.
type line struct {
	at      Instant
	process string
	number  int
	name    string
	fields  map[string]any
	// file and row are the place of the line.
	file, row int
	related   bool
}

// parse returns the line, or nil if it has no event number.
func (r *rawLine) parse() *line {
	d := json.NewDecoder(bytes.NewReader(r.text))
	d.UseNumber() // run numbers exceed the digits that a float prints
	l := &line{file: r.file, row: r.row}
	if d.Decode(&l.fields) != nil {
		return nil
	}
	number, err := strconv.Atoi(l.text("event"))
	if err != nil {
		return nil
	}
	l.number, l.name = number, l.text("msg")
	at, process := r.origin(l.fields)
	if at == 0 || process == "" {
		// The writer of lines reports dropped ones (442) without a time and a process.
		earlierAt, earlierProcess := r.earlier.origin(r.earlier.decode())
		if at == 0 {
			at = earlierAt
		}
		if process == "" {
			process = earlierProcess
		}
	}
	if process == "" {
		process = strings.TrimSuffix(strings.TrimSuffix(path.Base(r.name), ".gz"), ".log")
	}
	l.at, l.process = at, process
	return l
}

func (r *rawLine) decode() (fields map[string]any) {
	d := json.NewDecoder(bytes.NewReader(r.text))
	d.UseNumber()
	_ = d.Decode(&fields)
	return fields
}

func (r *rawLine) time() Instant {
	at, _ := r.origin(r.decode())
	return at
}

// origin returns the time and the process of a line: of the object itself if it has them, else of the text before it.
func (r *rawLine) origin(fields map[string]any) (at Instant, process string) {
	process, _ = fields["entry"].(string)
	switch ts := fields["ts"].(type) {
	case json.Number:
		at = parseTime(ts.String())
	case string:
		at = parseTime(ts)
	}
	for _, word := range strings.Fields(string(r.prefix)) {
		if t := parseTime(word); t != 0 {
			if at == 0 {
				at = t
			}
			continue
		}
		if word = strings.Trim(word, "[]|:"); word != "" && process == "" {
			process = word
		}
	}
	return at, process
}

// parseTime reads seconds or milliseconds since the epoch, seconds of a bench's clock, or a time in RFC 3339; it returns zero for any other text.
func parseTime(word string) Instant {
	if n, err := strconv.ParseFloat(word, 64); err == nil && n > 0 && !math.IsInf(n, 0) {
		if n > 1e11 { // milliseconds, as keepers and entries write them; the others write seconds
			n /= 1e3
		}
		return Instant(math.Round(n*1e6)) * 1000 // a float does not hold the nanoseconds since the epoch
	}
	if t, err := time.Parse(time.RFC3339Nano, word); err == nil {
		return Instant(t.UnixNano())
	}
	return 0
}

// text returns a field as text; it is empty if the line has no such field.
func (l *line) text(field string) string { return textOf(l.fields[field]) }

func textOf(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		return v.String()
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// seconds returns a field as a span of time, or zero.
func (l *line) seconds(field string) Seconds {
	n, err := strconv.ParseFloat(l.text(field), 64)
	if err != nil {
		return 0
	}
	return Seconds(n)
}
