// Package tracer reads and writes traces: a header and the timestamped input events of a fleet, as one JSON object a line.
package tracer

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	KindSyntax Kind = iota + 1
	KindVersion
	KindWrite
)

// Error describes the kind.
func (k Kind) Error() string {
	return [...]string{"none", "trace cannot be read", "trace format or version is not supported", "trace cannot be written"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Format and Version identify the trace format in the header.
const (
	Format  = "sapphiresail-trace"
	Version = 1
)

// Header is the first line of a trace.
type Header struct {
	Format        string    `json:"format"`
	Version       int       `json:"version"`
	Name          string    `json:"name"`
	Start         time.Time `json:"start"`
	Configuration string    `json:"configuration"`
	// Seed seeds the random numbers of the replay.
	Seed uint64 `json:"seed"`
	// RebootMillis is the duration of a reboot.
	RebootMillis int64 `json:"reboot-millis"`
	// EndMillis is the time since the start at which the replay stops.
	EndMillis int64 `json:"end-millis"`
}

// EventKind is the kind of a trace event.
type EventKind string

// Kinds of events. From BlackHole to BlackHoleCleared, a target fails every attempt immediately but keeps announcing itself.
const (
	InstanceAdded    EventKind = "instance"
	RequestArrived   EventKind = "request"
	RequestCancelled EventKind = "cancel"
	Crash            EventKind = "crash"
	Recover          EventKind = "recover"
	BlackHole        EventKind = "black-hole"
	BlackHoleCleared EventKind = "heal"
	Leave            EventKind = "leave"
	Rollout          EventKind = "rollout"
	RebootsFail      EventKind = "bad-reboots"
	EntryPartitioned EventKind = "entry-cut"
	EntryReconnected EventKind = "entry-back"
	Configure        EventKind = "configure"
	OperatorDrain    EventKind = "drain"
	OperatorMove     EventKind = "move"
)

// Event is one timestamped input of the fleet.
type Event struct {
	AtMillis int64            `json:"at"`
	Kind     EventKind        `json:"kind"`
	Request  fleet.RequestID  `json:"request,omitempty"`
	Queue    fleet.QueueID    `json:"queue,omitempty"`
	Customer fleet.CustomerID `json:"customer,omitempty"`
	// RunMillis is the run time of the task, TimeoutMillis the time-out of its caller.
	RunMillis     int64 `json:"run,omitempty"`
	TimeoutMillis int64 `json:"timeout,omitempty"`
	// Fails marks a request that fails on every target.
	Fails bool `json:"fails,omitempty"`
	// Usage is the actual resource usage of the task, which may differ from its declared needs.
	Usage    *fleet.Resources `json:"usage,omitempty"`
	Instance *fleet.Instance  `json:"instance,omitempty"`
	Target   fleet.InstanceID `json:"target,omitempty"`
	Entry    fleet.EntryID    `json:"entry,omitempty"`
	// Text is the new configuration of Configure, or the destination pool of OperatorMove.
	Text string `json:"text,omitempty"`
}

// Trace is a trace in memory.
type Trace struct {
	Header Header
	Events []Event
}

const maxLineBytes = 8 << 20

// Read reads a trace, which may be compressed with gzip; name identifies it in errors.
func Read(name string, r io.Reader) (*Trace, error) {
	buffered := bufio.NewReader(r)
	magic, _ := buffered.Peek(2)
	var source io.Reader = buffered
	if string(magic) == "\x1f\x8b" {
		decompressor, err := gzip.NewReader(buffered)
		if err != nil {
			return nil, &Error{Op: "read " + name, Kind: KindSyntax, Err: err}
		}
		source = decompressor
	}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	t := &Trace{}
	for n := 1; scanner.Scan(); n++ {
		if err := t.decodeLine(n, scanner.Bytes()); err != nil {
			return nil, fault.New("read", KindSyntax, "%s:%d: %w", name, n, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &Error{Op: "read " + name, Kind: KindSyntax, Err: err}
	}
	if t.Header.Format != Format || t.Header.Version != Version {
		return nil, fault.New("read "+name, KindVersion, "%q version %d, want %q version %d", t.Header.Format, t.Header.Version, Format, Version)
	}
	return t, nil
}

func (t *Trace) decodeLine(n int, data []byte) error {
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if n == 1 {
		return decoder.Decode(&t.Header)
	}
	var e Event
	if err := decoder.Decode(&e); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return nil
}

// Write writes the trace, compressed with gzip.
func (t *Trace) Write(w io.Writer) error {
	compressor := gzip.NewWriter(w)
	encoder := json.NewEncoder(compressor)
	err := encoder.Encode(t.Header)
	for _, e := range t.Events {
		err = errors.Join(err, encoder.Encode(e))
	}
	if err = errors.Join(err, compressor.Close()); err != nil {
		return &Error{Op: "write", Kind: KindWrite, Err: err}
	}
	return nil
}
