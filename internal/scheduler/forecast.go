package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

const (
	// priorRefreshInterval is how long the forecast for a step of which nothing has run is used again. Computing it costs as much as
	// placing a task, and a planning run asks for hundreds.
	priorRefreshInterval = time.Second
	// heldPollTime is how long a response takes at least if the instance held it until a run ended. Instances answer within milliseconds, and
	// the exchange takes some tens under load.
	heldPollTime = 100 * time.Millisecond
	// maxTimingDoubt is the part of a run time that may be uncertain. Tasks of one step differ by as much.
	maxTimingDoubt = 0.3
	// sampleInterval is the progress, in percent, after which a run is taken into the forecast for its stage again.
	sampleInterval = 8
	// minShownPercent is the progress from which on the end of a run can be computed from it. Progress is reported in steps of 1 %.
	minShownPercent = 20
)

// expectation is the forecast for the tasks of a stage.
type expectation struct {
	evidence forecaster.Evidence
	// prior is the forecast without the evidence. It is kept once there is evidence, which is also learned for later jobs.
	prior, current forecaster.Forecast
	refreshAt      time.Duration
	// own is what the stage adds to the ratios of its job, and others is the weight of those of other stages in the prior.
	own          estimateRatio
	others       float64
	known, stale bool
	hasEvidence  bool
}

// estimateRatio is the sum of the logarithms of actual over estimated time of finished runs.
type estimateRatio struct{ sum, weight float64 }

func (r estimateRatio) without(o estimateRatio) estimateRatio {
	return estimateRatio{r.sum - o.sum, r.weight - o.weight}
}

func (r *estimateRatio) add(actual, estimate time.Duration, weight float64) {
	ratio := max(actual, time.Microsecond).Seconds() / estimate.Seconds()
	r.sum += weight * math.Log(max(1/maxEstimateRatio, min(maxEstimateRatio, ratio)))
	r.weight += weight
}

// maxEstimateRatio bounds the ratio of one run, so that an absurd estimate does not hide the others.
const maxEstimateRatio = 1000

// minRatioWeight is the number of finished steps from which on the ratio says something about the others: half of the tasks of one.
const minRatioWeight = 0.5

// maxSiblingTime is more than any task takes, and far from overflow.
const maxSiblingTime = 24 * time.Hour

// scale returns an estimate times the mean ratio, or zero if either is not known.
func (r estimateRatio) scale(estimate time.Duration) time.Duration {
	if r.weight < minRatioWeight {
		return 0
	}
	return time.Duration(min(float64(estimate)*math.Exp(r.sum/r.weight), float64(maxSiblingTime)))
}

func (st *stage) expect() *expectation {
	if st.expectation == nil {
		st.expectation = &expectation{}
	}
	return st.expectation
}

// expectedRunTime returns the forecast for a task of a stage on an instance of usual speed near its data. It allocates
// at the first call for a stage only.
func (s *Scheduler) expectedRunTime(j *job, st *stage) forecaster.Forecast {
	e := st.expect()
	others := j.estimateRatio.without(e.own)
	if !e.known || !e.hasEvidence && (s.now >= e.refreshAt || others.weight != e.others) {
		e.prior = s.forecaster.Expect(j.subject(st)).Alongside(others.scale(st.step.Estimate))
		e.known, e.stale, e.refreshAt, e.others = true, true, s.now+priorRefreshInterval, others.weight
	}
	if e.stale {
		e.current, e.stale = e.prior.Given(&e.evidence), false
	}
	return e.current
}

// expectedOn returns the forecast for a task of a stage on an instance.
func (s *Scheduler) expectedOn(in *instance, j *job, st *stage) forecaster.Forecast {
	f := s.expectedRunTime(j, st).Scaled(1 / s.forecaster.InstanceSpeed(in.ID).Factor)
	if in.remoteFrom(st.step) {
		f = f.Scaled(s.forecaster.RemoteFactor())
	}
	return f
}

// expectedRemainder returns the remaining time of a run.
func (s *Scheduler) expectedRemainder(in *instance, r *run) forecaster.Remainder {
	f := s.expectedOn(in, r.job, r.job.stage(r.task.Position))
	startedAt := in.startOf(r, f.Typical())
	if startedAt == 0 {
		return f.Remaining(0, 0)
	}
	if !r.reported {
		return f.Remaining(s.now-startedAt, 0)
	}
	return f.RemainingSince(s.now-startedAt, in.receivedAt(r.progressedAt)-startedAt, r.percent)
}

// startOf returns when a run was started, zero if it is not known at all. An adopted run is taken to have progressed at its present pace
// since its start, or as expected if no pace is known yet.
func (in *instance) startOf(r *run, typical time.Duration) time.Duration {
	if r.startedAt > 0 || !r.reported {
		return r.startedAt
	}
	full := typical
	if r.percent > r.listedPercent {
		full = (r.progressedAt - r.listedAt) * 100 / time.Duration(r.percent-r.listedPercent)
	}
	return in.receivedAt(r.progressedAt) - full*time.Duration(r.percent)/100
}

// ExpectedRunTime returns the forecast for a task; ok is false if its job is not known.
func (s *Scheduler) ExpectedRunTime(id workload.TaskID) (f forecaster.Forecast, ok bool) {
	j := s.jobs[id.Job]
	if j == nil || !j.hasTask(id.Position) {
		return f, false
	}
	return s.expectedRunTime(j, j.stage(id.Position)), true
}

// ExpectedRemainder returns the remaining time of the run of a task; ok is false if it has none.
func (s *Scheduler) ExpectedRemainder(id workload.TaskID) (r forecaster.Remainder, ok bool) {
	j := s.jobs[id.Job]
	if j == nil || !j.hasTask(id.Position) || j.task(id.Position).run == nil {
		return r, false
	}
	t := j.task(id.Position)
	return s.expectedRemainder(t.instance, t.run), true
}

// InstanceSpeed returns the speed of an instance relative to what is usual.
func (s *Scheduler) InstanceSpeed(id fleet.InstanceID) forecaster.Speed {
	return s.forecaster.InstanceSpeed(id)
}

func (j *job) subject(st *stage) forecaster.Subject {
	return forecaster.Subject{Queue: j.queue, Customer: j.customer, Image: st.step.Image, Step: forecaster.StepNumber(st.stepIndex), Estimate: st.step.Estimate}
}

func (in *instance) remoteFrom(step *workload.Step) bool {
	return step.DataRack != "" && in.Rack != step.DataRack
}

// receivedAt converts a clock value of the instance from a report to the time at which the report arrived.
func (in *instance) receivedAt(clock time.Duration) time.Duration {
	return in.reportReceivedAt - (in.reportedAt - clock)
}

// markStarted records that the run was started between its order and now.
func (r *run) markStarted(now time.Duration) {
	if r.startedAt == 0 {
		r.startedAt, r.startDoubt = (r.orderedAt+now)/2, (now-r.orderedAt)/2
	}
}

// timeReport records when a report arrived that a poll sent at sentAt has brought. By the clock of the instance it was made some time after
// the one before; what is more than that was spent on the way, as while the leader is paused. Delays that a busy leader has at times
// are ignored.
func (in *instance) timeReport(sentAt, clock time.Duration) {
	in.previousReportAt, in.reportReceivedAt = in.reportReceivedAt, in.clockReadAt
	in.reportHeld = in.clockReadAt-sentAt >= heldPollTime
	in.reportDelay = 0
	if delay := in.reportReceivedAt - in.previousReportAt - (clock - in.reportedAt); in.previousReportAt > 0 && delay >= heldPollTime {
		in.reportDelay = delay
	}
}

// endedAt returns when a run ended that the last report listed as ended, and how far the truth may be from that.
func (in *instance) endedAt(r *run) (at, doubt time.Duration) {
	at, doubt = in.reportedEnd(r)
	return at - in.reportDelay/2, doubt + in.reportDelay/2
}

// reportedEnd returns when a run ended if the last report arrived without delay. A response that the instance held came at the end of a run;
// else the run ended at some time since the report before.
func (in *instance) reportedEnd(r *run) (at, doubt time.Duration) {
	latest := in.reportReceivedAt
	if in.reportHeld {
		return latest, 0
	}
	earliest := max(in.previousReportAt, r.startedAt)
	if r.reported && r.percent >= minShownPercent {
		shown := r.startedAt + (in.receivedAt(r.progressedAt)-r.startedAt)*100/time.Duration(r.percent)
		return max(earliest, min(shown, latest)), 0
	}
	return (earliest + latest) / 2, (latest - earliest) / 2
}

// observeEnd learns from an ended run. Only one that ended by itself after a full run teaches how long its kind of task takes.
func (s *Scheduler) observeEnd(in *instance, r *run, ending workload.Ending) {
	st := r.job.stage(r.task.Position)
	if !r.measured || r.startedAt == 0 || st.step.Service || st.step.BestEffort {
		return
	}
	endedAt, doubt := in.endedAt(r)
	actual := endedAt - r.startedAt
	if actual <= 0 || float64(doubt+r.startDoubt) > maxTimingDoubt*float64(actual) {
		return
	}
	expected := s.expectedRunTime(r.job, st)
	s.dropSample(r)
	observed := forecaster.Run{
		Subject: r.job.subject(st), Actual: actual, Tasks: st.step.Count, Instance: in.ID, Remote: in.remoteFrom(st.step), Evidence: &st.expect().evidence,
		Sibling: r.job.estimateRatio.without(st.expect().own).scale(st.step.Estimate),
	}
	before := s.forecaster.InstanceSpeed(in.ID)
	switch {
	case ending == workload.EndedDone && !r.stopping:
		s.forecaster.Observe(observed)
		sample := s.forecaster.Finished(expected, in.ID, observed.Remote, actual)
		s.addEvidence(st, forecaster.Sample{}, sample)
		r.job.addEstimateRatio(st, sample)
		if !observed.Remote {
			st.longestRun = max(st.longestRun, s.usualDuration(in, actual))
		}
	case ending == workload.EndedStopped:
		s.forecaster.ObserveUnfinished(observed)
	}
	s.logSpeed(in, before)
}

// addEstimateRatio adds a finished run to what the stage shows about the estimates for its job.
func (j *job) addEstimateRatio(st *stage, sample forecaster.Sample) {
	if st.step.Estimate > 0 && sample.Set() {
		weight := sample.Weight() / float64(st.step.Count)
		j.estimateRatio.add(sample.Time(), st.step.Estimate, weight)
		st.expect().own.add(sample.Time(), st.step.Estimate, weight)
	}
}

// observeProgress takes the progress of a run into the forecast for its stage.
func (s *Scheduler) observeProgress(in *instance, r *run) {
	st := r.job.stage(r.task.Position)
	if !r.measured || r.startedAt == 0 || st.step.Service || st.step.BestEffort || r.percent < r.sampledPercent+sampleInterval {
		return
	}
	elapsed := in.reportReceivedAt - in.reportDelay/2 - r.startedAt
	if float64(in.reportDelay/2) > maxTimingDoubt*float64(elapsed) {
		return
	}
	sample := s.forecaster.Progress(s.expectedRunTime(r.job, st), in.ID, in.remoteFrom(st.step), elapsed, r.percent)
	if sample.Set() {
		s.addEvidence(st, r.sample, sample)
		r.sample, r.sampledPercent = sample, r.percent
	}
}

// dropSample removes what the progress of a run has shown.
func (s *Scheduler) dropSample(r *run) {
	if r.sample.Set() {
		s.addEvidence(r.job.stage(r.task.Position), r.sample, forecaster.Sample{})
		r.sample = forecaster.Sample{}
	}
}

func (s *Scheduler) addEvidence(st *stage, before, after forecaster.Sample) {
	e := st.expect()
	e.evidence.Replace(before, after)
	e.stale, e.hasEvidence = true, true
}

// logSpeed records that an instance has become slow or has its usual speed again.
func (s *Scheduler) logSpeed(in *instance, before forecaster.Speed) {
	after := s.forecaster.InstanceSpeed(in.ID)
	in.observeSpeed(after)
	if after.Slow == before.Slow {
		return
	}
	what := "instance slow"
	if before.Slow {
		what = "instance speed usual"
	}
	s.decisions = append(s.decisions, Decision{What: what, Instance: in.ID, Machine: in.Machine, Reason: fmt.Sprintf("speed %.2f in the last %d runs", after.Factor, after.Runs)})
}
