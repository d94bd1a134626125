package supervisor

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// taskTime is how long the tasks of an endingFleet take.
const taskTime = 300 * time.Millisecond

// endingFleet is one instance whose tasks end by themselves.
type endingFleet struct {
	unresponsiveFleet
	mutex    sync.Mutex
	bootedAt time.Time
	started  map[workload.TaskID]time.Time
	running  []scheduler.ReportedRun
	ended    []scheduler.ReportedEnd
}

func (f *endingFleet) Order(_ context.Context, o scheduler.Order) (scheduler.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if o.Kind == scheduler.Start {
		f.running = append(f.running, scheduler.ReportedRun{Task: o.Task, Run: o.Run})
		f.started[o.Task] = time.Now()
	}
	return scheduler.Accepted, nil
}

func (f *endingFleet) Poll(context.Context, scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	time.Sleep(10 * time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running = slices.DeleteFunc(f.running, func(r scheduler.ReportedRun) bool {
		over := time.Since(f.started[r.Task]) >= taskTime
		if over {
			f.ended = append(f.ended, scheduler.ReportedEnd{Number: uint64(len(f.ended) + 1), Task: r.Task, Run: r.Run, Ending: workload.EndedDone})
		}
		return over
	})
	for i := range f.running {
		f.running[i].Percent = int(100 * time.Since(f.started[f.running[i].Task]) / taskTime)
	}
	return scheduler.StatusReport{Boot: 1, Clock: time.Since(f.bootedAt), Running: slices.Clone(f.running), Ended: slices.Clone(f.ended)}, scheduler.Accepted, nil
}

// forecastReplica counts the summaries that are committed.
type forecastReplica struct {
	singleReplica
	counting  sync.Mutex
	summaries [][]byte
}

func (r *forecastReplica) CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error) {
	r.counting.Lock()
	for _, c := range commands {
		if recorded, ok := c.(state.RecordForecast); ok {
			r.summaries = append(r.summaries, recorded.Summary)
		}
	}
	r.counting.Unlock()
	return r.singleReplica.CommitAll(ctx, commands)
}

func (r *forecastReplica) committed() [][]byte {
	r.counting.Lock()
	defer r.counting.Unlock()
	return slices.Clone(r.summaries)
}

// TestLeaderCommitsForecast guards against a leader that keeps what it has learned to itself or commits it with each run, and against one
// that does not start because of a summary that it cannot read.
func TestLeaderCommitsForecast(t *testing.T) {
	commands := []state.Command{
		state.PublishCatalogue{Source: []byte("x"), Catalogue: routedCatalogue(1, "other")}, state.RecordForecast{Summary: []byte("of a later version")},
	}
	for i := range 20 {
		job := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", i)), Steps: []workload.Step{{Count: 1, Estimate: time.Second, Resources: workload.Resources{Processors: 1000}}}}
		commands = append(commands, state.SubmitJob{Job: job, Queue: "q", At: state.TimestampOf(time.Now())})
	}
	r := &forecastReplica{singleReplica: singleReplica{state: state.New()}}
	r.singleReplica.CommitAll(t.Context(), commands)
	f := &endingFleet{bootedAt: time.Now(), started: map[workload.TaskID]time.Time{}}
	core, logs := observer.New(zap.InfoLevel)
	registry := metrics.NewRegistry()
	startedAt := time.Now()
	s := Start(Options{Entry: "k", Replica: r, Instances: f, Machines: f, Lease: 5 * time.Second, JobRetention: time.Minute, Logger: zap.New(core), Metrics: registry})
	defer func() { assert.NilError(t, s.Close()) }()
	in := workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", Capacity: workload.Resources{Processors: 4000, Memory: 4000}}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && len(r.committed()) == 0; time.Sleep(50 * time.Millisecond) {
		in.Sequence++
		in.Clock = time.Since(f.bootedAt)
		announced := in
		s.HandleRequest(t.Context(), forwarder.Request{Operation: forwarder.Announce, Instance: &announced})
	}
	summaries := r.committed()
	assert.Equal(t, len(summaries), 1)
	assert.Assert(t, time.Since(startedAt) >= 5*time.Second, "after %s", time.Since(startedAt))
	restored := forecaster.New()
	assert.NilError(t, restored.Restore(summaries[0]))
	got := restored.Expect(forecaster.Subject{Queue: "q", Estimate: time.Second}).Typical()
	assert.Assert(t, got > 250*time.Millisecond && got < 600*time.Millisecond, "%s", got)
	ignored := logs.FilterMessage(event.ForecastIgnored.Name).All()
	assert.Equal(t, len(ignored), 1)
	forecast := metrics.GetOrRegisterGaugeFloat64("forecast-error.q", registry).Value()
	estimate := metrics.GetOrRegisterGaugeFloat64("estimate-error.q", registry).Value()
	assert.Assert(t, estimate > 0.9 && forecast < estimate, "%.2f against %.2f", forecast, estimate)
}

func queueName(i int) fleet.QueueID { return fleet.QueueID(fmt.Sprint("q-", i)) }

// TestForecastGaugesAreBounded guards against a process that grows with each queue that it was the leader for.
func TestForecastGaugesAreBounded(t *testing.T) {
	m := newInstruments(metrics.NewRegistry())
	for i := range 2 * maxForecastGauges {
		m.updateForecast([]forecaster.Accuracy{{Queue: queueName(i), Forecast: 0.1, Given: 0.3}}, 1)
	}
	assert.Equal(t, len(m.forecastErrors), maxForecastGauges)
	m.resetGauges()
	assert.Equal(t, m.forecastErrors[queueName(0)].estimate.Value(), 0.0)
	assert.Equal(t, m.slowInstances.Value(), int64(0))
}
