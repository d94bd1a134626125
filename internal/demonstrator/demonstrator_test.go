package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/daemon"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/gateway"
	"github.com/sapphiresail/sapphiresail/internal/standin"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// waitTimeout bounds the waits of these tests. No result depends on how long a step takes within it.
const waitTimeout = 60 * time.Second

func startDemo(t *testing.T) (*Demonstrator, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	d, err := New(ctx, "merrimack", zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, d.Close())
		cancel()
	})
	return d, ctx
}

// sendTo posts a request to a queue through the entry at an index; the request must get a response.
func (d *Demonstrator) sendTo(t *testing.T, entry int, key, queue string, body []byte, options ...client.RequestOption) *client.Answer {
	c := client.New("http://"+d.daemons[entry].Address(), key)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	a, err := c.Request(ctx, queue, body, options...)
	assert.NilError(t, err)
	return a
}

// leaderIndex waits for a leader and returns its index.
func (d *Demonstrator) leaderIndex(t *testing.T) int {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		for i, process := range d.daemons {
			if process.Replicator().Status().Leading {
				return i
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("no leader")
	return 0
}

// setIsolated blocks, or opens again, the traffic between the process at index i and all others.
func (d *Demonstrator) setIsolated(i int, isolated bool) {
	for n, other := range d.daemons {
		if n != i {
			d.daemons[i].SetBlocked(entryName(n), isolated)
			other.SetBlocked(entryName(i), isolated)
		}
	}
}

func TestRequestOutcomes(t *testing.T) {
	d, _ := startDemo(t)
	key := d.keys["quality-lab"]
	work, _ := json.Marshal(standin.Work{Nonce: "n1"})
	cases := []struct {
		name, key, queue string
		body             []byte
		options          []client.RequestOption
		status           int
		outcome          string
	}{
		{"answered", key, "cure-study", work, nil, 200, "done"},
		{"empty body", key, "cure-study", nil, nil, 200, "done"},
		{"no key", "", "cure-study", work, nil, 401, "not-run"},
		{"wrong key", "guess", "cure-study", work, nil, 401, "not-run"},
		{"another customer's queue", key, "recall-trace", work, nil, 403, "not-run"},
		{"open queue", key, "lot-index", work, nil, 200, "done"},
		{"unknown queue", key, "nothing", work, nil, 404, "not-run"},
		{"body too large", key, "cure-study", bytes.Repeat([]byte("x"), 9<<20), nil, 413, "not-run"},
		{"invalid timeout", key, "cure-study", work, []client.RequestOption{client.WithTimeout(-time.Second)}, 400, "not-run"},
		{"first use of an idempotency key", key, "cure-study", work, []client.RequestOption{client.WithIdempotencyKey("k")}, 200, "done"},
		{"resend", key, "cure-study", work, []client.RequestOption{client.WithIdempotencyKey("k")}, 200, "done"},
		{"idempotency key reused with other content", key, "cure-study", []byte("other"), []client.RequestOption{client.WithIdempotencyKey("k")}, 409, "not-run"},
		{"large response", key, "cure-study", []byte(`{"nonce":"big","answer-bytes":3000000}`), nil, 200, "done"},
		{"response of a repeatable request truncated", key, "cure-study", []byte(`{"nonce":"cut","cut":true}`), nil, 504, "unknown"},
		{"crossed", key, "cure-study", []byte(`{"nonce":"cross","cross":true}`), nil, 504, "unknown"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := d.sendTo(t, i%Entries, c.key, c.queue, c.body, c.options...)
			assert.Equal(t, a.Status, c.status, "%s", a.Body)
			assert.Equal(t, a.Outcome, c.outcome)
			if c.status >= 400 {
				assert.Equal(t, a.Type, "application/problem+json")
			}
		})
	}
	assert.Equal(t, d.executions.StartCount("n1"), 3, "the resend ran again")
	assert.Assert(t, d.executions.StartCount("cut") > 1, "the repeatable request did not run again")
}

func TestAsynchronousRequest(t *testing.T) {
	d, ctx := startDemo(t)
	key := d.keys["quality-lab"]
	body := []byte(`{"nonce":"later","millis":50}`)
	a := d.sendTo(t, 4, key, "burst-report", body, client.WithAsync())
	assert.Equal(t, a.Status, http.StatusAccepted)
	for {
		c := client.New("http://"+d.daemons[5].Address(), key)
		var answer []byte
		assert.NilError(t, c.Send(ctx, http.MethodGet, a.Header.Get("Location"), nil, &answer))
		if bytes.Equal(answer, body) {
			return
		}
		time.Sleep(pollInterval)
	}
}

// TestWithdrawnKeyRejectedByEveryEntry withdraws a key while a keeper is isolated. Once the change is in force, no entry may accept
// the key; the isolated one refuses the request as unavailable.
func TestWithdrawnKeyRejectedByEveryEntry(t *testing.T) {
	d, ctx := startDemo(t)
	isolated := (d.leaderIndex(t) + 1) % Keepers
	d.setIsolated(isolated, true)
	leader := client.New("http://"+d.daemons[d.leaderIndex(t)].Address(), operatorKey)
	var committed gateway.Committed
	assert.NilError(t, leader.Send(ctx, http.MethodDelete, "/v1/keys/quality-lab-1?wait", nil, &committed))
	assert.Assert(t, committed.InForce)
	for i := range d.daemons {
		a := d.sendTo(t, i, d.keys["quality-lab"], "cure-study", []byte("{}"))
		want := http.StatusUnauthorized
		if i == isolated {
			want = http.StatusServiceUnavailable
		}
		assert.Equal(t, a.Status, want, "entry %d: %s", i, a.Body)
		assert.Equal(t, a.Outcome, "not-run")
	}
	d.setIsolated(isolated, false)
}

// TestLeaderIsolated isolates the leader while callers use the other entries. No response may be lost, no request that is not
// repeatable may run twice, and no refusal may be false.
func TestLeaderIsolated(t *testing.T) {
	d, ctx := startDemo(t)
	var callers sync.WaitGroup
	counts := &counters{report: Report{Site: d.site}}
	callerCtx, cancel := context.WithCancel(ctx)
	oldLeader := d.leaderIndex(t)
	for i, q := range d.config.Queues {
		callers.Go(func() {
			for n := 0; callerCtx.Err() == nil; n++ {
				entry := (oldLeader + 1 + (i+n)%(Entries-1)) % Entries
				customer := q.Customer
				if q.Open {
					customer = d.config.Customers[n%len(d.config.Customers)].Name
				}
				c := client.New("http://"+d.daemons[entry].Address(), d.keys[customer])
				d.sendRequest(counts, c, q, fmt.Sprintf("%s-cut-%d", q.Name, n), workMillis, true)
			}
		})
	}
	d.setIsolated(oldLeader, true)
	for d.leaderIndex(t) == oldLeader {
		time.Sleep(pollInterval)
	}
	answered := func() int {
		counts.mutex.Lock()
		defer counts.mutex.Unlock()
		return counts.report.Answered
	}
	for previous := answered(); answered() < previous+500; {
		time.Sleep(pollInterval)
	}
	d.setIsolated(oldLeader, false)
	cancel()
	callers.Wait()
	report := d.evaluate(counts)
	assert.Assert(t, report.AllHeld(), "%+v", report.Guarantees)
}

// TestKeeperReplacedAfterDiskLoss restarts a keeper without its disk. It must get a new incarnation, because a voter that lost its
// disk must never vote again under its old id, and replaces the old voter. With a second keeper isolated, the configuration must
// still be readable and replaceable.
func TestKeeperReplacedAfterDiskLoss(t *testing.T) {
	d, ctx := startDemo(t)
	lost := (d.leaderIndex(t) + 1) % Keepers
	oldIncarnation := d.daemons[lost].Replicator().Status().Incarnation
	assert.NilError(t, d.daemons[lost].Close())
	assert.NilError(t, os.RemoveAll(filepath.Join(d.dataFolder, string(entryName(lost)))))
	assert.NilError(t, d.restart(lost))
	status := d.daemons[lost].Replicator().Status()
	assert.Assert(t, status.Incarnation != oldIncarnation)
	operator := client.New("http://"+d.daemons[d.leaderIndex(t)].Address(), operatorKey)
	change := fmt.Appendf(nil, `{"add":%q,"remove":%q}`, entryName(lost), oldIncarnation)
	var view gateway.MembersView
	for {
		err := operator.Send(ctx, http.MethodPost, "/v1/members", change, &view)
		if err == nil {
			break
		}
		assert.NilError(t, ctx.Err(), "%v", err)
		time.Sleep(pollInterval)
	}
	assert.Equal(t, len(view.Status.Voters), Keepers)
	secondLost := (lost + 1) % Keepers
	d.setIsolated(secondLost, true)
	leader := d.leaderIndex(t)
	for leader == secondLost {
		time.Sleep(pollInterval)
		leader = d.leaderIndex(t)
	}
	leaderClient := client.New("http://"+d.daemons[leader].Address(), operatorKey)
	var config []byte
	assert.NilError(t, leaderClient.Send(ctx, http.MethodGet, "/v1/config", nil, &config))
	assert.Equal(t, string(config), string(d.configYAML))
	nextConfig := bytes.Replace(d.configYAML, []byte("version: 1"), []byte("version: 2"), 1)
	assert.NilError(t, leaderClient.Send(ctx, http.MethodPut, "/v1/config", nextConfig, nil))
	d.setIsolated(secondLost, false)
}

// restart starts the process at index i again under its old name, as the platform does, and updates the peer addresses.
func (d *Demonstrator) restart(i int) error {
	s := d.settings(i)
	restarted, err := daemon.Start(s, d.logger, daemon.WithPlatform(platformProxy{d}), daemon.WithViewObserver(d.monitor.observe))
	if err != nil {
		return err
	}
	d.daemons[i] = restarted
	for n, other := range d.daemons {
		if n != i {
			other.SetPeer(entryName(i), restarted.PeerAddress())
			restarted.SetPeer(entryName(n), other.PeerAddress())
		}
	}
	return nil
}

// TestAtMostOnceAfterEntryLoss isolates an entry while it forwards a request that must not run twice. A resend through another
// entry must return the response of the only run.
func TestAtMostOnceAfterEntryLoss(t *testing.T) {
	d, _ := startDemo(t)
	body, _ := json.Marshal(standin.Work{Nonce: "reconcile", Millis: 1500})
	key := d.keys["co-op-north"]
	lost := Entries - 1
	var firstRequest sync.WaitGroup
	firstRequest.Go(func() {
		_ = d.sendTo(t, lost, key, "reconcile-north", body, client.WithIdempotencyKey("lot-7"), client.WithTimeout(5*time.Second))
	})
	for d.executions.StartCount("reconcile") == 0 {
		time.Sleep(pollInterval)
	}
	d.setIsolated(lost, true)
	a := d.sendTo(t, 0, key, "reconcile-north", body, client.WithIdempotencyKey("lot-7"))
	assert.Equal(t, a.Status, http.StatusOK, "%s", a.Body)
	assert.DeepEqual(t, a.Body, body)
	assert.Equal(t, d.executions.StartCount("reconcile"), 1)
	firstRequest.Wait()
	d.setIsolated(lost, false)
}

// TestDataCentreLoss isolates the entries and stops the targets of one data centre under load. The guarantees must hold, and
// outcomes may be unknown for at most as many requests as the lost targets have slots.
func TestDataCentreLoss(t *testing.T) {
	d, ctx := startDemo(t)
	lostDataCentre := d.config.DataCentres[1].Name
	callerCtx, cancel := context.WithCancel(ctx)
	counts := &counters{report: Report{Site: d.site}}
	var survivors []int
	for i := range d.daemons {
		if d.settings(i).DataCentre != lostDataCentre {
			survivors = append(survivors, i)
		}
	}
	var callers sync.WaitGroup
	for i, q := range d.config.Queues {
		if q.Open {
			continue
		}
		callers.Go(func() {
			for n := 0; callerCtx.Err() == nil; n++ {
				c := client.New("http://"+d.daemons[survivors[(i+n)%len(survivors)]].Address(), d.keys[q.Customer])
				d.sendRequest(counts, c, q, fmt.Sprintf("%s-dc-%d", q.Name, n), workMillis, true)
			}
		})
	}
	time.Sleep(pollInterval)
	for i := range d.daemons {
		if d.settings(i).DataCentre == lostDataCentre {
			d.setIsolated(i, true)
		}
	}
	for _, target := range d.targets {
		if target.DataCentre() == lostDataCentre {
			assert.NilError(t, target.Close())
		}
	}
	answered := func() int {
		counts.mutex.Lock()
		defer counts.mutex.Unlock()
		return counts.report.Answered
	}
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
	for previous := answered(); answered() < previous+300; {
		time.Sleep(pollInterval)
	}
	cancel()
	callers.Wait()
	report := d.evaluate(counts)
	assert.Assert(t, report.AllHeld(), "%+v", report)
	assert.Assert(t, report.Unknown <= lostSlots(d, lostDataCentre), "%d unknown", report.Unknown)
}

// lostSlots returns the largest number of requests that the targets of the lost data centre can have been running.
func lostSlots(d *Demonstrator, lostDataCentre fleet.DataCentreID) int {
	slots := 0
	for _, target := range d.targets {
		if target.DataCentre() == lostDataCentre {
			slots += slotsPerTarget
		}
	}
	return slots
}

const slotsPerTarget = 8

// TestGracefulShutdownCompletesRequests shuts an entry down while it has requests in flight; each must get its complete response.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	d, ctx := startDemo(t)
	const stopped, requestCount = 3, 12
	var callers sync.WaitGroup
	answers := make([]*client.Answer, requestCount)
	for i := range requestCount {
		callers.Go(func() {
			body := fmt.Appendf(nil, `{"nonce":"stop-%d","millis":800}`, i)
			answers[i] = d.sendTo(t, stopped, d.keys["quality-lab"], "cure-study", body)
		})
	}
	for started := 0; started < requestCount; {
		started = 0
		for i := range requestCount {
			started += d.executions.StartCount(fmt.Sprintf("stop-%d", i))
		}
		time.Sleep(pollInterval)
	}
	assert.NilError(t, d.daemons[stopped].Shutdown(ctx))
	callers.Wait()
	for i, a := range answers {
		assert.Equal(t, a.Status, http.StatusOK, "request %d: %s", i, a.Body)
	}
	a := d.sendTo(t, 0, d.keys["quality-lab"], "cure-study", []byte("{}"))
	assert.Equal(t, a.Status, http.StatusOK)
}
