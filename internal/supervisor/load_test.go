package supervisor

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/linewriter"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// startObserved returns a supervisor that logs to logger, its replica and its metrics.
func startObserved(t *testing.T, logger *zap.Logger) (*Supervisor, *singleReplica, metrics.Registry) {
	t.Helper()
	r := &singleReplica{state: state.New()}
	r.commit(t, state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1,
		Queues:  []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, AuthExempt: true}},
		Pools:   []workload.Pool{{Name: "p"}},
	}})
	registry := metrics.NewRegistry()
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: logger, Metrics: registry,
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s, r, registry
}

// linesOf waits until an event was logged at least n times and returns its lines.
func linesOf(t *testing.T, logs *observer.ObservedLogs, e event.Event, n int) []observer.LoggedEntry {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if lines := logs.FilterMessage(e.Name).All(); len(lines) >= n {
			return lines
		}
	}
	t.Fatalf("%q was not logged %d times within 30 s", e.Name, n)
	return nil
}

// TestLoadIsLoggedEverySecond checks that an idle leader writes one line about its load each second, with the fields that the
// catalogue lists.
func TestLoadIsLoggedEverySecond(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	startObserved(t, zap.New(core))
	lines := linesOf(t, logs, event.LeaderLoad, 3)
	for i, line := range lines {
		fields := line.ContextMap()
		over := fields["over"].(time.Duration)
		assert.Assert(t, over >= loadInterval, "line %d after %s", i, over)
		assert.Assert(t, fields["plans"].(int64) > 0)
		assert.Assert(t, fields["plan-max"].(time.Duration) <= fields["planning"].(time.Duration))
		for _, name := range event.LeaderLoad.Fields {
			_, ok := fields[name]
			assert.Assert(t, ok, name)
		}
		assert.Equal(t, len(fields), len(event.LeaderLoad.Fields)+1)
	}
	assert.Assert(t, lines[2].Time.Sub(lines[0].Time) >= 2*loadInterval-50*time.Millisecond)
}

// expiringReplica is a replica whose leadership the test lets end for a moment.
type expiringReplica struct {
	singleReplica
	lapsed atomic.Bool
	// resigned is how many leaderships were given up; a later term begins at once.
	resigned atomic.Uint64
}

func (r *expiringReplica) Leads() (uint64, bool) { return 7 + r.resigned.Load(), !r.lapsed.Load() }

func (r *expiringReplica) LeaderTerm() (uint64, bool) { return r.Leads() }

func (r *expiringReplica) Resign(term uint64) { r.resigned.Store(term - 6) }

func (r *expiringReplica) LeaderLeaseLeft() time.Duration {
	if r.lapsed.Load() {
		return -30 * time.Millisecond
	}
	return time.Second
}

// TestNextLeadershipHasTermOfItsOwn checks that a member which has stopped leading within a term gives the term up before it leads again,
// and that the lines about its leaderships tell the two apart, and how long ago the lease ended.
func TestNextLeadershipHasTermOfItsOwn(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	r := &expiringReplica{singleReplica: singleReplica{state: state.New()}}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.New(core), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	linesOf(t, logs, event.LeadershipAcquired, 1)
	r.lapsed.Store(true)
	ended := linesOf(t, logs, event.LeadershipEnded, 1)[0].ContextMap()
	assert.Equal(t, ended["term"], uint64(7))
	assert.Equal(t, ended["reason"], "no longer the leader of the term")
	assert.Equal(t, ended["lapsed"], 30*time.Millisecond)
	r.lapsed.Store(false)
	resumed := linesOf(t, logs, event.LeadershipAcquired, 2)[1].ContextMap()
	assert.Equal(t, resumed["term"], uint64(8))
	assert.Equal(t, linesOf(t, logs, event.LeadershipGivenUp, 1)[0].ContextMap()["term"], uint64(7))
}

// blockedWriter blocks every write until released is closed.
type blockedWriter struct{ released chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.released
	return len(line), nil
}

// TestLeaderDoesNotWaitForItsLog guards against a leader that stands still when the reader of its log does: requests must be
// answered and the load measured while the output blocks and its queue is full.
func TestLeaderDoesNotWaitForItsLog(t *testing.T) {
	blocked := blockedWriter{make(chan struct{})}
	writer := linewriter.New(blocked)
	t.Cleanup(func() {
		close(blocked.released)
		assert.NilError(t, writer.Close())
	})
	observed, logs := observer.New(zapcore.InfoLevel)
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	logger := zap.New(zapcore.NewTee(zapcore.NewCore(encoder, zapcore.AddSync(io.Writer(writer)), zapcore.InfoLevel), observed))
	for range 3000 { // more than the queue of the writer holds
		logger.Info("filler")
	}
	s, _, _ := startObserved(t, logger)
	linesOf(t, logs, event.LeaderLoad, 2)
	submit := forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: "/q/" + string(jobID), Job: &workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1}}}}
	assert.Equal(t, handleWhenLeading(t, s, submit).Outcome, forwarder.Done)
}

// TestJobsThatStateAndSchedulerDisagreeOnAreReported guards against a job that is accepted and never started without a trace:
// a job that was committed without its callback, and one that was cancelled without it.
func TestJobsThatStateAndSchedulerDisagreeOnAreReported(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	s, r, registry := startObserved(t, zap.New(core))
	submit := forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: "/q/" + string(jobID), Job: &workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1}}}}
	assert.Equal(t, handleWhenLeading(t, s, submit).Outcome, forwarder.Done)
	r.commit(t, state.CancelJob{Job: jobID, At: state.Timestamp(wallMillis())})
	for _, id := range []workload.JobID{"00000000000000b1", "00000000000000b2", "00000000000000b3", "00000000000000b4", "00000000000000b5", "00000000000000b6"} {
		r.commit(t, state.SubmitJob{Job: workload.Job{ID: id, Steps: []workload.Step{{Count: 1}}}, Queue: "q"})
	}
	lines := linesOf(t, logs, event.JobsMismatched, 2)
	unknown, cancelled := lines[0].ContextMap(), lines[1].ContextMap()
	assert.Equal(t, unknown["what"], "active, unknown to the scheduler")
	assert.Equal(t, unknown["count"], int64(6))
	assert.DeepEqual(t, unknown["jobs"], []any{"00000000000000b1", "00000000000000b2", "00000000000000b3", "00000000000000b4", "00000000000000b5"})
	assert.Equal(t, cancelled["what"], "cancelled, unfinished in the scheduler")
	assert.DeepEqual(t, cancelled["jobs"], []any{string(jobID)})
	assert.Equal(t, metrics.GetOrRegisterGauge("jobs-mismatched.unknown", registry).Value(), int64(6))
	assert.Equal(t, metrics.GetOrRegisterGauge("jobs-mismatched.cancelled", registry).Value(), int64(1))
}

// TestMismatchIsReportedOnceItLasts guards against reports about a commit whose callback is still waiting for the loop: a
// difference must be found by two checks in a row, and one that has gone must not be counted any more.
func TestMismatchIsReportedOnceItLasts(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	registry := metrics.NewRegistry()
	o := Options{Logger: zap.New(core), Metrics: registry}
	m := &term{options: &o, instruments: newInstruments(registry)}
	gauge := metrics.GetOrRegisterGauge("jobs-mismatched.unknown", registry)
	for _, step := range []struct {
		found map[workload.JobID]mismatch
		lines int
		gauge int64
	}{
		{map[workload.JobID]mismatch{"a": mismatchUnknown}, 0, 0},
		{map[workload.JobID]mismatch{"b": mismatchUnknown, "a": mismatchFinished}, 0, 0},
		{map[workload.JobID]mismatch{"b": mismatchUnknown}, 1, 1},
		{map[workload.JobID]mismatch{}, 1, 0},
		{map[workload.JobID]mismatch{"b": mismatchUnknown}, 1, 0},
	} {
		m.reportMismatches(step.found)
		assert.Equal(t, logs.FilterMessage(event.JobsMismatched.Name).Len(), step.lines)
		assert.Equal(t, gauge.Value(), step.gauge)
	}
}
