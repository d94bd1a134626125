package replicator_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// startGroup starts keepers and learners on the loopback interface and returns them with their shared metrics registry.
func startGroup(tb testing.TB, keepers, learners int) ([]*replicator.Replicator, metrics.Registry) {
	registry := metrics.NewRegistry()
	names, messengers := startMessengers(tb, keepers+learners, registry)
	var replicators []*replicator.Replicator
	for i, m := range messengers {
		o := replicator.Options{Entry: names[i], Messenger: m, Keepers: names[:keepers], Peers: names, Logger: zap.NewNop()}
		if i < keepers {
			j, err := journaler.Open(tb.TempDir())
			assert.NilError(tb, err)
			o.Journal = j
			tb.Cleanup(func() { _ = j.Close() })
		}
		r, err := replicator.Start(o)
		assert.NilError(tb, err)
		replicators = append(replicators, r)
	}
	tb.Cleanup(func() {
		for i := range replicators {
			_ = replicators[i].Close()
		}
	})
	return replicators, registry
}

// startMessengers starts messengers on the loopback interface that know each other's addresses.
func startMessengers(tb testing.TB, n int, registry metrics.Registry) (names []fleet.EntryID, messengers []*messenger.Messenger) {
	key := identity.RandomHex(identity.MinKeyBytes)
	for i := range n {
		names = append(names, fleet.EntryID(fmt.Sprintf("e%02d", i)))
		id, err := identity.New(string(names[i]), key)
		assert.NilError(tb, err)
		m, err := messenger.New(id, "127.0.0.1:0", registry)
		assert.NilError(tb, err)
		tb.Cleanup(func() { _ = m.Close() })
		messengers = append(messengers, m)
	}
	for _, m := range messengers {
		for k, other := range messengers {
			m.SetPeer(names[k], other.Address())
		}
	}
	return names, messengers
}

func waitForLeader(replicators []*replicator.Replicator) *replicator.Replicator {
	for {
		for _, r := range replicators {
			if r.Status().Leading {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func bytesSent(r metrics.Registry) int64 {
	return metrics.GetOrRegisterCounter("peer-bytes-sent", r).Count()
}

// BenchmarkCommit measures latency, throughput and cost of commits of member records by concurrent writers at the leader.
func BenchmarkCommit(b *testing.B) {
	for _, members := range []int{3, 5} {
		for _, writers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("members-%d/writers-%d", members, writers), func(b *testing.B) {
				replicators, registry := startGroup(b, members, 0)
				leader := waitForLeader(replicators)
				latencies := make([]time.Duration, b.N)
				next := make(chan int, b.N)
				for i := range b.N {
					next <- i
				}
				close(next)
				sentBefore, processorTimeBefore := bytesSent(registry), processorTime()
				b.ResetTimer()
				var writersDone sync.WaitGroup
				for range writers {
					writersDone.Go(func() {
						for i := range next {
							started := time.Now()
							_, err := leader.Commit(context.Background(), state.RegisterMember{Member: state.Member{Entry: fleet.EntryID(fmt.Sprint("w", i%64))}})
							if err != nil {
								b.Error(err)
							}
							latencies[i] = time.Since(started)
						}
					})
				}
				writersDone.Wait()
				b.StopTimer()
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-µs")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(float64(bytesSent(registry)-sentBefore)/float64(b.N), "bytes/commit")
				b.ReportMetric(float64((processorTime()-processorTimeBefore).Microseconds())/float64(b.N), "cpu-µs/commit")
			})
		}
	}
}

// BenchmarkIdle measures traffic and processor time per member while nothing is committed.
func BenchmarkIdle(b *testing.B) {
	for _, members := range []int{9, 19} {
		b.Run(fmt.Sprintf("members-%d", members), func(b *testing.B) {
			replicators, registry := startGroup(b, 3, members-3)
			waitForLeader(replicators)
			time.Sleep(2 * time.Second)
			sentBefore, processorTimeBefore, started := bytesSent(registry), processorTime(), time.Now()
			time.Sleep(4 * time.Second)
			seconds := time.Since(started).Seconds()
			b.ReportMetric(float64(bytesSent(registry)-sentBefore)/seconds/float64(members), "bytes/s/member")
			b.ReportMetric(100*(processorTime()-processorTimeBefore).Seconds()/seconds/float64(members), "%core/member")
		})
	}
}

// BenchmarkAppliedEverywhere measures the time from a proposal until the leader knows that every member has applied it.
func BenchmarkAppliedEverywhere(b *testing.B) {
	replicators, _ := startGroup(b, 3, 4)
	leader := waitForLeader(replicators)
	var names []fleet.EntryID
	for _, r := range replicators {
		names = append(names, r.Status().Entry)
	}
	for !leader.Status().AppliedEverywhere(leader.Status().Commit, names) {
		time.Sleep(10 * time.Millisecond)
	}
	var latencies []time.Duration
	for b.Loop() {
		started := time.Now()
		reply, err := leader.Commit(context.Background(), state.RegisterMember{Member: state.Member{Entry: "x"}})
		assert.NilError(b, err)
		for !leader.Status().AppliedEverywhere(reply.Index, names) {
			time.Sleep(time.Millisecond)
		}
		latencies = append(latencies, time.Since(started))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "max-ms")
}

// BenchmarkFailover measures the time from the crash of the leader until another member holds the leader lease.
func BenchmarkFailover(b *testing.B) {
	var latencies []time.Duration
	for b.Loop() {
		replicators, _ := startGroup(b, 3, 4)
		leader := waitForLeader(replicators)
		others := slices.DeleteFunc(slices.Clone(replicators), func(r *replicator.Replicator) bool { return r == leader })
		started := time.Now()
		leader.Kill()
		waitForLeader(others)
		latencies = append(latencies, time.Since(started))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "max-ms")
}
