package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// commitForecast commits the summary that is due and reports whether there is one.
func (f *testFleet) commitForecast() bool {
	if !f.scheduler.ForecastDue() {
		return false
	}
	summary, err := f.scheduler.TakeForecast()
	assert.NilError(f.t, err)
	if summary == nil {
		return false
	}
	f.commit(state.RecordForecast{Summary: summary})
	return true
}

// TestNewLeaderHasForecasts guards against a new leader that knows nothing of the run times, and against a summary in each planning run or
// while nothing was learned.
func TestNewLeaderHasForecasts(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	assert.Assert(t, !f.commitForecast(), "before the interval is over")
	f.advance(6 * time.Second)
	assert.Assert(t, !f.commitForecast(), "nothing was learned")
	for range 8 {
		f.runFor(secondStep, 2500*time.Millisecond)
	}
	assert.Assert(t, f.commitForecast())
	before := f.expected(secondStep)
	data, err := f.state.Snapshot()
	assert.NilError(t, err)
	f.state, err = state.FromSnapshot(data)
	assert.NilError(t, err)
	f.startLeader()
	assert.NilError(t, f.scheduler.ForecastError())
	after := f.expected(secondStep)
	assert.Assert(t, after > before-10*time.Millisecond && after < before+10*time.Millisecond, "%s, then %s", before, after)
}

// TestUnusableForecastIsIgnored guards against a leader that does not start because of a summary of another version.
func TestUnusableForecastIsIgnored(t *testing.T) {
	f := newTestFleet(t)
	f.commit(state.RecordForecast{Summary: []byte("of a later version")})
	f.startLeader()
	assert.ErrorIs(t, f.scheduler.ForecastError(), forecaster.KindUnreadable)
	assert.Equal(t, f.expected(secondStep), time.Second)
}

// TestLaterStepsFollowEarlierOnes guards against a step that is expected to take what its caller estimates although the callers were wrong by
// one factor for all steps of each job so far.
func TestLaterStepsFollowEarlierOnes(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	first, second := secondStep, secondStep
	second.After = []int{0}
	expect := func(factor float64) (before, after time.Duration) {
		job := f.submitJobTo("q", first, second)
		later := workload.TaskID{Job: job, Position: workload.NewPosition(0, 1, 0)}
		forecast, _ := f.scheduler.ExpectedRunTime(later)
		before = forecast.Typical()
		f.advance(100 * time.Millisecond)
		f.taskTime = time.Duration(factor * float64(time.Second))
		f.advance(f.taskTime)
		f.endRuns(job, workload.EndedDone)
		f.advance(100 * time.Millisecond)
		forecast, _ = f.scheduler.ExpectedRunTime(later)
		after = forecast.Typical()
		f.advance(f.taskTime)
		f.endRuns(job, workload.EndedDone)
		f.advance(300 * time.Millisecond)
		return before, after
	}
	for i := range 20 {
		expect([]float64{0.6, 2, 1, 1.4, 3}[i%5])
	}
	before, after := expect(3)
	assert.Assert(t, before < 1800*time.Millisecond && after > 2200*time.Millisecond, "%s, then %s", before, after)
}

// TestRemainderOfAdoptedRun guards against a new leader that expects a run to take its full time again.
func TestRemainderOfAdoptedRun(t *testing.T) {
	f := newTestFleet(t)
	f.taskTime = 4 * time.Second
	f.addInstance("a", "p")
	step := secondStep
	step.Estimate = 4 * time.Second
	job := f.submitJob(step)
	f.advance(2 * time.Second)
	f.startLeader()
	f.advance(100 * time.Millisecond) // lists the run
	for _, passed := range []time.Duration{0, 400 * time.Millisecond} {
		f.advance(passed)
		left, ok := f.scheduler.ExpectedRemainder(workload.TaskID{Job: job})
		want := 2*time.Second - passed
		assert.Assert(t, ok && left.Typical() > want-400*time.Millisecond && left.Typical() < want+400*time.Millisecond, "%s, want about %s", left.Typical(), want)
	}
}
