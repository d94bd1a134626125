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

// patience bounds every wait of these tests; their verdicts do not depend on how long a step takes within it.
const patience = 60 * time.Second

func start(t *testing.T) (*Demonstrator, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	d, err := New(ctx, "merrimack", zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, d.Close())
		cancel()
	})
	return d, ctx
}

func (d *Demonstrator) post(t *testing.T, entry int, key, queue string, body []byte, options ...client.RequestOption) *client.Answer {
	c := client.New("http://"+d.daemons[entry].Address(), key)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a, err := c.Request(ctx, queue, body, options...)
	assert.NilError(t, err)
	return a
}

// leads returns the position of the process that leads.
func (d *Demonstrator) leads(t *testing.T) int {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		for i, x := range d.daemons {
			if x.Replicator().Status().Leading {
				return i
			}
		}
		time.Sleep(readyPause)
	}
	t.Fatal("no leader")
	return 0
}

// cut takes a process off the network while on.
func (d *Demonstrator) cut(i int, on bool) {
	for n, other := range d.daemons {
		if n != i {
			d.daemons[i].SetBlocked(entryName(n), on)
			other.SetBlocked(entryName(i), on)
		}
	}
}

func TestAnswersOfTheInterface(t *testing.T) {
	d, _ := start(t)
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
		{"bad timeout", key, "cure-study", work, []client.RequestOption{client.WithTimeout(-time.Second)}, 400, "not-run"},
		{"first use of an idempotency key", key, "cure-study", work, []client.RequestOption{client.WithIdempotencyKey("k")}, 200, "done"},
		{"resend", key, "cure-study", work, []client.RequestOption{client.WithIdempotencyKey("k")}, 200, "done"},
		{"reuse with other content", key, "cure-study", []byte("other"), []client.RequestOption{client.WithIdempotencyKey("k")}, 409, "not-run"},
		{"large answer", key, "cure-study", []byte(`{"nonce":"big","answer-bytes":3000000}`), nil, 200, "done"},
		{"cut once and repeated", key, "cure-study", []byte(`{"nonce":"cut","cut":true}`), nil, 504, "unknown"},
		{"crossed", key, "cure-study", []byte(`{"nonce":"cross","cross":true}`), nil, 504, "unknown"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := d.post(t, i%Entries, c.key, c.queue, c.body, c.options...)
			assert.Equal(t, a.Status, c.status, "%s", a.Body)
			assert.Equal(t, a.Outcome, c.outcome)
			if c.status >= 400 {
				assert.Equal(t, a.Type, "application/problem+json")
			}
		})
	}
	assert.Equal(t, d.ledger.Runs("n1"), 3, "the resend ran again")
	assert.Assert(t, d.ledger.Runs("cut") > 1, "a repeatable request was not repeated")
}

func TestAsynchronousRequest(t *testing.T) {
	d, ctx := start(t)
	key := d.keys["quality-lab"]
	body := []byte(`{"nonce":"later","millis":50}`)
	a := d.post(t, 4, key, "burst-report", body, client.WithAsync())
	assert.Equal(t, a.Status, http.StatusAccepted)
	for {
		c := client.New("http://"+d.daemons[5].Address(), key)
		var answer []byte
		assert.NilError(t, c.Send(ctx, http.MethodGet, a.Header.Get("Location"), nil, &answer))
		if bytes.Equal(answer, body) {
			return
		}
		time.Sleep(readyPause)
	}
}

func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	d, ctx := start(t)
	away := (d.leads(t) + 1) % Keepers
	d.cut(away, true)
	leader := client.New("http://"+d.daemons[d.leads(t)].Address(), operatorKey)
	var done gateway.Committed
	assert.NilError(t, leader.Send(ctx, http.MethodDelete, "/v1/keys/quality-lab-1?wait", nil, &done))
	assert.Assert(t, done.InForce)
	for i := range d.daemons {
		a := d.post(t, i, d.keys["quality-lab"], "cure-study", []byte("{}"))
		want := http.StatusUnauthorized
		if i == away {
			want = http.StatusServiceUnavailable
		}
		assert.Equal(t, a.Status, want, "entry %d: %s", i, a.Body)
		assert.Equal(t, a.Outcome, "not-run")
	}
	d.cut(away, false)
}

// TestLeaderCutOff cuts the leader off while callers ask elsewhere; nothing is lost, doubled or untrue.
func TestLeaderCutOff(t *testing.T) {
	d, ctx := start(t)
	var callers sync.WaitGroup
	tallied := &tally{report: Report{Site: d.site}}
	stop, cancel := context.WithCancel(ctx)
	away := d.leads(t)
	for i, q := range d.config.Queues {
		callers.Go(func() {
			for n := 0; stop.Err() == nil; n++ {
				entry := (away + 1 + (i+n)%(Entries-1)) % Entries
				customer := q.Customer
				if q.Open {
					customer = d.config.Customers[n%len(d.config.Customers)].Name
				}
				c := client.New("http://"+d.daemons[entry].Address(), d.keys[customer])
				d.ask(tallied, c, q, fmt.Sprintf("%s-cut-%d", q.Name, n), workMillis, true)
			}
		})
	}
	d.cut(away, true)
	for d.leads(t) == away {
		time.Sleep(readyPause)
	}
	answered := func() int {
		tallied.mutex.Lock()
		defer tallied.mutex.Unlock()
		return tallied.report.Answered
	}
	for before := answered(); answered() < before+500; {
		time.Sleep(readyPause)
	}
	d.cut(away, false)
	cancel()
	callers.Wait()
	report := d.judge(tallied)
	assert.Assert(t, report.Kept(), "%+v", report.Promises)
}

// TestLostDiskNeverVotesAgain brings a keeper back without its disk, replaces it, and loses a second one after it.
func TestLostDiskNeverVotesAgain(t *testing.T) {
	d, ctx := start(t)
	lost := (d.leads(t) + 1) % Keepers
	before := d.daemons[lost].Replicator().Status().Incarnation
	assert.NilError(t, d.daemons[lost].Close())
	assert.NilError(t, os.RemoveAll(filepath.Join(d.folder, string(entryName(lost)))))
	assert.NilError(t, d.restart(lost))
	status := d.daemons[lost].Replicator().Status()
	assert.Assert(t, status.Incarnation != before)
	operator := client.New("http://"+d.daemons[d.leads(t)].Address(), operatorKey)
	change := fmt.Appendf(nil, `{"add":%q,"remove":%q}`, entryName(lost), before)
	var view gateway.MembersView
	for {
		err := operator.Send(ctx, http.MethodPost, "/v1/members", change, &view)
		if err == nil {
			break
		}
		assert.NilError(t, ctx.Err(), "%v", err)
		time.Sleep(readyPause)
	}
	assert.Equal(t, len(view.Status.Voters), Keepers)
	second := (lost + 1) % Keepers
	d.cut(second, true)
	leader := d.leads(t)
	for leader == second {
		time.Sleep(readyPause)
		leader = d.leads(t)
	}
	survivors := client.New("http://"+d.daemons[leader].Address(), operatorKey)
	var text []byte
	assert.NilError(t, survivors.Send(ctx, http.MethodGet, "/v1/config", nil, &text))
	assert.Equal(t, string(text), string(d.text))
	next := bytes.Replace(d.text, []byte("version: 1"), []byte("version: 2"), 1)
	assert.NilError(t, survivors.Send(ctx, http.MethodPut, "/v1/config", next, nil))
	d.cut(second, false)
}

// restart starts a process again under its old name, as the platform would.
func (d *Demonstrator) restart(i int) error {
	s := d.settings(i)
	x, err := daemon.Start(s, d.logger, daemon.WithPlatform(platformOf{d}), daemon.WithViewObserver(d.watch.see))
	if err != nil {
		return err
	}
	d.daemons[i] = x
	for n, other := range d.daemons {
		if n != i {
			other.SetPeer(entryName(i), x.PeerAddress())
			x.SetPeer(entryName(n), other.PeerAddress())
		}
	}
	return nil
}

// TestAtMostOnceWhenItsEntryIsLost loses the entry that carries a reconciliation; the resend gets its one answer.
func TestAtMostOnceWhenItsEntryIsLost(t *testing.T) {
	d, _ := start(t)
	body, _ := json.Marshal(standin.Work{Nonce: "reconcile", Millis: 1500})
	key := d.keys["co-op-north"]
	lost := Entries - 1
	var first sync.WaitGroup
	first.Go(func() {
		_ = d.post(t, lost, key, "reconcile-north", body, client.WithIdempotencyKey("lot-7"), client.WithTimeout(5*time.Second))
	})
	for d.ledger.Runs("reconcile") == 0 {
		time.Sleep(readyPause)
	}
	d.cut(lost, true)
	a := d.post(t, 0, key, "reconcile-north", body, client.WithIdempotencyKey("lot-7"))
	assert.Equal(t, a.Status, http.StatusOK, "%s", a.Body)
	assert.DeepEqual(t, a.Body, body)
	assert.Equal(t, d.ledger.Runs("reconcile"), 1)
	first.Wait()
	d.cut(lost, false)
}

// TestDataCentreLost cuts off every entry of one data centre and its targets under load.
func TestDataCentreLost(t *testing.T) {
	d, ctx := start(t)
	gone := d.config.DataCentres[1].Name
	stop, cancel := context.WithCancel(ctx)
	tallied := &tally{report: Report{Site: d.site}}
	var alive []int
	for i := range d.daemons {
		if d.settings(i).DataCentre != gone {
			alive = append(alive, i)
		}
	}
	var callers sync.WaitGroup
	for i, q := range d.config.Queues {
		if q.Open {
			continue
		}
		callers.Go(func() {
			for n := 0; stop.Err() == nil; n++ {
				c := client.New("http://"+d.daemons[alive[(i+n)%len(alive)]].Address(), d.keys[q.Customer])
				d.ask(tallied, c, q, fmt.Sprintf("%s-dc-%d", q.Name, n), workMillis, true)
			}
		})
	}
	time.Sleep(readyPause)
	for i := range d.daemons {
		if d.settings(i).DataCentre == gone {
			d.cut(i, true)
		}
	}
	for _, target := range d.targets {
		if target.DataCentre() == gone {
			assert.NilError(t, target.Close())
		}
	}
	answered := func() int {
		tallied.mutex.Lock()
		defer tallied.mutex.Unlock()
		return tallied.report.Answered
	}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); {
		time.Sleep(readyPause)
	}
	for before := answered(); answered() < before+300; {
		time.Sleep(readyPause)
	}
	cancel()
	callers.Wait()
	report := d.judge(tallied)
	assert.Assert(t, report.Kept(), "%+v", report)
	assert.Assert(t, report.Unknown <= slotsLost(d, gone), "%d unknown", report.Unknown)
}

// slotsLost returns the most requests that can have been on the lost targets.
func slotsLost(d *Demonstrator, gone fleet.DataCentreID) int {
	n := 0
	for _, target := range d.targets {
		if target.DataCentre() == gone {
			n += slotsATarget
		}
	}
	return n
}

const slotsATarget = 8

// TestGracefulStopCutsNothing stops an entry while it carries requests; each gets its whole answer.
func TestGracefulStopCutsNothing(t *testing.T) {
	d, ctx := start(t)
	const stopped, requests = 3, 12
	var callers sync.WaitGroup
	answers := make([]*client.Answer, requests)
	for i := range requests {
		callers.Go(func() {
			body := fmt.Appendf(nil, `{"nonce":"stop-%d","millis":800}`, i)
			answers[i] = d.post(t, stopped, d.keys["quality-lab"], "cure-study", body)
		})
	}
	for begun := 0; begun < requests; {
		begun = 0
		for i := range requests {
			begun += d.ledger.Runs(fmt.Sprintf("stop-%d", i))
		}
		time.Sleep(readyPause)
	}
	assert.NilError(t, d.daemons[stopped].Shutdown(ctx))
	callers.Wait()
	for i, a := range answers {
		assert.Equal(t, a.Status, http.StatusOK, "request %d: %s", i, a.Body)
	}
	a := d.post(t, 0, d.keys["quality-lab"], "cure-study", []byte("{}"))
	assert.Equal(t, a.Status, http.StatusOK)
}
