// Package workload defines the data types of jobs, tasks and runs, of the instances that run them, and of the catalogue of
// queues, pools and customers.
package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// JobID identifies a job; the caller chooses it.
type JobID string

// Run is the number of one run of a task; a later run has a higher number.
type Run uint64

// MaxAmount is the largest amount of a resource of an instance or a task: four million processors, four PiB. Sums over all instances and tasks
// stay far below the range of an int64.
const MaxAmount = 1 << 32

// Resources is an amount of each resource of an instance.
type Resources struct {
	// Processors is in thousandths of a processor.
	Processors int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in MiB.
	Memory       int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// String returns the amounts as logs show them, such as "1500m 2048Mi 1a".
func (n Resources) String() string {
	return fmt.Sprintf("%dm %dMi %da", n.Processors, n.Memory, n.Accelerators)
}

// Add returns n plus o.
func (n Resources) Add(o Resources) Resources {
	return Resources{n.Processors + o.Processors, n.Memory + o.Memory, n.Accelerators + o.Accelerators}
}

// Sub returns n minus o.
func (n Resources) Sub(o Resources) Resources {
	return Resources{n.Processors - o.Processors, n.Memory - o.Memory, n.Accelerators - o.Accelerators}
}

// Scale returns n times a factor, rounded down.
func (n Resources) Scale(factor float64) Resources {
	return Resources{int64(float64(n.Processors) * factor), int64(float64(n.Memory) * factor), int64(float64(n.Accelerators) * factor)}
}

// Max returns the larger of each resource.
func (n Resources) Max(other Resources) Resources {
	return Resources{Processors: max(n.Processors, other.Processors), Memory: max(n.Memory, other.Memory), Accelerators: max(n.Accelerators, other.Accelerators)}
}

// Fits reports whether o fits into n.
func (n Resources) Fits(o Resources) bool {
	return o.Processors <= n.Processors && o.Memory <= n.Memory && o.Accelerators <= n.Accelerators
}

// DominantShare returns the largest ratio of o to n over the resources.
func (n Resources) DominantShare(o Resources) float64 {
	return max(ratio(o.Processors, n.Processors), ratio(o.Memory, n.Memory), ratio(o.Accelerators, n.Accelerators))
}

func ratio(o, n int64) float64 {
	if n <= 0 {
		return 0
	}
	return float64(o) / float64(n)
}

// WithinLimit reports whether n is within the limit, in which zero means no limit.
func (n Resources) WithinLimit(limit Resources) bool {
	return (limit.Processors == 0 || n.Processors <= limit.Processors) &&
		(limit.Memory == 0 || n.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || n.Accelerators <= limit.Accelerators)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count     int           `cbor:"1,keyasint"`
	Resources Resources     `cbor:"2,keyasint"`
	Estimate  time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that must be done before this one starts.
	After         []int  `cbor:"4,keyasint,omitempty"`
	Checkpointing bool   `cbor:"5,keyasint,omitempty"`
	Gang          bool   `cbor:"6,keyasint,omitempty"`
	SameRack      bool   `cbor:"7,keyasint,omitempty"`
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run fastest.
	DataRack       string `cbor:"9,keyasint,omitempty"`
	MaxPerInstance int    `cbor:"10,keyasint,omitempty"`
	Speculative    bool   `cbor:"11,keyasint,omitempty"`
	// Service marks tasks that run until the job is cancelled and are restarted however they end.
	Service bool   `cbor:"12,keyasint,omitempty"`
	Image   string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the upper bound on the tail latency that a service task gives its own users.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort marks tasks that use only processors that other tasks leave idle.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the availability budget: how many tasks planned work may make unavailable at once.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Claim returns the resources that a task of the step reserves on an instance; a best-effort task reserves no processors.
func (s Step) Claim() Resources {
	n := s.Resources
	if s.BestEffort {
		n.Processors = 0
	}
	return n
}

// Job is a submitted job.
type Job struct {
	ID    JobID  `cbor:"1,keyasint"`
	Spec  string `cbor:"2,keyasint,omitempty"`
	Steps []Step `cbor:"3,keyasint"`
	// Repetitions is how often the steps run; zero means once, immediately.
	Repetitions    int           `cbor:"4,keyasint,omitempty"`
	FirstDueMillis int64         `cbor:"5,keyasint,omitempty"` // Unix time
	Interval       time.Duration `cbor:"6,keyasint,omitempty"`
}

// OccurrenceCount returns how often the steps run.
func (j *Job) OccurrenceCount() int { return max(1, j.Repetitions) }

// TaskCount returns the number of tasks over all occurrences.
func (j *Job) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n * j.OccurrenceCount()
}

// MaxSteps is the limit on the steps of a job, and on the predecessors of a step, far above the five that the deployments send.
const MaxSteps = 256

// Limits of an accepted job.
const (
	maxSpecBytes = 4000   // the platform's limit on the spec of a job
	maxTasks     = 100000 // bounds the memory that one job can use
	// maxDueMillis is in Unix time. With it the due times of all occurrences stay within an int64.
	maxDueMillis = 1 << 53
)

// Validate returns the first error in the job.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("spec: %d bytes, want at most %d", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("steps: %d, want 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Repetitions < 0 || j.Interval < 0 || j.Repetitions > 1 && j.Interval == 0 {
		return fmt.Errorf("times: %d every %s", j.Repetitions, j.Interval)
	}
	if j.FirstDueMillis > maxDueMillis || j.FirstDueMillis < -maxDueMillis {
		return fmt.Errorf("first due time: %d ms, want at most %d", j.FirstDueMillis, int64(maxDueMillis))
	}
	total := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return fmt.Errorf("steps[%d]: %w", i, err)
		}
		total += s.Count
	}
	if total > maxTasks/j.OccurrenceCount() {
		return fmt.Errorf("steps: %d tasks %d times, want at most %d tasks", total, j.OccurrenceCount(), maxTasks)
	}
	return nil
}

func (s Step) validate(position int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("count: %d, want 1 to %d", s.Count, maxTasks)
	}
	if s.Resources.Processors < 0 || s.Resources.Memory < 0 || s.Resources.Accelerators < 0 || s.MaxPerInstance < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("a size is negative")
	}
	if max(s.Resources.Processors, s.Resources.Memory, s.Resources.Accelerators) > MaxAmount {
		return fmt.Errorf("resources: %s, want at most %d of each", s.Resources, int64(MaxAmount))
	}
	for _, a := range s.After {
		if a < 0 || a >= position {
			return fmt.Errorf("after: %d is no earlier step", a)
		}
	}
	return nil
}

// Position identifies a task within its job by occurrence, step and index.
type Position uint64

const (
	indexBits = 24
	stepBits  = 16
)

// NewPosition returns the position of a task.
func NewPosition(occurrence, step, index int) Position {
	return Position(occurrence)<<(indexBits+stepBits) | Position(step)<<indexBits | Position(index)
}

// Occurrence returns the occurrence of the steps.
func (p Position) Occurrence() int { return int(p >> (indexBits + stepBits)) }

// Step returns the index of the step in the job.
func (p Position) Step() int { return int(p>>indexBits) & (1<<stepBits - 1) }

// Index returns the index of the task in its step.
func (p Position) Index() int { return int(p) & (1<<indexBits - 1) }

// TaskID identifies a task.
type TaskID struct {
	Job      JobID    `cbor:"1,keyasint"`
	Position Position `cbor:"2,keyasint"`
}

// String formats the ID as job, occurrence, step and index, separated by dots.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Position.Occurrence()) + "." + strconv.Itoa(t.Position.Step()) + "." +
		strconv.Itoa(t.Position.Index())
}

// ParseTaskID parses the format of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q: want four parts", text)
	}
	limits := [...]int{1 << 24, 1 << stepBits, 1 << indexBits}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 || n >= limits[i] {
			return TaskID{}, fmt.Errorf("task %q: part %q is not a valid index", text, p)
		}
		numbers[i] = n
	}
	return TaskID{Job: JobID(parts[0]), Position: NewPosition(numbers[0], numbers[1], numbers[2])}, nil
}

// Phase is the state of a job.
type Phase string

// Phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Ending is the way a run ended.
type Ending string

// Endings of a run.
const (
	EndedDone         Ending = "done"
	EndedFailed       Ending = "failed"
	EndedStopped      Ending = "stopped"
	EndedLeaseExpired Ending = "lapsed"
	EndedBroken       Ending = "broken"
	EndedAlone        Ending = "alone"
)

// Instance is the announcement of one boot of an instance.
type Instance struct {
	ID         fleet.InstanceID   `cbor:"1,keyasint"`
	Boot       int64              `cbor:"2,keyasint,omitempty"` // start of the boot in Unix time, in milliseconds
	Pool       fleet.PoolID       `cbor:"3,keyasint"`
	Address    string             `cbor:"4,keyasint"`
	DataCentre fleet.DataCentreID `cbor:"5,keyasint,omitempty"`
	Machine    string             `cbor:"6,keyasint,omitempty"`
	Capacity   Resources          `cbor:"7,keyasint"`
	Labels     []string           `cbor:"8,keyasint,omitempty"`
	Draining   bool               `cbor:"9,keyasint,omitempty"`
	// TimeLeft is the minimum time until a draining instance shuts down.
	TimeLeft time.Duration `cbor:"10,keyasint,omitempty"`
	Sequence uint64        `cbor:"11,keyasint,omitempty"`
	Clock    time.Duration `cbor:"12,keyasint,omitempty"`
	Rack     string        `cbor:"13,keyasint,omitempty"`
	// LargestCapacity is the largest that the boot has announced, in the committed record. Runs may exist up to that.
	LargestCapacity Resources `cbor:"14,keyasint,omitempty" json:",omitzero"`
	// WarmupLeft is the time until the instance has its full speed; it is zero on a warm one.
	WarmupLeft time.Duration `cbor:"15,keyasint,omitempty" json:",omitzero"`
}

// WarmupTolerance is how much later than announced before a warm-up may end without being news. Announcements are rounded and delayed.
const WarmupTolerance = 500 * time.Millisecond

// WarmAt returns when the instance has its full speed, on its own clock, or zero if it had it at the announcement.
func (i *Instance) WarmAt() time.Duration {
	if i.WarmupLeft <= 0 {
		return 0
	}
	return i.Clock + i.WarmupLeft
}

// SaysSame reports whether another announcement of the instance says the same but for its sequence number and clock, which every
// announcement has anew, and the time left while the instance is draining or warming up.
func (i *Instance) SaysSame(other *Instance) bool {
	return i.ID == other.ID && i.Boot == other.Boot && i.Pool == other.Pool && i.Address == other.Address && i.DataCentre == other.DataCentre &&
		i.Machine == other.Machine && i.Capacity == other.Capacity && i.Draining == other.Draining && i.Rack == other.Rack && slices.Equal(i.Labels, other.Labels) &&
		other.WarmAt() <= i.WarmAt()+WarmupTolerance
}

// Wave is a request to maintain machines within a time limit.
type Wave struct {
	Number        uint64        `cbor:"1,keyasint"`
	Machines      []string      `cbor:"2,keyasint"`
	TimeLimit     time.Duration `cbor:"3,keyasint"`
	MaxConcurrent int           `cbor:"4,keyasint"`
}
