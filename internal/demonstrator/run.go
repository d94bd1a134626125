package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/standin"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// Load that the callers generate.
const (
	callersPerQueue = 4
	workMillis      = 30
	// resendEvery is the interval, in requests of one caller, at which a request that is not repeatable is resent.
	resendEvery    = 3
	requestTimeout = 15 * time.Second
)

// Report has the number of requests by outcome, the changes to the fleet and the guarantees of one demonstration.
type Report struct {
	Site       string            `json:"site"`
	Sent       int               `json:"asked"`
	Answered   int               `json:"answered"`
	Refused    int               `json:"refused"`
	Unknown    int               `json:"unknown"`
	Resent     int               `json:"resent"`
	Moves      int               `json:"moves"`
	Maintained int               `json:"maintained"`
	Guarantees []Guarantee       `json:"promises"`
	LimitUsage map[string]string `json:"running-at-most"`
}

// Guarantee is a property that the system must keep under load, and whether it did.
type Guarantee struct {
	Name   string `json:"name"`
	Held   bool   `json:"kept"`
	Detail string `json:"detail"`
}

// AllHeld reports whether every guarantee held.
func (r Report) AllHeld() bool {
	for _, g := range r.Guarantees {
		if !g.Held {
			return false
		}
	}
	return true
}

// counters collects the outcomes that the callers observe.
type counters struct {
	mutex          sync.Mutex
	report         Report
	wrongResponses int
	// falseRefusals counts the not-run responses to requests that did run.
	falseRefusals int
	// duplicateRuns counts the requests that ran more than once without being repeatable.
	duplicateRuns   int
	transportErrors int
}

func (c *counters) apply(update func(c *counters)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	update(c)
}

// Run starts maintenance, lets callers post requests for a duration while instances are rebooted and moved, and returns the report.
func (d *Demonstrator) Run(ctx context.Context, duration time.Duration) Report {
	counts := &counters{report: Report{Site: d.site}}
	callerCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	if err := d.operator.Send(ctx, "POST", "/v1/maintenance/start", []byte{}, nil); err != nil {
		counts.apply(func(counts *counters) {
			counts.report.Guarantees = append(counts.report.Guarantees, Guarantee{Name: "maintenance starts", Detail: err.Error()})
		})
	}
	var callers sync.WaitGroup
	for i, q := range d.config.Queues {
		for n := range callersPerQueue {
			callers.Go(func() { d.runCaller(callerCtx, counts, q, uint64(i*callersPerQueue+n)) })
		}
	}
	callers.Wait()
	return d.evaluate(counts)
}

// runCaller posts one request after another to a queue, each through a random entry.
func (d *Demonstrator) runCaller(ctx context.Context, counts *counters, q configuration.Queue, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	customers := d.config.Customers
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		customer := q.Customer
		if q.Open {
			customer = customers[rng.IntN(len(customers))].Name
		}
		entry := d.daemons[rng.IntN(len(d.daemons))]
		c := client.New("http://"+entry.Address(), d.keys[customer], client.WithHTTPClient(&http.Client{Transport: transport}))
		d.sendRequest(counts, c, q, fmt.Sprintf("%s-%d-%d", q.Name, seed, n), workMillis+rng.IntN(workMillis), n%resendEvery == 0)
	}
}

// sendRequest posts one request and checks its response. If resend is set, it sends a completed request that is not repeatable
// again, which must return the same response without another run.
func (d *Demonstrator) sendRequest(counts *counters, c *client.Client, q configuration.Queue, nonce string, millis int, resend bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body, _ := json.Marshal(standin.Work{Nonce: nonce, Millis: millis})
	var options []client.RequestOption
	if !q.Repeatable {
		options = append(options, client.WithIdempotencyKey(nonce))
	}
	answer, err := c.Request(ctx, string(q.Name), body, options...)
	d.recordOutcome(counts, q, nonce, body, answer, err)
	if q.Repeatable || !resend || err != nil || answer.Status != http.StatusOK {
		return
	}
	resent, err := c.Request(ctx, string(q.Name), body, options...)
	counts.apply(func(counts *counters) {
		counts.report.Resent++
		if err != nil || !bytes.Equal(resent.Body, answer.Body) {
			counts.wrongResponses++
		}
		if d.executions.StartCount(nonce) > 1 {
			counts.duplicateRuns++
		}
	})
}

// recordOutcome compares the response to a request with the execution log and counts the outcome.
func (d *Demonstrator) recordOutcome(counts *counters, q configuration.Queue, nonce string, body []byte, answer *client.Answer, err error) {
	runs := d.executions.StartCount(nonce)
	counts.apply(func(counts *counters) {
		counts.report.Sent++
		switch {
		case err != nil:
			counts.transportErrors++
		case answer.Status == http.StatusOK:
			counts.report.Answered++
			if !bytes.Equal(answer.Body, body) {
				counts.wrongResponses++
			}
		case answer.Outcome == string(fleet.NotRun):
			counts.report.Refused++
			if runs > 0 {
				counts.falseRefusals++
			}
		default:
			counts.report.Unknown++
		}
		if !q.Repeatable && runs > 1 {
			counts.duplicateRuns++
		}
	})
}

// evaluate builds the report from the counters, the execution log and the budget monitor.
func (d *Demonstrator) evaluate(counts *counters) Report {
	r := counts.report
	_, interrupted, lateStarts := d.executions.Totals()
	d.daemons[0].Replicator().View(func(s *state.State) {
		for _, a := range s.Instances {
			if a.MaintainedAt >= s.RolloutAt && s.RolloutAt > 0 {
				r.Maintained++
			}
		}
	})
	d.monitor.mutex.Lock()
	budgetViolations := len(d.monitor.violations)
	r.Moves = d.monitor.moves
	d.monitor.mutex.Unlock()
	overLimit := 0
	r.LimitUsage = map[string]string{}
	for _, customer := range d.config.Customers {
		peak := d.executions.PeakRunning(customer.Name)
		r.LimitUsage[string(customer.Name)] = fmt.Sprintf("%d of %d", peak, customer.Limit)
		if peak > customer.Limit {
			overLimit++
		}
	}
	addGuarantee := func(name string, violations int) {
		r.Guarantees = append(r.Guarantees, Guarantee{Name: name, Held: violations == 0, Detail: fmt.Sprintf("%d broken", violations)})
	}
	addGuarantee("every caller gets the whole answer to its own request", counts.wrongResponses+counts.transportErrors)
	addGuarantee("a refusal that says not-run is true", counts.falseRefusals)
	addGuarantee("what may not be repeated runs at most once", counts.duplicateRuns)
	addGuarantee("no customer has more running than its limit", overLimit)
	addGuarantee("availability budgets hold", budgetViolations)
	addGuarantee("planned stops cut no request", interrupted)
	addGuarantee("a leaving target gets no new work after 3 s", lateStarts)
	r.Guarantees = append(r.Guarantees, Guarantee{Name: "requests were answered", Held: r.Answered > 0, Detail: fmt.Sprintf("%d answered", r.Answered)})
	return r
}
