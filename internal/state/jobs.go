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
	Accepted  uint64 `cbor:"4,keyasint"`
	At        Moment `cbor:"5,keyasint"`
	Cancelled bool   `cbor:"6,keyasint,omitempty"`
	Failed    bool   `cbor:"7,keyasint,omitempty"`
	// Done holds the tasks that ended well, for a gang one of each run.
	Done map[workload.Position]bool `cbor:"8,keyasint,omitempty"`
	// Failures holds the failed runs of each task, so that one is never counted twice.
	Failures map[workload.Position][]workload.Run `cbor:"9,keyasint,omitempty"`
	// Over is when the job reached its last phase.
	Over Moment `cbor:"10,keyasint,omitempty"`
	// Pools are all pools that the job's queue has had, so that its runs can only be there.
	Pools []fleet.PoolID `cbor:"11,keyasint,omitempty"`
}

// Complete reports whether all tasks have ended well.
func (r *JobRecord) Complete() bool { return len(r.Done) >= r.Job.TaskCount() }

// Active reports whether tasks of the job may still have to run.
func (r *JobRecord) Active() bool { return !r.Cancelled && !r.Failed && !r.Complete() }

// WaveRecord is the committed progress of a maintenance wave.
type WaveRecord struct {
	Wave  workload.Wave   `cbor:"1,keyasint"`
	Since Moment          `cbor:"2,keyasint"`
	Begun map[string]bool `cbor:"3,keyasint,omitempty"`
}

// Workload is the committed part of the state that jobs need.
type Workload struct {
	Catalogue workload.Catalogue `cbor:"1,keyasint"`
	// Source is the catalogue as the operator sent it.
	Source []byte                        `cbor:"2,keyasint,omitempty"`
	Jobs   map[workload.JobID]*JobRecord `cbor:"3,keyasint,omitempty"`
	// Enrolled holds every boot of an instance that may have been given work.
	Enrolled map[fleet.InstanceID]workload.Instance `cbor:"4,keyasint,omitempty"`
	Waves    map[uint64]*WaveRecord                 `cbor:"5,keyasint,omitempty"`
	// Closed holds the log index since which nothing has been started on a silent instance.
	Closed map[fleet.InstanceID]uint64 `cbor:"6,keyasint,omitempty"`
}

func (w *Workload) index() {
	w.Jobs = orEmpty(w.Jobs)
	w.Enrolled = orEmpty(w.Enrolled)
	w.Waves = orEmpty(w.Waves)
	w.Closed = orEmpty(w.Closed)
}

// Publish puts a version of the catalogue in force unless a higher one is.
type Publish struct {
	Catalogue workload.Catalogue `cbor:"1,keyasint"`
	Source    []byte             `cbor:"2,keyasint"`
}

func (c Publish) apply(s *State) (Reply, error) {
	if err := c.Catalogue.Validate(); err != nil {
		return Reply{}, refuse("publish", KindInvalid, "%w", err)
	}
	if c.Catalogue.Version <= s.Work.Catalogue.Version {
		return Reply{Version: s.Work.Catalogue.Version}, nil
	}
	s.Work.Catalogue = c.Catalogue
	s.Work.Source = bytes.Clone(c.Source)
	for _, r := range s.Work.Jobs {
		r.notePool(&s.Work.Catalogue)
	}
	return Reply{Version: c.Catalogue.Version}, nil
}

// Submit accepts a job; a job whose id is taken stays as it is.
type Submit struct {
	Job      workload.Job     `cbor:"1,keyasint"`
	Queue    fleet.QueueID    `cbor:"2,keyasint"`
	Customer fleet.CustomerID `cbor:"3,keyasint,omitempty"`
	At       Moment           `cbor:"4,keyasint"`
}

func (c Submit) apply(s *State) (Reply, error) {
	if _, taken := s.Work.Jobs[c.Job.ID]; taken {
		return Reply{}, nil
	}
	r := &JobRecord{Job: c.Job, Queue: c.Queue, Customer: c.Customer, Accepted: s.Current, At: c.At}
	r.notePool(&s.Work.Catalogue)
	s.Work.Jobs[c.Job.ID] = r
	return Reply{}, nil
}

// notePool remembers the pool of the job's queue.
func (r *JobRecord) notePool(c *workload.Catalogue) {
	q, ok := c.QueueByName(r.Queue)
	if ok && r.Active() && !slices.Contains(r.Pools, q.Pool) {
		r.Pools = append(r.Pools, q.Pool)
	}
}

// Cancel ends a job that is not over.
type Cancel struct {
	Job workload.JobID `cbor:"1,keyasint"`
	At  Moment         `cbor:"2,keyasint"`
}

func (c Cancel) apply(s *State) (Reply, error) {
	r := s.Work.Jobs[c.Job]
	if r == nil {
		return Reply{}, refuse("cancel", KindUnknown, "job %q does not exist", c.Job)
	}
	if r.Active() {
		r.Cancelled = true
		r.Over = c.At
	}
	return Reply{}, nil
}

// End is how one run of a task ended.
type End struct {
	Task   workload.TaskID `cbor:"1,keyasint"`
	Run    workload.Run    `cbor:"2,keyasint"`
	Failed bool            `cbor:"3,keyasint,omitempty"`
}

// NoteEnds records ends of runs, and jobs that failed by them.
type NoteEnds struct {
	Ends   []End            `cbor:"1,keyasint"`
	Failed []workload.JobID `cbor:"2,keyasint,omitempty"`
	At     Moment           `cbor:"3,keyasint"`
}

func (c NoteEnds) apply(s *State) (Reply, error) {
	for _, e := range c.Ends {
		r := s.Work.Jobs[e.Task.Job]
		if r == nil {
			continue
		}
		if e.Failed {
			r.noteFailure(e)
			continue
		}
		r.Done = orEmpty(r.Done)
		r.Done[e.Task.Position] = true
		if r.Complete() && r.Over == 0 {
			r.Over = c.At
		}
	}
	for _, id := range c.Failed {
		if r := s.Work.Jobs[id]; r != nil && r.Active() {
			r.Failed = true
			r.Over = c.At
		}
	}
	return Reply{}, nil
}

func (r *JobRecord) noteFailure(e End) {
	r.Failures = orEmpty(r.Failures)
	runs := r.Failures[e.Task.Position]
	if !slices.Contains(runs, e.Run) {
		r.Failures[e.Task.Position] = append(runs, e.Run)
	}
}

// ReleaseJobs drops jobs that have been over for longer than callers may ask for them.
type ReleaseJobs struct {
	Jobs []workload.JobID `cbor:"1,keyasint"`
}

func (c ReleaseJobs) apply(s *State) (Reply, error) {
	for _, id := range c.Jobs {
		if r := s.Work.Jobs[id]; r != nil && !r.Active() {
			delete(s.Work.Jobs, id)
		}
	}
	return Reply{}, nil
}

// Enrol records a boot of an instance before it is given work.
type Enrol struct {
	Instance workload.Instance `cbor:"1,keyasint"`
}

func (c Enrol) apply(s *State) (Reply, error) {
	s.Work.Enrolled[c.Instance.ID] = c.Instance
	delete(s.Work.Closed, c.Instance.ID)
	return Reply{}, nil
}

// Strike removes instances that run nothing any more.
type Strike struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

func (c Strike) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		delete(s.Work.Enrolled, id)
		delete(s.Work.Closed, id)
	}
	return Reply{}, nil
}

// CloseInstances records that nothing more is started on silent instances, so that jobs which are accepted later can't
// run there.
type CloseInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

func (c CloseInstances) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		if _, enrolled := s.Work.Enrolled[id]; enrolled && s.Work.Closed[id] == 0 {
			s.Work.Closed[id] = s.Current
		}
	}
	return Reply{}, nil
}

// ReopenInstances records that instances answer again, before anything is started on them.
type ReopenInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

func (c ReopenInstances) apply(s *State) (Reply, error) {
	for _, id := range c.Instances {
		delete(s.Work.Closed, id)
	}
	return Reply{}, nil
}

// OpenWave accepts a maintenance wave; a wave whose number is taken stays as it is.
type OpenWave struct {
	Wave workload.Wave `cbor:"1,keyasint"`
	At   Moment        `cbor:"2,keyasint"`
}

func (c OpenWave) apply(s *State) (Reply, error) {
	if _, taken := s.Work.Waves[c.Wave.Number]; !taken {
		s.Work.Waves[c.Wave.Number] = &WaveRecord{Wave: c.Wave, Since: c.At}
	}
	return Reply{}, nil
}

// BeginUpkeep records that the maintenance of a machine has begun, or that the machine is gone.
type BeginUpkeep struct {
	Wave    uint64 `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

func (c BeginUpkeep) apply(s *State) (Reply, error) {
	w := s.Work.Waves[c.Wave]
	if w == nil {
		return Reply{}, refuse("begin upkeep", KindUnknown, "wave %d does not exist", c.Wave)
	}
	w.Begun = orEmpty(w.Begun)
	w.Begun[c.Machine] = true
	return Reply{}, nil
}
