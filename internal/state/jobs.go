package state

import (
	"bytes"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// JobRecord is the committed record of one job.
type JobRecord struct {
	Job      workload.Job     `cbor:"1,keyasint"`
	Queue    fleet.QueueID    `cbor:"2,keyasint"`
	Customer fleet.CustomerID `cbor:"3,keyasint,omitempty"`
	// AcceptedIndex is the log index of the submission and AcceptedAt its time.
	AcceptedIndex uint64    `cbor:"4,keyasint"`
	AcceptedAt    Timestamp `cbor:"5,keyasint"`
	Cancelled     bool      `cbor:"6,keyasint,omitempty"`
	Failed        bool      `cbor:"7,keyasint,omitempty"`
	// Completed holds the tasks that succeeded, for a gang one of each run.
	Completed map[workload.Position]bool `cbor:"8,keyasint,omitempty"`
	// FailedRuns holds the failed runs of each task, so that a repeated report is not counted twice.
	FailedRuns map[workload.Position][]workload.Run `cbor:"9,keyasint,omitempty"`
	// FinishedAt is when the job completed, failed or was cancelled, zero before.
	FinishedAt Timestamp `cbor:"10,keyasint,omitempty"`
	// Pools are all pools that the queue had while the job was active; its runs can only be there.
	Pools []fleet.PoolID `cbor:"11,keyasint,omitempty"`
	// Crashes counts the crashes of instances under each task, for a gang under its first task.
	Crashes map[workload.Position]CrashCount `cbor:"12,keyasint,omitempty"`
}

// CrashCount counts the instances that crashed while they ran a task, as long as all crashes may have come at the same age of its runs.
type CrashCount struct {
	Crashes int `cbor:"1,keyasint"`
	// MinAge and MaxAge bound the age of the run at which all of them may have come.
	MinAge time.Duration `cbor:"2,keyasint,omitempty"`
	MaxAge time.Duration `cbor:"3,keyasint,omitempty"`
	// Hosts are the machines of the instances, or else their addresses, each once.
	Hosts []string `cbor:"4,keyasint,omitempty"`
	// Pending is set while the task may have a run that is at its start, if the task is suspected already or the instance of the run
	// does not answer. A later leader that does not find the run counts a crash.
	Pending bool `cbor:"5,keyasint,omitempty"`
	// Streak is nil unless the instance of the latest run crashed.
	Streak *CrashStreak `cbor:"6,keyasint,omitempty"`
}

// CrashStreak holds the latest crashes in a row under a task, at any age of its runs. Its slices are replaced rather than changed.
type CrashStreak struct {
	Crashes []StreakCrash `cbor:"1,keyasint,omitempty"`
	// Rate is how often an instance of the pool crashed without a task that explains it, in crashes a second, at the last crash.
	Rate float64 `cbor:"2,keyasint,omitempty"`
	// Exposure is the time of all instances of the pool together in which the rate was observed.
	Exposure time.Duration `cbor:"4,keyasint,omitempty"`
	// Pending is the crash that a later leader counts if it does not find the run: the instance of the run does not answer.
	Pending *StreakCrash `cbor:"3,keyasint,omitempty"`
	// HeldUntil is when the task may start again after the last of the crashes; zero in records of earlier versions.
	HeldUntil Timestamp `cbor:"5,keyasint,omitempty"`
}

// StreakCrash is one crash of a streak.
type StreakCrash struct {
	// Age is that of the run at the crash.
	Age time.Duration `cbor:"1,keyasint,omitempty"`
	// Hazard is the rate of crashes that the other tasks and the history of the machine explain.
	Hazard float64 `cbor:"2,keyasint,omitempty"`
	Host   string  `cbor:"3,keyasint,omitempty"`
}

// Complete reports whether all tasks have succeeded.
func (r *JobRecord) Complete() bool { return len(r.Completed) >= r.Job.TaskCount() }

// Active reports whether the job is neither complete nor failed nor cancelled.
func (r *JobRecord) Active() bool { return !r.Cancelled && !r.Failed && !r.Complete() }

// WaveRecord is the committed progress of a maintenance wave.
type WaveRecord struct {
	Wave       workload.Wave   `cbor:"1,keyasint"`
	AcceptedAt Timestamp       `cbor:"2,keyasint"`
	Started    map[string]bool `cbor:"3,keyasint,omitempty"`
}

// Finished reports whether the maintenance of all machines has started.
func (w *WaveRecord) Finished() bool {
	return !slices.ContainsFunc(w.Wave.Machines, func(machine string) bool { return !w.Started[machine] })
}

// Workload holds the committed tables that the scheduler works with.
type Workload struct {
	Catalogue workload.Catalogue `cbor:"1,keyasint"`
	// CatalogueSource is the catalogue as the operator sent it.
	CatalogueSource []byte                        `cbor:"2,keyasint,omitempty"`
	Jobs            map[workload.JobID]*JobRecord `cbor:"3,keyasint,omitempty"`
	// Enrolled holds the latest boot of each instance that may have received work.
	Enrolled map[fleet.InstanceID]workload.Instance `cbor:"4,keyasint,omitempty"`
	Waves    map[uint64]*WaveRecord                 `cbor:"5,keyasint,omitempty"`
	// Cordoned holds the log index since which nothing has been started on an unresponsive instance.
	Cordoned map[fleet.InstanceID]uint64 `cbor:"6,keyasint,omitempty"`
	// MachineDataCentres holds where each machine was when an instance of it was last enrolled. A machine on standby has no instance.
	MachineDataCentres map[string]fleet.DataCentreID `cbor:"7,keyasint,omitempty"`
	// Forecast is the latest summary of the run times that the leaders have learned. Keepers do not read it.
	Forecast []byte `cbor:"8,keyasint,omitempty"`
	// Deregistered holds the boots of instances that are not enrolled any more.
	Deregistered DeregisteredBoots `cbor:"9,keyasint,omitempty"`
}

// initMaps creates the maps that a decoded snapshot may lack.
func (w *Workload) initMaps() {
	w.Jobs = mapOrEmpty(w.Jobs)
	w.Enrolled = mapOrEmpty(w.Enrolled)
	w.Waves = mapOrEmpty(w.Waves)
	w.Cordoned = mapOrEmpty(w.Cordoned)
	w.MachineDataCentres = mapOrEmpty(w.MachineDataCentres)
	w.Deregistered = mapOrEmpty(w.Deregistered)
}

// PublishCatalogue puts a catalogue in force unless the one in force has the same or a higher version.
type PublishCatalogue struct {
	Catalogue workload.Catalogue `cbor:"1,keyasint"`
	Source    []byte             `cbor:"2,keyasint"`
}

func (c PublishCatalogue) apply(s *State) (Reply, error) {
	if err := c.Catalogue.Validate(); err != nil {
		return Reply{}, refuse("publish", KindInvalid, "%w", err)
	}
	if c.Catalogue.Version <= s.Workload.Catalogue.Version {
		return Reply{Version: s.Workload.Catalogue.Version}, nil
	}
	s.Workload.Catalogue = c.Catalogue
	s.Workload.CatalogueSource = bytes.Clone(c.Source)
	for _, r := range s.Workload.Jobs {
		r.recordPool(&s.Workload.Catalogue)
	}
	return Reply{Version: c.Catalogue.Version}, nil
}

// SubmitJob accepts a job; an existing job with the same id stays unchanged.
type SubmitJob struct {
	Job      workload.Job     `cbor:"1,keyasint"`
	Queue    fleet.QueueID    `cbor:"2,keyasint"`
	Customer fleet.CustomerID `cbor:"3,keyasint,omitempty"`
	At       Timestamp        `cbor:"4,keyasint"`
}

func (c SubmitJob) apply(s *State) (Reply, error) {
	if _, exists := s.Workload.Jobs[c.Job.ID]; exists {
		return Reply{}, nil
	}
	r := &JobRecord{Job: c.Job, Queue: c.Queue, Customer: c.Customer, AcceptedIndex: s.AppliedIndex, AcceptedAt: c.At}
	r.recordPool(&s.Workload.Catalogue)
	s.Workload.Jobs[c.Job.ID] = r
	return Reply{}, nil
}

// recordPool adds the current pool of the queue to the pools of an active job.
func (r *JobRecord) recordPool(c *workload.Catalogue) {
	q, ok := c.QueueByName(r.Queue)
	if ok && r.Active() && !slices.Contains(r.Pools, q.Pool) {
		r.Pools = append(r.Pools, q.Pool)
	}
}

// CancelJob cancels a job that is active.
type CancelJob struct {
	Job workload.JobID `cbor:"1,keyasint"`
	At  Timestamp      `cbor:"2,keyasint"`
}

func (c CancelJob) apply(s *State) (Reply, error) {
	r := s.Workload.Jobs[c.Job]
	if r == nil {
		return Reply{}, refuse("cancel", KindUnknown, "job %q does not exist", c.Job)
	}
	if r.Active() {
		r.Cancelled = true
		r.FinishedAt = c.At
	}
	return Reply{}, nil
}

// RunEnd is the outcome of one run of a task.
type RunEnd struct {
	Task   workload.TaskID `cbor:"1,keyasint"`
	Run    workload.Run    `cbor:"2,keyasint"`
	Failed bool            `cbor:"3,keyasint,omitempty"`
}

// RecordRunEnds records the outcomes of runs, the crashes under tasks, and the jobs that failed because of them.
type RecordRunEnds struct {
	Ends   []RunEnd         `cbor:"1,keyasint"`
	Failed []workload.JobID `cbor:"2,keyasint,omitempty"`
	At     Timestamp        `cbor:"3,keyasint"`
	// Crashes are apart from Ends, because earlier versions take an end that is not marked as failed for a success.
	Crashes []TaskCrashes `cbor:"4,keyasint,omitempty"`
}

// TaskCrashes is the new count of crashes under a task.
type TaskCrashes struct {
	Task  workload.TaskID `cbor:"1,keyasint"`
	Count CrashCount      `cbor:"2,keyasint"`
}

func (c RecordRunEnds) apply(s *State) (Reply, error) {
	for _, e := range c.Ends {
		r := s.Workload.Jobs[e.Task.Job]
		if r == nil {
			continue
		}
		if e.Failed {
			r.recordFailure(e)
			continue
		}
		r.Completed = mapOrEmpty(r.Completed)
		r.Completed[e.Task.Position] = true
		if r.Complete() && r.FinishedAt == 0 {
			r.FinishedAt = c.At
		}
	}
	for _, crashes := range c.Crashes {
		if r := s.Workload.Jobs[crashes.Task.Job]; r != nil {
			r.recordCrashes(crashes)
		}
	}
	for _, id := range c.Failed {
		if r := s.Workload.Jobs[id]; r != nil && r.Active() {
			r.Failed = true
			r.FinishedAt = c.At
		}
	}
	return Reply{}, nil
}

// recordCrashes replaces the count of a task.
func (r *JobRecord) recordCrashes(c TaskCrashes) {
	if c.Count.Crashes == 0 && !c.Count.Pending && c.Count.Streak == nil {
		delete(r.Crashes, c.Task.Position)
		return
	}
	r.Crashes = mapOrEmpty(r.Crashes)
	r.Crashes[c.Task.Position] = c.Count
}

// recordFailure adds a failed run once.
func (r *JobRecord) recordFailure(e RunEnd) {
	r.FailedRuns = mapOrEmpty(r.FailedRuns)
	runs := r.FailedRuns[e.Task.Position]
	if !slices.Contains(runs, e.Run) {
		r.FailedRuns[e.Task.Position] = append(runs, e.Run)
	}
}

// DeleteJobs deletes jobs that finished longer ago than callers may query them.
type DeleteJobs struct {
	Jobs []workload.JobID `cbor:"1,keyasint"`
}

func (c DeleteJobs) apply(s *State) (Reply, error) {
	for _, id := range c.Jobs {
		if r := s.Workload.Jobs[id]; r != nil && !r.Active() {
			delete(s.Workload.Jobs, id)
		}
	}
	return Reply{}, nil
}

// EnrolInstance records a boot of an instance before it receives work, and uncordons the instance. With KeepsCordon it records what
// the boot has announced since.
type EnrolInstance struct {
	Instance    workload.Instance `cbor:"1,keyasint"`
	KeepsCordon bool              `cbor:"2,keyasint,omitempty"`
}

func (c EnrolInstance) apply(s *State) (Reply, error) {
	s.Workload.Enrolled[c.Instance.ID] = c.Instance
	delete(s.Workload.Deregistered, c.Instance.ID)
	if c.Instance.Machine != "" && c.Instance.DataCentre != "" {
		s.Workload.locateMachine(c.Instance.Machine, c.Instance.DataCentre)
	}
	if !c.KeepsCordon {
		delete(s.Workload.Cordoned, c.Instance.ID)
	}
	return Reply{}, nil
}

// CordonInstances records that nothing more is started on unresponsive instances, so that jobs accepted later cannot
// have runs there.
type CordonInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

func (c CordonInstances) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		if _, enrolled := s.Workload.Enrolled[id]; enrolled && s.Workload.Cordoned[id] == 0 {
			s.Workload.Cordoned[id] = s.AppliedIndex
		}
	}
	return Reply{}, nil
}

// UncordonInstances records that instances respond again, before anything is started on them.
type UncordonInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

func (c UncordonInstances) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		delete(s.Workload.Cordoned, id)
	}
	return Reply{}, nil
}

// AddWave accepts a maintenance wave; an existing wave with the same number stays unchanged.
type AddWave struct {
	Wave workload.Wave `cbor:"1,keyasint"`
	At   Timestamp     `cbor:"2,keyasint"`
}

func (c AddWave) apply(s *State) (Reply, error) {
	if _, exists := s.Workload.Waves[c.Wave.Number]; !exists {
		s.Workload.Waves[c.Wave.Number] = &WaveRecord{Wave: c.Wave, AcceptedAt: c.At}
	}
	return Reply{}, nil
}

// DeleteWaves deletes waves of which the maintenance of all machines has started.
type DeleteWaves struct {
	Waves []uint64 `cbor:"1,keyasint"`
}

func (c DeleteWaves) apply(s *State) (Reply, error) {
	for _, number := range c.Waves {
		if w := s.Workload.Waves[number]; w != nil && w.Finished() {
			delete(s.Workload.Waves, number)
		}
	}
	return Reply{}, nil
}

// RecordMaintenanceStart records that the maintenance of a machine has started, or that the machine no longer exists.
type RecordMaintenanceStart struct {
	Wave    uint64 `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

func (c RecordMaintenanceStart) apply(s *State) (Reply, error) {
	w := s.Workload.Waves[c.Wave]
	if w == nil {
		return Reply{}, refuse("start maintenance", KindUnknown, "wave %d does not exist", c.Wave)
	}
	w.Started = mapOrEmpty(w.Started)
	w.Started[c.Machine] = true
	return Reply{}, nil
}
