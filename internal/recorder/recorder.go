// Package recorder records the requests of one entry, the instances and the configuration as a trace that can be replayed.
package recorder

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/tracer"
)

// Recorder appends events to a trace file; events before the first configuration, which the header needs, are dropped.
type Recorder struct {
	mutex         sync.Mutex
	file          *os.File
	encoder       *json.Encoder
	entry         fleet.EntryID
	startedAt     time.Time
	configVersion uint64
	recorded      map[fleet.InstanceID]bool
}

// assumedRebootMillis is the reboot time in the header, as a recording does not observe how long reboots take.
const assumedRebootMillis = 60_000

// New creates the trace file; name is its path.
func New(name string, entry fleet.EntryID) (*Recorder, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create trace file: %w", err)
	}
	return &Recorder{file: f, encoder: json.NewEncoder(f), entry: entry, recorded: map[fleet.InstanceID]bool{}}, nil
}

// RecordConfiguration records a change of the configuration; the first configuration is written into the header and starts the trace.
func (r *Recorder) RecordConfiguration(now time.Time, version uint64, text []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version == 0 || version == r.configVersion {
		return
	}
	first := r.configVersion == 0
	r.configVersion = version
	if !first {
		r.writeEvent(now, tracer.Event{Kind: tracer.Configure, Text: string(text)})
		return
	}
	r.startedAt = now
	_ = r.encoder.Encode(tracer.Header{
		Format: tracer.Format, Version: tracer.Version, Name: "recorded-by-" + string(r.entry), Start: now.UTC(),
		Configuration: string(text), Seed: 1, RebootMillis: assumedRebootMillis,
	})
}

// RecordInstance records an instance at its first announcement.
func (r *Recorder) RecordInstance(now time.Time, i fleet.Instance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.configVersion == 0 || r.recorded[i.ID] {
		return
	}
	r.recorded[i.ID] = true
	i.Tasks = nil
	r.writeEvent(now, tracer.Event{Kind: tracer.InstanceAdded, Instance: &i})
}

// RecordRequest records an answered request, with the run time of its task.
func (r *Recorder) RecordRequest(arrived time.Time, id fleet.RequestID, queue fleet.QueueID, customer fleet.CustomerID, runTime, timeout time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.configVersion == 0 {
		return
	}
	r.writeEvent(arrived, tracer.Event{
		Kind: tracer.RequestArrived, Request: id, Queue: queue, Customer: customer, Entry: r.entry,
		RunMillis: max(runTime.Milliseconds(), 1), TimeoutMillis: timeout.Milliseconds(),
	})
}

func (r *Recorder) writeEvent(at time.Time, e tracer.Event) {
	e.AtMillis = max(at.Sub(r.startedAt).Milliseconds(), 0)
	_ = r.encoder.Encode(e)
}

// Close syncs and closes the trace.
func (r *Recorder) Close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return errors.Join(r.file.Sync(), r.file.Close())
}
