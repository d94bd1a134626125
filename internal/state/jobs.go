package state

import (
	"bytes"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// JobRecord is what is committed about one job.
type JobRecord struct {
	Job      workload.Job     `cbor:"1,keyasint"`
	Queue    fleet.QueueID    `cbor:"2,keyasint"`
	Customer fleet.CustomerID `cbor:"3,keyasint,omitempty"`
	// Accepted is the log index of the submission and At its time.
	AcceptedIndex uint64    `cbor:"4,keyasint"`
	AcceptedAt    Timestamp `cbor:"5,keyasint"`
	Cancelled     bool      `cbor:"6,keyasint,omitempty"`
	Failed        bool      `cbor:"7,keyasint,omitempty"`
	// Done holds the tasks that ended well, for a gang one of each run.
	Completed map[workload.Position]bool `cbor:"8,keyasint,omitempty"`
	// Failures holds the failed runs of each task, so that one is never counted twice.
	FailedRuns map[workload.Position][]workload.Run `cbor:"9,keyasint,omitempty"`
	// Over is when the job reached its last phase.
	FinishedAt Timestamp `cbor:"10,keyasint,omitempty"`
	// Pools are all pools that the job's queue has had, so that its runs can only be there.
	Pools []fleet.PoolID `cbor:"11,keyasint,omitempty"`
}

// Complete reports whether all tasks have ended well.
func (r *JobRecord) Complete() bool { return len(r.Completed) >= r.Job.TaskCount() }

// Active reports whether tasks of the job may still have to run.
func (r *JobRecord) Active() bool { return !r.Cancelled && !r.Failed && !r.Complete() }

// WaveRecord is the committed progress of a maintenance wave.
type WaveRecord struct {
	Wave       workload.Wave   `cbor:"1,keyasint"`
	AcceptedAt Timestamp       `cbor:"2,keyasint"`
	Started    map[string]bool `cbor:"3,keyasint,omitempty"`
}

// Workload is the committed part of the state that jobs need.
type Workload struct {
	Catalogue workload.Catalogue `cbor:"1,keyasint"`
	// Source is the catalogue as the operator sent it.
	CatalogueSource []byte                        `cbor:"2,keyasint,omitempty"`
	Jobs            map[workload.JobID]*JobRecord `cbor:"3,keyasint,omitempty"`
	// Enrolled holds every boot of an instance that may have been given work.
	Enrolled map[fleet.InstanceID]workload.Instance `cbor:"4,keyasint,omitempty"`
	Waves    map[uint64]*WaveRecord                 `cbor:"5,keyasint,omitempty"`
	// Closed holds the log index since which nothing has been started on a silent instance.
	Cordoned map[fleet.InstanceID]uint64 `cbor:"6,keyasint,omitempty"`
}

func (w *Workload) initMaps() {
	w.Jobs = mapOrEmpty(w.Jobs)
	w.Enrolled = mapOrEmpty(w.Enrolled)
	w.Waves = mapOrEmpty(w.Waves)
	w.Cordoned = mapOrEmpty(w.Cordoned)
}

// Publish puts a version of the catalogue in force unless a higher one is.
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

// Submit accepts a job; a job whose id is taken stays as it is.
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

// notePool remembers the pool of the job's queue.
func (r *JobRecord) recordPool(c *workload.Catalogue) {
	q, ok := c.QueueByName(r.Queue)
	if ok && r.Active() && !slices.Contains(r.Pools, q.Pool) {
		r.Pools = append(r.Pools, q.Pool)
	}
}

// Cancel ends a job that is not over.
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

// End is how one run of a task ended.
type RunEnd struct {
	Task   workload.TaskID `cbor:"1,keyasint"`
	Run    workload.Run    `cbor:"2,keyasint"`
	Failed bool            `cbor:"3,keyasint,omitempty"`
}

// NoteEnds records ends of runs, and jobs that failed by them.
type RecordRunEnds struct {
	Ends   []RunEnd         `cbor:"1,keyasint"`
	Failed []workload.JobID `cbor:"2,keyasint,omitempty"`
	At     Timestamp        `cbor:"3,keyasint"`
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
	for _, id := range c.Failed {
		if r := s.Workload.Jobs[id]; r != nil && r.Active() {
			r.Failed = true
			r.FinishedAt = c.At
		}
	}
	return Reply{}, nil
}

func (r *JobRecord) recordFailure(e RunEnd) {
	r.FailedRuns = mapOrEmpty(r.FailedRuns)
	runs := r.FailedRuns[e.Task.Position]
	if !slices.Contains(runs, e.Run) {
		r.FailedRuns[e.Task.Position] = append(runs, e.Run)
	}
}

// ReleaseJobs drops jobs that have been over for longer than callers may ask for them.
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

// Enrol records a boot of an instance before it is given work.
type EnrolInstance struct {
	Instance workload.Instance `cbor:"1,keyasint"`
}

func (c EnrolInstance) apply(s *State) (Reply, error) {
	s.Workload.Enrolled[c.Instance.ID] = c.Instance
	delete(s.Workload.Cordoned, c.Instance.ID)
	return Reply{}, nil
}

// Strike removes instances that run nothing any more.
type DeregisterInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

func (c DeregisterInstances) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		delete(s.Workload.Enrolled, id)
		delete(s.Workload.Cordoned, id)
	}
	return Reply{}, nil
}

// CloseInstances records that nothing more is started on silent instances, so that jobs which are accepted later can't
// run there.
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

// ReopenInstances records that instances answer again, before anything is started on them.
type UncordonInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

func (c UncordonInstances) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		delete(s.Workload.Cordoned, id)
	}
	return Reply{}, nil
}

// OpenWave accepts a maintenance wave; a wave whose number is taken stays as it is.
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

// BeginUpkeep records that the maintenance of a machine has begun, or that the machine is gone.
type RecordMaintenanceStart struct {
	Wave    uint64 `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

func (c RecordMaintenanceStart) apply(s *State) (Reply, error) {
	w := s.Workload.Waves[c.Wave]
	if w == nil {
		return Reply{}, refuse("begin upkeep", KindUnknown, "wave %d does not exist", c.Wave)
	}
	w.Started = mapOrEmpty(w.Started)
	w.Started[c.Machine] = true
	return Reply{}, nil
}
